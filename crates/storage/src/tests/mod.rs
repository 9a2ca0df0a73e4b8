//! Tests of the contract of both stores, and of the durable store on a simulated disk that fails and loses power.

mod contract;
mod disk_failures;
mod power_loss;
mod simulated_disk;

use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags};

use crate::write_queue::RetryBackoff;
use crate::{Error, Record, RecordStore};

/// Retries failed writes immediately.
const NO_BACKOFF: RetryBackoff = RetryBackoff { initial: Duration::ZERO, max: Duration::ZERO };

fn record(key: &str, value: &str) -> Record {
    (key.into(), value.into())
}

/// Whether the store's file descriptor is readable, optionally after waiting until it is.
fn is_readable(store: &dyn RecordStore, wait: bool) -> bool {
    let zero_timeout = Default::default();
    let mut fds = [PollFd::from_borrowed_fd(store.event_fd(), PollFlags::IN)];
    poll(&mut fds, if wait { None } else { Some(&zero_timeout) }).unwrap() > 0
}

/// Waits until this many writes have completed.
fn wait_for_writes(store: &dyn RecordStore, count: usize) -> Result<Vec<u64>, Error> {
    let mut write_ids = Vec::new();
    while write_ids.len() < count {
        is_readable(store, true);
        write_ids.extend(store.take_completed()?);
    }
    Ok(write_ids)
}
