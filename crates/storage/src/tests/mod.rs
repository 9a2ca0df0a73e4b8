//! The contract of both stores, and the store on a simulated disk that fails and loses power.

mod contract;
mod disk_failures;
mod power_loss;
mod simulated_disk;

use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags};

use crate::write_queue::RetryBackoff;
use crate::{Error, Record, RecordStore};

/// Failed writes are retried at once.
const NO_BACKOFF: RetryBackoff = RetryBackoff { initial: Duration::ZERO, max: Duration::ZERO };

fn record(key: &str, value: &str) -> Record {
    (key.into(), value.into())
}

/// Whether the store has something new, at once or after a wait for it.
fn is_readable(store: &dyn RecordStore, wait: bool) -> bool {
    let no_time = Default::default();
    let mut fds = [PollFd::from_borrowed_fd(store.event_fd(), PollFlags::IN)];
    poll(&mut fds, if wait { None } else { Some(&no_time) }).unwrap() > 0
}

/// Waits for this many writes to complete.
fn wait_for(store: &dyn RecordStore, count: usize) -> Result<Vec<u64>, Error> {
    let mut write_ids = Vec::new();
    while write_ids.len() < count {
        is_readable(store, true);
        write_ids.extend(store.take_completed()?);
    }
    Ok(write_ids)
}
