//! The socket side of a gateway: connections and timers, on which the policy's calls to its [`Host`] are
//! carried out. What happens on them reaches the policy as events, in order, and never from inside one of
//! these calls.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::poll::{ClientKey, Clock, ConnectionKey, Poller};
use crate::request::{self, RequestKey, Requests, State};
use crate::timer_wheel::TimerWheel;
use kitepass_gateway_config::ConnectionSettings;
use kitepass_gateway_policy::{
    AttemptOutcome, GatewayConfig, Host, QuotaDecision, QuotaRequest, Reading, UsageUpdate,
};
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::rc::Rc;

/// Something that has happened and that the policy is to be told of.
#[derive(Debug)]
pub(crate) enum Event {
    /// A valid request was accepted.
    RequestArrived(RequestKey),
    /// A request's client has disconnected.
    ClientDisconnected(RequestKey),
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A call to the shared counter was answered or has timed out.
    CounterAnswered {
        /// The number's name.
        name: String,
        /// Its total, as far as it is known.
        total: Reading,
    },
    /// Not for the policy: a client's next request may be in its input already.
    Pipelined(ClientKey),
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnded {
    pub(crate) request: RequestKey,
    /// The backend's id.
    pub(crate) backend: Rc<str>,
    pub(crate) outcome: AttemptOutcome,
    /// Whether the request needs no other attempt.
    pub(crate) is_final: bool,
    /// How long the attempt took.
    pub(crate) elapsed: Duration,
    /// The units that the backend says the request has cost.
    pub(crate) actual_units: Option<f64>,
}

/// What is due when a timer fires.
#[derive(Debug)]
pub(crate) enum Timer {
    /// The policy's own timer, by its token.
    Policy(String),
    /// An attempt's time on this connection is up.
    Attempt(ConnectionKey),
    /// Calls to the counter may have timed out.
    CounterCalls,
    /// A connection that is being closed has been read for long enough.
    Linger(ClientKey),
    /// Accepting clients is tried again after an error.
    AcceptClients,
    /// Idle connections to backends are checked.
    DropIdleConnections,
    /// The watch on discovery is checked.
    Watch,
    /// Discovery has not answered: the list that the gateway was started with is used.
    UseInitialList,
    /// The gateway that is shutting down stops accepting clients.
    StopAccepting,
    /// Clients' connections are checked for time-outs.
    SweepClients,
}

/// Where a gateway is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has no list of backends yet.
    Starting,
    /// It is ready.
    Serving,
    /// It has been told to end, and still serves clients that do not know yet.
    ShuttingDown,
    /// Each connection closes after its next answer.
    Closing,
}

/// All of a gateway but its policy: sockets, timers, and what is under way on them.
pub(crate) struct Runtime {
    pub(crate) clock: Clock,
    /// The time of the event or timer that is being handled. The clock is read once for each: a request takes
    /// microseconds, and reading the clock at every step was a noticeable part of that.
    pub(crate) event_time: Timestamp,
    pub(crate) poller: Poller,
    pub(crate) timers: TimerWheel<Timer>,
    /// Events that the policy has not been told of yet.
    pub(crate) events: VecDeque<Event>,
    pub(crate) config: Rc<GatewayConfig>,
    /// The time limits of connections and answers.
    pub(crate) connection_settings: ConnectionSettings,
    pub(crate) phase: Phase,
    pub(crate) clients: Clients,
    pub(crate) requests: Requests,
    pub(crate) backends: Backends,
    pub(crate) counter: Counter,
    /// The client whose request the policy is being told of.
    pub(crate) current_client: Option<ClientKey>,
    /// The buffer that sockets are read into.
    pub(crate) read_buffer: Vec<u8>,
}

impl Runtime {
    /// The time of the event or timer that is being handled.
    pub(crate) fn now(&self) -> Timestamp {
        self.event_time
    }

    /// Reads the clock for the next event or timer.
    pub(crate) fn read_clock(&mut self) -> Timestamp {
        self.event_time = self.clock.now();
        self.event_time
    }

    /// Sets a timer.
    pub(crate) fn schedule_timer(&mut self, due: Timestamp, timer: Timer) {
        self.timers.schedule(due, timer);
    }

    /// Takes note that a client has disconnected: its request is not answered, and an attempt in flight only
    /// ends.
    pub(crate) fn abandon_request(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        let has_attempt = request.state() == State::InFlight;
        self.requests.set_state(key, if has_attempt { State::Abandoned } else { State::Finished });
    }
}

impl Host for Runtime {
    fn send_attempt(&mut self, request: &str, backend: &str, timeout: Duration) {
        if let Some(key) = request::key_from_id(request) {
            self.start_attempt(key, backend, timeout);
        }
    }

    fn reject(&mut self, request: &str, retry_in: Option<Duration>) {
        if let Some(key) = request::key_from_id(request) {
            self.respond_with_failure(key, true, retry_in);
        }
    }

    fn fail(&mut self, request: &str) {
        if let Some(key) = request::key_from_id(request) {
            self.respond_with_failure(key, false, None);
        }
    }

    fn add_to_counter(&mut self, name: &str, amount: f64, keep: Duration) {
        self.call_counter(name, amount, keep);
    }

    // Gateways on sockets do not know each other's addresses. Start-up therefore leaves the policy no
    // messages to peers, and it never calls these three.
    fn broadcast_usage(&mut self, _: &[UsageUpdate]) -> usize {
        0
    }
    fn ask_peer(&mut self, _: u32, _: u16, _: &QuotaRequest) {}
    fn answer_peer(&mut self, _: u32, _: u16, _: QuotaDecision) {}

    fn set_timer(&mut self, token: &str, after: Duration) {
        self.schedule_timer(self.now() + after, Timer::Policy(token.to_owned()));
    }
}
