//! Recovery: reads the current records from the snapshot and the logs that follow it. Writes nothing.

use std::io;
use std::ops::RangeInclusive;

use snafu::ensure;

use crate::directory::Directory;
use crate::format::{self, LogEntry, LogNumber, Snapshot};
use crate::records::apply_records;
use crate::{CorruptSnafu, DiskSnafu, Error};

/// The file name of the snapshot.
pub(crate) const SNAPSHOT: &str = "snapshot";

const LOG_PREFIX: &str = "log-";

/// The contents of a directory.
#[derive(Debug)]
pub(crate) struct Recovered {
    /// The snapshot with the entries of the logs applied to it.
    pub(crate) state: Snapshot,
    /// The highest log number.
    pub(crate) newest_log: LogNumber,
    /// The logs that may still be needed; see [`RecordLog`](crate::record_log::RecordLog).
    pub(crate) needed_logs: RangeInclusive<LogNumber>,
}

/// The file name of a log.
pub(crate) fn log_name(number: LogNumber) -> String {
    format!("{LOG_PREFIX}{}", number.0)
}

/// The numbers of the logs among these file names, in ascending order.
pub(crate) fn log_numbers(names: &[String]) -> Vec<LogNumber> {
    let parse = |name: &String| name.strip_prefix(LOG_PREFIX)?.parse().ok().map(LogNumber);
    // Rejects names that the store does not create, such as "log-007".
    let parse_exactly = |name: &String| parse(name).filter(|number| log_name(*number) == *name);
    let mut numbers: Vec<LogNumber> = names.iter().filter_map(parse_exactly).collect();
    numbers.sort_unstable();
    numbers
}

/// Converts an I/O error of a file, or of the directory (""), into an [`Error`] that contains its path.
pub(crate) fn disk_error<D: Directory>(directory: &D, name: &str) -> impl FnOnce(io::Error) -> Error {
    let path = directory.path(name);
    move |error| DiskSnafu { path, cause: error.to_string() }.build()
}

/// Reads the snapshot and the logs that follow it.
///
/// # Errors
/// [`Error::Disk`] if a file cannot be read, [`Error::Corrupt`] if the files contradict each other.
pub(crate) fn recover<D: Directory>(directory: &D) -> Result<Recovered, Error> {
    let logs = log_numbers(&directory.list().map_err(disk_error(directory, ""))?);
    let snapshot = read_snapshot(directory)?;
    let has_snapshot = snapshot.is_some();
    let mut state = snapshot.unwrap_or_default();
    let first_sequence = state.next_sequence;
    let first_log = state.first_log;
    for &log in logs.iter().filter(|log| **log >= first_log) {
        replay_log(directory, log, has_snapshot, &mut state)?;
    }
    let newest_log = logs.last().copied().unwrap_or_default();
    // The rename of a snapshot may be visible but not yet durable; then the logs before its first log are still needed.
    // An entry in the first log proves that the rename is durable, because entries are written only after that.
    let has_entries = state.next_sequence > first_sequence;
    let oldest_needed = if has_entries { first_log } else { LogNumber::default() };
    Ok(Recovered { state, newest_log, needed_logs: oldest_needed..=newest_log })
}

fn read_snapshot<D: Directory>(directory: &D) -> Result<Option<Snapshot>, Error> {
    let Some(bytes) = directory.read(SNAPSHOT).map_err(disk_error(directory, SNAPSHOT))? else {
        return Ok(None);
    };
    let snapshot = format::decode_snapshot(&bytes).ok_or_else(|| {
        CorruptSnafu {
            path: directory.path(SNAPSHOT),
            cause: "snapshot is incomplete or its checksum does not match",
        }
        .build()
    })?;
    Ok(Some(snapshot))
}

/// Applies the complete entries of a log to the state. Everything from the first incomplete entry on is ignored as a
/// torn tail.
fn replay_log<D: Directory>(
    directory: &D,
    log: LogNumber,
    has_snapshot: bool,
    state: &mut Snapshot,
) -> Result<(), Error> {
    let name = log_name(log);
    let bytes = directory.read(&name).map_err(disk_error(directory, &name))?.unwrap_or_default();
    // An incomplete magic means that power was lost between the creation of the file and its first sync.
    let mut rest = bytes.strip_prefix(format::LOG_MAGIC).unwrap_or_default();
    while let Some(LogEntry { sequence, records }) = format::take_entry(&mut rest, log) {
        let path = directory.path(&name);
        // Invariant: the first snapshot is written before the first entry. If a missing snapshot were accepted, the
        // directory would be treated as new, and all records of the snapshot would be lost silently.
        ensure!(has_snapshot, CorruptSnafu { path, cause: "log entries without a snapshot" });
        // Invariant: sequence numbers are consecutive. Continuing after a gap would mix old values with new ones.
        let cause = || format!("found entry {}, expected entry {}", sequence.0, state.next_sequence.0);
        ensure!(sequence == state.next_sequence, CorruptSnafu { path, cause: cause() });
        state.next_sequence = sequence.next();
        apply_records(&mut state.records, records);
    }
    Ok(())
}
