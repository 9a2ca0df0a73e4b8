//! The durable store and its thread.

use std::os::fd::BorrowedFd;
use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::directory::{Directory, FsDirectory};
use crate::record_log::{Persisted, RecordLog};
use crate::records::RecordMap;
use crate::write_queue::{RetryBackoff, WriteQueue};
use crate::{DiskSnafu, Error, Record, RecordStore, ThreadSnafu};

/// The delay before a failed write is retried.
///
/// Invariant: there is always a delay. Without it retries on a failing disk would use up the machine's resources.
const RETRY_BACKOFF: RetryBackoff =
    RetryBackoff { initial: Duration::from_millis(250), max: Duration::from_secs(2) };

/// A durable key-value store that does its I/O on a dedicated thread. Writing an empty value deletes the key.
///
/// Only one process at a time may open a directory; this is not checked. Dropping the store writes everything that is
/// pending and then joins the thread. That blocks on the disk; if the disk fails, there is only one more attempt.
#[derive(Debug)]
pub struct Store {
    queue: Arc<WriteQueue>,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Opens or creates the store of a directory. Returns it with the current value of each key, in key order. The log
    /// is compacted when it reaches `max_log_bytes`; the disk needs space for the log and for twice the records. Blocks
    /// on the disk.
    ///
    /// If the directory can be read but not written, the store still opens, and retries the write. The returned records
    /// may then not be durable yet; the first completed write confirms that they are.
    ///
    /// # Errors
    /// [`Error::Disk`] if the directory cannot be created or read, [`Error::Corrupt`] and [`Error::Thread`], with the
    /// path and the cause.
    pub fn open(path: &Path, max_log_bytes: u64) -> Result<(Store, Vec<Record>), Error> {
        let directory =
            FsDirectory::open(path).map_err(|error| DiskSnafu { path, cause: error.to_string() }.build())?;
        Store::start(directory, max_log_bytes, RETRY_BACKOFF)
    }

    /// As [`Store::open`], for any implementation of [`Directory`].
    pub(crate) fn start<D>(
        directory: D,
        max_log_bytes: u64,
        backoff: RetryBackoff,
    ) -> Result<(Store, Vec<Record>), Error>
    where
        D: Directory<File: Send> + Send + 'static,
    {
        let path = directory.path("");
        let mut record_log = RecordLog::open(directory, max_log_bytes)?;
        let to_record = |(key, value): (&Vec<u8>, &Vec<u8>)| (key.clone(), value.clone());
        let records: Vec<Record> = record_log.records().iter().map(to_record).collect();
        let queue = Arc::new(WriteQueue::new(path.clone(), backoff)?);
        // Make the recovered records durable.
        persist_batch(&queue, &mut record_log, RecordMap::new());
        let panic_guard = PanicGuard(queue.clone());
        let run = move || {
            while let Some(batch) = panic_guard.0.next_batch() {
                persist_batch(&panic_guard.0, &mut record_log, batch);
            }
        };
        let thread = std::thread::Builder::new()
            .name("storage".into())
            .spawn(run)
            .map_err(|error| ThreadSnafu { path: &path, cause: error.to_string() }.build())?;
        log::info!("event=store_opened directory={path:?} keys={}", records.len());
        Ok((Store { queue, thread: Some(thread) }, records))
    }

    /// As [`RecordStore::put`]. While the disk is slow or fails, the latest value of each key is kept in memory, with
    /// at most [`MAX_PENDING_WRITES`](crate::MAX_PENDING_WRITES) write ids. Keys and values must each be shorter than
    /// 4 GiB. Does nothing once the store has stopped.
    pub fn put(&self, write_id: u64, records: Vec<Record>) {
        self.queue.push(write_id, records);
    }

    /// As [`RecordStore::take_completed`]: the ids of durable writes. When a write is durable, all earlier writes and
    /// all records returned by [`Store::open`] are durable too. An id that is skipped was dropped and will never be
    /// returned.
    ///
    /// # Errors
    /// [`Error::Thread`] if the store's thread has panicked: on every call after all writes completed before the panic
    /// have been returned. Disk failures never cause an error.
    pub fn take_completed(&self) -> Result<Vec<u64>, Error> {
        self.queue.take_completed()
    }

    /// A file descriptor (an eventfd) that is readable when [`Store::take_completed`] has a result to return.
    pub fn event_fd(&self) -> BorrowedFd<'_> {
        self.queue.event_fd()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.queue.close();
        if let Some(thread) = self.thread.take() {
            // `PanicGuard` has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

impl RecordStore for Store {
    fn put(&self, write_id: u64, records: Vec<Record>) {
        Store::put(self, write_id, records);
    }

    fn take_completed(&self) -> Result<Vec<u64>, Error> {
        Store::take_completed(self)
    }

    fn event_fd(&self) -> BorrowedFd<'_> {
        Store::event_fd(self)
    }
}

/// Attempts once to make a batch durable, together with everything that earlier attempts have not made durable.
fn persist_batch<D: Directory>(queue: &WriteQueue, record_log: &mut RecordLog<D>, batch: RecordMap) {
    let start = Instant::now();
    let persisted = record_log.persist(batch);
    let keys = record_log.records().len();
    match persisted {
        Ok(persisted) => {
            queue.on_success(start, keys);
            if persisted == Persisted::Compacted {
                log::debug!("event=store_compacted keys={keys} ms={}", start.elapsed().as_millis());
            }
        }
        Err(error) => queue.on_failure(error, keys),
    }
}

/// Reports a panic of the store's thread, which owns this guard.
///
/// Invariant: the store stops when its thread ends. Otherwise writes would never complete, without any error.
struct PanicGuard(Arc<WriteQueue>);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.stop_after_panic();
        }
    }
}
