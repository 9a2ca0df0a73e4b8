//! What the event loop and the store's thread share: the writes that are pending, and those that are complete.

use std::collections::VecDeque;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kitepass_net::event_fd::EventFd;

use crate::records::RecordMap;
use crate::{Error, Record, ThreadSnafu};

/// How many writes may be pending. Beyond it the oldest ids are dropped and never complete; their records are written
/// like all others.
///
/// Invariant: the ids in memory are bounded. On a disk that hangs or fails they would pile up without end.
pub const MAX_PENDING_WRITES: usize = 1 << 16;

/// A write that takes so long is logged.
const SLOW_WRITE: Duration = Duration::from_secs(1);

/// How long to wait before a failed write is retried. Each wait is twice the one before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBackoff {
    pub(crate) initial: Duration,
    pub(crate) max: Duration,
}

#[derive(Debug)]
pub(crate) struct WriteQueue {
    /// The store's directory; for errors.
    path: PathBuf,
    backoff: RetryBackoff,
    inner: Mutex<Inner>,
    /// Notifies the thread of a new write, and of the end.
    changed: Condvar,
    /// Readable when `Inner::completed` or the state has something new.
    event_fd: EventFd,
}

#[derive(Debug)]
struct Inner {
    state: State,
    /// The newest value of each key that was put since the thread last took them. So it never grows beyond one value for
    /// each key, however long the disk takes.
    pending_records: RecordMap,
    /// The ids of the writes that are not complete, oldest first.
    pending_writes: VecDeque<u64>,
    /// How many of them, from the front, the thread's present attempt covers.
    in_flight: usize,
    /// How many ids were dropped since the last success.
    dropped: u64,
    /// The ids of complete writes that the event loop has not taken yet.
    completed: Vec<u64>,
}

#[derive(Debug)]
enum State {
    /// What is put is written at once.
    Healthy,
    /// The last attempt has failed. Its records are in the log's memory, and the next attempt covers them.
    Failing { since: Instant, attempts: u32, wait: Duration, retry_at: Instant },
    /// The store is being dropped; what is pending is still written.
    Closing,
    /// Nothing is written any more.
    Stopped(Error),
}

impl WriteQueue {
    /// # Errors
    /// [`Error::Thread`] where no file descriptor can be had.
    pub(crate) fn new(path: PathBuf, backoff: RetryBackoff) -> Result<WriteQueue, Error> {
        let event_fd =
            EventFd::new().map_err(|error| ThreadSnafu { path: &path, cause: error.to_string() }.build())?;
        let inner = Inner {
            state: State::Healthy,
            pending_records: RecordMap::new(),
            pending_writes: VecDeque::new(),
            in_flight: 0,
            dropped: 0,
            completed: Vec::new(),
        };
        Ok(WriteQueue { path, backoff, inner: Mutex::new(inner), changed: Condvar::new(), event_fd })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Poisoning can be ignored here: the thread reports its own panic by `stop_after_panic`.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a write. Nothing happens once the store has stopped.
    pub(crate) fn push(&self, write_id: u64, records: Vec<Record>) {
        let mut inner = self.lock();
        if matches!(inner.state, State::Stopped(_)) {
            return;
        }
        inner.pending_records.extend(records);
        if inner.pending_writes.len() >= MAX_PENDING_WRITES {
            inner.pending_writes.pop_front();
            inner.in_flight = inner.in_flight.saturating_sub(1);
            inner.dropped += 1;
        }
        inner.pending_writes.push_back(write_id);
        self.changed.notify_one();
    }

    /// The ids of the writes that completed since the last call.
    ///
    /// # Errors
    /// What stopped the store, once all completed writes were returned.
    pub(crate) fn take_completed(&self) -> Result<Vec<u64>, Error> {
        let mut inner = self.lock();
        self.event_fd.reset();
        if let State::Stopped(error) = &inner.state {
            if inner.completed.is_empty() {
                return Err(error.clone());
            }
            // The error is still to be returned.
            self.event_fd.notify();
        }
        Ok(std::mem::take(&mut inner.completed))
    }

    pub(crate) fn event_fd(&self) -> BorrowedFd<'_> {
        self.event_fd.as_fd()
    }

    /// For the thread: waits for writes, or for the next retry, and takes all that is pending. `None` once there is
    /// nothing more to do.
    pub(crate) fn next_batch(&self) -> Option<RecordMap> {
        let mut inner = self.lock();
        loop {
            inner = match inner.state {
                State::Stopped(_) => return None,
                State::Closing if inner.pending_writes.is_empty() => return None,
                State::Healthy if inner.pending_writes.is_empty() => {
                    self.changed.wait(inner).unwrap_or_else(PoisonError::into_inner)
                }
                State::Failing { retry_at, .. } if Instant::now() < retry_at => {
                    let wait = retry_at.saturating_duration_since(Instant::now());
                    self.changed.wait_timeout(inner, wait).unwrap_or_else(PoisonError::into_inner).0
                }
                State::Healthy | State::Failing { .. } | State::Closing => break,
            }
        }
        inner.in_flight = inner.pending_writes.len();
        Some(std::mem::take(&mut inner.pending_records))
    }

    /// For the thread: an attempt that began at `start` has succeeded, and the writes that it covers are complete.
    /// `keys` is how many records there are; for the log.
    pub(crate) fn succeeded(&self, start: Instant, keys: usize) {
        let mut inner = self.lock();
        let completed = std::mem::take(&mut inner.in_flight);
        let dropped = std::mem::take(&mut inner.dropped);
        if let State::Failing { since, attempts, .. } = inner.state {
            let ms = since.elapsed().as_millis();
            log::info!(
                "event=store_recovered keys={keys} writes={completed} dropped={dropped} attempts={attempts} ms={ms}"
            );
            inner.state = State::Healthy;
        } else if dropped > 0 || start.elapsed() >= SLOW_WRITE {
            let ms = start.elapsed().as_millis();
            log::warn!("event=store_slow keys={keys} writes={completed} dropped={dropped} ms={ms}");
        }
        if completed > 0 {
            let Inner { completed: ids, pending_writes, .. } = &mut *inner;
            ids.extend(pending_writes.drain(..completed));
            self.event_fd.notify();
        }
    }

    /// For the thread: an attempt has failed. Its writes stay pending, and there will be a retry, except where the store
    /// is being dropped.
    pub(crate) fn failed(&self, error: Error, keys: usize) {
        let mut inner = self.lock();
        inner.in_flight = 0;
        let now = Instant::now();
        inner.state = match inner.state {
            State::Stopped(_) => return,
            State::Closing => return self.stop(inner, error),
            State::Healthy => {
                let writes = inner.pending_writes.len();
                log::warn!("event=store_write_failed keys={keys} writes={writes} cause=\"{error}\"");
                let wait = self.backoff.initial;
                State::Failing { since: now, attempts: 1, wait, retry_at: now + wait }
            }
            State::Failing { since, attempts, wait, .. } => {
                let attempts = attempts + 1;
                log::debug!("event=store_retry_failed attempts={attempts} cause=\"{error}\"");
                let wait = self.backoff.max.min(wait * 2);
                State::Failing { since, attempts, wait, retry_at: now + wait }
            }
        };
    }

    /// The store is being dropped: the thread ends once it has written what is pending.
    pub(crate) fn close(&self) {
        let mut inner = self.lock();
        if !matches!(inner.state, State::Stopped(_)) {
            inner.state = State::Closing;
        }
        self.changed.notify_one();
    }

    /// For the thread: it has panicked.
    pub(crate) fn stop_after_panic(&self) {
        let error = ThreadSnafu { path: &self.path, cause: "the store's thread panicked" }.build();
        self.stop(self.lock(), error);
    }

    /// The first error stays; what is pending is given up.
    fn stop(&self, mut inner: MutexGuard<'_, Inner>, error: Error) {
        if matches!(inner.state, State::Stopped(_)) {
            return;
        }
        log::error!("event=store_stopped writes={} error=\"{error}\"", inner.pending_writes.len());
        inner.state = State::Stopped(error);
        inner.pending_records = RecordMap::new();
        inner.pending_writes = VecDeque::new();
        self.event_fd.notify();
        self.changed.notify_one();
    }
}
