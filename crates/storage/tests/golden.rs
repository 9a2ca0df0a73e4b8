//! Golden-file tests of the storage format. Files written by earlier versions must stay readable, and the store must
//! write exactly the same bytes as earlier versions. The files in `golden/` are never regenerated: a new format gets
//! additional files.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use kitepass_storage::{Error, Record, Store};
use rstest::rstest;
use rustix::event::{poll, PollFd, PollFlags};
use tempfile::TempDir;

/// The files of a new store: a snapshot without records, and a log that contains only its magic bytes.
const EMPTY_SNAPSHOT: &[u8] = include_bytes!("golden/empty-snapshot.bin");
const LOG_MAGIC: &[u8] = b"KPRLOG01";
/// The first log after all of [`BATCHES`] were written.
const LOG: &[u8] = include_bytes!("golden/log.bin");
/// The snapshot of all records that reopening the store creates from them. The second log follows it.
const SNAPSHOT: &[u8] = include_bytes!("golden/snapshot.bin");
/// The second log after [`LATER_BATCHES`] were written.
const SECOND_LOG: &[u8] = include_bytes!("golden/second-log.bin");
/// The expected records after the first and after the second log.
const RECORDS: &str = include_str!("golden/records.expected.txt");
const LATER_RECORDS: &str = include_str!("golden/later-records.expected.txt");

/// The end of the magic bytes and of each entry in [`LOG`].
const ENTRY_ENDS: [usize; 6] = [8, 83, 136, 165, 211, 245];

/// Larger than any log in these tests.
const MAX_LOG_BYTES: u64 = 1 << 16;

/// The records of one write; an empty value deletes its key.
type Batch<'a> = &'a [(&'a [u8], &'a [u8])];

/// Each batch becomes one log entry.
const BATCHES: &[Batch] = &[
    // New records, not in key order.
    &[(b"beta", b"first beta"), (b"alpha", b"first alpha"), (b"\x00\xff", b"\x01\x00\xfe")],
    // Overwrites one key, and sets another key twice: the later value counts.
    &[(b"beta", b"second beta"), (b"gamma", b"lost"), (b"gamma", b"g")],
    // Deletes a key.
    &[(b"alpha", b"")],
    // The empty key is valid. Deleting an unknown key is logged too.
    &[(b"", b"no name"), (b"unknown", b"")],
    // Sets a deleted key again.
    &[(b"alpha", b"again")],
];

const LATER_BATCHES: &[Batch] = &[
    &[(b"beta", b""), (b"delta", b"first delta")],
    // An empty batch creates no entry.
    &[],
    &[(b"gamma", b"third gamma")],
];

fn records(batch: Batch) -> Vec<Record> {
    batch.iter().map(|(key, value)| (key.to_vec(), value.to_vec())).collect()
}

/// Writes each batch after the previous one is durable, so that each gets its own entry.
fn put_sequentially(store: &Store, batches: &[Batch]) {
    for (write_id, batch) in batches.iter().enumerate() {
        store.put(write_id as u64, records(batch));
        wait_for_write(store, write_id as u64);
    }
}

fn wait_for_write(store: &Store, write_id: u64) {
    loop {
        poll(&mut [PollFd::from_borrowed_fd(store.event_fd(), PollFlags::IN)], None)
            .expect("polling succeeds");
        let done = store.take_completed().expect("the store has not stopped");
        if done.contains(&write_id) {
            return;
        }
    }
}

fn open(directory: &Path) -> (Store, Vec<Record>) {
    Store::open(directory, MAX_LOG_BYTES).expect("the directory can be opened")
}

/// The contents of all files in a directory, by name.
fn files(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(directory).expect("the directory can be read");
    let file = |entry: fs::DirEntry| {
        let name = entry.file_name().into_string().expect("file names are UTF-8");
        (name, fs::read(entry.path()).expect("the file can be read"))
    };
    entries.map(|entry| file(entry.expect("the directory can be read"))).collect()
}

fn directory_with(files: &[(&str, &[u8])]) -> TempDir {
    let directory = tempfile::tempdir().expect("a temporary directory");
    for (name, bytes) in files {
        fs::write(directory.path().join(name), bytes).expect("the directory can be written");
    }
    directory
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Formats each record as a line with key and value in hex.
fn format_records(records: &[Record]) -> String {
    records.iter().map(|(key, value)| format!("\"{}\" {}\n", hex(key), hex(value))).collect()
}

fn assert_files(directory: &Path, expected: &[(&str, &[u8])]) {
    let to_hex = |(name, bytes): (&str, &[u8])| (name.to_owned(), hex(bytes));
    let found: Vec<(String, String)> = files(directory).iter().map(|(n, bytes)| to_hex((n, bytes))).collect();
    let expected: Vec<(String, String)> = expected.iter().copied().map(to_hex).collect();
    assert_eq!(found, expected);
}

#[test]
fn written_files_match_the_golden_files() {
    let directory = directory_with(&[]);
    let (store, found) = open(directory.path());
    assert_eq!(found, []);
    assert_files(directory.path(), &[("log-1", LOG_MAGIC), ("snapshot", EMPTY_SNAPSHOT)]);
    put_sequentially(&store, BATCHES);
    drop(store);
    assert_files(directory.path(), &[("log-1", LOG), ("snapshot", EMPTY_SNAPSHOT)]);

    let (store, found) = open(directory.path());
    assert_eq!(format_records(&found), RECORDS);
    assert_files(directory.path(), &[("log-2", LOG_MAGIC), ("snapshot", SNAPSHOT)]);
    put_sequentially(&store, LATER_BATCHES);
    drop(store);
    assert_files(directory.path(), &[("log-2", SECOND_LOG), ("snapshot", SNAPSHOT)]);
}

/// A batch that does not fit into the log is written to a snapshot, followed by an empty log.
#[test]
fn compaction_of_a_full_log_writes_the_golden_snapshot() {
    let directory = directory_with(&[]);
    let without_last_entry = ENTRY_ENDS[BATCHES.len() - 1];
    let (store, _) =
        Store::open(directory.path(), without_last_entry as u64).expect("the directory can be opened");
    put_sequentially(&store, &BATCHES[..BATCHES.len() - 1]);
    assert_files(directory.path(), &[("log-1", &LOG[..without_last_entry]), ("snapshot", EMPTY_SNAPSHOT)]);
    put_sequentially(&store, &BATCHES[BATCHES.len() - 1..]);
    drop(store);
    // The last batch has no entry, so the next sequence number is one lower than in the golden snapshot.
    let mut snapshot = SNAPSHOT[..SNAPSHOT.len() - 4].to_vec();
    snapshot[16] -= 1;
    snapshot.extend_from_slice(&crc32fast::hash(&snapshot).to_le_bytes());
    assert_files(directory.path(), &[("log-2", LOG_MAGIC), ("snapshot", &snapshot)]);
}

#[rstest]
#[case::first_log(&[("log-1", LOG), ("snapshot", EMPTY_SNAPSHOT)], RECORDS)]
#[case::snapshot_alone(&[("snapshot", SNAPSHOT)], RECORDS)]
#[case::snapshot_and_its_log(&[("log-2", SECOND_LOG), ("snapshot", SNAPSHOT)], LATER_RECORDS)]
#[case::covered_log_left_behind(
    &[("log-1", LOG), ("log-2", SECOND_LOG), ("snapshot", SNAPSHOT)],
    LATER_RECORDS
)]
#[case::old_snapshot_and_both_logs(
    &[("log-1", LOG), ("log-2", SECOND_LOG), ("snapshot", EMPTY_SNAPSHOT)],
    LATER_RECORDS
)]
#[case::unfinished_snapshot(
    &[("log-1", LOG), ("snapshot", EMPTY_SNAPSHOT), ("snapshot.new", &SNAPSHOT[..9])],
    RECORDS
)]
fn golden_files_are_read_as_expected(#[case] files: &[(&str, &[u8])], #[case] expected: &str) {
    let directory = directory_with(files);
    let (store, found) = open(directory.path());
    assert_eq!(format_records(&found), expected);
    drop(store);
    // Opening has compacted the records into a new snapshot.
    assert_eq!(format_records(&open(directory.path()).1), expected);
}

/// The records after the first `count` of [`BATCHES`].
fn records_after(count: usize) -> Vec<Record> {
    let mut map = BTreeMap::new();
    for (key, value) in BATCHES[..count].iter().flat_map(|batch| records(batch)) {
        map.insert(key, value);
    }
    map.into_iter().filter(|(_, value)| !value.is_empty()).collect()
}

fn records_of_log(log: &[u8]) -> Vec<Record> {
    let directory = directory_with(&[("log-1", log), ("snapshot", EMPTY_SNAPSHOT)]);
    open(directory.path()).1
}

#[test]
fn truncated_log_yields_its_complete_entries() {
    assert_eq!(*ENTRY_ENDS.last().expect("ENTRY_ENDS is not empty"), LOG.len());
    for length in 0..=LOG.len() {
        let complete = ENTRY_ENDS.iter().filter(|end| **end <= length).count().saturating_sub(1);
        assert_eq!(records_of_log(&LOG[..length]), records_after(complete), "cut off at {length}");
    }
}

#[test]
fn corrupt_byte_ends_the_log_before_its_entry() {
    for position in 0..LOG.len() {
        let mut log = LOG.to_vec();
        log[position] ^= 0x40;
        let complete = ENTRY_ENDS.iter().filter(|end| **end <= position).count().saturating_sub(1);
        assert_eq!(records_of_log(&log), records_after(complete), "changed at {position}");
    }
}

/// Blocks that the file system has allocated but not written read as zeros.
#[test]
fn zeros_after_the_log_are_ignored() {
    let log = [LOG, &[0; 64]].concat();
    assert_eq!(format_records(&records_of_log(&log)), RECORDS);
}

/// Asserts that the error reports this file as corrupt.
fn assert_corrupt(error: Error, file: &Path) {
    assert!(matches!(&error, Error::Corrupt { path, .. } if path == file), "{error}");
}

#[test]
fn snapshot_with_a_corrupt_byte_is_rejected() {
    for position in 0..SNAPSHOT.len() {
        let mut snapshot = SNAPSHOT.to_vec();
        snapshot[position] ^= 0x40;
        let directory = directory_with(&[("snapshot", &snapshot)]);
        let error = Store::open(directory.path(), MAX_LOG_BYTES).expect_err("the snapshot is corrupt");
        assert_corrupt(error, &directory.path().join("snapshot"));
    }
}

#[test]
fn log_entries_without_a_snapshot_are_rejected() {
    let directory = directory_with(&[("log-1", LOG)]);
    let error = Store::open(directory.path(), MAX_LOG_BYTES).expect_err("the snapshot is missing");
    assert_corrupt(error, &directory.path().join("log-1"));
}
