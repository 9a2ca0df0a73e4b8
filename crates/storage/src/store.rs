//! The store on disk, and its thread.

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

/// Invariant: there is a pause between attempts. Without one a failing disk would keep the machine from all else.
const RETRY_BACKOFF: RetryBackoff =
    RetryBackoff { initial: Duration::from_millis(250), max: Duration::from_secs(2) };

/// Records on disk, served by a thread of its own. A key that is given an empty value is deleted.
///
/// One process at a time may have a directory open; that is not checked. Dropping the store writes what is pending and
/// then ends the thread; that waits for the disk, but where the disk fails there is only one more attempt.
#[derive(Debug)]
pub struct Store {
    queue: Arc<WriteQueue>,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Opens or creates the directory's store; returns it and the newest value of each key, in the order of keys.
    /// `max_log_bytes` is how large the log may become before it is compacted; the disk needs room for that and for
    /// twice the records. Waits for the disk.
    ///
    /// Where the disk can be read and not written, the store opens all the same and retries. What was returned may then
    /// not all be durable; the first write that completes tells that it is.
    ///
    /// # Errors
    /// [`Error::Disk`] where the directory cannot be created or read, [`Error::Corrupt`] and [`Error::Thread`], with
    /// the path and the cause.
    pub fn open(path: &Path, max_log_bytes: u64) -> Result<(Store, Vec<Record>), Error> {
        let directory =
            FsDirectory::open(path).map_err(|error| DiskSnafu { path, cause: error.to_string() }.build())?;
        Store::start(directory, max_log_bytes, RETRY_BACKOFF)
    }

    /// As [`Store::open`], on any directory.
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
        // Makes durable what was found.
        attempt(&queue, &mut record_log, RecordMap::new());
        let panic_guard = PanicGuard(queue.clone());
        let serve = move || {
            while let Some(batch) = panic_guard.0.next_batch() {
                attempt(&panic_guard.0, &mut record_log, batch);
            }
        };
        let thread = std::thread::Builder::new()
            .name("storage".into())
            .spawn(serve)
            .map_err(|error| ThreadSnafu { path: &path, cause: error.to_string() }.build())?;
        log::info!("event=store_opened directory={path:?} keys={}", records.len());
        Ok((Store { queue, thread: Some(thread) }, records))
    }

    /// As [`RecordStore::put`]. Where the disk is slow or fails, the newest value of each key is pending in memory, and
    /// no more than [`MAX_PENDING_WRITES`](crate::MAX_PENDING_WRITES) ids. A key or a value has less than 4 GiB. Once
    /// the store has stopped, nothing happens.
    pub fn put(&self, write_id: u64, records: Vec<Record>) {
        self.queue.push(write_id, records);
    }

    /// As [`RecordStore::take_completed`]: the ids of writes that are durable. With a write's records, those of all writes before
    /// it are durable, and all that [`Store::open`] returned: an id that was passed over was dropped, and will not
    /// come.
    ///
    /// # Errors
    /// [`Error::Thread`] where the store's thread has panicked, once all writes that completed before were returned,
    /// and at each call from then on. Never for what the disk does.
    pub fn take_completed(&self) -> Result<Vec<u64>, Error> {
        self.queue.take_completed()
    }

    /// A file descriptor (an eventfd) that is readable when [`Store::take_completed`] has something new.
    pub fn event_fd(&self) -> BorrowedFd<'_> {
        self.queue.event_fd()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.queue.close();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported by `PanicGuard`.
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

/// One attempt to make a batch, and all that earlier attempts have left, durable.
fn attempt<D: Directory>(queue: &WriteQueue, record_log: &mut RecordLog<D>, batch: RecordMap) {
    let start = Instant::now();
    let persisted = record_log.persist(batch);
    let keys = record_log.records().len();
    match persisted {
        Ok(persisted) => {
            queue.succeeded(start, keys);
            if persisted == Persisted::Compacted {
                log::debug!("event=store_compacted keys={keys} ms={}", start.elapsed().as_millis());
            }
        }
        Err(error) => queue.failed(error, keys),
    }
}

/// Reports a panic of the store's thread, which holds it.
///
/// Invariant: the store stops when its thread is gone. Else writes would never complete, and nobody would know why.
struct PanicGuard(Arc<WriteQueue>);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.stop_after_panic();
        }
    }
}
