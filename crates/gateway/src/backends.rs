//! Backends: one record each, connections kept for reuse, and the legs on them. A connection carries one leg
//! at a time, and a leg is written at most once.

use crate::command::{CommandKey, State};
use crate::http::{Message, MessageKind, MessageReader, ParseError, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::poll::{self, empty, LineKey, ReadOutcome, ReadyEvent, Source};
use crate::runtime::{Event, Floor, LegEnded, Timer};
use crate::timer_wheel::TimerKey;
use kitepass_gateway_policy::{AttemptOutcome, BackendStatus};
use kitepass_time::{Duration, Timestamp};
use log::{debug, warn};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use slotmap::SlotMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// How far a leg had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reached {
    NotConnected,
    PartWritten,
    WholeWritten,
    PartAnswered,
}

/// Why it came no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Refused or reset.
    Broke(Errno),
    Closed,
    TimeUp,
    ParseError(ParseError),
    /// Nothing is to be sent any more: the backend drains or is gone, the command needs no answer, or there is
    /// no descriptor to send it by.
    Barred,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failure {
    reached: Reached,
    cause: Cause,
}

impl Failure {
    /// What a failure means for the decisions: a backend begins a command with its last byte, so whatever
    /// stopped a leg before that proves that it never ran.
    fn ending(self) -> AttemptOutcome {
        match (self.reached, self.cause) {
            (Reached::NotConnected, Cause::Barred) => AttemptOutcome::NotSent, // no blame for the backend
            (Reached::NotConnected | Reached::PartWritten, _) => AttemptOutcome::Unreachable,
            (_, Cause::TimeUp) => AttemptOutcome::TimedOut,
            (_, Cause::ParseError(_)) => AttemptOutcome::Failed,
            (..) => AttemptOutcome::ConnectionLost,
        }
    }
}

/// What a whole answer means.
fn answered(answer: &Message) -> AttemptOutcome {
    match answer.status() {
        200 => AttemptOutcome::Completed,
        503 | 504 if answer.field("x-never-ran") == Some(b"1") => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

#[derive(Default)]
struct Record {
    address: Option<SocketAddr>,
    live: bool,
    /// When something last came from it.
    heard: Timestamp,
    /// Connections that carry nothing, and since when, oldest first. Some may have been closed.
    idle: VecDeque<(Timestamp, LineKey)>,
}

/// A connection to a backend.
struct Line {
    socket: OwnedFd,
    backend: Rc<str>,
    connected: bool,
    leg: Option<Leg>,
    reader: MessageReader,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
}

struct Leg {
    command: CommandKey,
    timer: TimerKey,
    sent: Timestamp,
    until: Timestamp,
    to_head: bool,
    /// Its answer has begun.
    begun: bool,
}

pub struct Backends {
    records: BTreeMap<Rc<str>, Record>,
    lines: SlotMap<LineKey, Line>,
    /// Connections held at most.
    most: usize,
}

impl Backends {
    pub fn new(most: usize) -> Backends {
        Backends { records: BTreeMap::new(), lines: SlotMap::with_key(), most }
    }

    pub fn any_listed(&self) -> bool {
        self.records.values().any(|record| record.live)
    }
}

impl Floor {
    /// What the list says of a backend; `None` for an address that cannot be read.
    pub fn list_backend(&mut self, id: &str, address: Option<SocketAddr>, standing: BackendStatus) {
        if standing == BackendStatus::Removed {
            self.close_idle_lines(id);
            self.backends.records.remove(id);
            return;
        }
        let record = self.backends.records.entry(id.into()).or_default();
        let moved = address.is_some() && record.address != address;
        record.address = address.or(record.address);
        record.live = standing == BackendStatus::Live;
        if moved || !record.live {
            self.close_idle_lines(id);
        }
    }

    /// Forgets all backends that a whole list leaves out.
    pub fn keep_backends(&mut self, listed: impl Fn(&str) -> bool) {
        let gone: Vec<_> = self.backends.records.keys().filter(|id| !listed(id)).cloned().collect();
        for id in gone {
            self.list_backend(&id, None, BackendStatus::Removed);
        }
    }

    fn close_idle_lines(&mut self, id: &str) {
        let Some(record) = self.backends.records.get_mut(id) else { return };
        for (_, key) in record.idle.drain(..) {
            self.backends.lines.remove(key);
        }
    }

    pub fn begin_leg(&mut self, command: CommandKey, backend: &str, allow: Duration) {
        let now = self.now();
        let Some(taken) = self.commands.get_mut(command).filter(|c| c.state() == State::Held) else { return };
        taken.legs += 1;
        let (intake, until) = (taken.intake.clone(), taken.outer_limit.min(now + allow));
        self.commands.shift(command, State::Out);
        let Some((name, record)) = self.backends.records.get_key_value(backend) else {
            return self.leg_unsent(command, backend.into(), AttemptOutcome::NotSent);
        };
        let name = name.clone();
        let Some(address) = record.address else {
            return self.leg_unsent(command, name, AttemptOutcome::NotSent);
        };
        if until <= now || !record.live {
            return self.leg_unsent(command, name, AttemptOutcome::NotSent);
        }
        let key = match self.reuse_line(backend, now) {
            Some(key) => key,
            None => match self.open_line(&name, &address) {
                Ok(key) => key,
                Err(error) => {
                    debug!("{name}: no connection: {error}");
                    let short = matches!(error, Errno::MFILE | Errno::NFILE);
                    let cause = if short { Cause::Barred } else { Cause::Broke(error) };
                    let failure = Failure { reached: Reached::NotConnected, cause };
                    return self.leg_unsent(command, name, failure.ending());
                }
            },
        };
        let connected = self.backends.lines[key].connected;
        let due = if connected { until } else { until.min(now + self.carriage.connect_within) };
        let timer = self.timers.set(due, Timer::Leg(key));
        let line = &mut self.backends.lines[key];
        intake.leg(until - now, &mut line.output);
        line.leg = Some(Leg { command, timer, sent: now, until, to_head: intake.is_head(), begun: false });
        if connected {
            self.write_line(key);
        }
    }

    /// A leg of which nothing has been written.
    fn leg_unsent(&mut self, command: CommandKey, backend: Rc<str>, ending: AttemptOutcome) {
        let ended =
            LegEnded { command, backend, ending, over: false, took: Duration::ZERO, true_units: None };
        self.end_leg(ended, None);
    }

    /// A kept connection that the backend has not closed.
    fn reuse_line(&mut self, backend: &str, now: Timestamp) -> Option<LineKey> {
        let oldest = now - self.keeps_idle();
        let record = self.backends.records.get_mut(backend)?;
        while let Some((since, key)) = record.idle.pop_back() {
            let Some(line) = self.backends.lines.get(key) else { continue };
            // What the backend has closed by now would swallow a command, which may have run for all we know.
            if since > oldest && poll::is_quiet(&line.socket) {
                return Some(key);
            }
            self.backends.lines.remove(key);
        }
        None
    }

    /// Backends close connections that have been idle for some time; ours are closed before that.
    fn keeps_idle(&self) -> Duration {
        self.carriage.idle / 8 * 7
    }

    fn open_line(&mut self, backend: &Rc<str>, address: &SocketAddr) -> rustix::io::Result<LineKey> {
        if self.backends.lines.len() >= self.backends.most {
            self.close_longest_idle();
        }
        if self.backends.lines.len() >= self.backends.most {
            return Err(Errno::MFILE);
        }
        let line = |key| {
            Ok(Line {
                socket: self.poll.connect(address, Source::Line(key))?,
                backend: backend.clone(),
                connected: false,
                leg: None,
                reader: MessageReader::default(),
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
            })
        };
        self.backends.lines.try_insert_with_key(line)
    }

    fn close_longest_idle(&mut self) {
        while self.backends.lines.len() >= self.backends.most {
            let idle = self.backends.records.values_mut().filter(|record| !record.idle.is_empty());
            let Some(record) = idle.min_by_key(|record| record.idle[0].0) else { return };
            if let Some((_, key)) = record.idle.pop_front() {
                self.backends.lines.remove(key);
            }
        }
    }

    /// Closes what has been idle for long, and does so again.
    pub fn drop_idle_lines(&mut self) {
        let now = self.now();
        let oldest = now - self.keeps_idle();
        for record in self.backends.records.values_mut() {
            while record.idle.front().is_some_and(|(since, _)| *since <= oldest) {
                if let Some((_, key)) = record.idle.pop_front() {
                    self.backends.lines.remove(key);
                }
            }
        }
        self.wake_at(now + self.carriage.idle / 16, Timer::DropIdleLines);
    }

    pub fn line_ready(&mut self, ready: ReadyEvent, key: LineKey) {
        if ready.write && !self.connected(key) {
            return;
        }
        if ready.read {
            self.read_line(key, ready.ended);
        }
    }

    /// A socket that is ready to write is connected, or has failed to.
    fn connected(&mut self, key: LineKey) -> bool {
        let now = self.now();
        let Some(line) = self.backends.lines.get_mut(key) else { return false };
        if !line.connected {
            if let Err(error) = poll::made(&line.socket) {
                self.fail_line(key, Cause::Broke(error));
                return false;
            }
            let Some(leg) = &mut line.leg else { return true };
            let until = leg.until;
            self.timers.take_back(leg.timer);
            leg.timer = self.timers.set(until, Timer::Leg(key));
            // While the connection came up the backend may have been told to drain, or the client have left.
            let waited_for = self.commands.get(leg.command).is_some_and(|c| c.state() == State::Out);
            let live = self.backends.records.get(&line.backend).is_some_and(|record| record.live);
            if !live || !waited_for {
                self.fail_line(key, Cause::Barred);
                return false;
            }
            if until <= now {
                self.fail_line(key, Cause::TimeUp);
                return false;
            }
            if let Some(line) = self.backends.lines.get_mut(key) {
                line.connected = true;
            }
        }
        self.write_line(key);
        true
    }

    fn write_line(&mut self, key: LineKey) {
        let Some(line) = self.backends.lines.get_mut(key) else { return };
        if let Err(error) = poll::write(&line.socket, &line.output, &mut line.written) {
            // An answer may have come before the connection broke.
            if line.written > 0 && line.leg.is_some() {
                self.read_line(key, true);
            }
            self.fail_line(key, Cause::Broke(error));
        }
    }

    fn read_line(&mut self, key: LineKey, ended: bool) {
        let now = self.now();
        loop {
            let Some(line) = self.backends.lines.get_mut(key) else { return };
            if !line.connected {
                return;
            }
            let came = poll::read(&line.socket, &mut self.scratch, &mut line.input, ended);
            let Some(leg) = &mut line.leg else {
                // Closed by the backend, or saying something that nobody asked for: no use any more.
                if came != Ok(ReadOutcome::Nothing) || !line.input.is_empty() {
                    self.backends.lines.remove(key);
                }
                return;
            };
            let kind = MessageKind::Answer { to_head: leg.to_head };
            let ended = matches!(came, Ok(ReadOutcome::End));
            match line.reader.next(kind, &mut line.input, ended) {
                Ok(Some(answer)) => return self.answered(key, answer, ended),
                Ok(None) if line.reader.begun(&line.input) && !leg.begun => {
                    // A length that does not fit keeps the rest of an answer waited for: an answer that has begun
                    // takes no longer than a connection does to come up.
                    leg.begun = true;
                    let due = leg.until.min(now + self.carriage.connect_within);
                    self.timers.take_back(leg.timer);
                    leg.timer = self.timers.set(due, Timer::Leg(key));
                }
                Ok(None) => {}
                Err(fault) => {
                    warn!("{}: an answer that is none: {fault:?}", line.backend);
                    return self.fail_line(key, Cause::ParseError(fault));
                }
            }
            if line.input.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
                return self.fail_line(key, Cause::ParseError(ParseError::BodyTooLarge));
            }
            match came {
                Ok(ReadOutcome::Bytes) => {}
                Ok(ReadOutcome::Nothing) => return,
                Ok(ReadOutcome::End) => return self.fail_line(key, Cause::Closed),
                Err(error) => return self.fail_line(key, Cause::Broke(error)),
            }
        }
    }

    /// A whole answer has come.
    fn answered(&mut self, key: LineKey, answer: Message, ended: bool) {
        let now = self.now();
        let Some(line) = self.backends.lines.get_mut(key) else { return };
        let Some(leg) = line.leg.take() else { return };
        self.timers.take_back(leg.timer);
        let backend = line.backend.clone();
        let whole = line.written == line.output.len();
        empty(&mut line.output);
        line.written = 0;
        let mut record = self.backends.records.get_mut(&backend);
        if let Some(record) = &mut record {
            record.heard = now;
        }
        match record {
            Some(record)
                if record.live && whole && !ended && answer.keeps_open() && line.input.is_empty() =>
            {
                record.idle.push_back((now, key));
            }
            _ => drop(self.backends.lines.remove(key)),
        }
        let ending = answered(&answer);
        let units =
            answer.field("x-true-cost").and_then(|units| std::str::from_utf8(units).ok()?.parse().ok());
        let true_units = units.filter(|units: &f64| *units > 0.0 && *units < 1e6);
        let took = now - leg.sent;
        let ended = LegEnded { command: leg.command, backend, ending, over: false, took, true_units };
        self.end_leg(ended, Some(&answer));
    }

    /// A leg's time is up, or its connection's to be made.
    pub fn leg_due(&mut self, key: LineKey) {
        let begun =
            self.backends.lines.get(key).and_then(|line| line.leg.as_ref()).is_some_and(|leg| leg.begun);
        let stalled = Cause::ParseError(ParseError::Malformed("an answer that does not go on"));
        self.fail_line(key, if begun { stalled } else { Cause::TimeUp });
    }

    /// Ends a connection and the leg on it.
    fn fail_line(&mut self, key: LineKey, cause: Cause) {
        let now = self.now();
        let Some(line) = self.backends.lines.remove(key) else { return };
        let Some(leg) = line.leg else { return };
        self.timers.take_back(leg.timer);
        let reached = match () {
            () if !line.connected => Reached::NotConnected,
            () if line.written < line.output.len() => Reached::PartWritten,
            () if line.reader.begun(&line.input) => Reached::PartAnswered,
            () => Reached::WholeWritten,
        };
        let failure = Failure { reached, cause };
        // A machine that has vanished leaves its connections open and silent: a leg over one of them may have
        // run for all we know, while a new connection that does not come up proves that nothing ran.
        let heard = self.backends.records.get(&line.backend).map_or(now, |record| record.heard);
        if cause == Cause::TimeUp && heard < leg.sent {
            self.close_idle_lines(&line.backend);
        }
        debug!("{}: {failure:?}", line.backend);
        let (command, backend, took) = (leg.command, line.backend, now - leg.sent);
        let ended =
            LegEnded { command, backend, ending: failure.ending(), over: false, took, true_units: None };
        self.end_leg(ended, None);
    }

    fn end_leg(&mut self, mut ended: LegEnded, answer: Option<&Message>) {
        let Some(command) = self.commands.get_mut(ended.command) else { return };
        command.last = Some(ended.ending);
        let parted = command.state() == State::Parted;
        if let Some(answer) = answer.filter(|_| ended.ending == AttemptOutcome::Completed && !parted) {
            self.settle(ended.command, answer);
            ended.over = true;
        }
        ended.over |= parted;
        let to = if ended.over { State::Over } else { State::Held };
        self.commands.shift(ended.command, to);
        self.events.push_back(Event::LegEnded(ended));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Reached::*;

    #[test]
    fn only_what_cannot_have_run_is_said_never_to_have_run() {
        let refused = Cause::Broke(Errno::CONNREFUSED);
        let reset = Cause::Broke(Errno::CONNRESET);
        let nonsense = Cause::ParseError(ParseError::Malformed("nonsense"));
        for (reached, cause, ending) in [
            (NotConnected, refused, AttemptOutcome::Unreachable),
            (NotConnected, Cause::TimeUp, AttemptOutcome::Unreachable),
            (NotConnected, Cause::Barred, AttemptOutcome::NotSent),
            (PartWritten, reset, AttemptOutcome::Unreachable),
            (PartWritten, Cause::TimeUp, AttemptOutcome::Unreachable),
            (WholeWritten, reset, AttemptOutcome::ConnectionLost),
            (WholeWritten, Cause::Closed, AttemptOutcome::ConnectionLost),
            (WholeWritten, Cause::TimeUp, AttemptOutcome::TimedOut),
            (PartAnswered, Cause::TimeUp, AttemptOutcome::TimedOut),
            (PartAnswered, Cause::Closed, AttemptOutcome::ConnectionLost),
            (PartAnswered, nonsense, AttemptOutcome::Failed),
        ] {
            assert_eq!(Failure { reached, cause }.ending(), ending, "{reached:?} {cause:?}");
        }
    }

    #[test]
    fn an_answer_means_what_the_protocol_says() {
        for (text, ending) in [
            ("200 OK", AttemptOutcome::Completed),
            ("500 No", AttemptOutcome::Failed),
            ("503 No", AttemptOutcome::Failed),
            ("503 No\r\nX-Never-Ran: 0", AttemptOutcome::Failed),
            ("503 No\r\nX-Never-Ran: 1", AttemptOutcome::Rejected),
            ("504 No\r\nx-never-ran: 1", AttemptOutcome::Rejected),
            ("500 No\r\nX-Never-Ran: 1", AttemptOutcome::Failed),
            ("204 None", AttemptOutcome::Failed),
        ] {
            let mut input = format!("HTTP/1.1 {text}\r\nContent-Length: 0\r\n\r\n").into_bytes();
            let answer =
                MessageReader::default().next(MessageKind::Answer { to_head: false }, &mut input, false);
            assert_eq!(answered(&answer.unwrap().unwrap()), ending, "{text}");
        }
    }
}
