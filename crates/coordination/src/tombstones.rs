//! When a dropped item may be forgotten: once every seat of the cast has held the drop, on disk, for a stated time of the
//! holder's own steady clock. Gateways that were away for half that time begin anew from nothing, and so does a control
//! process that stands outside of the cast or was away from it; so nothing is left that could bring back what was
//! dropped. See docs/control-size.md.

use kitepass_config::{ItemStore, Kind};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The kinds whose drops are forgotten. Evacuations are as few as zones, and their versions are drawn from the last.
const KINDS: [Kind; 3] = [Kind::Route, Kind::Tenant, Kind::Service];
/// Forgotten at one time.
const MOST: usize = 1_024;

/// How far the drop of an item has come. [`TombstoneCollector::due`] alone changes it.
#[derive(Debug)]
struct Tomb {
    version: u64,
    /// Known here since.
    seen: Timestamp,
    /// Known to be on the disks of all seats since.
    held: Option<Timestamp>,
}

/// A drop that may be forgotten.
pub type ExpiredTombstone = (Kind, Arc<str>, u64);

/// What whoever does the duty knows of drops; with the duty it begins from nothing.
#[derive(Debug)]
pub struct TombstoneCollector {
    age: Duration,
    tombs: BTreeMap<(Kind, Arc<str>), Tomb>,
    /// By seat, when it held last what is held here, all of it on disk.
    agreed: BTreeMap<String, Timestamp>,
}

impl TombstoneCollector {
    pub fn new(age: Duration) -> TombstoneCollector {
        TombstoneCollector { age, tombs: BTreeMap::new(), agreed: BTreeMap::new() }
    }

    /// The duty has come or gone. Danger: what an earlier term knew of the seats is not so any more.
    pub fn clear(&mut self) {
        self.tombs.clear();
        self.agreed.clear();
    }

    /// A seat says that it holds, all on disk, what is held here.
    pub fn replica_persisted(&mut self, now: Timestamp, replica: &str) {
        self.agreed.insert(replica.to_owned(), now);
    }

    /// Drops that may be forgotten now; to be called every few seconds with the seats of all casts that count.
    pub fn expired(
        &mut self,
        now: Timestamp,
        item_store: &ItemStore,
        replicas: &BTreeSet<String>,
    ) -> Vec<ExpiredTombstone> {
        self.agreed.retain(|replica, _| replicas.contains(replica));
        let all = replicas.iter().map(|replica| self.agreed.get(replica)).min().flatten().copied();
        self.tombs.retain(|(kind, name), tomb| {
            item_store.get(*kind, name).is_some_and(|item| !item.is_set() && item.version == tomb.version)
        });
        let mut due = Vec::new();
        for item in KINDS.iter().flat_map(|kind| item_store.items_of(*kind)).filter(|item| !item.is_set()) {
            let new = || Tomb { version: item.version, seen: now, held: None };
            let tomb = self.tombs.entry((item.kind, item.name.clone())).or_insert_with(new);
            // A seat that has come since counts too.
            let Some(all) = all.filter(|all| *all > tomb.seen) else { continue };
            let held = *tomb.held.get_or_insert(now.max(all));
            if now - held >= self.age && due.len() < MOST {
                due.push((item.kind, item.name.clone(), item.version));
            }
        }
        due
    }
}
