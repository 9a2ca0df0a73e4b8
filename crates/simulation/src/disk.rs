//! A machine's disk, with the behaviour of `kitepass_storage`: writes are synced in order, and writes that
//! are waiting are synced together. After a crash or power loss a prefix of the unsynced writes may survive,
//! because a log is truncated before its first missing or torn entry.

use crate::process::Records;
use crate::rng::Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Maximum time from the end of a blocking fault to the end of the blocked sync, in microseconds.
const MAX_RECHECK_DELAY: i64 = 50_000;

/// Percentages of unsynced writes that survive a power loss; one is drawn for each power loss.
const SURVIVAL_PERCENTAGES: [u64; 4] = [0, 50, 90, 100];

/// The current faults of a disk. Times are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// Additional duration of each sync until `slow_until`.
    pub extra_latency: i64,
    /// End of the slow phase.
    pub slow_until: i64,
    /// No sync completes before this time.
    pub hangs_until: i64,
    /// Like `hangs_until`, and data written before this time does not survive a crash or power loss.
    pub refuses_until: i64,
}

impl DiskFaults {
    /// Time from which syncs can complete again.
    fn blocked_until(&self) -> i64 {
        self.hangs_until.max(self.refuses_until)
    }

    /// Ends all faults.
    pub fn clear(&mut self) {
        (self.slow_until, self.hangs_until, self.refuses_until) = (0, 0, 0);
    }
}

/// Records that a process asked to persist, with the id that it is notified with.
struct PendingWrite {
    request_id: u64,
    records: Records,
}

/// Result of a sync that was due.
pub enum SyncResult {
    /// The disk is blocked and the sync has to be retried.
    Blocked {
        /// Time of the retry, in microseconds of simulated time.
        retry_at: i64,
    },
    /// The sync is complete.
    Synced {
        /// Ids of the writes that are now durable.
        request_ids: Vec<u64>,
        /// End of the next sync, if more writes were waiting.
        next_sync_at: Option<i64>,
    },
}

/// The content of a machine's disk and its pending writes.
pub struct Disk {
    synced: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Unsynced writes of a killed process, which the operating system still holds.
    page_cache: Vec<Records>,
    /// Writes covered by the sync in progress.
    syncing: Vec<PendingWrite>,
    /// Writes that wait in the process for the next sync.
    queued: Vec<PendingWrite>,
    /// Current faults of the disk.
    pub faults: DiskFaults,
    /// Range of a sync's duration, in microseconds.
    sync_duration: Range<i64>,
    /// Whether each unsynced write survives a power loss independently of the writes before it. A log rules
    /// this out, but a test can enable it.
    loses_writes_independently: bool,
}

/// Applies records to a store. An empty value removes its key.
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

    /// Accepts records to persist. If this starts a sync, returns the time at which it ends.
    pub fn write(&mut self, now: i64, request_id: u64, records: Records, rng: &mut Rng) -> Option<i64> {
        let write = PendingWrite { request_id, records };
        if !self.syncing.is_empty() {
            self.queued.push(write);
            return None;
        }
        self.syncing.push(write);
        Some(self.sync_end(now, rng))
    }

    /// The time at which a sync that starts now ends.
    fn sync_end(&self, now: i64, rng: &mut Rng) -> i64 {
        let extra = if self.faults.slow_until > now { self.faults.extra_latency } else { 0 };
        now + rng.in_range(self.sync_duration.clone()) + extra
    }

    /// Completes the sync that is due now, unless the disk is blocked.
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

    /// Handles the end of the process or a power loss of the machine.
    pub fn crash(&mut self, now: i64, is_power_loss: bool, rng: &mut Rng) {
        self.queued.clear();
        let is_refusing = self.faults.refuses_until > now;
        let survival_percentage = SURVIVAL_PERCENTAGES[rng.below(SURVIVAL_PERCENTAGES.len())];
        let mut unsynced: Vec<Records> = self.page_cache.drain(..).collect();
        unsynced.extend(std::mem::take(&mut self.syncing).into_iter().map(|write| write.records));
        if !is_power_loss {
            // Written data stays in the page cache when a process is killed, except possibly the last write.
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

    /// Reads all records when a process starts, and syncs them unless the disk is blocked.
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

    /// Erases the content; faults remain.
    pub fn wipe(&mut self) {
        let empty = Disk::new(self.sync_duration.clone(), self.loses_writes_independently);
        *self = Disk { faults: self.faults, ..empty };
    }
}
