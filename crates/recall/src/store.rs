//! The store's thread, and what it shares with the event loop.

use std::collections::VecDeque;
use std::os::fd::BorrowedFd;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Instant;

use crate::disk::{Disk, Folder};
use crate::format;
use crate::journal::Journal;
use crate::wake::Wake;
use crate::{BacklogSnafu, DiskSnafu, Error, Record, Shelf, ThreadSnafu};

/// The most bytes that may be handed over and not yet written; one more byte ends the store. Danger: a disk
/// that hangs would have the process hoard records until its memory is out.
pub const MOST_WAITING: usize = 32 << 20;

/// One sync covers no more bytes than this, except for a single put that is larger.
const MOST_GROUP: usize = 1 << 20;

/// A map of records on disk, served by a thread of its own. Keys are never removed, only given new values.
///
/// One process at a time may have a folder open; that is not checked. Dropping the store writes what was
/// handed over and then ends the thread; it waits for the disk.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    folder: PathBuf,
    inner: Mutex<Inner>,
    /// Tells the thread of a put, and of the end.
    handed: Condvar,
    wake: Wake,
}

#[derive(Debug)]
struct Inner {
    state: State,
    waiting: VecDeque<Put>,
    /// Bytes in `waiting`.
    bytes: usize,
    done: Vec<u64>,
}

#[derive(Debug)]
enum State {
    Open,
    /// The store is being dropped; what waits is still written.
    Closing,
    /// Nothing is written any more.
    Ended(Error),
}

#[derive(Debug)]
struct Put {
    ticket: u64,
    records: Vec<Record>,
    bytes: usize,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Poison tells nothing here: the thread's death is told by `Watchman`.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hand_over(&self, put: Put) {
        let mut inner = self.lock();
        if !matches!(inner.state, State::Open) {
            return;
        }
        if inner.bytes + put.bytes > MOST_WAITING {
            return self.end(inner, BacklogSnafu { path: &self.folder }.build());
        }
        inner.bytes += put.bytes;
        inner.waiting.push_back(put);
        self.handed.notify_one();
    }

    /// Waits for puts and takes as many as one sync is to cover. `None` once there is nothing more to do.
    fn take_group(&self) -> Option<Vec<Put>> {
        let mut inner = self.lock();
        loop {
            match inner.state {
                State::Ended(_) => return None,
                State::Closing if inner.waiting.is_empty() => return None,
                State::Open if inner.waiting.is_empty() => {
                    inner = self.handed.wait(inner).unwrap_or_else(PoisonError::into_inner);
                }
                State::Open | State::Closing => break,
            }
        }
        let (mut group, mut bytes) = (Vec::new(), 0);
        while let Some(put) = inner.waiting.pop_front_if(|put| bytes == 0 || bytes + put.bytes <= MOST_GROUP)
        {
            bytes += put.bytes;
            group.push(put);
        }
        inner.bytes -= bytes;
        Some(group)
    }

    fn acknowledge(&self, tickets: Vec<u64>) {
        let mut inner = self.lock();
        inner.done.extend(tickets);
        self.wake.set();
    }

    fn close(&self) {
        let mut inner = self.lock();
        if matches!(inner.state, State::Open) {
            inner.state = State::Closing;
        }
        self.handed.notify_one();
    }

    /// The first error stands; what waits is let go.
    fn end(&self, mut inner: MutexGuard<'_, Inner>, error: Error) {
        if matches!(inner.state, State::Ended(_)) {
            return;
        }
        log::error!("event=store_ended waiting={} error=\"{error}\"", inner.waiting.len());
        inner.state = State::Ended(error);
        inner.waiting = VecDeque::new();
        inner.bytes = 0;
        self.wake.set();
        self.handed.notify_one();
    }
}

/// Tells of the thread's death by a panic. Danger: tickets would never come back, and nobody would know why.
struct Watchman(Arc<Shared>);

impl Drop for Watchman {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let error = ThreadSnafu { path: &self.0.folder, cause: "the store's thread panicked" }.build();
            self.0.end(self.0.lock(), error);
        }
    }
}

/// The thread: writes group after group until the store ends.
fn serve<D: Disk>(shared: &Shared, mut journal: Journal<D>) {
    while let Some(group) = shared.take_group() {
        let (tickets, batches) = group.into_iter().map(|put| (put.ticket, put.records)).unzip();
        if let Err(error) = journal.append(batches) {
            return shared.end(shared.lock(), error);
        }
        // Before a compaction, which takes several syncs that these tickets need not wait for.
        shared.acknowledge(tickets);
        let start = Instant::now();
        match journal.compact_if_due() {
            Ok(false) => {}
            Ok(true) => log::debug!(
                "event=store_compacted keys={} ms={}",
                journal.map().len(),
                start.elapsed().as_millis()
            ),
            Err(error) => return shared.end(shared.lock(), error),
        }
    }
}

impl Store {
    /// Opens or makes the folder's store; gives it and the newest value of each key that was kept, in the
    /// order of keys. All that it gives is surely on disk. `bound` is how many bytes the log may take before
    /// it is compacted; the disk needs room for that and for twice the records. Waits for the disk.
    ///
    /// # Errors
    /// [`Error::Disk`], [`Error::Spoilt`] and [`Error::Thread`], with the path and the cause.
    pub fn open(folder: &Path, bound: u64) -> Result<(Store, Vec<Record>), Error> {
        let disk =
            Folder::open(folder).map_err(|e| DiskSnafu { path: folder, cause: e.to_string() }.build())?;
        let journal = Journal::open(disk, bound)?;
        let records: Vec<Record> = journal.map().iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let no_thread = |e: std::io::Error| ThreadSnafu { path: folder, cause: e.to_string() }.build();
        let inner = Inner { state: State::Open, waiting: VecDeque::new(), bytes: 0, done: Vec::new() };
        let shared = Arc::new(Shared {
            folder: folder.to_owned(),
            inner: Mutex::new(inner),
            handed: Condvar::new(),
            wake: Wake::new().map_err(no_thread)?,
        });
        let watchman = Watchman(shared.clone());
        let thread = std::thread::Builder::new()
            .name("recall".into())
            .spawn(move || serve(&watchman.0, journal))
            .map_err(no_thread)?;
        log::info!("event=store_opened folder={:?} keys={}", folder, records.len());
        Ok((Store { shared, thread: Some(thread) }, records))
    }

    /// Hands records over to be written and synced; see [`Shelf::put`]. Never waits. More than
    /// [`MOST_WAITING`] bytes not yet written end the store. After its end a put does nothing.
    pub fn put(&self, ticket: u64, records: Vec<Record>) {
        // Each record is counted with what a map or a queue spends on it, and each put as if not empty.
        let bytes = 64 + records.iter().map(|(key, value)| 48 + format::size(key, value)).sum::<usize>();
        self.shared.hand_over(Put { ticket, records, bytes });
    }

    /// Tickets whose records are surely on disk, since the last call and in the order of [`Store::put`].
    ///
    /// # Errors
    /// What ended the store, once all tickets that were synced before it were given, and at each call from
    /// then on.
    pub fn done(&self) -> Result<Vec<u64>, Error> {
        let mut inner = self.shared.lock();
        self.shared.wake.clear();
        match &inner.state {
            State::Ended(error) if inner.done.is_empty() => Err(error.clone()),
            State::Ended(_) => {
                // The error is still to be told.
                self.shared.wake.set();
                Ok(std::mem::take(&mut inner.done))
            }
            State::Open | State::Closing => Ok(std::mem::take(&mut inner.done)),
        }
    }

    /// A descriptor (an eventfd) that is readable when [`Store::done`] has something new to say.
    pub fn wakes(&self) -> BorrowedFd<'_> {
        self.shared.wake.fd()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.shared.close();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was told by `Watchman`.
            let _ = thread.join();
        }
    }
}

impl Shelf for Store {
    fn put(&self, ticket: u64, records: Vec<Record>) {
        Store::put(self, ticket, records);
    }

    fn done(&self) -> Result<Vec<u64>, Error> {
        Store::done(self)
    }

    fn wakes(&self) -> BorrowedFd<'_> {
        Store::wakes(self)
    }
}
