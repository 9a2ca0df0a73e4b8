//! The loop: what is ready or due is handled, and what came of it is told to the decision module.

use crate::backends::Backends;
use crate::clients::Clients;
use crate::command::{self, Commands};
use crate::control::{Control, Ear, Word};
use crate::counter::Counter;
use crate::discovery::Watch;
use crate::poll::{self, Clock, Poller, ReadyEvent, Source};
use crate::runtime::{Event, Floor, Phase, Timer};
use crate::startup::{Launch, SILENCE};
use crate::timer_wheel::TimerWheel;
use kitepass_gateway_policy::{AttemptEnd, Gateway, IncomingRequest};
use log::{error, info};
use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::rc::Rc;

/// Descriptors for everything but clients and backends: standard streams, epoll, the listener, signals,
/// discovery, the counter, and some to spare.
const OTHERS: usize = 24;

/// A gateway that listens, to be run on one thread.
pub struct Server {
    module: Gateway,
    pub(crate) floor: Floor,
    pub(crate) watch: Watch,
    ear: Ear,
    pub(crate) origin: Option<PathBuf>,
}

impl Server {
    pub fn open(launch: Launch) -> Result<Server, String> {
        let clock = Clock::new();
        let now = clock.now();
        let config = Rc::new(launch.config);
        let mut module = Gateway::open(config.clone(), launch.seed, now);
        let failed = |what: &str| {
            let what = what.to_owned();
            move |error: rustix::io::Errno| format!("{what}: {error}")
        };
        let poll = Poller::new().map_err(failed("epoll"))?;
        let listener = poll::listen(&launch.listen).map_err(failed(&format!("listen {}", launch.listen)))?;
        poll.add(&listener, Source::Listener).map_err(failed("listen"))?;
        let ear = Ear::open().map_err(|error| format!("control: {error}"))?;
        poll.add(ear.socket(), Source::Control).map_err(failed("control"))?;
        // A command holds a client's connection and at most one to a backend. Clients have no more than a third:
        // who brings them in counts those at rest as well, and opens no other for a command once they are so many.
        // Some more are let in to be told that there is no room.
        let (lines, places) = ((launch.sockets - OTHERS) / 2, launch.sockets / 3);
        let spare = launch.sockets / 32;
        let mut floor = Floor {
            clock,
            at: now,
            poll,
            timers: TimerWheel::new(now),
            events: VecDeque::new(),
            config,
            carriage: launch.carriage,
            phase: Phase::Starting,
            clients: Clients::new(listener, places - spare, places - 1),
            commands: Commands::default(),
            backends: Backends::new(lines),
            counter: Counter::new(launch.addresses.counter),
            in_hand: None,
            scratch: vec![0; 1 << 16],
        };
        let watch = Watch::new(launch.addresses.discovery, &launch.known, &mut module, &mut floor);
        floor.drop_idle_lines();
        floor.look_after_clients();
        floor.wake_at(now + SILENCE, Timer::ReadyEvent);
        info!("{} listens on {}", launch.name, launch.listen);
        Ok(Server { module, floor, watch, ear, origin: launch.origin })
    }

    /// SIGTERM and SIGINT end it, SIGHUP has it read its configuration again.
    pub fn heed_signals(&self) -> Result<(), String> {
        self.ear.heed_signals().map_err(|error| format!("signals: {error}"))
    }

    /// Tells it what to do while it runs.
    pub fn control(&self) -> Control {
        self.ear.control()
    }

    /// Serves until it has been told to end and has answered all that it took.
    pub fn run(mut self) -> Result<(), String> {
        let (mut ready, mut due) = (Vec::new(), Vec::new());
        while !self.is_done() {
            let now = self.floor.read_clock();
            let time = self.floor.timers.next().map(|next| next - now);
            self.floor.poll.wait(time, &mut ready).map_err(|error| format!("epoll: {error}"))?;
            for ready in ready.drain(..) {
                self.guarded(Some(ready.source), |server| server.ready(ready));
            }
            let now = self.floor.read_clock();
            self.floor.timers.due(now, &mut due);
            for timer in due.drain(..) {
                self.guarded(None, |server| server.due(timer));
            }
        }
        info!("ended");
        Ok(())
    }

    fn is_done(&self) -> bool {
        self.floor.phase == Phase::Closing && self.floor.clients.is_empty() && self.floor.commands.is_empty()
    }

    /// A panic ends the connection that brought it about, and nothing else.
    fn guarded(&mut self, source: Option<Source>, work: impl FnOnce(&mut Server)) {
        self.floor.read_clock();
        let worked = catch_unwind(AssertUnwindSafe(|| {
            work(self);
            self.tell();
        }));
        if worked.is_err() {
            error!("a panic at {source:?}");
            let of_source = if let Some(Source::Client(key)) = source { Some(key) } else { None };
            for key in [of_source, self.floor.in_hand.take()].into_iter().flatten() {
                self.floor.client_gone(key);
            }
        }
    }

    fn ready(&mut self, ready: ReadyEvent) {
        match ready.source {
            Source::Listener => self.floor.let_in(),
            Source::Control => self.heard(),
            Source::Counter(number) => self.floor.counter_ready(ready, number),
            Source::Watch(number) => self.watch.ready(ready, number, &mut self.module, &mut self.floor),
            Source::Client(key) => self.floor.client_ready(ready, key),
            Source::Line(key) => self.floor.line_ready(ready, key),
        }
    }

    fn heard(&mut self) {
        for word in self.ear.heard(&mut self.floor.scratch) {
            match word {
                Word::End => self.floor.told_to_end(),
                Word::TakeUp(addresses) => self.take_up(addresses),
                Word::ReadAgain => self.read_again(),
            }
        }
    }

    fn due(&mut self, timer: Timer) {
        match timer {
            Timer::Module(token) => self.module.timer_fired(self.floor.now(), &token, &mut self.floor),
            Timer::Leg(key) => self.floor.leg_due(key),
            Timer::Calls => self.floor.calls_due(),
            Timer::Linger(key) => self.floor.client_gone(key),
            Timer::LetIn => self.floor.let_in(),
            Timer::DropIdleLines => self.floor.drop_idle_lines(),
            Timer::Watch => self.watch.look_after(&mut self.floor),
            Timer::ReadyEvent => self.floor.do_with_known(),
            Timer::StopLettingIn => self.floor.close_down(),
            Timer::LookAfterClients => self.floor.look_after_clients(),
        }
    }

    /// Tells the module what has happened, until its orders bring about nothing more.
    fn tell(&mut self) {
        let (module, floor) = (&mut self.module, &mut self.floor);
        while let Some(event) = floor.events.pop_front() {
            let now = floor.now();
            match event {
                Event::Taken(key) => {
                    let Some(command) = floor.commands.get(key) else { continue };
                    let (intake, outer_limit) = (command.intake.clone(), command.outer_limit);
                    floor.in_hand = Some(command.client);
                    let asked = IncomingRequest {
                        id: &command::id(key),
                        tenant: &intake.customer,
                        workload: intake.workload(),
                        plan: &intake.plan,
                        deadline: outer_limit,
                        units: intake.units,
                        gateways: intake.width,
                        first_gateway: intake.first,
                    };
                    module.request_arrived(now, &asked, floor);
                }
                Event::Left(key) => {
                    floor.left(key);
                    module.client_disconnected(&command::id(key));
                }
                Event::LegEnded(ended) => {
                    floor.in_hand = floor.commands.get(ended.command).map(|command| command.client);
                    let end = AttemptEnd {
                        request_id: &command::id(ended.command),
                        backend: &ended.backend,
                        outcome: ended.ending,
                        is_final: ended.over,
                        elapsed: ended.took,
                        actual_units: ended.true_units,
                    };
                    module.attempt_ended(now, &end, floor);
                }
                Event::Counted { name, total } => module.counter_answered(now, &name, total, floor),
                Event::Pipelined(client) => floor.next_command(client),
            }
            floor.in_hand = None;
        }
    }
}
