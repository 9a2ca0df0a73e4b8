//! The socket side of a gateway: its connections and timers, and the policy's orders carried out
//! on them. What happens here reaches the policy as events, in order, and never inside one of its orders.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::poll::{ClientKey, Clock, ConnectionKey, Poller};
use crate::request::{self, RequestKey, Requests, State};
use crate::timer_wheel::TimerWheel;
use kitepass_gateway_config::Carriage;
use kitepass_gateway_policy::{
    AttemptOutcome, GatewayConfig, Host, QuotaDecision, QuotaRequest, Reading, UsageUpdate,
};
use kitepass_time::{Duration, Timestamp};
use std::collections::VecDeque;
use std::rc::Rc;

/// What the policy is to be told.
#[derive(Debug)]
pub(crate) enum Event {
    RequestArrived(RequestKey),
    ClientDisconnected(RequestKey),
    AttemptEnded(AttemptEnded),
    CounterAnswered {
        name: String,
        total: Reading,
    },
    /// Not the policy's: a client's next request may stand in its input already.
    Pipelined(ClientKey),
}

#[derive(Debug)]
pub(crate) struct AttemptEnded {
    pub(crate) request: RequestKey,
    pub(crate) backend: Rc<str>,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) is_final: bool,
    pub(crate) elapsed: Duration,
    pub(crate) actual_units: Option<f64>,
}

#[derive(Debug)]
pub(crate) enum Timer {
    Policy(String),
    Attempt(ConnectionKey),
    CounterCalls,
    Linger(ClientKey),
    AcceptClients,
    DropIdleConnections,
    Watch,
    /// The list that the start came with will do.
    UseInitialList,
    StopAccepting,
    SweepClients,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Starting,
    Serving,
    /// Told to end: serving on for those who have not heard of it.
    ShuttingDown,
    /// Each connection ends with its next answer.
    Closing,
}

pub(crate) struct Runtime {
    pub(crate) clock: Clock,
    /// The time that everything in hand is held to happen at. Read off the clock once for each event and
    /// timer: a request takes microseconds, and reading it at every step was a part of its cost.
    pub(crate) event_time: Timestamp,
    pub(crate) poll: Poller,
    pub(crate) timers: TimerWheel<Timer>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) config: Rc<GatewayConfig>,
    pub(crate) carriage: Carriage,
    pub(crate) phase: Phase,
    pub(crate) clients: Clients,
    pub(crate) requests: Requests,
    pub(crate) backends: Backends,
    pub(crate) counter: Counter,
    /// Whose request the policy is being told of.
    pub(crate) current_client: Option<ClientKey>,
    /// What a read lands in.
    pub(crate) scratch: Vec<u8>,
}

impl Runtime {
    pub(crate) fn now(&self) -> Timestamp {
        self.event_time
    }

    pub(crate) fn read_clock(&mut self) -> Timestamp {
        self.event_time = self.clock.now();
        self.event_time
    }

    pub(crate) fn wake_at(&mut self, due: Timestamp, timer: Timer) {
        self.timers.schedule(due, timer);
    }

    /// A client has gone: nothing is answered, and an attempt that is out only ends.
    pub(crate) fn client_left(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else { return };
        let has_attempt = request.state() == State::InFlight;
        self.requests.set_state(key, if has_attempt { State::Abandoned } else { State::Finished });
    }
}

impl Host for Runtime {
    fn send_attempt(&mut self, request: &str, backend: &str, timeout: Duration) {
        if let Some(key) = request::key(request) {
            self.begin_attempt(key, backend, timeout);
        }
    }

    fn reject(&mut self, request: &str, retry_in: Option<Duration>) {
        if let Some(key) = request::key(request) {
            self.answer_failure(key, true, retry_in);
        }
    }

    fn fail(&mut self, request: &str) {
        if let Some(key) = request::key(request) {
            self.answer_failure(key, false, None);
        }
    }

    fn add_to_counter(&mut self, name: &str, amount: f64, keep: Duration) {
        self.call_counter(name, amount, keep);
    }

    // Gateways on sockets are not told each other's addresses, so start-up leaves the policy no peers to
    // talk to, and it never gives these three orders.
    fn broadcast_usage(&mut self, _: &[UsageUpdate]) -> usize {
        0
    }
    fn ask_peer(&mut self, _: u32, _: u16, _: &QuotaRequest) {}
    fn answer_peer(&mut self, _: u32, _: u16, _: QuotaDecision) {}

    fn set_timer(&mut self, token: &str, after: Duration) {
        self.wake_at(self.now() + after, Timer::Policy(token.to_owned()));
    }
}
