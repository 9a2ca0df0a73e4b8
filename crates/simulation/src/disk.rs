//! A machine's disk, as `kitepass_storage` presents it to its process: writes are synced in order, those that wait are
//! synced together. Of what was not synced, a prefix may survive a crash or a loss of power: a log is truncated before
//! its first entry that is missing or torn.

use crate::process::Records;
use crate::rng::Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// A sync that a fault blocked ends within this time after the fault, in microseconds.
const MAX_RECHECK_DELAY: i64 = 50_000;

/// The shares of unsynced writes, in percent, of which one is drawn to survive a loss of power.
const SURVIVAL_PERCENTAGES: [u64; 4] = [0, 50, 90, 100];

/// What is wrong with a disk at the moment. Times are microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// How much longer each sync takes until `slow_until`.
    pub extra_latency: i64,
    /// When syncs take their normal time again.
    pub slow_until: i64,
    /// No sync ends before then.
    pub hangs_until: i64,
    /// As `hangs_until`, and nothing that is written before then survives a loss of power or a crash.
    pub refuses_until: i64,
}

impl DiskFaults {
    /// When syncs can end again.
    fn blocked_until(&self) -> i64 {
        self.hangs_until.max(self.refuses_until)
    }

    /// Ends all faults.
    pub fn clear(&mut self) {
        (self.slow_until, self.hangs_until, self.refuses_until) = (0, 0, 0);
    }
}

/// Records that a process asked to persist, under the number that it is to be notified by.
struct PendingWrite {
    request_id: u64,
    records: Records,
}

/// How a sync went when its time had come.
pub enum SyncResult {
    /// The disk is blocked: look again at this time.
    Blocked {
        /// Microseconds of the simulation.
        retry_at: i64,
    },
    /// The sync is complete.
    Synced {
        /// The writes that are durable now.
        request_ids: Vec<u64>,
        /// When the next sync ends, if writes were waiting for one.
        next_sync_at: Option<i64>,
    },
}

/// The content of a machine's disk, and the writes on their way to it.
pub struct Disk {
    synced: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Written by a process that was killed, and not synced yet.
    page_cache: Vec<Records>,
    /// What the sync that is under way makes durable.
    syncing: Vec<PendingWrite>,
    /// What waits in the process for the next sync.
    queued: Vec<PendingWrite>,
    /// What is wrong with the disk.
    pub faults: DiskFaults,
    /// Microseconds that a sync takes.
    sync_duration: Range<i64>,
    /// Each unsynced write survives a loss of power independently of those before it. A log excludes this; a test may
    /// ask for it.
    loses_writes_independently: bool,
}

/// Applies records to a store: an empty value removes its key.
fn apply(store: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: Records) {
    for (key, value) in records {
        if value.is_empty() {
            store.remove(&key);
        } else {
            store.insert(key, value);
        }
    }
}

impl Disk {
    /// An empty disk.
    pub fn new(sync_duration: Range<i64>, loses_writes_independently: bool) -> Disk {
        Disk {
            synced: BTreeMap::new(),
            page_cache: Vec::new(),
            syncing: Vec::new(),
            queued: Vec::new(),
            faults: DiskFaults::default(),
            sync_duration,
            loses_writes_independently,
        }
    }

    /// Takes records to persist. If a sync starts with them, returns when it ends.
    pub fn write(&mut self, now: i64, request_id: u64, records: Records, rng: &mut Rng) -> Option<i64> {
        let write = PendingWrite { request_id, records };
        if !self.syncing.is_empty() {
            self.queued.push(write);
            return None;
        }
        self.syncing.push(write);
        Some(self.sync_end(now, rng))
    }

    /// When a sync that starts now ends.
    fn sync_end(&self, now: i64, rng: &mut Rng) -> i64 {
        let extra = if self.faults.slow_until > now { self.faults.extra_latency } else { 0 };
        now + rng.in_range(self.sync_duration.clone()) + extra
    }

    /// Ends the sync that is due now, unless the disk is blocked.
    pub fn complete_sync(&mut self, now: i64, rng: &mut Rng) -> SyncResult {
        let blocked_until = self.faults.blocked_until();
        if blocked_until > now {
            return SyncResult::Blocked { retry_at: blocked_until + rng.in_range(0..MAX_RECHECK_DELAY) };
        }
        for records in self.page_cache.drain(..) {
            apply(&mut self.synced, records);
        }
        let mut request_ids = Vec::new();
        for write in std::mem::take(&mut self.syncing) {
            apply(&mut self.synced, write.records);
            request_ids.push(write.request_id);
        }
        self.syncing = std::mem::take(&mut self.queued);
        let next_sync_at = (!self.syncing.is_empty()).then(|| self.sync_end(now, rng));
        SyncResult::Synced { request_ids, next_sync_at }
    }

    /// The process has ended, or the machine has lost power.
    pub fn crash(&mut self, now: i64, is_power_loss: bool, rng: &mut Rng) {
        self.queued.clear();
        let is_refusing = self.faults.refuses_until > now;
        let survival_percentage = SURVIVAL_PERCENTAGES[rng.below(SURVIVAL_PERCENTAGES.len())];
        let mut unsynced: Vec<Records> = self.page_cache.drain(..).collect();
        unsynced.extend(std::mem::take(&mut self.syncing).into_iter().map(|write| write.records));
        if !is_power_loss {
            // The operating system has what was written, however the process ended; the last write may be missing.
            let complete = if is_refusing { 0 } else { unsynced.len() - rng.below(2).min(unsynced.len()) };
            unsynced.truncate(complete);
            self.page_cache = unsynced;
            return;
        }
        for records in unsynced {
            if !is_refusing && rng.chance(survival_percentage) {
                apply(&mut self.synced, records);
            } else if !self.loses_writes_independently {
                break;
            }
        }
    }

    /// Reads all records as a process starts. That syncs all of them, unless the disk is blocked.
    pub fn open(&mut self, now: i64) -> Records {
        let mut records = self.synced.clone();
        for unsynced in &self.page_cache {
            apply(&mut records, unsynced.clone());
        }
        if self.faults.blocked_until() <= now {
            self.page_cache.clear();
            self.synced.clone_from(&records);
        }
        records.into_iter().collect()
    }

    /// Loses all content; faults stay.
    pub fn wipe(&mut self) {
        let empty = Disk::new(self.sync_duration.clone(), self.loses_writes_independently);
        *self = Disk { faults: self.faults, ..empty };
    }
}
