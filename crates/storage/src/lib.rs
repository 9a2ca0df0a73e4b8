//! The durable store of a control-plane process: records (key and value) on disk.
//!
//! [`Store`] has a thread of its own, so that an event loop never waits for the disk: records are put with an id, and
//! the id comes back once they are durable. [`InMemoryStore`] takes its place in tests.
//!
//! # Files
//!
//! | file | content |
//! | --- | --- |
//! | `snapshot` | all records at some point |
//! | `log-<number>` | the batches of records that were written after that |
//! | `snapshot.new` | a snapshot that is being written; ignored and removed by recovery |
//!
//! The state is what `snapshot` holds, with the entries of the logs that follow it applied in order. Where an entry
//! would take the log beyond its maximal size, and at each opening, the log is *compacted*:
//!
//! 1. A new log, of the next number, is created and synced. It holds its magic alone.
//! 2. All records are written to `snapshot.new`, which is synced.
//! 3. `snapshot.new` is renamed to `snapshot`, and the directory is synced.
//! 4. Only then are the logs removed that the snapshot covers. It names the first one that it does not cover.
//!
//! A log is only ever appended to, and by the process that created it: it is neither renamed nor reused, and nothing is
//! written behind what may be a torn tail.
//!
//! # Format
//!
//! Numbers are little-endian, checksums CRC-32 (IEEE).
//!
//! *Record*: sets a key to a value. In a log an empty value deletes the key; a snapshot holds no empty values.
//!
//! | field | bytes |
//! | --- | --- |
//! | length of the key | 4 |
//! | length of the value | 4 |
//! | key | as its length says |
//! | value | as its length says |
//!
//! *Log*: the magic `KPRLOG01`, then entries. An entry is one batch of records, which is applied completely or not at
//! all:
//!
//! | field | bytes |
//! | --- | --- |
//! | checksum over the log's number (8 bytes) and all fields below | 4 |
//! | length of the payload | 4 |
//! | sequence number | 8 |
//! | payload: records, one after another | as its length says |
//!
//! Sequence numbers go up by one from entry to entry, through all logs. The number of an entry that could not be written
//! is not used again; the snapshot that follows such a failure covers it.
//!
//! *Snapshot*:
//!
//! | field | bytes |
//! | --- | --- |
//! | the magic `KPRSNAP1` | 8 |
//! | number of the first log that is not covered | 8 |
//! | sequence number of the first entry that is not covered | 8 |
//! | all records, by key | up to the checksum |
//! | checksum over all of the above | 4 |
//!
//! # What a sync guarantees, and recovery
//!
//! The store relies on this alone:
//!
//! * What was written to a file before a sync of it succeeded is durable, unless an earlier write or sync of the same
//!   file failed.
//! * A new file is durable once it was synced; renames and removals are durable once the directory was synced.
//! * Of what was not synced any part may be missing or changed after a loss of power, in any order.
//!
//! A write is acknowledged after the sync that covers it, so an acknowledged write survives a loss of power. One that
//! was not acknowledged may survive too.
//!
//! A log therefore can have a *torn tail*: entries whose sync did not succeed. Recovery replays a log up to the first
//! entry that is incomplete or does not match its checksum, and ignores the rest. No acknowledged entry can follow
//! it, as each entry is synced before the next one is written. An incomplete magic means that the log was never
//! synced, so it holds no entry. The following cannot come from a loss of power, and is an [`Error::Corrupt`]: a
//! snapshot that does not match its checksum, entries without a snapshot, and a gap in the sequence numbers.
//!
//! What recovery found is durable only after the compaction that follows: the process before may have been killed
//! between write and sync.
//!
//! # Disks that fail, fill up or hang
//!
//! None of these stops the store; writes complete later, that is all. What is pending collapses to the newest value of
//! each key, so that memory holds a few times the records at most, and [`MAX_PENDING_WRITES`] bounds the ids.
//!
//! * After any call that failed (`event=store_write_failed`) the log is truncated to what was synced and not touched
//!   again, as repeating a failed sync tells nothing. After a backoff, 0.25 s at first and at most 2 s, all records are
//!   written to a new snapshot with a new log behind it. What a failed attempt wrote is removed at once, so as not to
//!   take space. Once one succeeds (`event=store_recovered`) all writes that it covers are complete. What was
//!   acknowledged before stays durable meanwhile: the old snapshot and its log are kept until then.
//! * A store whose directory can be read and not written opens, and begins by retrying.
//! * A disk that hangs blocks the store's thread and nobody else. A write of a second or more, or ids dropped during
//!   it, are logged (`event=store_slow`).
//!
//! The files take no more space than the log's maximal size and twice the records, except for what the disk fails to
//! remove or brings back with a loss of power; that is removed by the next compaction. No space is reserved beyond that,
//! say by filling the log with zeros first: it would double what is written, helps neither against errors nor on
//! copy-on-write file systems, and the next compaction needs space for all records anyway. What a full disk costs is a
//! delay, as any failure does.
//!
//! # Why not `okaywal`
//!
//! The write-ahead log of the crate `okaywal` 0.3.1 is not safe on such a disk:
//!
//! * It reuses a checkpointed segment by renaming `wal-1-cp` to `wal-7` and does not sync the directory afterwards: the
//!   check before the sync compares the time of the file's creation, not of its renaming. A trace of its system calls
//!   shows entries acknowledged after the rename with no sync of the directory. When power is lost the file is
//!   `wal-1-cp` again, and recovery drops what it holds: acknowledged entries are gone.
//! * A new segment whose header had not reached the disk (empty, or zeros) makes opening fail for good, with
//!   "failed to fill whole buffer" or "did not contain magic code".
//! * Recovery neither syncs what it found nor truncates a torn tail, but appends behind it and uses the numbers of lost
//!   entries again: an old entry further on can be taken for a new one, and what was returned to the caller can still be
//!   lost.
//! * After a failed sync the file stays marked as syncing, and whoever syncs next waits for ever.

mod directory;
mod format;
mod in_memory;
mod record_log;
mod records;
mod recovery;
mod store;
#[cfg(test)]
mod tests;
mod write_queue;

use std::os::fd::BorrowedFd;
use std::path::PathBuf;

use snafu::Snafu;

pub use in_memory::{InMemoryRecords, InMemoryStore};
pub use store::Store;
pub use write_queue::MAX_PENDING_WRITES;

/// A record: its key and its value.
pub type Record = (Vec<u8>, Vec<u8>);

/// Why the store could not be opened, or stopped, or why the disk fails (which is only logged).
///
/// Causes are texts, as the error that stopped a store is returned again and again, and `io::Error` cannot be cloned.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// The operating system failed to do something with the file or directory.
    #[snafu(display("{}: {cause}", path.display()))]
    Disk {
        /// The file or directory.
        path: PathBuf,
        /// What the system reported.
        cause: String,
    },
    /// The file does not hold what was synced to it: the disk, or somebody else, has changed it. Nothing was changed by
    /// opening it; what can be saved is for an operator to decide.
    #[snafu(display("{}: spoilt: {cause}", path.display()))]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
    },
    /// The store's thread or file descriptor could not be made, or the thread has panicked.
    #[snafu(display("{}: {cause}", path.display()))]
    Thread {
        /// The store's directory.
        path: PathBuf,
        /// What happened.
        cause: String,
    },
}

/// What stores records: [`Store`] on disk, [`InMemoryStore`] in tests.
pub trait RecordStore {
    /// Writes records; a later value of a key replaces earlier ones, an empty value deletes the key. The records of one
    /// call are stored completely or not at all. Never waits; `write_id` tells when they are durable.
    fn put(&self, write_id: u64, records: Vec<Record>);

    /// The ids of writes that became durable since the last call, in the order of [`RecordStore::put`]. All earlier
    /// writes are durable then too.
    ///
    /// # Errors
    /// What stopped the store, at each call from then on. Ids that had not come back by then never do: their records may
    /// or may not be durable.
    fn take_completed(&self) -> Result<Vec<u64>, Error>;

    /// A file descriptor that is readable when [`RecordStore::take_completed`] has something new.
    fn event_fd(&self) -> BorrowedFd<'_>;
}
