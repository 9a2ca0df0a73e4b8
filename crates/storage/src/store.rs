//! The store's thread, and what it shares with the event loop.

use std::collections::VecDeque;
use std::os::fd::BorrowedFd;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::disk::{Disk, Folder};
use crate::event_fd::Wake;
use crate::format::Map;
use crate::record_log::RecordLog;
use crate::{DiskSnafu, Error, Record, RecordStore, ThreadSnafu};

/// How many tickets may wait for the disk. Beyond it the oldest are dropped and never come back; their records
/// are kept like all others. Danger: a disk that hangs or refuses would have tickets pile up without end.
pub const MAX_PENDING_WRITES: usize = 1 << 16;

/// How long the store pauses after the disk has refused, before it tries again: at first, and at most. Each pause
/// is twice the one before. Danger: attempts without a pause would keep the machine from all else.
const PAUSES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Waiting for the disk so long is worth a line.
const SLOW: Duration = Duration::from_secs(1);

/// A map of records on disk, served by a thread of its own. A key that is given an empty value is taken away.
///
/// One process at a time may have a folder open; that is not checked. Dropping the store writes what was
/// handed over and then ends the thread; it waits for the disk, but where the disk refuses it tries only once more.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    folder: PathBuf,
    pauses: (Duration, Duration),
    inner: Mutex<Inner>,
    /// Tells the thread of a put, and of the end.
    handed: Condvar,
    wake: Wake,
}

#[derive(Debug)]
struct Inner {
    state: State,
    /// What was handed over since the thread last took it: the newest value of each key. So it never grows beyond
    /// one value for each key, however long the disk takes.
    waiting: Map,
    /// The tickets that wait, oldest first.
    tickets: VecDeque<u64>,
    /// How many of them, from the front, the thread's present attempt covers.
    covered: usize,
    /// How many were dropped since the last success.
    dropped: u64,
    done: Vec<u64>,
}

/// [`Shared::refuse`], [`Shared::kept`], [`Shared::close`] and [`Shared::end`] alone change it.
#[derive(Debug)]
enum State {
    /// What is handed over is written at once.
    Open,
    /// The disk has refused. The journal has taken the records that were to be written into its map, and the
    /// next attempt covers them.
    Refused { since: Instant, tries: u32, pause: Duration, until: Instant },
    /// The store is being dropped; what waits is still written.
    Closing,
    /// Nothing is written any more.
    Ended(Error),
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Poison tells nothing here: the thread's death is told by `Watchman`.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn hand_over(&self, write_id: u64, records: Vec<Record>) {
        let mut inner = self.lock();
        if matches!(inner.state, State::Ended(_)) {
            return;
        }
        inner.waiting.extend(records);
        if inner.tickets.len() >= MAX_PENDING_WRITES {
            inner.tickets.pop_front();
            inner.covered = inner.covered.saturating_sub(1);
            inner.dropped += 1;
        }
        inner.tickets.push_back(write_id);
        self.handed.notify_one();
    }

    /// Waits for puts, or for the end of a pause, and takes all that waits. `None` once there is nothing more
    /// to do.
    fn take(&self) -> Option<Map> {
        let mut inner = self.lock();
        loop {
            inner = match inner.state {
                State::Ended(_) => return None,
                State::Closing if inner.tickets.is_empty() => return None,
                State::Open if inner.tickets.is_empty() => {
                    self.handed.wait(inner).unwrap_or_else(PoisonError::into_inner)
                }
                State::Refused { until, .. } if Instant::now() < until => {
                    let pause = until.saturating_duration_since(Instant::now());
                    self.handed.wait_timeout(inner, pause).unwrap_or_else(PoisonError::into_inner).0
                }
                State::Open | State::Refused { .. } | State::Closing => break,
            }
        }
        inner.covered = inner.tickets.len();
        Some(std::mem::take(&mut inner.waiting))
    }

    /// An attempt has succeeded: the tickets that it covers come back.
    fn kept(&self, start: Instant, keys: usize) {
        let mut inner = self.lock();
        let covered = std::mem::take(&mut inner.covered);
        let dropped = std::mem::take(&mut inner.dropped);
        if let State::Refused { since, tries, .. } = inner.state {
            let ms = since.elapsed().as_millis();
            log::info!(
                "event=store_again keys={keys} tickets={covered} dropped={dropped} tries={tries} ms={ms}"
            );
            inner.state = State::Open;
        } else if dropped > 0 || start.elapsed() >= SLOW {
            let ms = start.elapsed().as_millis();
            log::warn!("event=store_slow keys={keys} tickets={covered} dropped={dropped} ms={ms}");
        }
        if covered > 0 {
            let Inner { done, tickets, .. } = &mut *inner;
            done.extend(tickets.drain(..covered));
            self.wake.set();
        }
    }

    /// An attempt has failed: its tickets go on waiting, and after a pause there is another, except for a store
    /// that is being dropped.
    fn refuse(&self, error: Error, keys: usize) {
        let mut inner = self.lock();
        inner.covered = 0;
        let now = Instant::now();
        let (first, longest) = self.pauses;
        inner.state = match inner.state {
            State::Ended(_) => return,
            State::Closing => return self.end(inner, error),
            State::Open => {
                let tickets = inner.tickets.len();
                log::warn!("event=store_refused keys={keys} tickets={tickets} cause=\"{error}\"");
                State::Refused { since: now, tries: 1, pause: first, until: now + first }
            }
            State::Refused { since, tries, pause, .. } => {
                let pause = longest.min(pause * 2);
                log::debug!("event=store_still_refused tries={} cause=\"{error}\"", tries + 1);
                State::Refused { since, tries: tries + 1, pause, until: now + pause }
            }
        };
    }

    fn close(&self) {
        let mut inner = self.lock();
        if !matches!(inner.state, State::Ended(_)) {
            inner.state = State::Closing;
        }
        self.handed.notify_one();
    }

    /// The first error stands; what waits is let go.
    fn end(&self, mut inner: MutexGuard<'_, Inner>, error: Error) {
        if matches!(inner.state, State::Ended(_)) {
            return;
        }
        log::error!("event=store_ended tickets={} error=\"{error}\"", inner.tickets.len());
        inner.state = State::Ended(error);
        inner.waiting = Map::new();
        inner.tickets = VecDeque::new();
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

/// One attempt to have all on disk that was handed over.
fn attempt<D: Disk>(shared: &Shared, journal: &mut RecordLog<D>, records: Map) {
    let start = Instant::now();
    match journal.keep(records) {
        Ok(compacted) => {
            let keys = journal.map().len();
            shared.kept(start, keys);
            if compacted {
                log::debug!("event=store_compacted keys={keys} ms={}", start.elapsed().as_millis());
            }
        }
        Err(error) => shared.refuse(error, journal.map().len()),
    }
}

impl Store {
    /// Opens or makes the folder's store; gives it and the newest value of each key that is there, in the order
    /// of keys. `bound` is how many bytes the log may take before it is compacted; the disk needs room for that
    /// and for twice the records. Waits for the disk.
    ///
    /// Where the disk can be read and refuses to be written, the store opens all the same and tries on. What
    /// it gave may not all last then if power is lost; the first ticket that comes back says that it does.
    ///
    /// # Errors
    /// [`Error::Disk`] where the folder cannot be made or read, [`Error::Spoilt`] and [`Error::Thread`], with
    /// the path and the cause.
    pub fn open(folder: &Path, bound: u64) -> Result<(Store, Vec<Record>), Error> {
        let disk =
            Folder::open(folder).map_err(|e| DiskSnafu { path: folder, cause: e.to_string() }.build())?;
        Store::start(disk, bound, PAUSES)
    }

    pub(crate) fn start<D>(
        disk: D,
        bound: u64,
        pauses: (Duration, Duration),
    ) -> Result<(Store, Vec<Record>), Error>
    where
        D: Disk<File: Send> + Send + 'static,
    {
        let folder = disk.path("");
        let no_thread = |e: std::io::Error| ThreadSnafu { path: &folder, cause: e.to_string() }.build();
        let mut journal = RecordLog::open(disk, bound)?;
        let records: Vec<Record> = journal.map().iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let inner = Inner {
            state: State::Open,
            waiting: Map::new(),
            tickets: VecDeque::new(),
            covered: 0,
            dropped: 0,
            done: Vec::new(),
        };
        let shared = Arc::new(Shared {
            folder: folder.clone(),
            pauses,
            inner: Mutex::new(inner),
            handed: Condvar::new(),
            wake: Wake::new().map_err(no_thread)?,
        });
        attempt(&shared, &mut journal, Map::new());
        let watchman = Watchman(shared.clone());
        let serve = move || {
            while let Some(records) = watchman.0.take() {
                attempt(&watchman.0, &mut journal, records);
            }
        };
        let thread = std::thread::Builder::new().name("recall".into()).spawn(serve).map_err(no_thread)?;
        log::info!("event=store_opened folder={folder:?} keys={}", records.len());
        Ok((Store { shared, thread: Some(thread) }, records))
    }

    /// Hands records over to be written and synced; see [`RecordStore::put`]. Never waits. Where the disk takes long
    /// or refuses, the newest value of each key waits in memory, and no more than [`MAX_PENDING_WRITES`] tickets. A key
    /// or a value has less than 4 GiB. After the store's end a put does nothing.
    pub fn put(&self, write_id: u64, records: Vec<Record>) {
        self.shared.hand_over(write_id, records);
    }

    /// Tickets whose records are surely on disk, since the last call and in the order of [`Store::put`]. With a
    /// ticket's records, those of all puts before it are on disk, and all that [`Store::open`] gave: a ticket that
    /// was passed over was dropped, and will not come.
    ///
    /// # Errors
    /// [`Error::Thread`] where the store's thread has died, once all tickets that were synced before it were
    /// given, and at each call from then on. Never for what the disk does.
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
            State::Open | State::Refused { .. } | State::Closing => Ok(std::mem::take(&mut inner.done)),
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

impl RecordStore for Store {
    fn put(&self, write_id: u64, records: Vec<Record>) {
        Store::put(self, write_id, records);
    }

    fn done(&self) -> Result<Vec<u64>, Error> {
        Store::done(self)
    }

    fn wakes(&self) -> BorrowedFd<'_> {
        Store::wakes(self)
    }
}
