//! The pending and completed writes, shared between the event loop and the store's thread.

use std::collections::VecDeque;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use kitepass_net::event_fd::EventFd;

use crate::records::RecordMap;
use crate::{Error, Record, ThreadSnafu};

/// The maximum number of pending writes. Beyond it the oldest ids are dropped and never complete; their records are
/// still written.
///
/// Invariant: the number of ids in memory is bounded. Otherwise they would accumulate without limit while the disk
/// hangs or fails.
pub const MAX_PENDING_WRITES: usize = 1 << 16;

/// Writes that take at least this long are logged.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_secs(1);

/// The delay before a failed write is retried. It doubles with each attempt, up to `max`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBackoff {
    pub(crate) initial: Duration,
    pub(crate) max: Duration,
}

#[derive(Debug)]
pub(crate) struct WriteQueue {
    /// The store's directory, for error messages.
    path: PathBuf,
    backoff: RetryBackoff,
    inner: Mutex<Inner>,
    /// Notifies the thread of a new write, and that the store is closing.
    state_changed: Condvar,
    /// Readable when `Inner::completed` has new ids or the store has stopped.
    event_fd: EventFd,
}

#[derive(Debug)]
struct Inner {
    state: State,
    /// The latest value of each key written since the thread last took a batch. It never holds more than one value per
    /// key, however long the disk takes.
    pending_records: RecordMap,
    /// The ids of incomplete writes, oldest first.
    pending_writes: VecDeque<u64>,
    /// How many of them, from the front, are covered by the thread's current attempt.
    in_flight: usize,
    /// How many ids have been dropped since the last successful attempt.
    dropped: u64,
    /// The ids of completed writes that the event loop has not taken yet.
    completed: Vec<u64>,
}

#[derive(Debug)]
enum State {
    /// Writes are processed immediately.
    Healthy,
    /// The last attempt failed. Its records are kept in the record log's memory, and the next attempt covers them.
    Failing { since: Instant, attempts: u32, retry_delay: Duration, retry_at: Instant },
    /// The store is being dropped. Pending writes are still processed.
    Closing,
    /// Nothing is written any more.
    Stopped(Error),
}

impl WriteQueue {
    /// # Errors
    /// [`Error::Thread`] if no file descriptor is available.
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
        Ok(WriteQueue { path, backoff, inner: Mutex::new(inner), state_changed: Condvar::new(), event_fd })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Poisoning can be ignored: `stop_after_panic` reports a panic of the thread.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a write. Does nothing once the store has stopped.
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
        self.state_changed.notify_one();
    }

    /// Returns the ids of the writes that completed since the last call.
    ///
    /// # Errors
    /// The error that stopped the store, once all completed writes have been returned.
    pub(crate) fn take_completed(&self) -> Result<Vec<u64>, Error> {
        let mut inner = self.lock();
        self.event_fd.reset();
        if let State::Stopped(error) = &inner.state {
            if inner.completed.is_empty() {
                return Err(error.clone());
            }
            // The error has not been returned yet.
            self.event_fd.notify();
        }
        Ok(std::mem::take(&mut inner.completed))
    }

    pub(crate) fn event_fd(&self) -> BorrowedFd<'_> {
        self.event_fd.as_fd()
    }

    /// Called by the thread: waits for writes or for the next retry, and takes everything that is pending. `None` when
    /// the thread should end.
    pub(crate) fn next_batch(&self) -> Option<RecordMap> {
        let mut inner = self.lock();
        loop {
            inner = match inner.state {
                State::Stopped(_) => return None,
                State::Closing if inner.pending_writes.is_empty() => return None,
                State::Healthy if inner.pending_writes.is_empty() => {
                    self.state_changed.wait(inner).unwrap_or_else(PoisonError::into_inner)
                }
                State::Failing { retry_at, .. } if Instant::now() < retry_at => {
                    let wait = retry_at.saturating_duration_since(Instant::now());
                    self.state_changed.wait_timeout(inner, wait).unwrap_or_else(PoisonError::into_inner).0
                }
                State::Healthy | State::Failing { .. } | State::Closing => break,
            }
        }
        inner.in_flight = inner.pending_writes.len();
        Some(std::mem::take(&mut inner.pending_records))
    }

    /// Called by the thread when an attempt that began at `start` has succeeded; the writes that it covers are
    /// complete. `keys` is the number of records, for log messages.
    pub(crate) fn on_success(&self, start: Instant, keys: usize) {
        let mut inner = self.lock();
        let completed = std::mem::take(&mut inner.in_flight);
        let dropped = std::mem::take(&mut inner.dropped);
        if let State::Failing { since, attempts, .. } = inner.state {
            let ms = since.elapsed().as_millis();
            log::info!(
                "event=store_recovered keys={keys} writes={completed} dropped={dropped} attempts={attempts} ms={ms}"
            );
            inner.state = State::Healthy;
        } else if dropped > 0 || start.elapsed() >= SLOW_WRITE_THRESHOLD {
            let ms = start.elapsed().as_millis();
            log::warn!("event=store_slow keys={keys} writes={completed} dropped={dropped} ms={ms}");
        }
        if completed > 0 {
            let Inner { completed: ids, pending_writes, .. } = &mut *inner;
            ids.extend(pending_writes.drain(..completed));
            self.event_fd.notify();
        }
    }

    /// Called by the thread when an attempt has failed. Its writes stay pending and are retried, unless the store is
    /// being dropped.
    pub(crate) fn on_failure(&self, error: Error, keys: usize) {
        let mut inner = self.lock();
        inner.in_flight = 0;
        let now = Instant::now();
        inner.state = match inner.state {
            State::Stopped(_) => return,
            State::Closing => return self.stop(inner, error),
            State::Healthy => {
                let writes = inner.pending_writes.len();
                log::warn!("event=store_write_failed keys={keys} writes={writes} cause=\"{error}\"");
                let retry_delay = self.backoff.initial;
                State::Failing { since: now, attempts: 1, retry_delay, retry_at: now + retry_delay }
            }
            State::Failing { since, attempts, retry_delay, .. } => {
                let attempts = attempts + 1;
                log::debug!("event=store_retry_failed attempts={attempts} cause=\"{error}\"");
                let retry_delay = self.backoff.max.min(retry_delay * 2);
                State::Failing { since, attempts, retry_delay, retry_at: now + retry_delay }
            }
        };
    }

    /// Closes the queue when the store is dropped. The thread ends once it has written what is pending.
    pub(crate) fn close(&self) {
        let mut inner = self.lock();
        if !matches!(inner.state, State::Stopped(_)) {
            inner.state = State::Closing;
        }
        self.state_changed.notify_one();
    }

    /// Called by the thread when it has panicked.
    pub(crate) fn stop_after_panic(&self) {
        let error = ThreadSnafu { path: &self.path, cause: "the storage thread panicked" }.build();
        self.stop(self.lock(), error);
    }

    /// Stops the store with its first error and discards everything that is pending.
    fn stop(&self, mut inner: MutexGuard<'_, Inner>, error: Error) {
        if matches!(inner.state, State::Stopped(_)) {
            return;
        }
        log::error!("event=store_stopped writes={} error=\"{error}\"", inner.pending_writes.len());
        inner.state = State::Stopped(error);
        inner.pending_records = RecordMap::new();
        inner.pending_writes = VecDeque::new();
        self.event_fd.notify();
        self.state_changed.notify_one();
    }
}
