//! The map and its files: recovery, appending, compaction. One thread has a journal; nothing here waits for
//! anything but the disk.

use std::io;

use snafu::ensure;

use crate::disk::Disk;
use crate::format::{self, Map, Snapshot};
use crate::{DiskSnafu, Error, Record, SpoiltSnafu};

const SNAPSHOT: &str = "snapshot";
const SNAPSHOT_NEW: &str = "snapshot.new";

/// The map in memory is always the newest. What of it is surely on disk, the last call of [`RecordLog::keep`] says.
#[derive(Debug)]
pub(crate) struct RecordLog<D: Disk> {
    disk: D,
    map: Map,
    /// Bytes that the log may take.
    bound: u64,
    log: Log<D::File>,
    /// The number last given to a log.
    number: u64,
    /// The sequence of the next entry. Never used again, not even where writing the entry failed.
    next: u64,
    /// The logs that may hold what no surely lasting snapshot covers: from the first that the last such snapshot
    /// names, to the newest that entries may have been written to. All others are superseded or empty.
    needed: std::ops::RangeInclusive<u64>,
}

/// The log that is appended to.
#[derive(Debug)]
enum Log<F> {
    Whole {
        file: F,
        bytes: u64,
    },
    /// There is none: a write or a sync has failed, or the folder was only read yet. Danger: the system may have
    /// dropped what it could not write, and a second sync of the file would report success over the hole. So
    /// such a file is never synced or appended to again; a snapshot in a new file takes its place.
    Broken,
}

fn log_name(number: u64) -> String {
    format!("log-{number}")
}

/// Turns the disk's error into one that says where.
fn at<D: Disk>(disk: &D, name: &str) -> impl FnOnce(io::Error) -> Error {
    let path = disk.path(name);
    move |error| DiskSnafu { path, cause: error.to_string() }.build()
}

/// The numbers of the logs among the names, from the lowest.
fn logs(names: &[String]) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix("log-")?.parse().ok().filter(|n| log_name(*n) == *name);
    let mut logs: Vec<u64> = names.iter().filter_map(number).collect();
    logs.sort_unstable();
    logs
}

/// Reads the snapshot and the logs that follow it; gives too whether there are entries in those.
fn recover<D: Disk>(disk: &D, logs: &[u64]) -> Result<(Snapshot, bool), Error> {
    let bytes = disk.read(SNAPSHOT).map_err(at(disk, SNAPSHOT))?;
    let first_time = bytes.is_none();
    let mut found = match bytes {
        None => Snapshot::default(),
        Some(bytes) => format::read_snapshot(&bytes).ok_or_else(|| {
            SpoiltSnafu { path: disk.path(SNAPSHOT), cause: "not a whole snapshot" }.build()
        })?,
    };
    let covered = found.next;
    for &number in logs.iter().filter(|number| **number >= found.from) {
        let name = log_name(number);
        let bytes = disk.read(&name).map_err(at(disk, &name))?.unwrap_or_default();
        // A head that is not whole: the file was made, and power was lost before its first sync.
        let mut rest = bytes.strip_prefix(format::LOG_MAGIC).unwrap_or_default();
        while let Some((sequence, records)) = format::take_entry(&mut rest, number) {
            let path = disk.path(&name);
            // Danger: a snapshot that somebody removed would pass as a first run, and all it held as never put.
            ensure!(!first_time, SpoiltSnafu { path, cause: "entries without a snapshot" });
            // Danger: a hole where entries were synced; going on behind it would mix old values with new.
            let cause = || format!("entry {sequence} where {} is next", found.next);
            ensure!(sequence == found.next, SpoiltSnafu { path, cause: cause() });
            found.next += 1;
            take(&mut found.map, records);
        }
    }
    let entries = found.next > covered;
    Ok((found, entries))
}

impl<D: Disk> RecordLog<D> {
    /// Reads what the folder holds, and writes nothing. Until the first [`RecordLog::keep`] has succeeded nothing of
    /// it is sure: a process that was killed may have written and not synced it, or failed to sync it.
    pub(crate) fn open(disk: D, bound: u64) -> Result<RecordLog<D>, Error> {
        let logs = logs(&disk.list().map_err(at(&disk, ""))?);
        let (Snapshot { map, from, next }, entries) = recover(&disk, &logs)?;
        // Above each log that is there: none is ever written to twice.
        let newest = logs.last().copied().unwrap_or(0);
        // A snapshot's rename may be visible and not synced, and the logs below the one that it names are still
        // needed then. An entry in that one tells that it was synced: none is written before.
        let needed = if entries { from..=newest } else { 0..=newest };
        Ok(RecordLog { disk, map, bound, log: Log::Broken, number: newest.max(from), next, needed })
    }

    pub(crate) fn map(&self) -> &Map {
        &self.map
    }

    /// Takes records into the map and makes the whole map last: by an entry in the log where the log is whole and
    /// has room, else by a snapshot. The records are kept all or none. Gives whether it was by a snapshot.
    ///
    /// # Errors
    /// What the disk said. The records stay in the map, and the next call that succeeds covers them too.
    pub(crate) fn keep(&mut self, records: Map) -> Result<bool, Error> {
        let room = match &self.log {
            Log::Whole { bytes, .. } => self.bound.saturating_sub(*bytes),
            Log::Broken => 0,
        };
        let fits = format::entry_size(&records).is_some_and(|size| size <= room);
        if matches!(self.log, Log::Whole { .. }) && records.is_empty() {
            return Ok(false);
        }
        let kept = if fits {
            let entry = format::entry(self.number, self.next, &records);
            take(&mut self.map, records);
            self.append(&entry)
        } else {
            take(&mut self.map, records);
            self.rewrite()
        };
        if kept.is_err() {
            self.broke();
        }
        kept.map(|()| !fits)
    }

    /// Writes and syncs the next entry.
    fn append(&mut self, entry: &[u8]) -> Result<(), Error> {
        let name = log_name(self.number);
        let Log::Whole { file, bytes } = &mut self.log else { return self.rewrite() };
        self.next += 1;
        self.disk.write(file, entry).map_err(at(&self.disk, &name))?;
        self.disk.sync(file).map_err(at(&self.disk, &name))?;
        *bytes += entry.len() as u64;
        Ok(())
    }

    /// Puts a snapshot of the whole map in the place of the old one and its logs, and begins a new log.
    fn rewrite(&mut self) -> Result<(), Error> {
        // Danger: what a removal that failed has left would take the room that the new files need.
        self.sweep();
        self.number += 1;
        let name = log_name(self.number);
        let mut file = self.disk.create(&name).map_err(at(&self.disk, &name))?;
        self.disk.write(&mut file, format::LOG_MAGIC).map_err(at(&self.disk, &name))?;
        self.disk.sync(&mut file).map_err(at(&self.disk, &name))?;
        self.write_snapshot()?;
        self.began(file);
        Ok(())
    }

    /// Puts the map in the snapshot's place. Only the rename shows it, and it is synced by then: no reader
    /// finds a part of it. The sync of the folder also covers the new log's name, for disks that need it. Where
    /// that sync fails the next attempt renames anew, so that there is something new for the next sync.
    fn write_snapshot(&self) -> Result<(), Error> {
        let disk = &self.disk;
        let mut file = disk.create(SNAPSHOT_NEW).map_err(at(disk, SNAPSHOT_NEW))?;
        format::write_snapshot(&self.map, self.number, self.next, |piece| disk.write(&mut file, piece))
            .map_err(at(disk, SNAPSHOT_NEW))?;
        disk.sync(&mut file).map_err(at(disk, SNAPSHOT_NEW))?;
        disk.rename(SNAPSHOT_NEW, SNAPSHOT).map_err(at(disk, SNAPSHOT))?;
        disk.sync_folder().map_err(at(disk, ""))
    }

    /// The snapshot surely lasts, and the log that it names is the only one needed.
    fn began(&mut self, file: D::File) {
        self.log = Log::Whole { file, bytes: format::LOG_MAGIC.len() as u64 };
        self.needed = self.number..=self.number;
        self.sweep();
    }

    /// A call has failed: the log is not written to any more, and gives back the room of what was not synced.
    fn broke(&mut self) {
        if let Log::Whole { file, bytes } = &mut self.log {
            // Where this fails too, recovery finds a torn tail, or an entry that was not acknowledged.
            let _ = self.disk.cut(file, *bytes);
        }
        // By this the file is closed. Danger: a removed file that is open holds its room.
        self.log = Log::Broken;
        self.sweep();
    }

    /// Removes what is surely superseded, and what an attempt that failed has left. What cannot be removed, or
    /// comes back with a loss of power, does no harm, and goes at the next call: recovery skips logs by their
    /// number, and one that no snapshot led to holds no entry.
    fn sweep(&self) {
        let Ok(names) = self.disk.list() else { return };
        let logs = logs(&names).into_iter().filter(|number| !self.needed.contains(number)).map(log_name);
        for name in logs.chain(names.into_iter().filter(|name| name == SNAPSHOT_NEW)) {
            let _ = self.disk.remove(&name);
        }
    }
}

/// A later value replaces an earlier one; an empty one takes the key away.
pub(crate) fn take(map: &mut Map, records: impl IntoIterator<Item = Record>) {
    for (key, value) in records {
        if value.is_empty() {
            map.remove(&key);
        } else {
            map.insert(key, value);
        }
    }
}
