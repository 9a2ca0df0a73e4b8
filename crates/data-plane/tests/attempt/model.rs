//! Requests, connections and backends around the way, explored in all orders. The gateway's side is the real
//! [`RequestLifecycle`] and the real [`ResponseReader`]; around them stands what the server does with sockets, in a few lines each. Backends
//! count what they run, also on connections that the gateway has dropped; clients count what they are told.

use kitepass_data_plane::attempt::{
    may_keep_connection, ConnectionRemains, InputState, NextStep, ReadProgress, RequestLifecycle,
    RequestState, ResponseClass, ResponseContext, ResponseReader,
};
use rstest::rstest;
use stateright::{Checker, Model, Property};

/// Steps from the start that are tried in all orders, where one request comes after the other and where they come
/// together. LEG_DEPTH adds to them, for the long form.
const DEPTH: [usize; 2] = [16, 12];
/// A longer body passes through.
const LONG: usize = 3;

/// What a backend says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Says {
    Short,
    Long,
    /// A body that goes to the connection's end.
    ToTheEnd,
    /// Turned away, or the address is somebody else's.
    NotRun,
    Own500,
    Own503,
    Unstamped,
    Garbled,
    Nameless,
    /// An answer to another request, which was answered before.
    Surplus,
}

const ALL: [Says; 9] = [
    Says::Short,
    Says::Long,
    Says::ToTheEnd,
    Says::NotRun,
    Says::Own500,
    Says::Own503,
    Says::Unstamped,
    Says::Garbled,
    Says::Nameless,
];

fn body(request: u8, says: Says) -> &'static str {
    match (says, request) {
        (Says::Short | Says::Surplus, 0) => "a0",
        (Says::Short | Says::Surplus, 1) => "b1",
        (Says::Short | Says::Surplus, _) => "x9",
        (Says::Long | Says::ToTheEnd, 0) => "a0a0a0",
        (Says::Long | Says::ToTheEnd, _) => "b1b1b1",
        _ => "",
    }
}

fn bytes(request: u8, says: Says) -> String {
    let body = body(request, says);
    let (status, more) = match says {
        Says::Short | Says::Long | Says::Surplus => (200, format!("X-Postmark: {request}\r\n")),
        Says::ToTheEnd => {
            return format!("HTTP/1.1 200 OK\r\nX-Try-Id: {request}\r\nX-Postmark: {request}\r\n\r\n{body}")
        }
        Says::NotRun => (503, "X-Not-Delivered: full\r\n".to_owned()),
        Says::Own500 => (500, String::new()),
        Says::Own503 => (503, String::new()),
        Says::Unstamped => (200, String::new()),
        Says::Garbled => return "\0\r\n\r\n".to_owned(),
        Says::Nameless => return "HTTP/1.1 200 OK\r\nX-Postmark: 0\r\nContent-Length: 0\r\n\r\n".to_owned(),
    };
    format!(
        "HTTP/1.1 {status} X\r\nX-Try-Id: {request}\r\n{more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A part of what a backend says, as it comes at once.
type Piece = (u8, Says, u8);

/// In how many pieces it comes: cut in its head, and in its body.
fn pieces(says: Says) -> u8 {
    match says {
        Says::Short | Says::Surplus => 2,
        Says::Long | Says::ToTheEnd => 3,
        _ => 1,
    }
}

fn piece((request, says, part): Piece) -> Vec<u8> {
    let (all, number) = (bytes(request, says).into_bytes(), pieces(says));
    let cuts = match number {
        1 => vec![0, all.len()],
        2 => vec![0, all.len() - 1, all.len()],
        _ => vec![0, 20, all.len() - 2, all.len()],
    };
    all[cuts[usize::from(part)]..cuts[usize::from(part) + 1]].to_vec()
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Client {
    /// It has not come yet.
    Away,
    /// It waits, and has heard so much of a long answer.
    Waits(Option<String>),
    Has(u16),
    BrokenOff,
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Request {
    way: RequestLifecycle,
    client: Client,
    /// All of its body has come from the client.
    whole: bool,
    /// A failure of the backend's own is there to be delivered.
    failed: bool,
    runs: u8,
    /// Legs on dropped connections that may still run.
    loose: u8,
}

/// A connection between the gateway and a backend.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Service {
    made: bool,
    /// The request whose leg is on it.
    leg: Option<u8>,
    /// Parts of the request that were written, of two.
    written: u8,
    /// Pieces that were read for the leg.
    read: Vec<Piece>,
    /// Bytes of its answer's body that have gone on.
    gone: usize,
    /// The request that the backend has and has not answered, and whether it works on it.
    has: Option<(u8, bool)>,
    /// Answers that it has given here.
    said: Vec<u8>,
    /// What is on the way to the gateway, and how it ends.
    out: Vec<Piece>,
    tail: InputState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    requests: Vec<Request>,
    lines: Vec<Service>,
    ended: bool,
    wrong: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Comes(usize),
    /// The rest of a request's body comes.
    Rest(usize),
    /// A leg goes over a resting connection, or a new one.
    Takes(usize, Option<usize>),
    /// No backend can take it, or the budget is spent.
    Nobody(usize),
    Made(usize),
    Unreached(usize),
    /// So many parts of the request are written.
    Writes(usize, u8),
    /// The connection breaks as it is written to.
    WriteFails(usize),
    Runs(usize),
    RunsLoose(usize),
    Says(usize, Says),
    SaysTooMuch(usize, u8),
    /// The backend ends its sending, or the connection breaks, with what is on the way or without.
    Ends(usize, InputState, bool),
    /// The gateway reads so many pieces, and the end behind them.
    Reads(usize, usize, bool),
    Overdue(usize),
    Deadline(usize),
    Leaves(usize),
    Rested(usize),
    /// The process ends, after SIGTERM.
    End,
}

/// What a request of the model is like.
#[derive(Clone, Copy, Debug)]
struct Stand {
    repeats: bool,
    /// Its body is too long to be kept, and comes in two parts.
    long: bool,
    /// Both requests may be under way at once.
    together: bool,
}

impl World {
    fn line_of(&self, request: usize) -> Option<usize> {
        self.lines.iter().position(|line| line.leg == Some(request as u8))
    }

    fn drop_line(&mut self, line: usize) {
        let line = self.lines.remove(line);
        if let Some((request, false)) = line.has {
            self.requests[usize::from(request)].loose += 1; // it may run all the same
        }
    }

    fn drop_leg(&mut self, request: usize) {
        if let Some(line) = self.line_of(request) {
            self.drop_line(line);
        }
    }

    fn expect(&mut self, holds: bool, what: &'static str) {
        if !holds {
            self.wrong = Some(what);
        }
    }

    /// A client's request is over.
    fn tell(&mut self, request: usize, client: Client) {
        let waits = matches!(self.requests[request].client, Client::Waits(_));
        self.expect(waits, "a second answer to one request");
        self.requests[request].client = client;
        let settled = self.requests[request].way.state() == RequestState::Completed;
        self.expect(settled, "told, and not settled");
        self.drop_leg(request);
    }

    /// What follows where no backend's answer goes on.
    fn follow(&mut self, request: usize, next: NextStep) {
        match next {
            NextStep::Reject(status) => {
                let partly = matches!(self.requests[request].client, Client::Waits(Some(_)));
                self.expect(!partly, "an answer behind the beginning of another");
                self.tell(request, Client::Has(status));
            }
            NextStep::Abort => self.tell(request, Client::BrokenOff),
            _ => {}
        }
    }

    /// The connection of a leg is lost.
    fn lose(&mut self, line: usize) {
        let request = self.lines[line].leg.map(usize::from);
        self.drop_line(line);
        if let Some(request) = request {
            let next = self.requests[request].way.attempt_failed();
            self.follow(request, next);
        }
    }

    fn read(&mut self, at: usize, number: usize, end: bool) {
        let line = &mut self.lines[at];
        let tail = if end { line.tail } else { InputState::Open };
        let new: Vec<Piece> = line.out.drain(..number).collect();
        let Some(request) = line.leg.map(usize::from) else {
            if number > 0 || end {
                self.drop_line(at);
            }
            return;
        };
        let id = request.to_string();
        let asked = ResponseContext {
            request_id: id.as_bytes(),
            is_head_request: false,
            has_carried_head: false,
            max_buffered_bytes: LONG,
        };
        // What it has read so far, as it stands now.
        let (mut answer, mut input) = (ResponseReader::default(), Vec::new());
        line.read.iter().for_each(|old| input.extend(piece(*old)));
        answer.read(ResponseContext { max_buffered_bytes: 1 << 20, ..asked }, &mut input, InputState::Open);
        answer.body.drain(..line.gone);
        new.iter().for_each(|new| input.extend(piece(*new)));
        line.read.extend(new);
        let came = answer.read(asked, &mut input, tail);
        let repeats = self.requests[request].way.is_idempotent();
        match came {
            ReadProgress::Partial => {}
            ReadProgress::Failed(_) => self.lose(at),
            ReadProgress::BufferFull => {
                let class = ResponseClass::of(answer.head.as_ref().expect("begun"), repeats);
                let next = self.requests[request].way.response_exceeds_buffer(class);
                match (next, &mut self.requests[request].client) {
                    (NextStep::StreamFirst | NextStep::StreamMore, Client::Waits(heard)) => {
                        self.lines[at].gone += answer.body.len();
                        heard
                            .get_or_insert_default()
                            .push_str(std::str::from_utf8(&answer.body).expect("text"));
                    }
                    (next, _) => {
                        self.drop_line(at);
                        self.follow(request, next);
                    }
                }
            }
            ReadProgress::Complete => self.answered(at, request, answer, input.len(), tail, repeats),
        }
    }

    fn answered(
        &mut self,
        at: usize,
        request: usize,
        answer: ResponseReader,
        unread: usize,
        tail: InputState,
        repeats: bool,
    ) {
        let head = answer.head.expect("whole");
        let asked =
            matches!(self.requests[request].way.state(), RequestState::Sent | RequestState::Responding);
        let class = if asked { ResponseClass::of(&head, repeats) } else { ResponseClass::Invalid };
        let next = self.requests[request].way.response_complete(class);
        let line = &mut self.lines[at];
        line.leg = None;
        let finished = self.requests[request].whole;
        // What the other side still has of this request it may yet run, where it has not answered it.
        let unsent = usize::from(2 - line.written);
        (line.gone, _) = (0, line.read.clear());
        if !may_keep_connection(
            class,
            ConnectionRemains {
                input_state: tail,
                unread_bytes: unread,
                unsent_bytes: unsent,
                is_request_finished: finished,
            },
        ) {
            self.drop_line(at);
        }
        let said = String::from_utf8(answer.body).expect("text");
        match next {
            NextStep::Deliver => self.check(request, &head, &said, request),
            NextStep::StreamLast => {
                let Client::Waits(Some(heard)) = &self.requests[request].client else {
                    return self.wrong = Some("an end without a beginning");
                };
                let said = heard.clone() + &said;
                self.check(request, &head, &said, request);
            }
            NextStep::RetryOrDeliver => self.requests[request].failed = true,
            next => self.follow(request, next),
        }
    }

    /// A whole answer has gone to a client.
    fn check(&mut self, request: usize, head: &kitepass_net::http::body::Head, said: &str, of: usize) {
        let own = head.field("x-try-id") == Some(of.to_string().as_bytes());
        self.expect(own, "another request's answer");
        let status = head.status();
        if status < 300 {
            let whole = [Says::Short, Says::Long].iter().any(|says| body(of as u8, *says) == said);
            self.expect(whole, "a body that is not whole, or another's");
            self.expect(self.requests[of].runs > 0, "an answer of nobody's");
        }
        self.tell(request, Client::Has(status));
    }
}

impl Model for Stand {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let request = Request {
            way: RequestLifecycle::new(self.repeats, 2),
            client: Client::Away,
            whole: !self.long,
            failed: false,
            runs: 0,
            loose: 0,
        };
        vec![World { requests: vec![request; 2], lines: Vec::new(), ended: false, wrong: None }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        for (r, request) in world.requests.iter().enumerate() {
            if request.loose > 0 {
                actions.push(Action::RunsLoose(r));
            }
            let first = r == 0 || self.together && world.requests[0].client != Client::Away;
            let after = r == 0 || !matches!(world.requests[0].client, Client::Away | Client::Waits(_));
            if request.client == Client::Away && !world.ended && (first || after) {
                actions.push(Action::Comes(r));
            }
            if !matches!(request.client, Client::Waits(_)) {
                continue;
            }
            actions.extend([Action::Deadline(r), Action::Leaves(r)]);
            if !request.whole {
                actions.push(Action::Rest(r));
            }
            if request.way.is_in_flight() {
                actions.push(Action::Overdue(r));
            }
            if request.way.state() == RequestState::Pending {
                actions.push(Action::Nobody(r));
                if request.way.may_attempt() {
                    // No backend gets a second leg of a request, whose id a late answer to the first would bear.
                    let other = |line: &Service| line.leg.is_none() && !line.said.contains(&(r as u8));
                    let resting = world.lines.iter().enumerate().filter(|(_, line)| other(line));
                    actions.extend(resting.map(|(l, _)| Action::Takes(r, Some(l))));
                    actions.push(Action::Takes(r, None));
                }
            }
        }
        for (l, line) in world.lines.iter().enumerate() {
            if !line.made {
                actions.extend([Action::Made(l), Action::Unreached(l)]);
                continue;
            }
            if let Some(r) = line.leg {
                let most = if world.requests[usize::from(r)].whole { 2 } else { 1 };
                actions.extend((line.written + 1..=most).map(|to| Action::Writes(l, to)));
                if line.tail == InputState::Broken && line.written < 2 {
                    actions.push(Action::WriteFails(l));
                }
            } else {
                actions.push(Action::Rested(l));
            }
            // What is said behind a body that goes to the connection's end is a part of it.
            let endless = line.out.iter().chain(&line.read).any(|(_, says, _)| *says == Says::ToTheEnd);
            if let Some((_, runs)) = line.has {
                if !runs {
                    actions.push(Action::Runs(l));
                }
                if line.tail == InputState::Open && line.said.len() < 2 && !endless {
                    let may = |says: &&Says| **says != Says::NotRun || !runs;
                    actions.extend(ALL.iter().filter(may).map(|says| Action::Says(l, *says)));
                }
            }
            if line.tail == InputState::Open && line.said.len() < 2 && !endless {
                let due = line.has.map(|(r, _)| r);
                let earlier = line.said.iter().copied().filter(|r| Some(*r) != due && *r < 2);
                actions.extend(earlier.chain([9]).map(|r| Action::SaysTooMuch(l, r)));
            }
            if line.tail == InputState::Open {
                actions.push(Action::Ends(l, InputState::Ended, true));
                actions.push(Action::Ends(l, InputState::Broken, true));
                if !line.out.is_empty() {
                    actions.push(Action::Ends(l, InputState::Broken, false));
                    // A body that goes to the connection's end has none that is too soon.
                    if !endless {
                        actions.push(Action::Ends(l, InputState::Ended, false));
                    }
                }
            }
            let all = line.out.len();
            actions.extend((1..=all).map(|n| Action::Reads(l, n, false)));
            if line.tail != InputState::Open {
                actions.push(Action::Reads(l, all, true));
            }
        }
        if !world.ended {
            actions.push(Action::End);
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        match action {
            Action::Comes(r) => {
                world.requests[r].client = Client::Waits(None);
            }
            Action::Rest(r) => world.requests[r].whole = true,
            Action::Takes(r, line) => {
                let request = &mut world.requests[r];
                request.failed = false;
                if !request.way.begin_attempt(line.is_some()) {
                    world.wrong = Some("a leg that may go does not");
                    return Some(world);
                }
                if self.long {
                    request.way.body_dropped();
                }
                match line {
                    Some(line) => (world.lines[line].leg, world.lines[line].written) = (Some(r as u8), 0),
                    None => world.lines.push(Service {
                        made: false,
                        leg: Some(r as u8),
                        written: 0,
                        read: Vec::new(),
                        gone: 0,
                        has: None,
                        said: Vec::new(),
                        out: Vec::new(),
                        tail: InputState::Open,
                    }),
                }
            }
            Action::Nobody(r) => {
                if world.requests[r].failed && world.requests[r].way.deliver_error_response() {
                    world.tell(r, Client::Has(500));
                } else {
                    let status = world.requests[r].way.rejection_status();
                    let next = world.requests[r].way.reject(status);
                    world.follow(r, next);
                }
            }
            Action::Made(l) => {
                world.lines[l].made = true;
                let r = world.lines[l].leg?;
                world.requests[usize::from(r)].way.connected();
            }
            Action::Unreached(l) => world.lose(l),
            Action::Writes(l, to) => {
                let line = &mut world.lines[l];
                let r = line.leg?;
                line.written = to;
                world.requests[usize::from(r)].way.bytes_written();
                // A backend whose end has broken gets nothing.
                if line.has.is_none_or(|(had, _)| had != r)
                    && line.tail != InputState::Broken
                    && to > 0
                    && !line.said.contains(&r)
                {
                    line.has = Some((r, false));
                }
            }
            Action::WriteFails(l) => {
                let all = world.lines[l].out.len();
                world.read(l, all, true);
            }
            Action::Runs(l) => {
                let (r, runs) = world.lines[l].has.as_mut()?;
                *runs = true;
                world.requests[usize::from(*r)].runs += 1;
            }
            Action::RunsLoose(r) => {
                world.requests[r].loose -= 1;
                world.requests[r].runs += 1;
            }
            Action::Says(l, says) => {
                let line = &mut world.lines[l];
                let (r, runs) = line.has?;
                // What is no answer of its own says nothing of whether it runs.
                let own = matches!(says, Says::Short | Says::Long | Says::ToTheEnd | Says::Own500);
                if own || says == Says::NotRun {
                    line.has = None;
                }
                world.requests[usize::from(r)].runs += u8::from(own && !runs);
                line.said.push(r);
                line.out.extend((0..pieces(says)).map(|part| (r, says, part)));
            }
            Action::SaysTooMuch(l, r) => {
                let line = &mut world.lines[l];
                line.said.push(9);
                line.out.extend((0..pieces(Says::Surplus)).map(|part| (r, Says::Surplus, part)));
            }
            Action::Ends(l, tail, all) => {
                let line = &mut world.lines[l];
                if !all {
                    line.out.clear();
                }
                line.tail = tail;
            }
            Action::Reads(l, number, end) => world.read(l, number, end),
            Action::Overdue(r) => {
                if world.requests[r].way.may_attempt() && world.requests[r].way.abandon_overdue_attempt() {
                    world.drop_leg(r);
                }
            }
            Action::Deadline(r) => {
                let next = world.requests[r].way.deadline_expired();
                world.follow(r, next);
                let over = !matches!(world.requests[r].client, Client::Waits(_));
                world.expect(over, "a request that waits beyond its deadline");
            }
            Action::Leaves(r) => {
                world.requests[r].way.client_gone();
                world.tell(r, Client::Left);
            }
            Action::Rested(l) => world.drop_line(l),
            Action::End => {
                world.ended = true;
                for r in 0..world.requests.len() {
                    if matches!(world.requests[r].client, Client::Waits(_)) {
                        let next = world.requests[r].way.shut_down();
                        world.follow(r, next);
                        let over = !matches!(world.requests[r].client, Client::Waits(_));
                        world.expect(over, "a request that outlives the process");
                    }
                }
                while !world.lines.is_empty() {
                    world.drop_line(0);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Stand>> {
        vec![
            Property::always("as the rules have it", |_, world: &World| world.wrong.is_none()),
            Property::always("once-only requests run once", |stand: &Stand, world: &World| {
                stand.repeats || world.requests.iter().all(|request| request.runs <= 1)
            }),
            Property::always("what is promised not to run never runs", |_, world: &World| {
                let promised = |r: &&Request| matches!(r.client, Client::Has(408 | 421 | 429 | 503));
                world.requests.iter().filter(promised).all(|r| r.runs == 0 && r.loose == 0)
            }),
            Property::always("a leg is out on one connection, or none", |_, world: &World| {
                world.requests.iter().enumerate().all(|(r, request)| {
                    let on = world.lines.iter().filter(|line| line.leg == Some(r as u8)).count();
                    on == usize::from(
                        request.way.is_in_flight() || request.way.state() == RequestState::Responding,
                    )
                })
            }),
            Property::sometimes("a request is answered by its second leg", |stand: &Stand, world: &World| {
                stand.long
                    || world
                        .requests
                        .iter()
                        .any(|r| r.client == Client::Has(200) && r.way.attempts_sent() == 2)
            }),
            Property::sometimes("a connection rests and is taken again", |_, world: &World| {
                world.lines.iter().any(|line| line.leg == Some(1) && line.said.contains(&0))
            }),
        ]
    }
}

#[rstest]
#[case::once(Stand { repeats: false, long: false, together: false })]
#[case::safe(Stand { repeats: true, long: false, together: false })]
#[case::once_long(Stand { repeats: false, long: true, together: false })]
#[case::safe_long(Stand { repeats: true, long: true, together: false })]
#[case::once_together(Stand { repeats: false, long: false, together: true })]
#[case::safe_together(Stand { repeats: true, long: false, together: true })]
fn in_every_order_a_request_runs_and_is_answered_as_promised(#[case] stand: Stand) {
    let more = std::env::var("LEG_DEPTH").map_or(0, |more| more.parse().expect("a number"));
    let depth = DEPTH[usize::from(stand.together)] + more;
    let checker = stand.checker().threads(3).target_max_depth(depth).spawn_bfs().join();
    println!(
        "{stand:?}: states={} unique={} depth={}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    checker.assert_properties();
}
