//! A machine's disk, as `kitepass_storage` leaves it to its process: what is put is synced in order, what waits is
//! synced together, and of what was not synced a part from the front may be there after a kill or a loss of power:
//! a log is cut off before its first entry that is missing or torn.

use crate::process::Records;
use crate::rng::Rng;
use std::collections::BTreeMap;

/// What a disk does to what it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// Each sync takes so much longer, until a moment.
    pub slow: (i64, i64),
    /// No sync ends before then.
    pub hangs: i64,
    /// As that, and nothing of what is written meanwhile is there after a loss of power.
    pub refuses: i64,
}

type Put = (u64, Records);

#[derive(Default)]
pub struct Disk {
    synced: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Written by a process that was killed, and not synced yet.
    written: Vec<Records>,
    /// Under way to the disk, and what waits in the process meanwhile.
    syncing: Vec<Put>,
    waiting: Vec<Put>,
    pub faults: DiskFaults,
    /// Microseconds that a sync takes, least and most.
    takes: (i64, i64),
    /// Danger that a log excludes, and a trial may ask for: what was not synced survives each put by itself.
    loose: bool,
}

fn lay(synced: &mut BTreeMap<Vec<u8>, Vec<u8>>, records: Records) {
    for (key, value) in records {
        if value.is_empty() {
            synced.remove(&key);
        } else {
            synced.insert(key, value);
        }
    }
}

impl Disk {
    pub fn new(takes: (i64, i64), loose: bool) -> Disk {
        Disk { takes, loose, ..Disk::default() }
    }

    /// Records are to be kept. If a sync begins with them, the moment of its end comes back.
    pub fn put(&mut self, now: i64, request_id: u64, records: Records, chance: &mut Rng) -> Option<i64> {
        if !self.syncing.is_empty() {
            self.waiting.push((request_id, records));
            return None;
        }
        self.syncing.push((request_id, records));
        Some(self.end(now, chance))
    }

    fn end(&self, now: i64, chance: &mut Rng) -> i64 {
        let slow = if self.faults.slow.1 > now { self.faults.slow.0 } else { 0 };
        now + chance.among(self.takes.0, self.takes.1) + slow
    }

    /// A sync is to end now: either it does not yet, and the moment to look again comes back, or its tickets do, with
    /// the end of the next sync.
    pub fn sync(&mut self, now: i64, chance: &mut Rng) -> Result<(Vec<u64>, Option<i64>), i64> {
        let held = self.faults.hangs.max(self.faults.refuses);
        if held > now {
            return Err(held + chance.among(0, 50_000));
        }
        self.written.drain(..).for_each(|records| lay(&mut self.synced, records));
        let mut tickets = Vec::new();
        for (request_id, records) in std::mem::take(&mut self.syncing) {
            lay(&mut self.synced, records);
            tickets.push(request_id);
        }
        self.syncing = std::mem::take(&mut self.waiting);
        let next = (!self.syncing.is_empty()).then(|| self.end(now, chance));
        Ok((tickets, next))
    }

    /// The process has died, or the machine's power is gone.
    pub fn fall(&mut self, now: i64, power: bool, chance: &mut Rng) {
        self.waiting.clear();
        let refused = self.faults.refuses > now;
        let part = [0, 50, 90, 100][chance.below(4)];
        let mut unsynced: Vec<Records> = self.written.drain(..).collect();
        unsynced.extend(std::mem::take(&mut self.syncing).into_iter().map(|(_, records)| records));
        if !power {
            // What was written is with the system, however the process ended; of what it was just writing a part is.
            let whole = if refused { 0 } else { unsynced.len() - chance.below(2).min(unsynced.len()) };
            unsynced.truncate(whole);
            self.written = unsynced;
            return;
        }
        for records in unsynced {
            if !refused && chance.percent(part) {
                lay(&mut self.synced, records);
            } else if !self.loose {
                break;
            }
        }
    }

    /// A process opens what is there. An opening syncs all of it, if the disk takes that.
    pub fn open(&mut self, now: i64) -> Records {
        let mut all = self.synced.clone();
        self.written.iter().for_each(|records| lay(&mut all, records.clone()));
        if self.faults.refuses.max(self.faults.hangs) <= now {
            self.written.clear();
            self.synced.clone_from(&all);
        }
        all.into_iter().collect()
    }

    /// The folder is empty.
    pub fn wipe(&mut self) {
        *self = Disk { faults: self.faults, takes: self.takes, loose: self.loose, ..Disk::default() };
    }

    pub fn is_empty(&self) -> bool {
        self.synced.is_empty() && self.written.is_empty()
    }
}
