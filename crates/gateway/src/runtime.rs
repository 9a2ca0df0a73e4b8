//! The I/O side of a gateway: its connections and timers. It implements the policy's [`Host`] trait, and queues
//! what happens as events. The policy receives them in order, and never while it is calling the host.

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

/// An event in the queue for the policy.
#[derive(Debug)]
pub(crate) enum Event {
    /// A valid request was accepted.
    RequestArrived(RequestKey),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestKey),
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A call to the counter service was answered, failed or timed out.
    CounterAnswered {
        /// The name of the sum that the call added to.
        name: String,
        /// The total of that sum, if it is known.
        total: Reading,
    },
    /// Not passed to the policy: a client's input may already hold its next request.
    Pipelined(ClientKey),
}

/// The end of an attempt.
#[derive(Debug)]
pub(crate) struct AttemptEnded {
    pub(crate) request: RequestKey,
    /// The backend's id.
    pub(crate) backend: Rc<str>,
    pub(crate) outcome: AttemptOutcome,
    /// Whether the request needs no further attempt.
    pub(crate) is_final: bool,
    /// How long the attempt took.
    pub(crate) elapsed: Duration,
    /// The actual cost of the request, if the backend reported it.
    pub(crate) actual_units: Option<f64>,
}

/// What to do when a timer expires.
#[derive(Debug)]
pub(crate) enum Timer {
    /// A timer that the policy has set, with its token.
    Policy(String),
    /// Time out the attempt on this connection.
    Attempt(ConnectionKey),
    /// Check calls to the counter service for time-outs.
    CounterCalls,
    /// End the lingering close of a client connection.
    Linger(ClientKey),
    /// Accept clients again after an error.
    AcceptClients,
    /// Close backend connections that were idle for too long.
    DropIdleConnections,
    /// Check the connections to discovery.
    Watch,
    /// Serve with the initial list of backends if discovery has not answered.
    UseInitialList,
    /// Stop accepting clients during a shutdown.
    StopAccepting,
    /// Check client connections for time-outs.
    SweepClients,
}

/// The phase of a gateway's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// There is no list of backends yet.
    Starting,
    /// The gateway is ready.
    Serving,
    /// Shutdown has started; clients that do not know yet are still accepted and served.
    ShuttingDown,
    /// No clients are accepted, and each connection closes after its next response.
    Closing,
}

/// The whole state of a gateway but its policy: sockets, timers, and requests in progress.
pub(crate) struct Runtime {
    pub(crate) clock: Clock,
    /// The time of the event or timer that is being handled. The clock is read once for each of them: a request
    /// takes microseconds, and reading the clock at every step would be a noticeable part of that.
    pub(crate) event_time: Timestamp,
    pub(crate) poller: Poller,
    pub(crate) timers: TimerWheel<Timer>,
    /// Events that have not been passed to the policy yet.
    pub(crate) events: VecDeque<Event>,
    pub(crate) config: Rc<GatewayConfig>,
    /// Time limits of connections and responses.
    pub(crate) connection_settings: ConnectionSettings,
    pub(crate) phase: Phase,
    pub(crate) clients: Clients,
    pub(crate) requests: Requests,
    pub(crate) backends: Backends,
    pub(crate) counter: Counter,
    /// The client whose event the policy is handling.
    pub(crate) current_client: Option<ClientKey>,
    /// The shared buffer for reads from sockets.
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

    /// Schedules a timer.
    pub(crate) fn schedule_timer(&mut self, due: Timestamp, timer: Timer) {
        self.timers.schedule(due, timer);
    }

    /// Abandons the request of a client that has disconnected: it gets no response and no further attempt.
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

    // Gateways on sockets do not know each other's addresses. The start-up configuration therefore disables the
    // policy's peer messages, and these three methods are never called.
    fn broadcast_usage(&mut self, _: &[UsageUpdate]) -> usize {
        0
    }
    fn ask_peer(&mut self, _: u32, _: u16, _: &QuotaRequest) {}
    fn answer_peer(&mut self, _: u32, _: u16, _: QuotaDecision) {}

    fn set_timer(&mut self, token: &str, after: Duration) {
        self.schedule_timer(self.now() + after, Timer::Policy(token.to_owned()));
    }
}
