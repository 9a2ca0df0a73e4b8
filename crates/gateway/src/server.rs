//! The loop: what is ready or due is handled, and what came of it is told to the policy.

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
/// discovery, the counter, and some to spare.
const RESERVED_SOCKETS: usize = 24;

/// A gateway that listens, to be run on one thread.
pub struct Server {
    policy: Gateway,
    pub(crate) runtime: Runtime,
    pub(crate) watch: Watch,
    control_receiver: ControlReceiver,
    pub(crate) origin: Option<PathBuf>,
}

impl Server {
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
        // A request holds a client's connection and at most one to a backend. Clients have no more than a third:
        // who brings them in counts those at rest as well, and opens no other for a request once they are so many.
        // Some more are let in to be told that there is no room.
        let (max_backend_connections, max_clients) =
            ((launch.sockets - RESERVED_SOCKETS) / 2, launch.sockets / 3);
        let spare = launch.sockets / 32;
        let mut runtime = Runtime {
            clock,
            event_time: now,
            poll,
            timers: TimerWheel::new(now),
            events: VecDeque::new(),
            config,
            carriage: launch.carriage,
            phase: Phase::Starting,
            clients: Clients::new(listener, max_clients - spare, max_clients - 1),
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

    /// SIGTERM and SIGINT end it, SIGHUP has it read its configuration again.
    pub fn heed_signals(&self) -> Result<(), String> {
        self.control_receiver.heed_signals().map_err(|error| format!("signals: {error}"))
    }

    /// Tells it what to do while it runs.
    pub fn control(&self) -> Control {
        self.control_receiver.control()
    }

    /// Serves until it has been told to end and has answered all that it took.
    pub fn run(mut self) -> Result<(), String> {
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while !self.is_done() {
            let now = self.runtime.read_clock();
            let time = self.runtime.timers.next_deadline().map(|next| next - now);
            self.runtime.poll.wait(time, &mut ready).map_err(|error| format!("epoll: {error}"))?;
            for ready in ready.drain(..) {
                self.guarded(Some(ready.source), |server| server.ready(ready));
            }
            let now = self.runtime.read_clock();
            self.runtime.timers.take_due(now, &mut due);
            for timer in due.drain(..) {
                self.guarded(None, |server| server.due(timer));
            }
        }
        info!("ended");
        Ok(())
    }

    fn is_done(&self) -> bool {
        self.runtime.phase == Phase::Closing
            && self.runtime.clients.is_empty()
            && self.runtime.requests.is_empty()
    }

    /// A panic ends the connection that brought it about, and nothing else.
    fn guarded(&mut self, source: Option<Source>, work: impl FnOnce(&mut Server)) {
        self.runtime.read_clock();
        let worked = catch_unwind(AssertUnwindSafe(|| {
            work(self);
            self.deliver_events();
        }));
        if worked.is_err() {
            error!("a panic at {source:?}");
            let of_source = if let Some(Source::Client(key)) = source { Some(key) } else { None };
            for key in [of_source, self.runtime.current_client.take()].into_iter().flatten() {
                self.runtime.client_disconnected(key);
            }
        }
    }

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

    fn handle_control(&mut self) {
        for message in self.control_receiver.take_messages(&mut self.runtime.scratch) {
            match message {
                ControlMessage::End => self.runtime.begin_shutdown(),
                ControlMessage::UpdateAddresses(addresses) => self.take_up(addresses),
                ControlMessage::Reload => self.reload(),
            }
        }
    }

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

    /// Tells the policy what has happened, until its orders bring about nothing more.
    fn deliver_events(&mut self) {
        let (policy, runtime) = (&mut self.policy, &mut self.runtime);
        while let Some(event) = runtime.events.pop_front() {
            let now = runtime.now();
            match event {
                Event::RequestArrived(key) => {
                    let Some(request) = runtime.requests.get(key) else { continue };
                    let (head, deadline) = (request.head.clone(), request.deadline);
                    runtime.current_client = Some(request.client);
                    let asked = IncomingRequest {
                        id: &request::id(key),
                        tenant: &head.customer,
                        workload: head.workload(),
                        plan: &head.plan,
                        deadline,
                        units: head.units,
                        gateways: head.width,
                        first_gateway: head.first,
                    };
                    policy.request_arrived(now, &asked, runtime);
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
                Event::Pipelined(client) => runtime.next_command(client),
            }
            runtime.current_client = None;
        }
    }
}
