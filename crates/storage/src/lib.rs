//! The durable store of a control process: a map of records on disk.
//!
//! [`Store`] runs on a thread of its own, so that an event loop never waits for the disk: records are handed
//! over with a ticket, and the ticket comes back once they are synced. [`InMemoryStore`] stands in for it in tests.
//!
//! # On disk
//!
//! The folder holds `snapshot`, the whole map at some point, and `log-<number>` with what came after it. Where an
//! entry would take the log beyond its bound, and at each opening, the map goes to `snapshot.new`, is synced,
//! renamed to `snapshot`, and the folder is synced; only then are the logs that it covers removed. A snapshot
//! names the first log that it does not cover. A log is only ever appended to by the process that made it: it is
//! not renamed and not reused, and nothing is written behind what may be a torn tail.
//!
//! This relies on the following of the disk. What was written before a file's sync is there after it, if the sync
//! succeeded and none of the file failed before. A new file lasts once it was synced. Renames and removals last
//! once the folder was synced. A log's last writes may be missing or torn in any mix; checksums, and numbers that
//! go up by one, cut the log off before the first that is.
//!
//! # A disk that refuses, fills up or hangs
//!
//! None of these ends the store; tickets come later, that is all. What waits collapses to the newest value of each
//! key, so that memory holds a few times the map at most, and [`MAX_PENDING_WRITES`] bounds the tickets.
//!
//! * After any call that failed, the store is *refused* (`event=store_refused`): the log is not touched again, as a
//!   sync that failed tells nothing when repeated, but cut to what was synced. After a pause, 0.25 s at first and
//!   2 s in the end, the whole map goes to a new snapshot with a new log behind it. What a failed attempt wrote is
//!   removed at once, so as not to hold room. Once one succeeds (`event=store_again`) all tickets that it covers
//!   come back. What was acknowledged before lasts all the while: the old snapshot and its log stay until then.
//! * An opening that can read and not write gives what it read and starts refused.
//! * A disk that hangs holds the store's thread and nobody else. A wait of a second or more, or tickets dropped in
//!   it, are told by `event=store_slow`.
//!
//! The files take no more room than the bound and twice the map, except for what the disk refuses to remove or
//! brings back with a loss of power; that goes at the next compaction. No room is reserved beyond that, say by writing the log full of zeros first:
//! it would double what is written, helps neither against errors nor on disks that write copies, and the next
//! compaction needs room for the whole map anyway. What a full disk costs is a wait, and a wait is what any refusal
//! costs.
//!
//! # Why not `okaywal`
//!
//! The write-ahead log of the crate `okaywal` 0.3.1 is not safe on such a disk:
//!
//! * It reuses a checkpointed segment by renaming `wal-1-cp` to `wal-7` and does not sync the folder
//!   afterwards: the check before the sync compares the time of the file's making, not of its renaming. A
//!   trace of its system calls shows entries acknowledged after the rename with no sync of the folder.
//!   When power is lost the file is `wal-1-cp` again, and recovery drops what it holds: acknowledged
//!   entries are gone.
//! * A new segment whose header had not reached the disk (empty, or zeros) makes opening fail for good, with
//!   "failed to fill whole buffer" or "did not contain magic code".
//! * Recovery neither syncs what it found nor cuts a torn tail off, but appends behind it and uses the numbers
//!   of lost entries again: an old entry further on can be taken for a new one, and what was handed to the
//!   caller can still be lost.
//! * After a failed sync the file stays marked as syncing, and whoever syncs next waits for ever.
#![deny(missing_docs)]
// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

mod disk;
mod event_fd;
mod format;
mod in_memory;
mod record_log;
mod store;
#[cfg(test)]
mod tests;

use std::os::fd::BorrowedFd;
use std::path::PathBuf;

use snafu::Snafu;

pub use in_memory::{InMemoryStore, Kept};
pub use store::{Store, MAX_PENDING_WRITES};

/// A record: its key and its value.
pub type Record = (Vec<u8>, Vec<u8>);

/// Why the store could not be opened, or ended, or why the disk refuses (which the log alone tells).
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The operating system refused something about the file or folder.
    #[snafu(display("{}: {cause}", path.display()))]
    Disk {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        cause: String,
    },
    /// The file does not hold what was synced to it: the disk, or somebody else, has changed it. Nothing was
    /// changed by opening it; what can be saved is for an operator to decide.
    #[snafu(display("{}: spoilt: {cause}", path.display()))]
    Spoilt {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
    },
    /// The store's thread or descriptor could not be made, or the thread has died.
    #[snafu(display("{}: {cause}", path.display()))]
    Thread {
        /// The store's folder.
        path: PathBuf,
        /// What happened.
        cause: String,
    },
}

/// What keeps records: [`Store`] on disk, [`InMemoryStore`] as its stand-in.
pub trait RecordStore {
    /// Hands records over to be kept; a later value of a key replaces earlier ones. The records of one call are
    /// kept all or none. Never waits.
    fn put(&self, write_id: u64, records: Vec<Record>);

    /// Tickets whose records were kept since the last call, in the order of [`RecordStore::put`]. Those of all earlier
    /// puts are kept then too.
    ///
    /// # Errors
    /// What ended the shelf, at each call from then on. Tickets that had not come back by then never do:
    /// their records may or may not be kept.
    fn done(&self) -> Result<Vec<u64>, Error>;

    /// A descriptor that is readable when [`RecordStore::done`] has something new to say.
    fn wakes(&self) -> BorrowedFd<'_>;
}
