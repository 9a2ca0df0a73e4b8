//! The records and their files: appending and compaction. One thread owns a log; nothing here waits for anything but
//! the disk.

use std::ops::RangeInclusive;

use crate::directory::Directory;
use crate::format::{self, LogNumber, Sequence};
use crate::records::{apply_records, RecordMap};
use crate::recovery::{disk_error, log_name, log_numbers, recover, Recovered, SNAPSHOT};
use crate::Error;

/// The name under which a snapshot is written, before it replaces the old one.
const NEW_SNAPSHOT: &str = "snapshot.new";

/// The records in memory are always the newest. The last call of [`RecordLog::persist`] tells whether they are all
/// durable.
#[derive(Debug)]
pub(crate) struct RecordLog<D: Directory> {
    directory: D,
    records: RecordMap,
    /// The size at which the log is compacted. Bytes.
    max_log_bytes: u64,
    log: LogState<D::File>,
    /// The number that a log was given last. Each log has a number of its own: none is ever written to twice.
    log_number: LogNumber,
    /// The number of the next entry. Never used again, not even where writing the entry failed.
    next_sequence: Sequence,
    /// The logs that may hold what no durable snapshot covers: from the first that the last durable snapshot names, to
    /// the newest that entries may have been written to. All others are superseded or empty.
    needed_logs: RangeInclusive<LogNumber>,
}

/// The log that is appended to.
#[derive(Debug)]
enum LogState<F> {
    /// All that was appended so far is durable.
    Open { file: F, bytes: u64 },
    /// There is none: a write or a sync has failed, or the directory was only read yet.
    ///
    /// Invariant: a file for which a write or a sync has failed is never synced or appended to again. The system may
    /// have dropped what it could not write, and a second sync would report success in spite of the hole. A snapshot in
    /// a new file takes its place.
    Unusable,
}

/// How [`RecordLog::persist`] has made records durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persisted {
    /// By an entry in the log; or there was nothing to write.
    Appended,
    /// By a new snapshot.
    Compacted,
}

impl<D: Directory> RecordLog<D> {
    /// Reads what the directory holds, and writes nothing. Until the first [`RecordLog::persist`] has succeeded nothing
    /// of it is known to be durable: a process that was killed may have written and not synced it, or failed to sync it.
    ///
    /// # Errors
    /// [`Error::Disk`] where a file cannot be read, [`Error::Corrupt`] where the files contradict each other.
    pub(crate) fn open(directory: D, max_log_bytes: u64) -> Result<RecordLog<D>, Error> {
        let Recovered { state, newest_log, needed_logs } = recover(&directory)?;
        Ok(RecordLog {
            directory,
            records: state.records,
            max_log_bytes,
            log: LogState::Unusable,
            log_number: newest_log.max(state.first_log),
            next_sequence: state.next_sequence,
            needed_logs,
        })
    }

    pub(crate) fn records(&self) -> &RecordMap {
        &self.records
    }

    /// Applies a batch to the records and makes all of them durable: by an entry in the log where the log is usable and
    /// has room, else by a snapshot. The batch is durable completely or not at all.
    ///
    /// # Errors
    /// [`Error::Disk`]. The batch stays applied in memory, and the next call that succeeds covers it too.
    pub(crate) fn persist(&mut self, batch: RecordMap) -> Result<Persisted, Error> {
        let is_usable = matches!(self.log, LogState::Open { .. });
        if is_usable && batch.is_empty() {
            return Ok(Persisted::Appended);
        }
        let persisted = if self.has_room_for(&batch) {
            let entry = format::encode_entry(self.log_number, self.next_sequence, &batch);
            apply_records(&mut self.records, batch);
            self.append(&entry).map(|()| Persisted::Appended)
        } else {
            apply_records(&mut self.records, batch);
            self.compact().map(|()| Persisted::Compacted)
        };
        if persisted.is_err() {
            self.abandon_log();
        }
        persisted
    }

    /// Whether the entry of a batch can be appended to the log.
    fn has_room_for(&self, batch: &RecordMap) -> bool {
        let LogState::Open { bytes, .. } = &self.log else { return false };
        let free_bytes = self.max_log_bytes.saturating_sub(*bytes);
        format::entry_bytes(batch).is_some_and(|entry_bytes| entry_bytes <= free_bytes)
    }

    /// Writes and syncs the next entry.
    fn append(&mut self, entry: &[u8]) -> Result<(), Error> {
        let LogState::Open { file, bytes } = &mut self.log else { return self.compact() };
        let (directory, name) = (&self.directory, log_name(self.log_number));
        self.next_sequence = self.next_sequence.next();
        directory.append(file, entry).map_err(disk_error(directory, &name))?;
        directory.sync(file).map_err(disk_error(directory, &name))?;
        *bytes += entry.len() as u64;
        Ok(())
    }

    /// Replaces the snapshot and its logs by a snapshot of all records, and begins a new log.
    fn compact(&mut self) -> Result<(), Error> {
        // What an earlier removal has left, because it failed, would take the space that the new files need.
        self.remove_obsolete_files();
        self.log_number = self.log_number.next();
        let file = self.create_log()?;
        self.write_snapshot()?;
        // The snapshot is durable now, and the log that it names is the only one needed.
        self.log = LogState::Open { file, bytes: format::LOG_MAGIC.len() as u64 };
        self.needed_logs = self.log_number..=self.log_number;
        self.remove_obsolete_files();
        Ok(())
    }

    /// Creates the log of the present number, without entries.
    fn create_log(&self) -> Result<D::File, Error> {
        let (directory, name) = (&self.directory, log_name(self.log_number));
        let mut file = directory.create(&name).map_err(disk_error(directory, &name))?;
        directory.append(&mut file, format::LOG_MAGIC).map_err(disk_error(directory, &name))?;
        directory.sync(&mut file).map_err(disk_error(directory, &name))?;
        Ok(file)
    }

    /// Replaces the snapshot by one of all records. Only the rename makes it visible, and it is synced by then: no
    /// reader finds an incomplete one. The sync of the directory also covers the new log's name, for file systems that
    /// need it. Where that sync fails the next attempt renames again, so that there is something new for the next sync.
    fn write_snapshot(&self) -> Result<(), Error> {
        let directory = &self.directory;
        let mut file = directory.create(NEW_SNAPSHOT).map_err(disk_error(directory, NEW_SNAPSHOT))?;
        let append = |chunk: &[u8]| directory.append(&mut file, chunk);
        format::write_snapshot(&self.records, self.log_number, self.next_sequence, append)
            .map_err(disk_error(directory, NEW_SNAPSHOT))?;
        directory.sync(&mut file).map_err(disk_error(directory, NEW_SNAPSHOT))?;
        directory.rename(NEW_SNAPSHOT, SNAPSHOT).map_err(disk_error(directory, SNAPSHOT))?;
        directory.sync_directory().map_err(disk_error(directory, ""))
    }

    /// After a call that failed: the log is not written to any more, and what was not synced gives its space back.
    fn abandon_log(&mut self) {
        if let LogState::Open { file, bytes } = &mut self.log {
            // Where this fails too, recovery finds a torn tail, or an entry that was not acknowledged.
            let _ = self.directory.truncate(file, *bytes);
        }
        // Invariant: the file is closed before it is removed. A removed file that is open keeps its space.
        self.log = LogState::Unusable;
        self.remove_obsolete_files();
    }

    /// Removes the logs that are superseded, and what an attempt that failed has left. What cannot be removed, or comes
    /// back with a loss of power, does no harm, and is removed by the next call: recovery skips logs by their number,
    /// and one that no snapshot names holds no entry.
    fn remove_obsolete_files(&self) {
        let Ok(names) = self.directory.list() else { return };
        let logs = log_numbers(&names).into_iter();
        let obsolete_logs = logs.filter(|number| !self.needed_logs.contains(number)).map(log_name);
        let new_snapshots = names.into_iter().filter(|name| name == NEW_SNAPSHOT);
        for name in obsolete_logs.chain(new_snapshots) {
            let _ = self.directory.remove(&name);
        }
    }
}
