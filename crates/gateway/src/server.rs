//! The event loop: handles sockets that are ready and timers that are due, and tells the policy what has
//! happened.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::control::{Control, ControlMessage, ControlReceiver};
use crate::counter::Counter;
use crate::discovery::Watch;
use crate::poll::{self, Clock, Poller, ReadyEvent, Source};
use crate::request::{self, Requests};
use crate::runtime::{Event, Phase, Runtime, Timer};
use crate::startup::{Launch, INITIAL_LIST_TIMEOUT};
use crate::timer_wheel::TimerWheel;
use kitepass_gateway_policy::{AttemptEnd, Gateway, IncomingRequest};
use log::{error, info};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::rc::Rc;

/// Descriptors for everything but clients and backends: standard streams, epoll, the listener, signals,
/// discovery, the counter, and some in reserve.
const RESERVED_SOCKETS: usize = 24;

/// A listening gateway, to be run on one thread.
pub struct Server {
    policy: Gateway,
    pub(crate) runtime: Runtime,
    pub(crate) watch: Watch,
    control_receiver: ControlReceiver,
    /// The file that the configuration came from.
    pub(crate) origin: Option<PathBuf>,
}

impl Server {
    /// Opens the listener, connects to discovery, and sets the first timers.
    ///
    /// # Errors
    /// Names the socket that could not be opened, and why.
    pub fn open(launch: Launch) -> Result<Server, String> {
        let clock = Clock::new();
        let now = clock.now();
        let config = Rc::new(launch.config);
        let mut policy = Gateway::open(config.clone(), launch.seed, now);
        let failed = |what: &str| {
            let what = what.to_owned();
            move |error: rustix::io::Errno| format!("{what}: {error}")
        };
        let poll = Poller::new().map_err(failed("epoll"))?;
        let listener = poll::listen(&launch.listen).map_err(failed(&format!("listen {}", launch.listen)))?;
        poll.add(&listener, Source::Listener).map_err(failed("listen"))?;
        let control_receiver = ControlReceiver::open().map_err(|error| format!("control: {error}"))?;
        poll.add(control_receiver.socket(), Source::Control).map_err(failed("control"))?;
        // A request holds a client's connection and at most one to a backend. Clients get no more than a
        // third of the descriptors: what balances them over gateways counts idle connections as well, and
        // opens no further one for a request at that number. A few more are accepted to be answered that
        // there are too many.
        let (max_backend_connections, max_clients) =
            ((launch.sockets - RESERVED_SOCKETS) / 2, launch.sockets / 3);
        let reject_margin = launch.sockets / 32;
        let mut runtime = Runtime {
            clock,
            event_time: now,
            poll,
            timers: TimerWheel::new(now),
            events: VecDeque::new(),
            config,
            connection_settings: launch.connection_settings,
            phase: Phase::Starting,
            clients: Clients::new(listener, max_clients - reject_margin, max_clients - 1),
            requests: Requests::default(),
            backends: Backends::new(max_backend_connections),
            counter: Counter::new(launch.addresses.counter),
            current_client: None,
            scratch: vec![0; 1 << 16],
        };
        let watch = Watch::new(launch.addresses.discovery, &launch.known, &mut policy, &mut runtime);
        runtime.drop_idle_connections();
        runtime.sweep_clients();
        runtime.wake_at(now + INITIAL_LIST_TIMEOUT, Timer::UseInitialList);
        info!("{} listens on {}", launch.name, launch.listen);
        Ok(Server { policy, runtime, watch, control_receiver, origin: launch.origin })
    }

    /// Registers signal handlers: SIGTERM and SIGINT shut the gateway down, SIGHUP reloads its configuration.
    ///
    /// # Errors
    /// A handler cannot be registered.
    pub fn register_signals(&self) -> Result<(), String> {
        self.control_receiver.register_signals().map_err(|error| format!("signals: {error}"))
    }

    /// A sender of messages to this gateway while it runs.
    pub fn control(&self) -> Control {
        self.control_receiver.control()
    }

    /// Serves until it has been told to end and has answered all requests that it accepted.
    ///
    /// # Errors
    /// The poller failed.
    pub fn run(mut self) -> Result<(), String> {
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while !self.is_done() {
            let now = self.runtime.read_clock();
            let time = self.runtime.timers.next_deadline().map(|next| next - now);
            self.runtime.poll.wait(time, &mut ready).map_err(|error| format!("epoll: {error}"))?;
            for ready in ready.drain(..) {
                self.catch_panics(Some(ready.source), |server| server.ready(ready));
            }
            let now = self.runtime.read_clock();
            self.runtime.timers.take_due(now, &mut due);
            for timer in due.drain(..) {
                self.catch_panics(None, |server| server.due(timer));
            }
        }
        info!("ended");
        Ok(())
    }

    /// Whether the shutdown is complete.
    fn is_done(&self) -> bool {
        self.runtime.phase == Phase::Closing
            && self.runtime.clients.is_empty()
            && self.runtime.requests.is_empty()
    }

    /// Handles one event or timer. A panic closes the client's connection that caused it, and nothing else.
    fn catch_panics(&mut self, source: Option<Source>, work: impl FnOnce(&mut Server)) {
        self.runtime.read_clock();
        let result = catch_unwind(AssertUnwindSafe(|| {
            work(self);
            self.deliver_events();
        }));
        if result.is_err() {
            error!("a panic at {source:?}");
            let of_source = if let Some(Source::Client(key)) = source { Some(key) } else { None };
            for key in [of_source, self.runtime.current_client.take()].into_iter().flatten() {
                self.runtime.client_disconnected(key);
            }
        }
    }

    /// Serves a socket that has become ready.
    fn ready(&mut self, ready: ReadyEvent) {
        match ready.source {
            Source::Listener => self.runtime.accept_clients(),
            Source::Control => self.handle_control(),
            Source::Counter(number) => self.runtime.counter_ready(ready, number),
            Source::Watch(number) => self.watch.ready(ready, number, &mut self.policy, &mut self.runtime),
            Source::Client(key) => self.runtime.client_ready(ready, key),
            Source::BackendConnection(key) => self.runtime.backend_ready(ready, key),
        }
    }

    /// Handles the messages that have come from signals and other threads.
    fn handle_control(&mut self) {
        for message in self.control_receiver.take_messages(&mut self.runtime.scratch) {
            match message {
                ControlMessage::End => self.runtime.begin_shutdown(),
                ControlMessage::UpdateAddresses(addresses) => self.update_addresses(addresses),
                ControlMessage::Reload => self.reload(),
            }
        }
    }

    /// Handles a timer that is due.
    fn due(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.policy.timer_fired(self.runtime.now(), &token, &mut self.runtime),
            Timer::Attempt(key) => self.runtime.attempt_timed_out(key),
            Timer::CounterCalls => self.runtime.expire_counter_calls(),
            Timer::Linger(key) => self.runtime.client_disconnected(key),
            Timer::AcceptClients => self.runtime.accept_clients(),
            Timer::DropIdleConnections => self.runtime.drop_idle_connections(),
            Timer::Watch => self.watch.maintain(&mut self.runtime),
            Timer::UseInitialList => self.runtime.use_initial_list(),
            Timer::StopAccepting => self.runtime.stop_accepting(),
            Timer::SweepClients => self.runtime.sweep_clients(),
        }
    }

    /// Tells the policy what has happened, until its reactions cause no further events.
    fn deliver_events(&mut self) {
        let (policy, runtime) = (&mut self.policy, &mut self.runtime);
        while let Some(event) = runtime.events.pop_front() {
            let now = runtime.now();
            match event {
                Event::RequestArrived(key) => {
                    let Some(request) = runtime.requests.get(key) else { continue };
                    let (head, deadline) = (request.head.clone(), request.deadline);
                    runtime.current_client = Some(request.client);
                    let incoming = IncomingRequest {
                        id: &request::id(key),
                        tenant: &head.customer,
                        workload: head.workload(),
                        plan: &head.plan,
                        deadline,
                        units: head.units,
                        gateways: head.width,
                        first_gateway: head.first,
                    };
                    policy.request_arrived(now, &incoming, runtime);
                }
                Event::ClientDisconnected(key) => {
                    runtime.client_left(key);
                    policy.client_disconnected(&request::id(key));
                }
                Event::AttemptEnded(ended) => {
                    runtime.current_client =
                        runtime.requests.get(ended.request).map(|request| request.client);
                    let end = AttemptEnd {
                        request_id: &request::id(ended.request),
                        backend: &ended.backend,
                        outcome: ended.outcome,
                        is_final: ended.is_final,
                        elapsed: ended.elapsed,
                        actual_units: ended.actual_units,
                    };
                    policy.attempt_ended(now, &end, runtime);
                }
                Event::CounterAnswered { name, total } => policy.counter_answered(now, &name, total, runtime),
                Event::Pipelined(client) => runtime.next_request(client),
            }
            runtime.current_client = None;
        }
    }
}
