//! Operators: what they want next, and what they do with an answer or without one.

use crate::history::{Content, ItemName, Write};
use crate::process::{items_of, OperatorRequest};
use crate::rng::Rng;
use crate::scenario::Workload;
use kitepass_config::Kind;
use std::collections::{BTreeMap, VecDeque};

/// A caller goes elsewhere after so long without an answer.
pub const SILENCE: i64 = 1_000_000;
/// Then it gives up.
const MOST_TRIES: u32 = 30;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    Read,
    Change(u64),
    Zone { zone: String, on: bool },
}

/// One caller, and what it has under way.
#[derive(Default)]
pub struct Operator {
    pub task: Option<Operation>,
    pub tries: u32,
    /// The sending whose answer it waits for.
    pub awaits: Option<u64>,
}

/// What all operators know together.
#[derive(Default)]
pub struct ChangeRegistry {
    pub calls: BTreeMap<u64, Vec<Write>>,
    /// Those that were confirmed, as far as a caller heard.
    pub confirmed: Vec<u64>,
    /// Calls that are to race with one that was just made up.
    pub waiting: VecDeque<Operation>,
    newest: u64,
    /// Versions of each item that were used lately.
    used: BTreeMap<ItemName, Vec<u64>>,
}

impl ChangeRegistry {
    pub fn wish(&self, task: &Operation) -> OperatorRequest {
        match task {
            Operation::Read => OperatorRequest::Read,
            Operation::Change(call) => OperatorRequest::Change(items_of(&self.calls[call])),
            Operation::Zone { zone, on } => OperatorRequest::Zone { zone: zone.clone(), on: *on },
        }
    }

    /// Notes a call of these items.
    pub fn call(&mut self, items: &[(ItemName, u64, bool)]) -> u64 {
        let call = self.calls.len() as u64 + 1;
        let part = |(name, version, set): &(ItemName, u64, bool)| Write {
            name: name.clone(),
            version: *version,
            content: if *set { Content::Set(call) } else { Content::Dropped },
        };
        self.calls.insert(call, items.iter().map(part).collect());
        for (name, version, _) in items {
            self.newest = self.newest.max(*version);
            let used = self.used.entry(name.clone()).or_default();
            if !used.contains(version) {
                used.push(*version);
                used.sort();
                if used.len() > 6 {
                    used.remove(0);
                }
            }
        }
        call
    }

    /// What a caller wants next, and how often: once, or more where callers race. `counts` tells of each kind.
    pub fn next(
        &mut self,
        workload: &Workload,
        zones: &[String],
        chance: &mut Rng,
    ) -> (Operation, &'static str) {
        if let Some(task) = self.waiting.pop_front() {
            return (task, "race");
        }
        if chance.percent(workload.reads) {
            return (Operation::Read, "read");
        }
        if chance.percent(workload.zones) {
            let zone = zones[chance.below(zones.len().min(2))].clone();
            return (Operation::Zone { zone, on: chance.percent(50) }, "zone");
        }
        if chance.percent(workload.resends) {
            if let Some(call) = chance.one_of(&self.confirmed) {
                return (Operation::Change(*call), "resend");
            }
        }
        let items = self.items(workload, chance);
        let call = self.call(&items);
        if chance.percent(workload.races) {
            for _ in 0..1 + chance.below(2) {
                // The rival says the same items, or one of them.
                let rival: Vec<_> =
                    if chance.percent(70) { items.clone() } else { items.iter().take(1).cloned().collect() };
                let rival = self.call(&rival);
                self.waiting.push_back(Operation::Change(rival));
            }
        }
        (Operation::Change(call), "change")
    }

    fn items(&mut self, workload: &Workload, chance: &mut Rng) -> Vec<(ItemName, u64, bool)> {
        let n = chance.below(5);
        let line = (Kind::Service, format!("l{n}"));
        let route = (Kind::Route, format!("r{}-l{n}", chance.below(2)));
        let tenant = (Kind::Tenant, format!("t{}-k{n}", chance.below(2)));
        let mut version = self.newest + chance.among(1, 4) as u64;
        if chance.percent(workload.old) {
            let used = self.used.get(&line).and_then(|used| chance.one_of(used)).copied();
            version = used.unwrap_or(version).saturating_sub(chance.below(2) as u64).max(1);
        }
        match chance.below(10) {
            0..=4 => vec![(line, version, true)],
            5 | 6 => vec![(line, version, true), (route, version, true)],
            7 => vec![(tenant, version, true), (line, version, true)],
            8 => vec![(route, version, false)],
            _ => vec![(line, version, false)],
        }
    }
}

impl Operator {
    /// Whether it tries again.
    pub fn goes_on(&mut self) -> bool {
        self.tries += 1;
        self.tries < MOST_TRIES
    }
}
