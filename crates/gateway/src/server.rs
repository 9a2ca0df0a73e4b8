//! The event loop: handles ready sockets and expired timers, and passes the resulting events to the policy.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::control::{Control, ControlMessage, ControlReceiver};
use crate::counter::Counter;
use crate::discovery::Watch;
use crate::poll::{self, Clock, Poller, ReadyEvent, Source};
use crate::request::{self, Requests};
use crate::runtime::{Event, Phase, Runtime, Timer};
use crate::startup::{StartupConfig, INITIAL_LIST_TIMEOUT};
use crate::timer_wheel::TimerWheel;
use kitepass_gateway_policy::{AttemptEnd, Gateway, IncomingRequest};
use log::{error, info};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::rc::Rc;

/// The number of file descriptors set aside for everything but client and backend connections: standard streams,
/// epoll, the listener, the control socket, discovery, the counter service, and a reserve.
const RESERVED_DESCRIPTORS: usize = 24;

/// A listening gateway. It must run on the thread that opened it.
pub struct Server {
    policy: Gateway,
    pub(crate) runtime: Runtime,
    pub(crate) watch: Watch,
    control_receiver: ControlReceiver,
    /// The file that the configuration was read from.
    pub(crate) config_path: Option<PathBuf>,
}

impl Server {
    /// Opens the listener, starts to connect to discovery, and schedules the first timers.
    ///
    /// # Errors
    /// Names what could not be opened or registered, and the reason.
    pub fn open(startup: StartupConfig) -> Result<Server, String> {
        let clock = Clock::new();
        let now = clock.now();
        let config = Rc::new(startup.config);
        let mut policy = Gateway::open(config.clone(), startup.seed, now);
        let with_context = |context: &str| {
            let context = context.to_owned();
            move |error: rustix::io::Errno| format!("{context}: {error}")
        };
        let poller = Poller::new().map_err(with_context("epoll"))?;
        let listener =
            poll::listen(&startup.listen).map_err(with_context(&format!("listen {}", startup.listen)))?;
        poller.add(&listener, Source::Listener).map_err(with_context("listen"))?;
        let control_receiver = ControlReceiver::open().map_err(|error| format!("control: {error}"))?;
        poller.add(control_receiver.socket(), Source::Control).map_err(with_context("control"))?;
        // A request uses one client connection and at most one backend connection. Client connections use at most
        // a third of the descriptors, because the load balancer in front of the gateways counts idle connections
        // too, and opens no further connections to a gateway that has this many. Requests are served on slightly
        // fewer connections, so that requests on the remaining ones can be rejected with a response.
        let (max_backend_connections, max_clients) =
            ((startup.max_descriptors - RESERVED_DESCRIPTORS) / 2, startup.max_descriptors / 3);
        let reject_margin = startup.max_descriptors / 32;
        let mut runtime = Runtime {
            clock,
            event_time: now,
            poller,
            timers: TimerWheel::new(now),
            events: VecDeque::new(),
            config,
            connection_settings: startup.connection_settings,
            phase: Phase::Starting,
            clients: Clients::new(listener, max_clients - reject_margin, max_clients - 1),
            requests: Requests::default(),
            backends: Backends::new(max_backend_connections),
            counter: Counter::new(startup.addresses.counter),
            current_client: None,
            read_buffer: vec![0; 1 << 16],
        };
        let watch =
            Watch::new(startup.addresses.discovery, &startup.initial_backends, &mut policy, &mut runtime);
        runtime.drop_idle_connections();
        runtime.sweep_clients();
        runtime.schedule_timer(now + INITIAL_LIST_TIMEOUT, Timer::UseInitialList);
        info!("{} is listening on {}", startup.name, startup.listen);
        Ok(Server { policy, runtime, watch, control_receiver, config_path: startup.config_path })
    }

    /// Registers signal handlers: SIGTERM and SIGINT shut the gateway down, SIGHUP reloads its configuration.
    ///
    /// # Errors
    /// A signal handler cannot be registered.
    pub fn register_signals(&self) -> Result<(), String> {
        self.control_receiver.register_signals().map_err(|error| format!("signals: {error}"))
    }

    /// Returns a handle that other threads use to send control messages to this gateway.
    pub fn control(&self) -> Control {
        self.control_receiver.control()
    }

    /// Runs the event loop until a shutdown was requested, all client connections are closed and all requests have
    /// ended.
    ///
    /// # Errors
    /// Waiting for events failed.
    pub fn run(mut self) -> Result<(), String> {
        let (mut ready_events, mut due_timers) = (Vec::new(), Vec::new());
        while !self.is_done() {
            let now = self.runtime.read_clock();
            let timeout = self.runtime.timers.next_deadline().map(|deadline| deadline - now);
            self.runtime
                .poller
                .wait(timeout, &mut ready_events)
                .map_err(|error| format!("epoll: {error}"))?;
            for ready in ready_events.drain(..) {
                self.catch_panics(Some(ready.source), |server| server.handle_ready(ready));
            }
            let now = self.runtime.read_clock();
            self.runtime.timers.take_due(now, &mut due_timers);
            for timer in due_timers.drain(..) {
                self.catch_panics(None, |server| server.handle_timer(timer));
            }
        }
        info!("ended");
        Ok(())
    }

    /// Whether a shutdown has been completed.
    fn is_done(&self) -> bool {
        self.runtime.phase == Phase::Closing
            && self.runtime.clients.is_empty()
            && self.runtime.requests.is_empty()
    }

    /// Handles one event or timer, and passes the resulting events to the policy. If that panics, the gateway keeps
    /// running: only the client connection that was the source of the event, and the one whose request the policy was
    /// handling, are closed.
    fn catch_panics(&mut self, source: Option<Source>, handle_event: impl FnOnce(&mut Server)) {
        self.runtime.read_clock();
        let result = catch_unwind(AssertUnwindSafe(|| {
            handle_event(self);
            self.deliver_events();
        }));
        if result.is_err() {
            error!("panic while handling an event; source: {source:?}");
            let source_client = if let Some(Source::Client(key)) = source { Some(key) } else { None };
            for key in [source_client, self.runtime.current_client.take()].into_iter().flatten() {
                self.runtime.client_disconnected(key);
            }
        }
    }

    /// Dispatches the event of a ready socket.
    fn handle_ready(&mut self, ready: ReadyEvent) {
        match ready.source {
            Source::Listener => self.runtime.accept_clients(),
            Source::Control => self.handle_control(),
            Source::Counter(id) => self.runtime.counter_ready(ready, id),
            Source::Watch(id) => self.watch.handle_ready(ready, id, &mut self.policy, &mut self.runtime),
            Source::Client(key) => self.runtime.client_ready(ready, key),
            Source::BackendConnection(key) => self.runtime.backend_ready(ready, key),
        }
    }

    /// Handles pending control messages from signals and other threads.
    fn handle_control(&mut self) {
        for message in self.control_receiver.take_messages(&mut self.runtime.read_buffer) {
            match message {
                ControlMessage::Shutdown => self.runtime.start_shutdown(),
                ControlMessage::UpdateAddresses(addresses) => self.update_addresses(addresses),
                ControlMessage::Reload => self.reload(),
            }
        }
    }

    /// Handles an expired timer.
    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.policy.timer_fired(self.runtime.now(), &token, &mut self.runtime),
            Timer::Attempt(key) => self.runtime.attempt_timed_out(key),
            Timer::CounterCalls => self.runtime.expire_counter_calls(),
            Timer::Linger(key) => self.runtime.client_disconnected(key),
            Timer::AcceptClients => self.runtime.accept_clients(),
            Timer::DropIdleConnections => self.runtime.drop_idle_connections(),
            Timer::Watch => self.watch.check_connections(&mut self.runtime),
            Timer::UseInitialList => self.runtime.use_initial_list(),
            Timer::StopAccepting => self.runtime.stop_accepting(),
            Timer::SweepClients => self.runtime.sweep_clients(),
        }
    }

    /// Passes queued events to the policy, including those that its decisions cause, until the queue is empty.
    fn deliver_events(&mut self) {
        let (policy, runtime) = (&mut self.policy, &mut self.runtime);
        while let Some(event) = runtime.events.pop_front() {
            let now = runtime.now();
            match event {
                Event::RequestArrived(key) => {
                    let Some(request) = runtime.requests.get(key) else { continue };
                    let (parsed, deadline) = (request.parsed.clone(), request.deadline);
                    runtime.current_client = Some(request.client);
                    let incoming = IncomingRequest {
                        id: &request::id_from_key(key),
                        tenant: &parsed.tenant,
                        workload: parsed.workload(),
                        plan: &parsed.plan,
                        deadline,
                        units: parsed.units,
                        gateways: parsed.gateways,
                        first_gateway: parsed.first_gateway,
                    };
                    policy.request_arrived(now, &incoming, runtime);
                }
                Event::ClientDisconnected(key) => {
                    runtime.abandon_request(key);
                    policy.client_disconnected(&request::id_from_key(key));
                }
                Event::AttemptEnded(ended) => {
                    runtime.current_client =
                        runtime.requests.get(ended.request).map(|request| request.client);
                    let end = AttemptEnd {
                        request_id: &request::id_from_key(ended.request),
                        backend: &ended.backend,
                        outcome: ended.outcome,
                        is_final: ended.is_final,
                        elapsed: ended.elapsed,
                        actual_units: ended.actual_units,
                    };
                    policy.attempt_ended(now, &end, runtime);
                }
                Event::CounterAnswered { name, total } => policy.counter_answered(now, &name, total, runtime),
                Event::Pipelined(client) => runtime.process_next_request(client),
            }
            runtime.current_client = None;
        }
    }
}
