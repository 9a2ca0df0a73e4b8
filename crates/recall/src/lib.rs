//! The durable store of a control process: a map of records on disk.
//!
//! [`Store`] runs on a thread of its own, so that an event loop never waits for the disk: records are handed
//! over with a ticket, and the ticket comes back once they are synced. [`Memory`] stands in for it in tests.
//!
//! # On disk
//!
//! The folder holds `snapshot`, the whole map at some point, and `log-<number>` with what came after it. Once
//! the log has grown to its bound, and at each opening, the map goes to `snapshot.new`, is synced, renamed to
//! `snapshot`, and the folder is synced; only then are the logs that it covers removed. A snapshot names the
//! first log that it does not cover. A log is only ever appended to by the process that made it: it is not
//! renamed and not reused, and nothing is written behind what may be a torn tail.
//!
//! This relies on the following of the disk. What was written before a file's sync is there after it. A new file
//! lasts once it was synced. Renames and removals last once the folder was synced. A log's last writes may be
//! missing or torn in any mix; checksums, and numbers that go up by one, cut the log off before the first
//! that is.
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

mod disk;
mod format;
mod journal;
mod memory;
mod store;
#[cfg(test)]
mod tests;
mod wake;

use std::os::fd::BorrowedFd;
use std::path::PathBuf;

use snafu::Snafu;

pub use memory::{Kept, Memory};
pub use store::{Store, MOST_WAITING};

/// A record: its key and its value.
pub type Record = (Vec<u8>, Vec<u8>);

/// Why the store could not be opened, or ended.
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
    /// More than [`MOST_WAITING`] bytes were handed over and not yet written.
    #[snafu(display("{}: more than {MOST_WAITING} bytes wait for the disk", path.display()))]
    Backlog {
        /// The store's folder.
        path: PathBuf,
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

/// What keeps records: [`Store`] on disk, [`Memory`] as its stand-in.
pub trait Shelf {
    /// Hands records over to be kept; a later value of a key replaces earlier ones. The records of one call are
    /// kept all or none. Never waits.
    fn put(&self, ticket: u64, records: Vec<Record>);

    /// Tickets whose records were kept since the last call, in the order of [`Shelf::put`].
    ///
    /// # Errors
    /// What ended the shelf, at each call from then on. Tickets that had not come back by then never do:
    /// their records may or may not be kept.
    fn done(&self) -> Result<Vec<u64>, Error>;

    /// A descriptor that is readable when [`Shelf::done`] has something new to say.
    fn wakes(&self) -> BorrowedFd<'_>;
}
