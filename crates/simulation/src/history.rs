//! What callers, gateways and looks at the processes saw, in order of time, and the judgement on it. No input or
//! output, and no knowledge of how the world or the core works.
//!
//! A call's contents are told apart by its number, which each item that it sets carries. All that is dropped is alike.

use kitepass_config::Kind;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};

/// An item by kind and name.
pub type ItemName = (Kind, String);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Content {
    Dropped,
    /// By the call that says it.
    Set(u64),
}

/// What a call does to one item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Write {
    pub name: ItemName,
    pub version: u64,
    pub content: Content,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerStatus {
    Confirmed,
    /// 400
    Invalid,
    /// 409
    Taken,
    /// 503, 307, or none
    Unclear,
}

/// One thing that was seen. Times are microseconds of the world.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// A call is made up: its parts, by its number.
    Call { call: u64, parts: Vec<Write> },
    /// A call is sent to a process.
    Sent { sending: u64, call: u64 },
    /// No process is there for a sending.
    Unsent { sending: u64 },
    /// A process takes a sending up.
    Began { at: i64, sending: u64 },
    /// A process gave its answer to a sending, whether or not it reached the caller.
    Answered { at: i64, sending: u64, call: u64, node: usize, status: AnswerStatus },
    /// The answer to a sending reached its caller, who was waiting for it.
    Heard { sending: u64 },
    /// A `Get` reached a process.
    ReadBegan { at: i64, read: u64, node: usize },
    /// What it shows; of an item that is not there nothing.
    ReadEnded { at: i64, read: u64, shown: BTreeMap<ItemName, (u64, Content)> },
    /// A gateway has an item in force from now on.
    InForce { at: i64, gate: usize, part: Write },
    /// A gateway's process began anew, with nothing.
    GateBegan { gate: usize },
    /// A process holds a cast under this name and edition.
    ReplicaSet { at: i64, node: usize, name: &'static str, version: u64, mark: u64 },
    /// These processes do the duty at one moment.
    Duty { at: i64, nodes: Vec<usize> },
    /// An order on a zone reached a process.
    ZoneBegan { at: i64, order: u64, zone: String, on: bool },
    /// It was answered; `taken` if by 200.
    ZoneEnded { at: i64, order: u64, taken: bool },
    /// What a zone is at the end, by a process' word.
    ZoneIs { at: i64, node: usize, zone: String, on: bool },
    /// A bound in time was not met.
    Late { at: i64, what: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// What was confirmed, shown or in force is not shown by a read that began later.
    Lost,
    /// Two contents under one number.
    TwoContents,
    /// A call that was refused for good was confirmed, shown or in force; or one that was confirmed before is refused.
    ///
    /// 409 is for good whoever hears it. 400 is, once a caller has heard it and no other sending of the call is open: one
    /// whose answer is lost is sent again, and what stands may be other by then.
    RefusedYetThere,
    /// What is shown or in force was never sent.
    OutOfNowhere,
    /// A part of a call is there without the others.
    NotWhole,
    /// A gateway went back to an older version.
    WentBack,
    TwoDoTheDuty,
    TwoCasts,
    /// A process ends by itself.
    Panicked,
    /// An evacuation, or its end, that was confirmed is undone.
    ZoneUndone,
    Late,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub invariant: Invariant,
    pub at: i64,
    pub what: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "fault={:?} t={:.6} what={:?}", self.invariant, self.at as f64 / 1e6, self.what)
    }
}

/// Faults of one rule that are told at most.
const MOST_FAULTS: usize = 5;

struct Sending {
    call: u64,
    began: i64,
    status: Option<AnswerStatus>,
}

#[derive(Default)]
struct Checker<'a> {
    calls: BTreeMap<u64, &'a [Write]>,
    /// Calls that say a part.
    sayers: BTreeMap<&'a Write, Vec<u64>>,
    verdicts: BTreeMap<u64, BTreeSet<AnswerStatus>>,
    /// Sendings by number, and those of each call.
    sendings: BTreeMap<u64, Sending>,
    of_call: BTreeMap<u64, Vec<u64>>,
    /// Calls that were confirmed, and since when.
    confirmed: BTreeMap<u64, i64>,
    /// Calls that were refused for good.
    refused: BTreeSet<u64>,
    /// The one content of a number, and by what it was seen first.
    contents: BTreeMap<(&'a ItemName, u64), (Content, String)>,
    /// The highest version of each item that was confirmed, shown or in force.
    floors: BTreeMap<&'a ItemName, u64>,
    /// Drops that were sent, the highest version of each.
    drops: BTreeMap<&'a ItemName, u64>,
    reads: BTreeMap<u64, (i64, BTreeMap<&'a ItemName, u64>)>,
    /// Parts that were shown or in force, and where first.
    there: BTreeMap<Write, (i64, String)>,
    gates: BTreeMap<usize, BTreeMap<&'a ItemName, u64>>,
    replica_sets: BTreeMap<(&'static str, u64), (u64, usize)>,
    zones: BTreeMap<u64, (&'a str, bool, i64, Option<i64>, bool)>,
    violations: Vec<Violation>,
}

fn name_of(name: &ItemName) -> String {
    format!("{:?}/{}", name.0, name.1)
}

impl<'a> Checker<'a> {
    fn violation(&mut self, invariant: Invariant, at: i64, what: String) {
        if self.violations.iter().filter(|violation| violation.invariant == invariant).count() < MOST_FAULTS {
            self.violations.push(Violation { invariant, at, what });
        }
    }

    fn witness(&mut self, at: i64, part: &'a Write, by: String) {
        let known = self.contents.entry((&part.name, part.version)).or_insert((part.content, by.clone()));
        if known.0 != part.content {
            let what = format!(
                "{} r{}: {:?} by {}, {:?} by {by}",
                name_of(&part.name),
                part.version,
                known.0,
                known.1,
                part.content
            );
            self.violation(Invariant::TwoContents, at, what);
        }
    }

    fn raise(&mut self, name: &'a ItemName, version: u64) {
        let floor = self.floors.entry(name).or_default();
        *floor = (*floor).max(version);
    }

    /// A part is shown or in force.
    fn seen(&mut self, at: i64, part: &Write, by: &str) {
        let Some((said, _)) = self.sayers.get_key_value(part) else {
            let what = format!("{} r{} {:?} at {by}", name_of(&part.name), part.version, part.content);
            return self.violation(Invariant::OutOfNowhere, at, what);
        };
        let said = *said;
        self.there.entry(part.clone()).or_insert_with(|| (at, by.to_owned()));
        self.witness(at, said, by.to_owned());
        self.raise(&said.name, said.version);
    }

    fn answered(&mut self, at: i64, sending: u64, call: u64, node: usize, status: AnswerStatus) {
        self.verdicts.entry(call).or_default().insert(status);
        let began = self.sendings.get_mut(&sending).map_or(at, |sending| {
            sending.status = Some(status);
            sending.began
        });
        match status {
            AnswerStatus::Confirmed => {
                self.confirmed.entry(call).or_insert(at);
                for part in self.calls.get(&call).copied().unwrap_or_default() {
                    self.witness(at, part, format!("call {call} confirmed at s{node}"));
                    self.raise(&part.name, part.version);
                }
            }
            AnswerStatus::Taken => _ = self.refused.insert(call),
            AnswerStatus::Invalid => {
                if let Some(since) = self.confirmed.get(&call).filter(|since| **since < began) {
                    let since = *since as f64 / 1e6;
                    let what = format!("call {call} was confirmed at {since:.6}, and is refused at s{node}");
                    self.violation(Invariant::RefusedYetThere, at, what);
                }
            }
            AnswerStatus::Unclear => {}
        }
    }

    fn heard(&mut self, sending: u64) {
        let Some(Sending { call, status: Some(AnswerStatus::Invalid), .. }) = self.sendings.get(&sending)
        else {
            return;
        };
        let sendings = self.of_call.get(call).into_iter().flatten();
        let mut others = sendings.filter_map(|sending| self.sendings.get(sending));
        if others.all(|other| other.status == Some(AnswerStatus::Invalid)) {
            self.refused.insert(*call);
        }
    }

    fn read(&mut self, at: i64, read: u64, shown: &'a BTreeMap<ItemName, (u64, Content)>) {
        let Some((began, floors)) = self.reads.remove(&read) else { return };
        for (name, floor) in floors {
            let known = shown.get(name).map_or(0, |(version, _)| *version);
            // What is not there was dropped, by a version that may be as high as it must be.
            let dropped = known == 0 && self.drops.get(name).is_some_and(|version| *version >= floor);
            if known < floor && !dropped {
                let seen = if known == 0 { "nothing".to_owned() } else { format!("r{known}") };
                let what = format!(
                    "{}: r{floor} stood before read {read} began at {:.6}, it shows {seen}",
                    name_of(name),
                    began as f64 / 1e6
                );
                self.violation(Invariant::Lost, at, what);
            }
        }
        let mut callers = BTreeSet::new();
        for (name, (version, content)) in shown {
            self.seen(
                at,
                &Write { name: name.clone(), version: *version, content: *content },
                &format!("read {read}"),
            );
            if let Content::Set(call) = content {
                callers.insert(*call);
            }
        }
        for call in callers {
            for part in self.calls.get(&call).copied().unwrap_or_default() {
                let known = shown.get(&part.name).map_or(0, |(version, _)| *version);
                let dropped =
                    known == 0 && self.drops.get(&part.name).is_some_and(|drop| *drop >= part.version);
                if known < part.version && !dropped {
                    let what = format!(
                        "read {read} shows call {call} without {} r{}",
                        name_of(&part.name),
                        part.version
                    );
                    self.violation(Invariant::NotWhole, at, what);
                }
            }
        }
    }

    fn in_force(&mut self, at: i64, gate: usize, part: &'a Write) {
        let before = self.gates.entry(gate).or_default().insert(&part.name, part.version).unwrap_or(0);
        if part.version < before {
            let what = format!("g{gate}: {} from r{before} to r{}", name_of(&part.name), part.version);
            self.violation(Invariant::WentBack, at, what);
        }
        self.seen(at, part, &format!("g{gate}"));
    }

    fn replica_set(&mut self, at: i64, node: usize, name: &'static str, version: u64, mark: u64) {
        let (known, by) = *self.replica_sets.entry((name, version)).or_insert((mark, node));
        if known != mark {
            let what = format!("{name} edition {version} at s{by} and s{node}");
            self.violation(Invariant::TwoCasts, at, what);
        }
    }

    /// The end of a zone must be what an order said against which no later one was confirmed.
    fn zone(&mut self, at: i64, node: usize, zone: &str, on: bool) {
        let orders: Vec<_> = self.zones.values().filter(|order| order.0 == zone).copied().collect();
        let overruled = |ended: i64| {
            orders.iter().any(|(_, other, began, _, taken)| *other != on && *taken && *began > ended)
        };
        let first = (!on).then_some(-1);
        let ends = orders.iter().filter(|order| order.1 == on);
        let ends = ends.map(|(.., ended, taken)| if *taken { ended.unwrap_or(i64::MAX) } else { i64::MAX });
        if ends.chain(first).all(overruled) {
            self.violation(Invariant::ZoneUndone, at, format!("zone {zone} is on={on} at s{node}"));
        }
    }

    fn end(&mut self) {
        for call in std::mem::take(&mut self.refused) {
            if self.confirmed.contains_key(&call) {
                let what = format!("call {call}: {:?}", self.verdicts.get(&call));
                self.violation(Invariant::RefusedYetThere, self.confirmed[&call], what);
            }
            self.refused.insert(call);
        }
        for (part, (at, by)) in std::mem::take(&mut self.there) {
            let sayers = &self.sayers[&part];
            if sayers.iter().all(|call| self.refused.contains(call)) {
                let what = format!("{} r{} of calls {sayers:?} at {by}", name_of(&part.name), part.version);
                self.violation(Invariant::RefusedYetThere, at, what);
            }
        }
    }
}

/// All that is wrong with a history, in its order.
pub fn check_history(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut check_history = Checker::default();
    for seen in history {
        match seen {
            HistoryEvent::Call { call, parts } => {
                check_history.calls.insert(*call, parts);
                for part in parts {
                    check_history.sayers.entry(part).or_default().push(*call);
                    if part.content == Content::Dropped {
                        let drop = check_history.drops.entry(&part.name).or_default();
                        *drop = (*drop).max(part.version);
                    }
                }
            }
            HistoryEvent::Sent { sending, call } => {
                check_history
                    .sendings
                    .insert(*sending, Sending { call: *call, began: i64::MAX, status: None });
                check_history.of_call.entry(*call).or_default().push(*sending);
            }
            HistoryEvent::Unsent { sending } => _ = check_history.sendings.remove(sending),
            HistoryEvent::Began { at, sending } => {
                if let Some(sending) = check_history.sendings.get_mut(sending) {
                    sending.began = *at;
                }
            }
            HistoryEvent::Answered { at, sending, call, node, status } => {
                check_history.answered(*at, *sending, *call, *node, *status);
            }
            HistoryEvent::Heard { sending } => check_history.heard(*sending),
            HistoryEvent::ReadBegan { at, read, .. } => {
                let floors = check_history.floors.clone();
                check_history.reads.insert(*read, (*at, floors));
            }
            HistoryEvent::ReadEnded { at, read, shown } => check_history.read(*at, *read, shown),
            HistoryEvent::InForce { at, gate, part } => check_history.in_force(*at, *gate, part),
            HistoryEvent::GateBegan { gate } => _ = check_history.gates.remove(gate),
            HistoryEvent::ReplicaSet { at, node, name, version, mark } => {
                check_history.replica_set(*at, *node, name, *version, *mark)
            }
            HistoryEvent::Duty { at, nodes } if nodes.len() > 1 => {
                check_history.violation(Invariant::TwoDoTheDuty, *at, format!("{nodes:?}"));
            }
            HistoryEvent::Duty { .. } => {}
            HistoryEvent::ZoneBegan { at, order, zone, on } => {
                check_history.zones.insert(*order, (zone, *on, *at, None, false));
            }
            HistoryEvent::ZoneEnded { at, order, taken } => {
                if let Some(order) = check_history.zones.get_mut(order) {
                    (order.3, order.4) = (Some(*at), *taken);
                }
            }
            HistoryEvent::ZoneIs { at, node, zone, on } => check_history.zone(*at, *node, zone, *on),
            HistoryEvent::Late { at, what } => check_history.violation(Invariant::Late, *at, what.clone()),
        }
    }
    check_history.end();
    check_history.violations
}
