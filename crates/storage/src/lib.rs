//! The durable key-value store of a control-plane process.
//!
//! [`Store`] does its I/O on a dedicated thread, so that an event loop never blocks on the disk: a write is submitted
//! with an id, and the id is returned once the write is durable. [`InMemoryStore`] replaces it in tests.
//!
//! # Files
//!
//! | file | content |
//! | --- | --- |
//! | `snapshot` | all records at some point in time |
//! | `log-<number>` | the batches of records written after that |
//! | `snapshot.new` | an unfinished snapshot; recovery ignores it, and the next compaction removes it |
//!
//! The current state is the content of `snapshot` with the entries of the logs that follow it applied in order. The log
//! is *compacted* each time the store is opened, and when an entry would make the log exceed its maximum size:
//!
//! 1. A new log with the next number is created and synced. It contains only its magic bytes.
//! 2. All records are written to `snapshot.new`, which is synced.
//! 3. `snapshot.new` is renamed to `snapshot`, and the directory is synced.
//! 4. Only then are the logs covered by the snapshot removed. The snapshot names the first log that it does not cover.
//!
//! A log is only appended to, and only by the process that created it. It is never renamed or reused, and nothing is
//! written after a tail that may be torn.
//!
//! # Format
//!
//! Numbers are little-endian, checksums are CRC-32 (IEEE).
//!
//! *Record*: sets a key to a value. In a log an empty value deletes the key; a snapshot contains no empty values.
//!
//! | field | bytes |
//! | --- | --- |
//! | length of the key | 4 |
//! | length of the value | 4 |
//! | key | length of the key |
//! | value | length of the value |
//!
//! *Log*: the magic bytes `KPRLOG01`, then entries. An entry is one batch of records, which is applied completely or
//! not at all:
//!
//! | field | bytes |
//! | --- | --- |
//! | checksum over the log's number (8 bytes) and all fields below | 4 |
//! | length of the payload | 4 |
//! | sequence number | 8 |
//! | payload: consecutive records | length of the payload |
//!
//! Sequence numbers are consecutive from entry to entry, across all logs. The number of an entry that could not be
//! written is not reused; the snapshot that follows such a failure covers it.
//!
//! *Snapshot*:
//!
//! | field | bytes |
//! | --- | --- |
//! | the magic bytes `KPRSNAP1` | 8 |
//! | number of the first log that is not covered | 8 |
//! | sequence number of the first entry that is not covered | 8 |
//! | all records, ordered by key | up to the checksum |
//! | checksum over all of the above | 4 |
//!
//! # Durability guarantees and recovery
//!
//! The store relies only on these guarantees of the file system:
//!
//! * Data written to a file before a successful sync of the file is durable, unless an earlier write or sync of the
//!   file has failed.
//! * A new file is durable once it has been synced; renames and removals are durable once the directory has been
//!   synced.
//! * Any part of the data that was not synced may be missing or corrupt after a power loss, regardless of the order of
//!   the writes.
//!
//! A write is acknowledged after the sync that covers it, so an acknowledged write survives a power loss. An
//! unacknowledged write may survive as well.
//!
//! A log can therefore have a *torn tail*: entries whose sync did not succeed. Recovery replays a log up to the first
//! entry that is incomplete or does not match its checksum, and ignores the rest. No acknowledged entry can follow that
//! entry, because each entry is synced before the next one is written. Incomplete magic bytes mean that the log was
//! never synced, so it contains no entry. A power loss cannot cause any of the following, so they are an
//! [`Error::Corrupt`]: a snapshot that does not match its checksum, entries without a snapshot, and a gap in the
//! sequence numbers.
//!
//! Recovered records are durable only after the compaction that follows recovery, because the previous process may have
//! been killed between write and sync.
//!
//! # Failing, full and hanging disks
//!
//! None of these stops the store; writes only complete later. Pending records are reduced to the latest value of each
//! key, so that memory usage is bounded by a few times the size of the records, and [`MAX_PENDING_WRITES`] bounds the
//! number of ids.
//!
//! * After any failed call (`event=store_write_failed`) the log is truncated to its synced part and not used again,
//!   because the result of repeating a failed sync is meaningless. After a delay (0.25 s at first, at most 2 s) all
//!   records are written to a new snapshot with a new log. The files of a failed attempt are removed immediately to
//!   free their space. Once an attempt succeeds (`event=store_recovered`) all writes that it covers are complete. Until
//!   then the previous snapshot and its log are kept, so that everything acknowledged before stays durable.
//! * If the directory can be read but not written, the store opens and starts with retries.
//! * A hanging disk blocks only the store's thread. Writes that take a second or more, and ids dropped in the meantime,
//!   are logged (`event=store_slow`).
//!
//! The files take at most the log's maximum size plus twice the size of the records, except for files that the disk
//! fails to remove or that reappear after a power loss; the next compaction removes those. No further space is
//! reserved, for example by filling the log with zeros in advance: that would double the amount of data written, does
//! not prevent I/O errors, does not help on copy-on-write file systems, and the next compaction needs space for all
//! records anyway. A full disk only causes a delay, as any other failure does.
//!
//! # Why not `okaywal`
//!
//! The write-ahead log of the crate `okaywal` 0.3.1 is not safe on a disk with only these guarantees:
//!
//! * It reuses a checkpointed segment by renaming `wal-1-cp` to `wal-7`, but does not sync the directory afterwards:
//!   the check before the sync compares the file's creation time, not the time of the rename. A system call trace shows
//!   entries that are acknowledged after the rename without a sync of the directory. After a power loss the file is
//!   `wal-1-cp` again, and recovery discards its content, so acknowledged entries are lost.
//! * A new segment whose header was not written to disk (empty or zeros) makes opening fail permanently, with "failed
//!   to fill whole buffer" or "did not contain magic code".
//! * Recovery neither syncs the entries that it found nor truncates a torn tail, but appends after the tail and reuses
//!   the numbers of lost entries: an old entry further on can be mistaken for a new one, and entries that were returned
//!   to the caller can still be lost.
//! * After a failed sync the file stays marked as syncing, and the next sync waits forever.

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

/// A record: key and value.
pub type Record = (Vec<u8>, Vec<u8>);

/// Why the store could not be opened or has stopped, or why a write failed (which is only logged).
///
/// Causes are stored as text, because the error that stopped a store is returned repeatedly and `io::Error` cannot be
/// cloned.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum Error {
    /// A file system operation on the file or directory failed.
    #[snafu(display("{}: {cause}", path.display()))]
    Disk {
        /// The file or directory.
        path: PathBuf,
        /// The operating system's error message.
        cause: String,
    },
    /// The file does not contain what was synced to it: the disk or another program has changed it. Opening has changed
    /// nothing, so that an operator can decide how to recover the data.
    #[snafu(display("{}: corrupt: {cause}", path.display()))]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// What is wrong with the file.
        cause: String,
    },
    /// The store's thread or file descriptor could not be created, or the thread has panicked.
    #[snafu(display("{}: {cause}", path.display()))]
    Thread {
        /// The store's directory.
        path: PathBuf,
        /// The reason.
        cause: String,
    },
}

/// A store for records: [`Store`] on disk, [`InMemoryStore`] in tests.
pub trait RecordStore {
    /// Submits a write. A later value of a key replaces earlier ones, and an empty value deletes the key. The records
    /// of one call are stored completely or not at all. Never blocks; [`RecordStore::take_completed`] returns
    /// `write_id` once the records are durable.
    fn put(&self, write_id: u64, records: Vec<Record>);

    /// The ids of the writes that became durable since the last call, in the order of [`RecordStore::put`]. All earlier
    /// writes are then durable too.
    ///
    /// # Errors
    /// The error that stopped the store, on every call from then on. Ids that have not been returned by then never will
    /// be; their records may or may not be durable.
    fn take_completed(&self) -> Result<Vec<u64>, Error>;

    /// A file descriptor that is readable when [`RecordStore::take_completed`] has a result to return.
    fn event_fd(&self) -> BorrowedFd<'_>;
}
