//! Tests of a store whose disk fails, is full or hangs, and of a panic of its thread.

use std::sync::Arc;

use rstest::rstest;

use super::simulated_disk::{Call, Fault, SimulatedDisk};
use super::{is_readable, record, wait_for_writes, NO_BACKOFF};
use crate::{Error, Record, Store, MAX_PENDING_WRITES};

/// Simulates a power loss and returns the records that are recovered afterwards.
fn records_after_power_loss(disk: &Arc<SimulatedDisk>, store: Store) -> Vec<Record> {
    disk.lock().calls_left = 1;
    drop(store);
    let mut state = disk.lock();
    state.lose_power();
    state.calls_left = u64::MAX;
    drop(state);
    Store::start(disk.clone(), 0, NO_BACKOFF).unwrap().1
}

/// A fault that lasts until another one is set.
const PERMANENT: Fault =
    Fault { calls: u64::MAX, failing_calls: 0, capacity: None, hangs: false, panics: false };

#[rstest]
#[case::full(Fault { capacity: Some(0), ..PERMANENT })]
#[case::nearly_full(Fault { capacity: Some(100), ..PERMANENT })]
#[case::sync_fails(Fault { failing_calls: Call::Sync.bit(), ..PERMANENT })]
#[case::directory_sync_fails(Fault { failing_calls: Call::SyncDirectory.bit(), ..PERMANENT })]
#[case::every_call_fails(Fault { failing_calls: u64::MAX, ..PERMANENT })]
fn failing_disk_delays_writes_without_losing_any(
    #[case] fault: Fault,
    #[values(false, true)] fails_at_open: bool,
) {
    const MAX_LOG_BYTES: u64 = 400;
    let disk = SimulatedDisk::new(1);
    let (store, _) = Store::start(disk.clone(), MAX_LOG_BYTES, NO_BACKOFF).unwrap();
    store.put(0, vec![record("last", "0")]);
    assert_eq!(wait_for_writes(&store, 1).unwrap(), [0]);
    drop(store);

    disk.set_fault(if fails_at_open { fault } else { Fault::default() });
    let (store, records) = Store::start(disk.clone(), MAX_LOG_BYTES, NO_BACKOFF).unwrap();
    assert_eq!(records, [record("last", "0")]);
    disk.set_fault(fault);
    // The values are long, so that they do not all fit into the log and every kind of failure occurs.
    let long_value = "value".repeat(10);
    for write_id in 1..=50 {
        let records =
            vec![record("last", &write_id.to_string()), record(&format!("k{}", write_id % 9), &long_value)];
        store.put(write_id, records);
    }
    let failed_before = disk.lock().failed_calls;
    disk.wait_until(|state| state.failed_calls > failed_before + 10);
    // Writes may have been appended before the log was full.
    let mut write_ids = store.take_completed().unwrap();
    let may_have_appended = fault.failing_calls == Call::SyncDirectory.bit();
    assert!(!is_readable(&store, false) && (write_ids.is_empty() || may_have_appended));

    disk.set_fault(Fault::default());
    write_ids.extend(wait_for_writes(&store, 50 - write_ids.len()).unwrap());
    assert_eq!(write_ids, (1..=50).collect::<Vec<_>>());
    let mut expected: Vec<Record> = (0..9).map(|n| record(&format!("k{n}"), &long_value)).collect();
    expected.push(record("last", "50"));
    // The log's maximum size plus twice the size of the records, with headers and checksums.
    let record_bytes: usize = expected.iter().map(|(key, value)| 8 + key.len() + value.len()).sum();
    let max_used_bytes = disk.lock().max_used_bytes;
    assert!(max_used_bytes <= MAX_LOG_BYTES as usize + 2 * (record_bytes + 28) + 8, "{max_used_bytes}");
    assert_eq!(records_after_power_loss(&disk, store), expected);
}

#[test]
fn hanging_disk_drops_the_oldest_ids_but_no_records() {
    let disk = SimulatedDisk::new(1);
    let (store, _) = Store::start(disk.clone(), 1000, NO_BACKOFF).unwrap();
    disk.set_fault(Fault { hangs: true, ..PERMANENT });
    store.put(0, vec![record("first", "0")]);
    disk.wait_until(|state| state.hanging_calls > 0);
    let last_write_id = MAX_PENDING_WRITES as u64 + 10;
    for write_id in 1..=last_write_id {
        store.put(write_id, vec![record("last", &write_id.to_string())]);
    }
    assert_eq!(store.take_completed(), Ok(vec![]));
    disk.set_fault(Fault::default());
    assert_eq!(
        wait_for_writes(&store, MAX_PENDING_WRITES).unwrap(),
        (11..=last_write_id).collect::<Vec<_>>()
    );
    let expected = [record("first", "0"), record("last", &last_write_id.to_string())];
    assert_eq!(records_after_power_loss(&disk, store), expected);
}

#[test]
fn panic_of_the_thread_is_returned_by_every_call() {
    let disk = SimulatedDisk::new(1);
    let (store, _) = Store::start(disk.clone(), 1000, NO_BACKOFF).unwrap();
    store.put(1, vec![record("a", "b")]);
    assert_eq!(wait_for_writes(&store, 1).unwrap(), [1]);
    disk.set_fault(Fault { panics: true, ..PERMANENT });
    store.put(2, vec![record("a", "c")]);
    let error = wait_for_writes(&store, 1).unwrap_err();
    assert!(matches!(error, Error::Thread { .. }), "{error}");
    assert_eq!((store.take_completed(), is_readable(&store, false)), (Err(error), false));
}
