//! The stand-in that keeps records in memory.

use std::os::fd::BorrowedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::event_fd::Wake;
use crate::format::Map;
use crate::{Error, Record, RecordStore, ThreadSnafu};

/// What outlives a [`InMemoryStore`], as the disk outlives a store. Clones are the same.
#[derive(Clone, Debug, Default)]
pub struct Kept(Arc<Mutex<Map>>);

/// A stand-in of [`Store`](crate::Store): each put is kept at once, and its ticket waits for `done`.
#[derive(Debug)]
pub struct InMemoryStore {
    kept: Kept,
    done: Mutex<Vec<u64>>,
    wake: Wake,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl InMemoryStore {
    /// Opens what is kept; gives it in the order of keys, as [`Store::open`](crate::Store::open) does.
    ///
    /// # Errors
    /// [`Error::Thread`] where no descriptor can be had.
    pub fn open(kept: &Kept) -> Result<(InMemoryStore, Vec<Record>), Error> {
        let wake = Wake::new().map_err(|e| ThreadSnafu { path: "", cause: e.to_string() }.build())?;
        let records = lock(&kept.0).clone().into_iter().collect();
        Ok((InMemoryStore { kept: kept.clone(), done: Mutex::default(), wake }, records))
    }
}

impl RecordStore for InMemoryStore {
    fn put(&self, write_id: u64, records: Vec<Record>) {
        crate::record_log::take(&mut lock(&self.kept.0), records);
        lock(&self.done).push(write_id);
        self.wake.set();
    }

    fn done(&self) -> Result<Vec<u64>, Error> {
        let mut done = lock(&self.done);
        self.wake.clear();
        Ok(std::mem::take(&mut *done))
    }

    fn wakes(&self) -> BorrowedFd<'_> {
        self.wake.fd()
    }
}
