//! Model checking of the lifecycle with requests, connections and backends, in all orders of events. Backends count
//! what they execute, including what arrived on connections that the gateway has closed; clients count what they
//! receive.

use crate::backend_responses::{Piece, ResponseKind, RESPONSES};
use crate::model_state::{Client, Connection, ModelState, Request, Work, REQUEST_PARTS};
use kitepass_data_plane::attempt::{InputState, OverdueAttempt, RequestLifecycle, RequestState};
use rstest::rstest;
use stateright::{Checker, Model, Property};

/// Exploration depth when one request follows the other. The environment variable [`EXTRA_DEPTH`] increases it for
/// longer runs.
const DEPTH: usize = 16;
/// Exploration depth when both requests may be in progress at once.
const CONCURRENT_DEPTH: usize = 12;
/// The environment variable whose value is added to the depth.
const EXTRA_DEPTH: &str = "LEG_DEPTH";
const MAX_ATTEMPTS: u32 = 2;
/// Maximum number of responses that a backend sends on one connection.
const MAX_RESPONSES: usize = 2;
/// The id of a request that no client has made.
const UNKNOWN_REQUEST: u8 = 9;

/// The next event. Requests and connections are identified by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    RequestArrives(usize),
    /// The rest of a request's body arrives.
    BodyCompletes(usize),
    /// An attempt starts on the idle connection given, or on a new one.
    AttemptBegins(usize, Option<usize>),
    /// No backend can take the request, or the retry budget is exhausted.
    NoBackend(usize),
    Established(usize),
    Unreachable(usize),
    /// This many parts of the request are written.
    PartsWritten(usize, u8),
    /// The connection breaks while it is written to.
    WriteFails(usize),
    Executes(usize),
    /// A backend executes a request although its connection was closed.
    ExecutesOrphaned(usize),
    Responds(usize, ResponseKind),
    RespondsToAnother(usize, u8),
    /// The backend closes its sending side or the connection breaks; data in transit is kept or lost.
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
    AttemptOverdue(usize),
    DeadlineExpires(usize),
    ClientLeaves(usize),
    IdleTimeout(usize),
    ShutDown,
}

/// The properties of the model's requests.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    is_idempotent: bool,
    /// Whether the body is too long to be buffered; it then arrives in two parts.
    has_long_body: bool,
    /// Whether both requests may be in progress at once.
    is_concurrent: bool,
}

impl Scenario {
    fn request_actions(&self, state: &ModelState, index: usize, actions: &mut Vec<Action>) {
        let request = &state.requests[index];
        if request.orphaned_attempts > 0 {
            actions.push(Action::ExecutesOrphaned(index));
        }
        let first = &state.requests[0];
        let is_previous_over = !first.is_waiting() && first.client != Client::NotArrived;
        let may_overlap = self.is_concurrent && first.client != Client::NotArrived;
        let may_arrive = index == 0 || may_overlap || is_previous_over;
        if request.client == Client::NotArrived && !state.has_shut_down && may_arrive {
            actions.push(Action::RequestArrives(index));
        }
        if !request.is_waiting() {
            return;
        }
        actions.extend([Action::DeadlineExpires(index), Action::ClientLeaves(index)]);
        if !request.is_body_complete {
            actions.push(Action::BodyCompletes(index));
        }
        if request.lifecycle.is_in_flight() {
            actions.push(Action::AttemptOverdue(index));
        }
        if request.lifecycle.state() == RequestState::Pending {
            actions.push(Action::NoBackend(index));
            if request.lifecycle.may_attempt() {
                attempt_actions(state, index, actions);
            }
        }
    }

    fn begin_attempt(&self, state: &mut ModelState, index: usize, idle: Option<usize>) {
        let request = &mut state.requests[index];
        request.has_error_response = false;
        if !request.lifecycle.begin_attempt(idle.is_some()) {
            state.violation = Some("an attempt that may be made does not start");
            return;
        }
        if self.has_long_body {
            request.lifecycle.body_dropped();
        }
        match idle {
            Some(idle) => {
                state.connections[idle].attempt = Some(index as u8);
                state.connections[idle].parts_written = 0;
            }
            None => state.connections.push(Connection::opening(index as u8)),
        }
    }
}

fn attempt_actions(state: &ModelState, index: usize, actions: &mut Vec<Action>) {
    // No backend gets two attempts of a request, because a late response to the first would carry the same id.
    let is_usable = |connection: &Connection| {
        connection.attempt.is_none() && !connection.responded_to.contains(&(index as u8))
    };
    let usable = state.connections.iter().enumerate().filter(|(_, connection)| is_usable(connection));
    actions.extend(usable.map(|(idle, _)| Action::AttemptBegins(index, Some(idle))));
    actions.push(Action::AttemptBegins(index, None));
}

fn connection_actions(state: &ModelState, index: usize, actions: &mut Vec<Action>) {
    let connection = &state.connections[index];
    if !connection.is_established {
        actions.extend([Action::Established(index), Action::Unreachable(index)]);
        return;
    }
    if let Some(request) = connection.attempt {
        let is_body_complete = state.requests[usize::from(request)].is_body_complete;
        let max_parts = if is_body_complete { REQUEST_PARTS } else { 1 };
        let parts = connection.parts_written + 1..=max_parts;
        actions.extend(parts.map(|parts| Action::PartsWritten(index, parts)));
        if connection.input_state == InputState::Broken && connection.parts_written < REQUEST_PARTS {
            actions.push(Action::WriteFails(index));
        }
    } else {
        actions.push(Action::IdleTimeout(index));
    }
    backend_actions(connection, index, actions);
    let in_transit = connection.in_transit.len();
    let reads = |pieces, with_end| Action::Reads { connection: index, pieces, with_end };
    actions.extend((1..=in_transit).map(|pieces| reads(pieces, false)));
    if connection.input_state != InputState::Open {
        actions.push(reads(in_transit, true));
    }
}

/// Adds what the backend of a connection may do.
fn backend_actions(connection: &Connection, index: usize, actions: &mut Vec<Action>) {
    let is_open = connection.input_state == InputState::Open;
    // Whatever follows a body that ends with the connection belongs to that body.
    let mut pieces = connection.in_transit.iter().chain(&connection.read_pieces);
    let is_endless = pieces.any(|piece| piece.kind == ResponseKind::UntilClose);
    let may_respond = is_open && connection.responded_to.len() < MAX_RESPONSES && !is_endless;
    if let Some(work) = connection.work {
        if !work.is_executed {
            actions.push(Action::Executes(index));
        }
        if may_respond {
            let is_true = |kind: &&ResponseKind| **kind != ResponseKind::NotExecuted || !work.is_executed;
            actions.extend(RESPONSES.iter().filter(is_true).map(|kind| Action::Responds(index, *kind)));
        }
    }
    if may_respond {
        let present = connection.work.map(|work| work.request);
        let earlier = connection.responded_to.iter().copied();
        let earlier = earlier.filter(|request| Some(*request) != present && *request < 2);
        let requests = earlier.chain([UNKNOWN_REQUEST]);
        actions.extend(requests.map(|request| Action::RespondsToAnother(index, request)));
    }
    if !is_open {
        return;
    }
    let ends = |input_state, keeps_in_transit| Action::InputEnds {
        connection: index,
        input_state,
        keeps_in_transit,
    };
    actions.extend([ends(InputState::Ended, true), ends(InputState::Broken, true)]);
    if !connection.in_transit.is_empty() {
        actions.push(ends(InputState::Broken, false));
        // A body that ends with the connection is complete wherever it ends.
        if !is_endless {
            actions.push(ends(InputState::Ended, false));
        }
    }
}

fn no_backend(state: &mut ModelState, index: usize) {
    let request = &mut state.requests[index];
    if request.has_error_response && request.lifecycle.deliver_error_response() {
        return state.finish(index, Client::Responded(500));
    }
    if request.lifecycle.awaits_overdue_attempt() {
        return state.expect(state.has_overdue_attempt(index), "a request waits for no attempt");
    }
    let status = request.lifecycle.rejection_status();
    let next = request.lifecycle.reject(status);
    let gives_up_backend = state.has_overdue_attempt(index);
    state.expect(!gives_up_backend, "a request is rejected although an attempt is in flight");
    state.apply_next_step(index, next);
}

fn write_parts(state: &mut ModelState, index: usize, parts: u8) {
    let connection = &mut state.connections[index];
    let Some(request) = connection.attempt else { return };
    connection.parts_written = parts;
    // An overdue attempt does not tell whether anything of the current one was written.
    if !connection.is_overdue {
        state.requests[usize::from(request)].lifecycle.bytes_written();
    }
    let is_new = connection.work.is_none_or(|work| work.request != request);
    let is_answered = connection.responded_to.contains(&request);
    // A backend receives nothing on a broken connection.
    if is_new && connection.input_state != InputState::Broken && parts > 0 && !is_answered {
        connection.work = Some(Work { request, is_executed: false });
    }
}

fn execute(state: &mut ModelState, index: usize) {
    let Some(work) = &mut state.connections[index].work else { return };
    work.is_executed = true;
    state.requests[usize::from(work.request)].executions += 1;
}

fn respond(state: &mut ModelState, index: usize, kind: ResponseKind) {
    let connection = &mut state.connections[index];
    let Some(Work { request, is_executed }) = connection.work else { return };
    // An invalid response does not tell whether the request was executed.
    let is_executed_by_it = matches!(
        kind,
        ResponseKind::Short | ResponseKind::Long | ResponseKind::UntilClose | ResponseKind::Own500
    );
    if is_executed_by_it || kind == ResponseKind::NotExecuted {
        connection.work = None;
    }
    connection.responded_to.push(request);
    connection.in_transit.extend(Piece::all_of(request, kind));
    state.requests[usize::from(request)].executions += u8::from(is_executed_by_it && !is_executed);
}

fn respond_to_another(state: &mut ModelState, index: usize, request: u8) {
    let connection = &mut state.connections[index];
    connection.responded_to.push(UNKNOWN_REQUEST);
    connection.in_transit.extend(Piece::all_of(request, ResponseKind::Stale));
}

fn attempt_overdue(state: &mut ModelState, index: usize) {
    match state.requests[index].lifecycle.attempt_overdue() {
        OverdueAttempt::Awaited => {}
        OverdueAttempt::Abandoned => state.close_attempt(index),
        OverdueAttempt::Kept => {
            let connection = state.connection_of(index).expect("an attempt in flight has a connection");
            state.connections[connection].is_overdue = true;
        }
    }
}

fn deadline_expired(state: &mut ModelState, index: usize) {
    let next = state.requests[index].lifecycle.deadline_expired();
    state.apply_next_step(index, next);
    state.expect(!state.requests[index].is_waiting(), "a request waits beyond its deadline");
}

fn shut_down(state: &mut ModelState) {
    state.has_shut_down = true;
    for index in 0..state.requests.len() {
        if state.requests[index].is_waiting() {
            let next = state.requests[index].lifecycle.shut_down();
            state.apply_next_step(index, next);
            state.expect(!state.requests[index].is_waiting(), "a request is not ended by the shutdown");
        }
    }
    while !state.connections.is_empty() {
        state.close_connection(0);
    }
}

impl Model for Scenario {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let request = Request {
            lifecycle: RequestLifecycle::new(self.is_idempotent, MAX_ATTEMPTS),
            client: Client::NotArrived,
            is_body_complete: !self.has_long_body,
            has_error_response: false,
            executions: 0,
            orphaned_attempts: 0,
            is_answered_by_overdue: false,
        };
        let requests = vec![request; 2];
        vec![ModelState { requests, connections: Vec::new(), has_shut_down: false, violation: None }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for index in 0..state.requests.len() {
            self.request_actions(state, index, actions);
        }
        for index in 0..state.connections.len() {
            connection_actions(state, index, actions);
        }
        if !state.has_shut_down {
            actions.push(Action::ShutDown);
        }
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        match action {
            Action::RequestArrives(index) => state.requests[index].client = Client::Waiting(None),
            Action::BodyCompletes(index) => state.requests[index].is_body_complete = true,
            Action::AttemptBegins(index, idle) => self.begin_attempt(&mut state, index, idle),
            Action::NoBackend(index) => no_backend(&mut state, index),
            Action::Established(index) => {
                state.connections[index].is_established = true;
                let request = state.connections[index].attempt?;
                state.requests[usize::from(request)].lifecycle.connected();
            }
            Action::Unreachable(index) => state.lose_connection(index),
            Action::PartsWritten(index, parts) => write_parts(&mut state, index, parts),
            Action::WriteFails(index) => {
                let in_transit = state.connections[index].in_transit.len();
                state.read(index, in_transit, true);
            }
            Action::Executes(index) => execute(&mut state, index),
            Action::ExecutesOrphaned(index) => {
                state.requests[index].orphaned_attempts -= 1;
                state.requests[index].executions += 1;
            }
            Action::Responds(index, kind) => respond(&mut state, index, kind),
            Action::RespondsToAnother(index, request) => respond_to_another(&mut state, index, request),
            Action::InputEnds { connection, input_state, keeps_in_transit } => {
                let connection = &mut state.connections[connection];
                if !keeps_in_transit {
                    connection.in_transit.clear();
                }
                connection.input_state = input_state;
            }
            Action::Reads { connection, pieces, with_end } => state.read(connection, pieces, with_end),
            Action::AttemptOverdue(index) => attempt_overdue(&mut state, index),
            Action::DeadlineExpires(index) => deadline_expired(&mut state, index),
            Action::ClientLeaves(index) => {
                state.requests[index].lifecycle.client_disconnected();
                state.finish(index, Client::Left);
            }
            Action::IdleTimeout(index) => state.close_connection(index),
            Action::ShutDown => shut_down(&mut state),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Scenario>> {
        vec![
            Property::always("no violation occurs", |_, state: &ModelState| state.violation.is_none()),
            Property::always(
                "a non-idempotent request is executed at most once",
                |scenario: &Scenario, state: &ModelState| {
                    scenario.is_idempotent || state.requests.iter().all(|request| request.executions <= 1)
                },
            ),
            Property::always("a promise of non-execution is kept", |_, state: &ModelState| {
                let is_promised =
                    |request: &&Request| matches!(request.client, Client::Responded(408 | 421 | 429 | 503));
                let mut promised = state.requests.iter().filter(is_promised);
                promised.all(|request| request.executions == 0 && request.orphaned_attempts == 0)
            }),
            Property::always("an attempt in flight has one connection", |_, state: &ModelState| {
                state.requests.iter().enumerate().all(|(index, request)| {
                    let has_attempt = |connection: &&Connection| {
                        connection.attempt == Some(index as u8) && !connection.is_overdue
                    };
                    let count = state.connections.iter().filter(has_attempt).count();
                    let is_responding = request.lifecycle.state() == RequestState::Responding;
                    count == usize::from(request.lifecycle.is_in_flight() || is_responding)
                })
            }),
            Property::sometimes(
                "a request is answered by its second attempt",
                |scenario: &Scenario, state: &ModelState| {
                    let is_answered_by_second = |request: &Request| {
                        request.client == Client::Responded(200) && request.lifecycle.attempts_sent() == 2
                    };
                    scenario.has_long_body || state.requests.iter().any(is_answered_by_second)
                },
            ),
            Property::sometimes(
                "a request is answered by an overdue attempt",
                |scenario: &Scenario, state: &ModelState| {
                    let is_answered = |request: &Request| {
                        request.client == Client::Responded(200) && request.is_answered_by_overdue
                    };
                    !scenario.is_idempotent
                        || scenario.has_long_body
                        || state.requests.iter().any(is_answered)
                },
            ),
            Property::sometimes("an idle connection is reused", |_, state: &ModelState| {
                state
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
    let extra = std::env::var(EXTRA_DEPTH)
        .map_or(0, |extra| extra.parse().expect("the extra depth must be a number"));
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
