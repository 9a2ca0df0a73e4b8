//! Reading the newest records out of the snapshot and the logs that follow it. Nothing is written.

use std::io;
use std::ops::RangeInclusive;

use snafu::ensure;

use crate::directory::Directory;
use crate::format::{self, LogEntry, LogNumber, Snapshot};
use crate::records::apply_records;
use crate::{CorruptSnafu, DiskSnafu, Error};

/// The name of the snapshot.
pub(crate) const SNAPSHOT: &str = "snapshot";

const LOG_PREFIX: &str = "log-";

/// What a directory holds.
#[derive(Debug)]
pub(crate) struct Recovered {
    /// The snapshot, with the entries of the logs applied to it.
    pub(crate) state: Snapshot,
    /// The highest number that a log has.
    pub(crate) newest_log: LogNumber,
    /// The logs that may still be needed; see [`RecordLog`](crate::record_log::RecordLog).
    pub(crate) needed_logs: RangeInclusive<LogNumber>,
}

/// The name of a log's file.
pub(crate) fn log_name(number: LogNumber) -> String {
    format!("{LOG_PREFIX}{}", number.0)
}

/// The numbers of the logs among these files, ascending.
pub(crate) fn log_numbers(names: &[String]) -> Vec<LogNumber> {
    let parse = |name: &String| name.strip_prefix(LOG_PREFIX)?.parse().ok().map(LogNumber);
    // "log-007" is no log of this store.
    let parse_exactly = |name: &String| parse(name).filter(|number| log_name(*number) == *name);
    let mut numbers: Vec<LogNumber> = names.iter().filter_map(parse_exactly).collect();
    numbers.sort_unstable();
    numbers
}

/// Turns an I/O error about a file, or about the directory (""), into one that names it.
pub(crate) fn disk_error<D: Directory>(directory: &D, name: &str) -> impl FnOnce(io::Error) -> Error {
    let path = directory.path(name);
    move |error| DiskSnafu { path, cause: error.to_string() }.build()
}

/// Reads the snapshot and the logs that follow it.
///
/// # Errors
/// [`Error::Disk`] where a file cannot be read, [`Error::Corrupt`] where the files contradict each other.
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
    // The rename of a snapshot may be visible and not durable, and the logs below the one that it names are still
    // needed then. An entry in that one proves that the rename is durable: none is written before.
    let has_entries = state.next_sequence > first_sequence;
    let oldest_needed = if has_entries { first_log } else { LogNumber::default() };
    Ok(Recovered { state, newest_log, needed_logs: oldest_needed..=newest_log })
}

fn read_snapshot<D: Directory>(directory: &D) -> Result<Option<Snapshot>, Error> {
    let Some(bytes) = directory.read(SNAPSHOT).map_err(disk_error(directory, SNAPSHOT))? else {
        return Ok(None);
    };
    let snapshot = format::decode_snapshot(&bytes).ok_or_else(|| {
        CorruptSnafu { path: directory.path(SNAPSHOT), cause: "not a whole snapshot" }.build()
    })?;
    Ok(Some(snapshot))
}

/// Applies the complete entries of a log to the state. What follows the first incomplete one is ignored: a torn tail.
fn replay_log<D: Directory>(
    directory: &D,
    log: LogNumber,
    has_snapshot: bool,
    state: &mut Snapshot,
) -> Result<(), Error> {
    let name = log_name(log);
    let bytes = directory.read(&name).map_err(disk_error(directory, &name))?.unwrap_or_default();
    // Where the magic is incomplete, power was lost between the file's creation and its first sync.
    let mut rest = bytes.strip_prefix(format::LOG_MAGIC).unwrap_or_default();
    while let Some(LogEntry { sequence, records }) = format::take_entry(&mut rest, log) {
        let path = directory.path(&name);
        // Invariant: the first snapshot is written before the first entry. Were its loss accepted, the directory would
        // pass for a new one, and all that the snapshot held would be lost silently.
        ensure!(has_snapshot, CorruptSnafu { path, cause: "entries without a snapshot" });
        // Invariant: entries are numbered without gaps. Going on behind a gap would mix old values with new ones.
        let cause = || format!("entry {} where {} is next", sequence.0, state.next_sequence.0);
        ensure!(sequence == state.next_sequence, CorruptSnafu { path, cause: cause() });
        state.next_sequence = sequence.next();
        apply_records(&mut state.records, records);
    }
    Ok(())
}
