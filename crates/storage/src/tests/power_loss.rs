//! Tests of a log on a disk that repeatedly loses power.

use std::sync::Arc;

use rstest::rstest;

use super::record;
use super::simulated_disk::{Fault, SimulatedDisk};
use crate::record_log::RecordLog;
use crate::records::RecordMap;
use crate::Error;

/// A log on a simulated disk, with the states that recovery may find.
struct PowerLossTest {
    seed: u64,
    max_log_bytes: u64,
    disk: Arc<SimulatedDisk>,
    /// The records after each batch, starting with the last batch that is known to be durable.
    possible_states: Vec<RecordMap>,
}

impl PowerLossTest {
    fn new(seed: u64, max_log_bytes: u64) -> PowerLossTest {
        let possible_states = vec![RecordMap::new()];
        PowerLossTest { seed, max_log_bytes, disk: SimulatedDisk::new(seed), possible_states }
    }

    /// Chooses after how many calls power is lost, and the disk's fault until then.
    fn choose_fault(&self) {
        let mut state = self.disk.lock();
        state.calls_left = state.rng.rand_range(1..60);
        if state.one_in(2) {
            let calls = state.rng.rand_range(1..30);
            let failing_calls = match state.rng.rand_range(0..3) {
                0 => 1 << state.rng.rand_range(1..8),
                1 => state.rng.rand_u64(),
                _ => 0,
            };
            let capacity = state.one_in(2).then(|| state.rng.rand_range(0..500) as usize);
            state.fault = Fault { calls, failing_calls, capacity, ..Fault::default() };
        }
    }

    /// Opens the log and writes batches until power is lost.
    fn run_until_power_loss(&mut self, round: u64) {
        let seed = self.seed;
        let mut record_log = match RecordLog::open(self.disk.clone(), self.max_log_bytes) {
            Ok(record_log) => record_log,
            Err(error) => {
                assert!(matches!(error, Error::Disk { .. }), "seed={seed} round={round} {error}");
                return;
            }
        };
        let found = self.possible_states.iter().position(|records| records == record_log.records());
        let found =
            found.unwrap_or_else(|| panic!("seed={seed} round={round} found={:?}", record_log.records()));
        // Earlier states remain possible until this one is known to be durable.
        self.possible_states.truncate(found + 1);
        for batch_number in 0.. {
            let batch = self.next_batch(round, batch_number);
            let has_fault = self.disk.lock().fault.calls > 0;
            let persisted = record_log.persist(batch);
            if persisted.is_ok() {
                let newest = self.possible_states.len() - 1;
                self.possible_states = self.possible_states.split_off(newest);
            } else if self.disk.lock().calls_left == 0 {
                return;
            }
            assert!(persisted.is_ok() || has_fault, "seed={seed} round={round} {persisted:?}");
        }
    }

    /// Creates the next batch. The first batch is empty: persisting it makes the recovered records durable.
    fn next_batch(&mut self, round: u64, batch_number: u64) -> RecordMap {
        if batch_number == 0 {
            return RecordMap::new();
        }
        let value = format!("{round}-{batch_number}");
        let records = [record(&format!("k{}", batch_number % 5), &value), record("all", &value)];
        let batch: RecordMap = records.into_iter().collect();
        let mut state = self.possible_states[self.possible_states.len() - 1].clone();
        state.extend(batch.clone());
        self.possible_states.push(state);
        batch
    }

    /// Either loses power, or kills only the process, which leaves unsynced data on the disk.
    fn end_round(&self) {
        let mut state = self.disk.lock();
        state.fault = Fault::default();
        if !state.one_in(4) {
            state.lose_power();
        }
    }

    fn check_records(&self) {
        self.disk.lock().calls_left = u64::MAX;
        let record_log = RecordLog::open(self.disk.clone(), self.max_log_bytes);
        let record_log = record_log.unwrap_or_else(|error| panic!("seed={} {error}", self.seed));
        assert!(self.possible_states.contains(record_log.records()), "seed={}", self.seed);
    }
}

/// Repeatedly writes batches until power is lost or the process is killed, on a disk that also fails occasionally, even
/// while the log is being opened. The recovered records must be the state after a complete batch, no earlier than the
/// last acknowledged one, and writes to a disk without a fault must succeed.
#[rstest]
fn acknowledged_batches_survive_power_loss(#[values(0, 60, 1000)] max_log_bytes: u64) {
    for seed in 0..500 {
        let mut test = PowerLossTest::new(seed, max_log_bytes);
        for round in 0..12 {
            test.choose_fault();
            test.run_until_power_loss(round);
            test.end_round();
        }
        test.check_records();
    }
}
