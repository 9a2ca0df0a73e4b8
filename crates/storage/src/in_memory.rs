//! An in-memory store for tests.

use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kitepass_net::event_fd::EventFd;

use crate::records::{apply_records, RecordMap};
use crate::{Error, Record, RecordStore, ThreadSnafu};

/// The records of an [`InMemoryStore`]. They outlive it as files outlive a [`Store`](crate::Store). Clones share the
/// same records.
#[derive(Clone, Debug, Default)]
pub struct InMemoryRecords(Arc<Mutex<RecordMap>>);

/// A test implementation of [`RecordStore`] without a disk: each write completes immediately, and its id is returned by
/// the next [`RecordStore::take_completed`].
#[derive(Debug)]
pub struct InMemoryStore {
    records: InMemoryRecords,
    completed_writes: Mutex<Vec<u64>>,
    event_fd: EventFd,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl InMemoryStore {
    /// Opens a store on these records. Returns it with the records in key order, as [`Store::open`](crate::Store::open)
    /// does.
    ///
    /// # Errors
    /// [`Error::Thread`] if no file descriptor is available.
    pub fn open(records: &InMemoryRecords) -> Result<(InMemoryStore, Vec<Record>), Error> {
        let event_fd =
            EventFd::new().map_err(|error| ThreadSnafu { path: "", cause: error.to_string() }.build())?;
        let found = lock(&records.0).clone().into_iter().collect();
        let store = InMemoryStore { records: records.clone(), completed_writes: Mutex::default(), event_fd };
        Ok((store, found))
    }
}

impl RecordStore for InMemoryStore {
    fn put(&self, write_id: u64, records: Vec<Record>) {
        apply_records(&mut lock(&self.records.0), records);
        lock(&self.completed_writes).push(write_id);
        self.event_fd.notify();
    }

    fn take_completed(&self) -> Result<Vec<u64>, Error> {
        let mut completed_writes = lock(&self.completed_writes);
        self.event_fd.reset();
        Ok(std::mem::take(&mut *completed_writes))
    }

    fn event_fd(&self) -> BorrowedFd<'_> {
        self.event_fd.as_fd()
    }
}
