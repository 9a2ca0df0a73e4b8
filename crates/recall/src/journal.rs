//! The map and its files: recovery, appending, compaction. One thread has a journal; nothing here waits for
//! anything but the disk.

use std::io;

use snafu::ensure;

use crate::disk::Disk;
use crate::format::{self, Map, Snapshot};
use crate::{DiskSnafu, Error, Record, SpoiltSnafu};

const SNAPSHOT: &str = "snapshot";
const SNAPSHOT_NEW: &str = "snapshot.new";

/// After a call has failed the journal must not be used: what the disk holds is not known then. Above all a
/// failed sync must not be tried again. Danger: the system may have dropped what it could not write, and the
/// second sync would report success over the hole.
#[derive(Debug)]
pub(crate) struct Journal<D: Disk> {
    disk: D,
    map: Map,
    /// Bytes that the log may take.
    bound: u64,
    /// The log that is appended to.
    number: u64,
    file: D::File,
    bytes: u64,
    /// The sequence of the next entry.
    next: u64,
    /// What one sync is to cover; kept so as not to ask for its memory each time.
    group: Vec<u8>,
}

fn log_name(number: u64) -> String {
    format!("log-{number}")
}

/// Turns the disk's error into one that says where.
fn at<D: Disk>(disk: &D, name: &str) -> impl FnOnce(io::Error) -> Error {
    let path = disk.path(name);
    move |error| DiskSnafu { path, cause: error.to_string() }.build()
}

/// The logs in the folder, by number.
fn logs<D: Disk>(disk: &D) -> Result<Vec<u64>, Error> {
    let names = disk.list().map_err(at(disk, ""))?;
    let number = |name: &String| name.strip_prefix("log-")?.parse().ok().filter(|n| log_name(*n) == *name);
    let mut logs: Vec<u64> = names.iter().filter_map(number).collect();
    logs.sort_unstable();
    Ok(logs)
}

/// Reads the snapshot and the logs that follow it.
fn recover<D: Disk>(disk: &D, logs: &[u64]) -> Result<Snapshot, Error> {
    let bytes = disk.read(SNAPSHOT).map_err(at(disk, SNAPSHOT))?;
    let first_time = bytes.is_none();
    let mut found = match bytes {
        None => Snapshot::default(),
        Some(bytes) => format::read_snapshot(&bytes).ok_or_else(|| {
            SpoiltSnafu { path: disk.path(SNAPSHOT), cause: "not a whole snapshot" }.build()
        })?,
    };
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
            found.map.extend(records);
        }
    }
    Ok(found)
}

impl<D: Disk> Journal<D> {
    /// Recovers what the folder holds and compacts it. By that, all that was recovered is surely on disk: it
    /// may have been written and not synced by a process that was killed.
    pub(crate) fn open(disk: D, bound: u64) -> Result<Journal<D>, Error> {
        let logs = logs(&disk)?;
        let found = recover(&disk, &logs)?;
        // Above each log that is there: none is ever written to twice.
        let number = logs.last().map_or(0, |last| last + 1).max(found.from).max(1);
        let file = disk.create(&log_name(number)).map_err(at(&disk, &log_name(number)))?;
        let Snapshot { map, next, .. } = found;
        let mut journal = Journal { disk, map, bound, number, file, bytes: 0, next, group: Vec::new() };
        journal.begin_log()?;
        journal.write_snapshot()?;
        journal.remove_old()?;
        Ok(journal)
    }

    pub(crate) fn map(&self) -> &Map {
        &self.map
    }

    /// Writes the batches and syncs them once; then they are surely on disk, each whole.
    pub(crate) fn append(&mut self, batches: Vec<Vec<Record>>) -> Result<(), Error> {
        self.group.clear();
        for batch in &batches {
            format::add_entry(&mut self.group, self.number, self.next, batch);
            self.next += 1;
        }
        let name = log_name(self.number);
        self.disk.write(&mut self.file, &self.group).map_err(at(&self.disk, &name))?;
        self.disk.sync(&mut self.file).map_err(at(&self.disk, &name))?;
        self.bytes += self.group.len() as u64;
        self.map.extend(batches.into_iter().flatten());
        // One large batch must not hold its memory for good.
        self.group.shrink_to(256 << 10);
        Ok(())
    }

    /// Compacts where the log has reached its bound; gives whether it did.
    pub(crate) fn compact_if_due(&mut self) -> Result<bool, Error> {
        if self.bytes < self.bound {
            return Ok(false);
        }
        self.number += 1;
        let name = log_name(self.number);
        self.file = self.disk.create(&name).map_err(at(&self.disk, &name))?;
        self.begin_log()?;
        self.write_snapshot()?;
        self.remove_old()?;
        Ok(true)
    }

    fn begin_log(&mut self) -> Result<(), Error> {
        let name = log_name(self.number);
        self.disk.write(&mut self.file, format::LOG_MAGIC).map_err(at(&self.disk, &name))?;
        self.disk.sync(&mut self.file).map_err(at(&self.disk, &name))?;
        self.bytes = format::LOG_MAGIC.len() as u64;
        Ok(())
    }

    /// Puts the map in the snapshot's place. Only the rename shows it, and it is synced by then: no reader
    /// finds a part of it. The sync of the folder also covers the new log's name, for disks that need it.
    fn write_snapshot(&mut self) -> Result<(), Error> {
        let disk = &self.disk;
        let mut file = disk.create(SNAPSHOT_NEW).map_err(at(disk, SNAPSHOT_NEW))?;
        format::write_snapshot(&self.map, self.number, self.next, |piece| disk.write(&mut file, piece))
            .map_err(at(disk, SNAPSHOT_NEW))?;
        disk.sync(&mut file).map_err(at(disk, SNAPSHOT_NEW))?;
        disk.rename(SNAPSHOT_NEW, SNAPSHOT).map_err(at(disk, SNAPSHOT))?;
        disk.sync_folder().map_err(at(disk, ""))
    }

    /// Removes the logs that the snapshot covers. A removal that does not last does no harm: recovery skips
    /// them by number, and the next compaction removes them again.
    fn remove_old(&mut self) -> Result<(), Error> {
        for number in logs(&self.disk)?.into_iter().filter(|number| *number < self.number) {
            let name = log_name(number);
            self.disk.remove(&name).map_err(at(&self.disk, &name))?;
        }
        Ok(())
    }
}
