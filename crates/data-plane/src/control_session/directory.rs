//! The control processes that a gateway knows, and the selection of the one to open a session with.

use kitepass_config::ItemStore;
use kitepass_coordination::membership::{ReplicaSet, CURRENT};
use kitepass_time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// After a failed attempt a control process is not tried again for this time, multiplied by the number of consecutive
/// failures.
const RETRY_INTERVAL: Duration = Duration::from_micros(350_000);
/// Consecutive failures after which the interval no longer grows.
const MAX_BACKOFF_FAILURES: u32 = 6;
/// How long a control process that was found isolated from the quorum is avoided, multiplied by how often in a row it
/// was found isolated, up to [`MAX_AVOIDANCE_TIME`].
///
/// Invariant: when all control processes are isolated, gateways do not cycle through them endlessly.
const BASE_AVOIDANCE_TIME: Duration = Duration::from_micros(10_000_000);
/// Maximum time for which an isolated control process is avoided.
const MAX_AVOIDANCE_TIME: Duration = Duration::from_micros(20_000_000);
/// Minimum time before the gateway moves to a nearer control process that was tried or found isolated.
const NEARER_RETRY_INTERVAL: Duration = Duration::from_micros(12_000_000);

/// The attempts to open a session with a control process.
#[derive(Clone, Copy, Debug, Default)]
struct SessionAttempts {
    last: Timestamp,
    /// Attempts since the last one that led to a complete synchronization.
    failures: u32,
}

/// Records that a control process was isolated from the quorum when it was last heard from.
#[derive(Clone, Copy, Debug)]
struct IsolationRecord {
    recorded_at: Timestamp,
    /// How often in a row it was found isolated.
    consecutive_count: u32,
}

/// How near a control process is; nearer ones are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Proximity {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Which control processes may be selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All that are known.
    All,
    /// All except the current one.
    Others,
    /// Those that are nearer than the current one.
    Nearer,
}

/// A control process to open a session with.
#[derive(Clone, Debug)]
pub(super) struct Selection {
    pub(super) address: String,
    /// Consecutive earlier attempts that did not lead to a complete synchronization.
    pub(super) earlier_failures: u32,
}

/// The order of preference among control processes: fewer failures first, then contact with the quorum, then proximity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    failures: u32,
    is_avoided: bool,
    proximity: Proximity,
}

/// The known control processes, by address.
pub(super) struct Directory {
    own_zone: String,
    own_region: String,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    /// Addresses from the settings.
    bootstrap: Vec<String>,
    /// The zone of each live control process.
    zones: BTreeMap<String, String>,
    attempts: BTreeMap<String, SessionAttempts>,
    isolation_records: BTreeMap<String, IsolationRecord>,
    /// The control process of the current session, or of the last one.
    current: String,
}

impl Directory {
    pub(super) fn new(
        own_zone: String,
        own_region: String,
        regions: BTreeMap<String, String>,
        bootstrap: Vec<String>,
    ) -> Directory {
        Directory {
            own_zone,
            own_region,
            regions,
            bootstrap,
            zones: BTreeMap::new(),
            attempts: BTreeMap::new(),
            isolation_records: BTreeMap::new(),
            current: String::new(),
        }
    }

    pub(super) fn set_bootstrap(&mut self, bootstrap: Vec<String>) {
        self.bootstrap = bootstrap;
    }

    /// Returns the control process of the current session, or of the last one.
    pub(super) fn current(&self) -> &str {
        &self.current
    }

    /// Adds a control process with the zone from its hello.
    pub(super) fn add(&mut self, address: String, zone: String) {
        self.zones.insert(address, zone);
    }

    /// Replaces the live control processes by those of a membership update.
    pub(super) fn replace(&mut self, zones: BTreeMap<String, String>) {
        self.zones = zones;
    }

    /// Records that a session with this control process is established.
    pub(super) fn set_current(&mut self, address: String) {
        self.current = address;
    }

    /// Records that a control process is isolated from the quorum. `is_new` if it was in contact, or not heard from,
    /// before.
    pub(super) fn record_isolation(&mut self, now: Timestamp, address: &str, is_new: bool) {
        let consecutive_count =
            self.isolation_records.get(address).map_or(0, |record| record.consecutive_count)
                + u32::from(is_new);
        self.isolation_records
            .insert(address.to_owned(), IsolationRecord { recorded_at: now, consecutive_count });
    }

    /// Records that the current control process is in contact with the quorum.
    pub(super) fn record_contact(&mut self) {
        self.isolation_records.remove(&self.current);
    }

    /// Resets failure counts after a synchronization. One with an isolated control process resets only
    /// the count of that process, as it proves nothing about the others.
    pub(super) fn reset_failures(&mut self, is_isolated: bool) {
        for (address, attempts) in &mut self.attempts {
            if !is_isolated || *address == self.current {
                attempts.failures = 0;
            }
        }
    }

    fn proximity(&self, address: &str) -> Proximity {
        match self.zones.get(address) {
            Some(zone) if *zone == self.own_zone => Proximity::SameZone,
            Some(zone) if self.regions.get(zone) == Some(&self.own_region) => Proximity::SameRegion,
            _ => Proximity::OtherRegion,
        }
    }

    /// Returns all control processes known from the settings, the membership or the replica set.
    fn all(&self, item_store: &ItemStore) -> BTreeSet<String> {
        let mut all: BTreeSet<String> = self.bootstrap.iter().chain(self.zones.keys()).cloned().collect();
        if let Some(replica_set) = ReplicaSet::load(item_store, CURRENT) {
            all.extend(replica_set.replicas.into_iter().map(|replica| replica.address));
        }
        all
    }

    /// Returns whether a control process was isolated when last heard from and must not be tried again yet.
    fn is_avoided(&self, now: Timestamp, address: &str) -> bool {
        self.isolation_records.get(address).is_some_and(|record| {
            let avoidance = BASE_AVOIDANCE_TIME * i64::from(record.consecutive_count.max(1));
            now - record.recorded_at < avoidance.min(MAX_AVOIDANCE_TIME)
        })
    }

    /// Returns whether another control process may be in contact with the quorum.
    pub(super) fn has_alternative(&self, now: Timestamp, item_store: &ItemStore) -> bool {
        let has_failed_recently = |address: &str| {
            self.attempts
                .get(address)
                .is_some_and(|attempts| attempts.failures > 0 && now - attempts.last < MAX_AVOIDANCE_TIME)
        };
        self.all(item_store).iter().any(|address| {
            *address != self.current && !self.is_avoided(now, address) && !has_failed_recently(address)
        })
    }

    /// Returns whether a live control process that is nearer than the current one may be tried.
    pub(super) fn has_nearer(&self, now: Timestamp) -> bool {
        let is_long_ago = |at: Timestamp| now - at > NEARER_RETRY_INTERVAL;
        self.zones.keys().any(|address| {
            self.proximity(address) < self.proximity(&self.current)
                && self.isolation_records.get(address).is_none_or(|record| is_long_ago(record.recorded_at))
                && self.attempts.get(address).is_none_or(|attempts| is_long_ago(attempts.last))
        })
    }

    /// Returns whether a control process was tried too recently to be tried again.
    fn is_backing_off(&self, now: Timestamp, address: &str) -> bool {
        self.attempts.get(address).is_some_and(|attempts| {
            let failures = attempts.failures.min(MAX_BACKOFF_FAILURES);
            let factor = failures.max(u32::from(self.is_avoided(now, address)));
            now - attempts.last < RETRY_INTERVAL * i64::from(factor)
        })
    }

    fn preference(&self, now: Timestamp, address: &str) -> Preference {
        Preference {
            failures: self.attempts.get(address).map_or(0, |attempts| attempts.failures),
            is_avoided: self.is_avoided(now, address),
            proximity: self.proximity(address),
        }
    }

    fn is_in_scope(&self, scope: Scope, address: &str) -> bool {
        match scope {
            Scope::All => true,
            Scope::Others => address != self.current,
            Scope::Nearer => self.proximity(address) < self.proximity(&self.current),
        }
    }

    /// Selects the control process to open a session with, if any may be tried now. The random number `draw` decides
    /// among equally preferred ones. The attempt counts as failed until the session has synchronized.
    pub(super) fn select(
        &mut self,
        now: Timestamp,
        item_store: &ItemStore,
        scope: Scope,
        draw: u64,
    ) -> Option<Selection> {
        let all = self.all(item_store);
        let eligible: Vec<&String> = all
            .iter()
            .filter(|address| self.is_in_scope(scope, address) && !self.is_backing_off(now, address))
            .collect();
        let best = eligible.iter().map(|address| self.preference(now, address)).min()?;
        let equally_preferred: Vec<&String> =
            eligible.into_iter().filter(|address| self.preference(now, address) == best).collect();
        let address = equally_preferred[(draw % equally_preferred.len() as u64) as usize].clone();
        let attempts = self.attempts.entry(address.clone()).or_default();
        let earlier_failures = attempts.failures;
        attempts.last = now;
        attempts.failures += 1;
        Some(Selection { address, earlier_failures })
    }
}
