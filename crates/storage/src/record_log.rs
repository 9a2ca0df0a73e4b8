//! Writes records to the log and compacts it into snapshots. A log has a single owner thread and blocks only on disk
//! I/O.

use std::ops::RangeInclusive;

use crate::directory::Directory;
use crate::format::{self, LogNumber, SequenceNumber};
use crate::records::{apply_records, RecordMap};
use crate::recovery::{disk_error, log_name, log_numbers, recover, Recovered, SNAPSHOT};
use crate::Error;

/// The file name of a snapshot that is being written, before it replaces the current one.
const NEW_SNAPSHOT: &str = "snapshot.new";

/// The records in memory, and the files that make them durable. The records in memory are always current; the result
/// of the last [`RecordLog::persist`] tells whether all of them are durable.
#[derive(Debug)]
pub(crate) struct RecordLog<D: Directory> {
    directory: D,
    records: RecordMap,
    /// The size in bytes at which the log is compacted.
    max_log_bytes: u64,
    log: LogState<D::File>,
    /// The number of the most recently created log. Each log has a unique number, so none is written to twice.
    log_number: LogNumber,
    /// The sequence number of the next entry. A number is never reused, even if writing its entry failed.
    next_sequence: SequenceNumber,
    /// The logs that may contain entries that no durable snapshot covers: from the first log named by the last durable
    /// snapshot to the newest log that entries may have been written to. All other logs are obsolete or empty.
    needed_logs: RangeInclusive<LogNumber>,
}

/// The log that entries are appended to.
#[derive(Debug)]
enum LogState<F> {
    /// Everything appended so far is durable.
    Open { file: F, bytes: u64 },
    /// There is no usable log: a write or a sync has failed, or the directory has only been read so far.
    ///
    /// Invariant: a file for which a write or a sync has failed is never synced or appended to again. The operating
    /// system may have dropped data that it could not write, and a second sync would succeed in spite of the missing
    /// data. A snapshot in a new file replaces it.
    Unusable,
}

/// How [`RecordLog::persist`] made the records durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Persisted {
    /// With an entry in the log, or there was nothing to write.
    Appended,
    /// With a new snapshot.
    Compacted,
}

impl<D: Directory> RecordLog<D> {
    /// Reads the directory and writes nothing. Until the first [`RecordLog::persist`] has succeeded the records may not
    /// be durable: a killed process may have written data without syncing it, or its sync may have failed.
    ///
    /// # Errors
    /// [`Error::Disk`] if a file cannot be read, [`Error::Corrupt`] if the files contradict each other.
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

    /// Applies a batch to the records and makes all records durable: with a log entry if the log is usable and has
    /// room, otherwise with a snapshot. The batch becomes durable completely or not at all.
    ///
    /// # Errors
    /// [`Error::Disk`]. The batch stays applied in memory, and the next successful call makes it durable as well.
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

    /// Whether the log has room for the entry of a batch.
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

    /// Replaces the snapshot and its logs with a snapshot of all records, and starts a new log.
    fn compact(&mut self) -> Result<(), Error> {
        // Files that an earlier attempt failed to remove would take up space that the new files need.
        self.remove_obsolete_files();
        self.log_number = self.log_number.next();
        let file = self.create_log()?;
        self.write_snapshot()?;
        // The snapshot is durable now, and the only log still needed is the one that it names.
        self.log = LogState::Open { file, bytes: format::LOG_MAGIC.len() as u64 };
        self.needed_logs = self.log_number..=self.log_number;
        self.remove_obsolete_files();
        Ok(())
    }

    /// Creates the log with the current number, without entries.
    fn create_log(&self) -> Result<D::File, Error> {
        let (directory, name) = (&self.directory, log_name(self.log_number));
        let mut file = directory.create(&name).map_err(disk_error(directory, &name))?;
        directory.append(&mut file, format::LOG_MAGIC).map_err(disk_error(directory, &name))?;
        directory.sync(&mut file).map_err(disk_error(directory, &name))?;
        Ok(file)
    }

    /// Replaces the snapshot with one of all records. The snapshot becomes visible only with the rename, after it has
    /// been synced, so readers never find an incomplete one. Syncing the directory also makes the new log's name
    /// durable, on file systems that require it. If that sync fails, the next attempt renames again, so that the next
    /// sync has a change to write.
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

    /// Stops using the log after a failed call, and frees the space of everything that was not synced.
    fn abandon_log(&mut self) {
        if let LogState::Open { file, bytes } = &mut self.log {
            // If this fails too, recovery finds a torn tail or an entry that was not acknowledged.
            let _ = self.directory.truncate(file, *bytes);
        }
        // Invariant: the file is closed before it is removed. A removed file that is still open keeps its space.
        self.log = LogState::Unusable;
        self.remove_obsolete_files();
    }

    /// Removes obsolete logs and the remains of failed attempts. A file that cannot be removed, or that reappears after
    /// a power loss, does no harm and is removed by the next call: recovery skips logs by their number, and a log that
    /// no snapshot names has no entries.
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
