//! A request's way to its one final answer, leg by leg, from the connection to settled. No input or output: [`Way`] is
//! told what happens and says what follows, [`Answer`] reads what a backend says. The sockets around them are the
//! server's. docs/control-answers.md has the table of states, and why it holds.

use crate::load_balancer::End;
use kitepass_net::http::body::{Body, Head, HeadReader};
use kitepass_net::http::MessageKind;

/// Heads of answers are taken up to this length.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of an answer that are looked at before any go to the client; a longer one passes through as it comes.
pub const LONG: usize = 256 * 1024;

/// Where a request stands. [`Way::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Its body is on the way, or it waits for a leg.
    Held,
    /// A leg's connection is on its way: nothing of the request has left.
    Connecting,
    /// The connection is there, and no byte of the request has been given to it.
    Handed,
    /// The request may run from here on.
    Written,
    /// The head of its answer has gone to the client; the rest follows as it comes.
    Answering,
    /// It has its final answer, or its client's connection is gone.
    Settled,
}

/// What follows from what happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Next {
    /// Nothing: it goes on.
    Wait,
    /// It is held again: another leg goes if [`Way::may_follow`] and somebody can take it, else it is refused.
    Again,
    /// The same, but where no other leg goes, the client gets the failure that the backend gave.
    AgainOrDeliver,
    /// The whole answer goes to the client.
    Deliver,
    /// A long answer's head and first bytes go to the client.
    PassFirst,
    /// More of it.
    PassOn,
    /// Its last bytes, and what says that it is whole.
    PassEnd,
    /// The client gets an answer of this gateway's own, with this status.
    Refuse(u16),
    /// The client's connection is broken off.
    BreakOff,
}

/// A request's way. At most one leg is out at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Way {
    state: State,
    /// The route lets it run more than once.
    repeats: bool,
    tries: u32,
    /// Legs whose connection was there.
    sent: u32,
    /// A leg ended that may have run.
    ran: bool,
    /// All that has come of the body is still here.
    kept: bool,
}

impl Way {
    pub fn new(repeats: bool, tries: u32) -> Way {
        Way { state: State::Held, repeats, tries, sent: 0, ran: false, kept: true }
    }

    pub fn state(&self) -> State {
        self.state
    }

    fn shift(&mut self, to: State) {
        debug_assert!(self.state != State::Settled, "it has had its answer: nothing else may follow");
        debug_assert!(self.state != State::Answering || to == State::Settled, "its answer has begun");
        self.state = to;
    }

    /// Whether the route lets it run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.repeats
    }

    pub fn sent(&self) -> u32 {
        self.sent
    }

    pub fn is_out(&self) -> bool {
        matches!(self.state, State::Connecting | State::Handed | State::Written)
    }

    /// Whether it has run, runs, or may yet by what was sent.
    pub fn may_have_run(&self) -> bool {
        self.ran || matches!(self.state, State::Written | State::Answering)
    }

    /// Whether a leg may go, after the one that is out if one is. Danger: a once-only request that may have run would
    /// run twice; and of a body that is not here any longer the rest would pass for the whole.
    pub fn may_follow(&self) -> bool {
        let open = !matches!(self.state, State::Answering | State::Settled);
        open && self.kept && self.sent < self.tries && (self.repeats || !self.may_have_run())
    }

    /// What a request that gets no further leg is told. Danger: what may have run would be promised not to.
    pub fn refusal(&self) -> u16 {
        if self.may_have_run() {
            502
        } else {
            503
        }
    }

    /// A leg begins, on a connection that is there or on its way; false if none may. A second leg beside the first is
    /// none that may.
    pub fn begin(&mut self, made: bool) -> bool {
        if self.state != State::Held || !self.may_follow() {
            return false;
        }
        self.shift(State::Connecting);
        if made {
            self.made();
        }
        true
    }

    /// The leg's connection is there.
    pub fn made(&mut self) {
        if self.state == State::Connecting {
            self.sent += 1;
            self.shift(State::Handed);
        }
    }

    /// Bytes of the request were given to the connection.
    pub fn wrote(&mut self) {
        if self.state == State::Handed {
            self.shift(State::Written);
        }
    }

    /// A part of the body was let go.
    pub fn passed(&mut self) {
        self.kept = false;
    }

    /// The leg is over and brought no answer: its connection was not made, ended, broke, or brought what is none.
    pub fn lost(&mut self) -> Next {
        match self.state {
            // Danger: half an answer that looks whole. The client's connection breaks off with it.
            State::Answering => {
                self.shift(State::Settled);
                Next::BreakOff
            }
            State::Connecting | State::Handed | State::Written => self.hold(true),
            State::Held | State::Settled => Next::Wait,
        }
    }

    /// Back from a leg, which may have run if any of it was written and the backend does not say otherwise.
    fn hold(&mut self, may_have_run: bool) -> Next {
        self.ran |= may_have_run && self.state == State::Written;
        self.shift(State::Held);
        Next::Again
    }

    /// A whole answer has come.
    pub fn answered(&mut self, verdict: Verdict) -> Next {
        match (self.state, verdict) {
            (State::Answering, _) => {
                self.shift(State::Settled);
                Next::PassEnd
            }
            (State::Written, Verdict::Good | Verdict::PassOn) => {
                self.shift(State::Settled);
                Next::Deliver
            }
            (State::Written, Verdict::Failed) => {
                self.hold(true);
                Next::AgainOrDeliver
            }
            (State::Written, Verdict::NotRun(_)) => self.hold(false),
            // Danger: what answers a request of which nothing was sent answers another one.
            _ => self.lost(),
        }
    }

    /// More has come of a long answer than is looked at before it goes on.
    pub fn is_long(&mut self, verdict: Verdict) -> Next {
        match (self.state, verdict) {
            (State::Answering, _) => Next::PassOn,
            (State::Written, Verdict::Good | Verdict::PassOn) => {
                self.shift(State::Answering);
                Next::PassFirst
            }
            // It is not the client's, however long it is.
            _ => self.lost(),
        }
    }

    /// A backend's own failure goes to the client, as no other leg does.
    pub fn deliver(&mut self) -> bool {
        let may = self.state == State::Held;
        if may {
            self.shift(State::Settled);
        }
        may
    }

    /// The leg that is out takes too long; whether it is left, to go where somebody waits to take the next one.
    pub fn overdue(&mut self) -> bool {
        let may = self.is_out() && self.repeats && self.may_follow();
        if may {
            self.hold(true);
        }
        may
    }

    /// Its time is over.
    pub fn deadline(&mut self) -> Next {
        if self.state == State::Answering {
            return self.lost();
        }
        self.refuse(if self.sent == 0 { 503 } else { 504 })
    }

    /// It gets an answer of this gateway's own. Danger: 408, 421, 429 and 503 promise that it never runs.
    pub fn refuse(&mut self, status: u16) -> Next {
        match self.state {
            State::Settled => Next::Wait,
            State::Answering => self.lost(),
            _ => {
                let promise = matches!(status, 408 | 421 | 429 | 503);
                let status = if promise && self.may_have_run() { 502 } else { status };
                self.shift(State::Settled);
                Next::Refuse(status)
            }
        }
    }

    /// The process ends: what never left is the client's to send again, what may be at work breaks off with it.
    pub fn end(&mut self) -> Next {
        if self.state == State::Settled {
            return Next::Wait;
        }
        if !self.may_have_run() {
            return self.refuse(503);
        }
        self.shift(State::Settled);
        Next::BreakOff
    }

    /// The client is gone: nobody is there for an answer.
    pub fn gone(&mut self) {
        if self.state != State::Settled {
            self.shift(State::Settled);
        }
    }
}

/// What an answer is worth, by its head alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Good,
    /// A failure of the backend's own, for a request that may be repeated.
    Failed,
    /// Whatever else the backend says of its own.
    PassOn,
    NotRun(End),
    /// No answer of the backend's to this request.
    Spoilt,
}

impl Verdict {
    pub fn of(head: &Head, repeats: bool) -> Verdict {
        match head.status() {
            421 => Verdict::NotRun(End::Elsewhere),
            _ if head.field("x-not-delivered").is_some() => Verdict::NotRun(End::TurnedAway),
            200..=299 if head.field("x-postmark").is_none() || head.field("content-encoding").is_some() => {
                Verdict::Spoilt
            }
            200..=299 => Verdict::Good,
            // The system's own promises, which this answer does not give: it may have run.
            408 | 429 | 503 => Verdict::Spoilt,
            500..=599 if repeats => Verdict::Failed,
            _ => Verdict::PassOn,
        }
    }

    /// What the backend is thought of for it.
    pub fn end(self) -> End {
        match self {
            Verdict::Good | Verdict::PassOn => End::Settled,
            Verdict::Failed => End::Failed,
            Verdict::NotRun(end) => end,
            Verdict::Spoilt => End::Broken,
        }
    }
}

/// How a connection's input stands behind what has come of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tail {
    Open,
    /// The other side has ended its sending in order.
    Ended,
    /// The connection broke: what came before may still be a whole answer, and nothing ends with it.
    Broken,
}

/// What has come of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Not all.
    Part,
    Whole,
    /// So much that it passes through.
    Long,
    /// None will come, and why.
    Nothing(&'static str),
}

/// The answer to a leg, as it comes.
#[derive(Debug, Default)]
pub struct Answer {
    reader: HeadReader,
    pub head: Option<Head>,
    body: Option<Body>,
    /// What has come of its body and has not gone on.
    pub got: Vec<u8>,
    /// Bytes of a surplus answer are read off and dropped.
    surplus: bool,
}

/// Whose answer is read.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The request's id.
    pub id: &'a [u8],
    /// The request is a HEAD: its answer has no body.
    pub to_head: bool,
    /// A HEAD went over the connection at some time.
    pub headed: bool,
    /// A longer answer passes through as it comes.
    pub long: usize,
}

impl Answer {
    /// Reads on in what has come.
    pub fn read(&mut self, asked: Asked, input: &mut Vec<u8>, tail: Tail) -> Came {
        loop {
            if self.head.is_none() {
                match self.reader.next(MessageKind::Answer { to_head: asked.to_head }, input, MAX_HEAD_BYTES)
                {
                    Ok(None) if tail != Tail::Open => return Came::Nothing("closed"),
                    Ok(None) => return Came::Part,
                    Err(_) => return Came::Nothing("garbled"),
                    Ok(Some((head, framing))) => {
                        // A surplus answer to an earlier request may stand in this one's place.
                        let Some(theirs) = head.field("x-try-id") else { return Came::Nothing("nameless") };
                        self.surplus = theirs != asked.id;
                        if self.surplus && (asked.to_head || asked.headed) {
                            // Danger: where it ends hangs on the method of the request that it answers. Read by
                            // another one's, bytes of its body would pass for the next answer.
                            return Came::Nothing("surplus-to-head");
                        }
                        self.body = Some(Body::new(framing));
                        self.head = Some(head);
                        self.got.clear();
                    }
                }
            }
            let body = self.body.as_mut().expect("set with the head");
            let stood = input.len();
            let room = (2 * asked.long).saturating_sub(self.got.len());
            let whole = match body.read(input, &mut self.got, room) {
                // Danger: a body that goes to the connection's end would be whole wherever that broke.
                Ok(whole) => whole || tail == Tail::Ended && input.is_empty() && body.ended().is_ok(),
                Err(_) => return Came::Nothing("garbled"),
            };
            if self.surplus {
                self.got.clear();
                if whole {
                    self.head = None;
                    continue;
                }
                if input.len() < stood && !input.is_empty() {
                    continue;
                }
            }
            return match (whole, tail) {
                (true, _) => Came::Whole,
                (false, Tail::Ended | Tail::Broken) => Came::Nothing("cut-short"),
                _ if self.got.len() >= asked.long => Came::Long,
                _ => Came::Part,
            };
        }
    }
}

/// Whether a connection may rest for another request, its answer being whole. Danger: bytes behind an answer belong to
/// no request, an unsent rest of a body would be taken for one, and one that has ended takes nothing.
pub fn may_rest(verdict: Verdict, tail: Tail, unread: usize, unsent: usize, finished: bool) -> bool {
    verdict != Verdict::Spoilt && tail == Tail::Open && unread == 0 && unsent == 0 && finished
}
