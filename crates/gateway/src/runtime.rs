//! The socket side of a gateway: its connections and timers, and the policy's orders carried out
//! on them. What happens here reaches the policy as events, in order, and never inside one of its orders.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::command::{self, RequestKey, Requests, State};
use crate::counter::Counter;
use crate::poll::{ClientKey, Clock, ConnectionKey, Poller};
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
pub enum Event {
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
pub struct AttemptEnded {
    pub request: RequestKey,
    pub backend: Rc<str>,
    pub outcome: AttemptOutcome,
    pub is_final: bool,
    pub elapsed: Duration,
    pub actual_units: Option<f64>,
}

#[derive(Debug)]
pub enum Timer {
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
pub enum Phase {
    Starting,
    Serving,
    /// Told to end: serving on for those who have not heard of it.
    Leaving,
    /// Each connection ends with its next answer.
    Closing,
}

pub struct Runtime {
    pub clock: Clock,
    /// The time that everything in hand is held to happen at. Read off the clock once for each event and
    /// timer: a request takes microseconds, and reading it at every step was a part of its cost.
    pub at: Timestamp,
    pub poll: Poller,
    pub timers: TimerWheel<Timer>,
    pub events: VecDeque<Event>,
    pub config: Rc<GatewayConfig>,
    pub carriage: Carriage,
    pub phase: Phase,
    pub clients: Clients,
    pub commands: Requests,
    pub backends: Backends,
    pub counter: Counter,
    /// Whose request the policy is being told of.
    pub in_hand: Option<ClientKey>,
    /// What a read lands in.
    pub scratch: Vec<u8>,
}

impl Runtime {
    pub fn now(&self) -> Timestamp {
        self.at
    }

    pub fn read_clock(&mut self) -> Timestamp {
        self.at = self.clock.now();
        self.at
    }

    pub fn wake_at(&mut self, due: Timestamp, timer: Timer) {
        self.timers.schedule(due, timer);
    }

    /// A client has gone: nothing is answered, and an attempt that is out only ends.
    pub fn left(&mut self, key: RequestKey) {
        let Some(command) = self.commands.get(key) else { return };
        let out = command.state() == State::InFlight;
        self.commands.set_state(key, if out { State::Abandoned } else { State::Finished });
    }
}

impl Host for Runtime {
    fn send_attempt(&mut self, command: &str, backend: &str, allow: Duration) {
        if let Some(key) = command::key(command) {
            self.begin_attempt(key, backend, allow);
        }
    }

    fn reject(&mut self, command: &str, retry_in: Option<Duration>) {
        if let Some(key) = command::key(command) {
            self.give_up(key, true, retry_in);
        }
    }

    fn fail(&mut self, command: &str) {
        if let Some(key) = command::key(command) {
            self.give_up(key, false, None);
        }
    }

    fn add_to_counter(&mut self, name: &str, amount: f64, keep: Duration) {
        self.call(name, amount, keep);
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
