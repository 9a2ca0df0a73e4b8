//! Requests, connections and backends around the lifecycle, explored in all orders. Backends count what they execute,
//! also on connections that the gateway has closed; clients count what they receive.

use crate::backend_responses::{Piece, ResponseKind, RESPONSES};
use crate::world::{Client, Connection, Request, Work, World, REQUEST_PARTS};
use kitepass_data_plane::attempt::{InputState, RequestLifecycle, RequestState};
use rstest::rstest;
use stateright::{Checker, Model, Property};

/// Steps from the start that are explored where one request comes after the other. The variable [`EXTRA_DEPTH`] adds
/// to them, for the long form.
const DEPTH: usize = 16;
/// Steps from the start that are explored where both requests come together.
const CONCURRENT_DEPTH: usize = 12;
/// The variable that adds to the depth.
const EXTRA_DEPTH: &str = "LEG_DEPTH";
const MAX_ATTEMPTS: u32 = 2;
/// Responses that a backend sends on a connection at most.
const MAX_RESPONSES: usize = 2;
/// Names a request that none of the clients made.
const UNKNOWN_REQUEST: u8 = 9;

/// What may happen next. Requests and connections are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    RequestComes(usize),
    /// The rest of a request's body comes.
    BodyCompletes(usize),
    /// An attempt begins, over an idle connection or a new one.
    AttemptBegins(usize, Option<usize>),
    /// No backend can take the request, or the retry budget is spent.
    NoBackend(usize),
    Established(usize),
    Unreachable(usize),
    /// So many parts of the request are written.
    PartsWritten(usize, u8),
    /// The connection breaks as it is written to.
    WriteFails(usize),
    Executes(usize),
    /// A backend executes a request whose connection was closed.
    ExecutesLoose(usize),
    Responds(usize, ResponseKind),
    RespondsToAnother(usize, u8),
    /// The backend ends its sending, or the connection breaks, with what is in transit or without.
    InputEnds {
        connection: usize,
        input_state: InputState,
        keeps_in_transit: bool,
    },
    Reads {
        connection: usize,
        pieces: usize,
        with_end: bool,
    },
    Overdue(usize),
    Deadline(usize),
    ClientLeaves(usize),
    IdleTimeout(usize),
    ShutDown,
}

/// What the requests of the model are like.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    is_idempotent: bool,
    /// The body is too long to be buffered, and comes in two parts.
    has_long_body: bool,
    /// Both requests may be under way at once.
    is_concurrent: bool,
}

impl Scenario {
    fn request_actions(&self, world: &World, at: usize, actions: &mut Vec<Action>) {
        let request = &world.requests[at];
        if request.loose_attempts > 0 {
            actions.push(Action::ExecutesLoose(at));
        }
        let first = &world.requests[0];
        let is_previous_over = !first.is_waiting() && first.client != Client::NotCome;
        let may_overlap = self.is_concurrent && first.client != Client::NotCome;
        let may_come = at == 0 || may_overlap || is_previous_over;
        if request.client == Client::NotCome && !world.has_shut_down && may_come {
            actions.push(Action::RequestComes(at));
        }
        if !request.is_waiting() {
            return;
        }
        actions.extend([Action::Deadline(at), Action::ClientLeaves(at)]);
        if !request.is_body_complete {
            actions.push(Action::BodyCompletes(at));
        }
        if request.lifecycle.is_in_flight() {
            actions.push(Action::Overdue(at));
        }
        if request.lifecycle.state() == RequestState::Pending {
            actions.push(Action::NoBackend(at));
            if request.lifecycle.may_attempt() {
                attempt_actions(world, at, actions);
            }
        }
    }

    fn begin_attempt(&self, world: &mut World, at: usize, idle: Option<usize>) {
        let request = &mut world.requests[at];
        request.has_error_response = false;
        if !request.lifecycle.begin_attempt(idle.is_some()) {
            world.violation = Some("an attempt that may be made does not begin");
            return;
        }
        if self.has_long_body {
            request.lifecycle.body_dropped();
        }
        match idle {
            Some(idle) => {
                world.connections[idle].attempt = Some(at as u8);
                world.connections[idle].parts_written = 0;
            }
            None => world.connections.push(Connection::opening(at as u8)),
        }
    }
}

fn attempt_actions(world: &World, at: usize, actions: &mut Vec<Action>) {
    // No backend gets a second attempt of a request, whose id a late response to the first would bear.
    let is_usable = |connection: &Connection| {
        connection.attempt.is_none() && !connection.responded_to.contains(&(at as u8))
    };
    let usable = world.connections.iter().enumerate().filter(|(_, connection)| is_usable(connection));
    actions.extend(usable.map(|(idle, _)| Action::AttemptBegins(at, Some(idle))));
    actions.push(Action::AttemptBegins(at, None));
}

fn connection_actions(world: &World, at: usize, actions: &mut Vec<Action>) {
    let connection = &world.connections[at];
    if !connection.is_established {
        actions.extend([Action::Established(at), Action::Unreachable(at)]);
        return;
    }
    if let Some(request) = connection.attempt {
        let is_body_complete = world.requests[usize::from(request)].is_body_complete;
        let max_parts = if is_body_complete { REQUEST_PARTS } else { 1 };
        let parts = connection.parts_written + 1..=max_parts;
        actions.extend(parts.map(|parts| Action::PartsWritten(at, parts)));
        if connection.input_state == InputState::Broken && connection.parts_written < REQUEST_PARTS {
            actions.push(Action::WriteFails(at));
        }
    } else {
        actions.push(Action::IdleTimeout(at));
    }
    backend_actions(connection, at, actions);
    let in_transit = connection.in_transit.len();
    let reads = |pieces, with_end| Action::Reads { connection: at, pieces, with_end };
    actions.extend((1..=in_transit).map(|pieces| reads(pieces, false)));
    if connection.input_state != InputState::Open {
        actions.push(reads(in_transit, true));
    }
}

/// What the backend at the other end may do.
fn backend_actions(connection: &Connection, at: usize, actions: &mut Vec<Action>) {
    let is_open = connection.input_state == InputState::Open;
    // What is sent behind a body that ends with the connection is a part of it.
    let mut pieces = connection.in_transit.iter().chain(&connection.read_pieces);
    let is_endless = pieces.any(|piece| piece.kind == ResponseKind::UntilClose);
    let may_respond = is_open && connection.responded_to.len() < MAX_RESPONSES && !is_endless;
    if let Some(work) = connection.work {
        if !work.is_executed {
            actions.push(Action::Executes(at));
        }
        if may_respond {
            let is_true = |kind: &&ResponseKind| **kind != ResponseKind::NotExecuted || !work.is_executed;
            actions.extend(RESPONSES.iter().filter(is_true).map(|kind| Action::Responds(at, *kind)));
        }
    }
    if may_respond {
        let present = connection.work.map(|work| work.request);
        let earlier = connection.responded_to.iter().copied();
        let earlier = earlier.filter(|request| Some(*request) != present && *request < 2);
        let requests = earlier.chain([UNKNOWN_REQUEST]);
        actions.extend(requests.map(|request| Action::RespondsToAnother(at, request)));
    }
    if !is_open {
        return;
    }
    let ends =
        |input_state, keeps_in_transit| Action::InputEnds { connection: at, input_state, keeps_in_transit };
    actions.extend([ends(InputState::Ended, true), ends(InputState::Broken, true)]);
    if !connection.in_transit.is_empty() {
        actions.push(ends(InputState::Broken, false));
        // A body that ends with the connection is complete wherever it ends.
        if !is_endless {
            actions.push(ends(InputState::Ended, false));
        }
    }
}

fn no_backend(world: &mut World, at: usize) {
    let request = &mut world.requests[at];
    if request.has_error_response && request.lifecycle.deliver_error_response() {
        return world.finish(at, Client::Responded(500));
    }
    let status = request.lifecycle.rejection_status();
    let next = request.lifecycle.reject(status);
    world.follow(at, next);
}

fn write_parts(world: &mut World, at: usize, parts: u8) {
    let connection = &mut world.connections[at];
    let Some(request) = connection.attempt else { return };
    connection.parts_written = parts;
    world.requests[usize::from(request)].lifecycle.bytes_written();
    let is_new = connection.work.is_none_or(|work| work.request != request);
    let is_answered = connection.responded_to.contains(&request);
    // A backend whose side has broken receives nothing.
    if is_new && connection.input_state != InputState::Broken && parts > 0 && !is_answered {
        connection.work = Some(Work { request, is_executed: false });
    }
}

fn execute(world: &mut World, at: usize) {
    let Some(work) = &mut world.connections[at].work else { return };
    work.is_executed = true;
    world.requests[usize::from(work.request)].executions += 1;
}

fn respond(world: &mut World, at: usize, kind: ResponseKind) {
    let connection = &mut world.connections[at];
    let Some(Work { request, is_executed }) = connection.work else { return };
    // An invalid response says nothing of whether the request is executed.
    let is_executed_by_it = matches!(
        kind,
        ResponseKind::Short | ResponseKind::Long | ResponseKind::UntilClose | ResponseKind::Own500
    );
    if is_executed_by_it || kind == ResponseKind::NotExecuted {
        connection.work = None;
    }
    connection.responded_to.push(request);
    connection.in_transit.extend(Piece::all_of(request, kind));
    world.requests[usize::from(request)].executions += u8::from(is_executed_by_it && !is_executed);
}

fn respond_to_another(world: &mut World, at: usize, request: u8) {
    let connection = &mut world.connections[at];
    connection.responded_to.push(UNKNOWN_REQUEST);
    connection.in_transit.extend(Piece::all_of(request, ResponseKind::Surplus));
}

fn deadline_expired(world: &mut World, at: usize) {
    let next = world.requests[at].lifecycle.deadline_expired();
    world.follow(at, next);
    world.expect(!world.requests[at].is_waiting(), "a request that waits beyond its deadline");
}

fn shut_down(world: &mut World) {
    world.has_shut_down = true;
    for at in 0..world.requests.len() {
        if world.requests[at].is_waiting() {
            let next = world.requests[at].lifecycle.shut_down();
            world.follow(at, next);
            world.expect(!world.requests[at].is_waiting(), "a request that outlives the process");
        }
    }
    while !world.connections.is_empty() {
        world.close_connection(0);
    }
}

impl Model for Scenario {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let request = Request {
            lifecycle: RequestLifecycle::new(self.is_idempotent, MAX_ATTEMPTS),
            client: Client::NotCome,
            is_body_complete: !self.has_long_body,
            has_error_response: false,
            executions: 0,
            loose_attempts: 0,
        };
        let requests = vec![request; 2];
        vec![World { requests, connections: Vec::new(), has_shut_down: false, violation: None }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for at in 0..world.requests.len() {
            self.request_actions(world, at, actions);
        }
        for at in 0..world.connections.len() {
            connection_actions(world, at, actions);
        }
        if !world.has_shut_down {
            actions.push(Action::ShutDown);
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::RequestComes(at) => world.requests[at].client = Client::Waiting(None),
            Action::BodyCompletes(at) => world.requests[at].is_body_complete = true,
            Action::AttemptBegins(at, idle) => self.begin_attempt(&mut world, at, idle),
            Action::NoBackend(at) => no_backend(&mut world, at),
            Action::Established(at) => {
                world.connections[at].is_established = true;
                let request = world.connections[at].attempt?;
                world.requests[usize::from(request)].lifecycle.connected();
            }
            Action::Unreachable(at) => world.lose_connection(at),
            Action::PartsWritten(at, parts) => write_parts(&mut world, at, parts),
            Action::WriteFails(at) => {
                let in_transit = world.connections[at].in_transit.len();
                world.read(at, in_transit, true);
            }
            Action::Executes(at) => execute(&mut world, at),
            Action::ExecutesLoose(at) => {
                world.requests[at].loose_attempts -= 1;
                world.requests[at].executions += 1;
            }
            Action::Responds(at, kind) => respond(&mut world, at, kind),
            Action::RespondsToAnother(at, request) => respond_to_another(&mut world, at, request),
            Action::InputEnds { connection, input_state, keeps_in_transit } => {
                let connection = &mut world.connections[connection];
                if !keeps_in_transit {
                    connection.in_transit.clear();
                }
                connection.input_state = input_state;
            }
            Action::Reads { connection, pieces, with_end } => world.read(connection, pieces, with_end),
            Action::Overdue(at) => {
                let lifecycle = &mut world.requests[at].lifecycle;
                if lifecycle.may_attempt() && lifecycle.abandon_overdue_attempt() {
                    world.close_attempt(at);
                }
            }
            Action::Deadline(at) => deadline_expired(&mut world, at),
            Action::ClientLeaves(at) => {
                world.requests[at].lifecycle.client_disconnected();
                world.finish(at, Client::Left);
            }
            Action::IdleTimeout(at) => world.close_connection(at),
            Action::ShutDown => shut_down(&mut world),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Scenario>> {
        vec![
            Property::always("nothing is violated", |_, world: &World| world.violation.is_none()),
            Property::always(
                "a non-idempotent request is executed once",
                |scenario: &Scenario, world: &World| {
                    scenario.is_idempotent || world.requests.iter().all(|request| request.executions <= 1)
                },
            ),
            Property::always("what is promised not to be executed never is", |_, world: &World| {
                let is_promised =
                    |request: &&Request| matches!(request.client, Client::Responded(408 | 421 | 429 | 503));
                let mut promised = world.requests.iter().filter(is_promised);
                promised.all(|request| request.executions == 0 && request.loose_attempts == 0)
            }),
            Property::always("an attempt is on one connection, or none", |_, world: &World| {
                world.requests.iter().enumerate().all(|(at, request)| {
                    let has_attempt = |connection: &&Connection| connection.attempt == Some(at as u8);
                    let count = world.connections.iter().filter(has_attempt).count();
                    let is_responding = request.lifecycle.state() == RequestState::Responding;
                    count == usize::from(request.lifecycle.is_in_flight() || is_responding)
                })
            }),
            Property::sometimes(
                "a request is answered by its second attempt",
                |scenario: &Scenario, world: &World| {
                    let is_answered_by_second = |request: &Request| {
                        request.client == Client::Responded(200) && request.lifecycle.attempts_sent() == 2
                    };
                    scenario.has_long_body || world.requests.iter().any(is_answered_by_second)
                },
            ),
            Property::sometimes("an idle connection is used again", |_, world: &World| {
                world
                    .connections
                    .iter()
                    .any(|connection| connection.attempt == Some(1) && connection.responded_to.contains(&0))
            }),
        ]
    }
}

#[rstest]
#[case::non_idempotent(Scenario { is_idempotent: false, has_long_body: false, is_concurrent: false })]
#[case::idempotent(Scenario { is_idempotent: true, has_long_body: false, is_concurrent: false })]
#[case::non_idempotent_long(Scenario { is_idempotent: false, has_long_body: true, is_concurrent: false })]
#[case::idempotent_long(Scenario { is_idempotent: true, has_long_body: true, is_concurrent: false })]
#[case::non_idempotent_concurrent(Scenario { is_idempotent: false, has_long_body: false, is_concurrent: true })]
#[case::idempotent_concurrent(Scenario { is_idempotent: true, has_long_body: false, is_concurrent: true })]
fn in_every_order_a_request_is_executed_and_answered_as_promised(#[case] scenario: Scenario) {
    let extra = std::env::var(EXTRA_DEPTH).map_or(0, |extra| extra.parse().expect("a number"));
    let depth = extra + if scenario.is_concurrent { CONCURRENT_DEPTH } else { DEPTH };
    let checker = scenario.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    println!(
        "{scenario:?}: states={} unique={} depth={}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}
