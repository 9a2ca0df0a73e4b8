//! The store's files, byte by byte: a folder that an earlier version has written is read by a later one, and what a
//! later one writes is what the earlier one would have. The files in `golden/` are never regenerated: a new format
//! gets files of its own beside them.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use kitepass_storage::{Error, Record, Store};
use rstest::rstest;
use rustix::event::{poll, PollFd, PollFlags};
use tempfile::TempDir;

/// What a new folder gets first: a snapshot without records, and a log without entries, which is the magic alone.
const EMPTY_SNAPSHOT: &[u8] = include_bytes!("golden/empty-snapshot.bin");
const LOG_MAGIC: &[u8] = b"KPRLOG01";
/// The first log once all of [`BATCHES`] are stored.
const LOG: &[u8] = include_bytes!("golden/log.bin");
/// What the next opening makes of the two: a snapshot of all records. Its log is the second one.
const SNAPSHOT: &[u8] = include_bytes!("golden/snapshot.bin");
/// The second log once [`LATER_BATCHES`] are stored.
const SECOND_LOG: &[u8] = include_bytes!("golden/second-log.bin");
/// The records after the first log, and those after the second one.
const RECORDS: &str = include_str!("golden/records.expected.txt");
const LATER_RECORDS: &str = include_str!("golden/later-records.expected.txt");

/// Where each entry of [`LOG`] ends, the magic first.
const ENTRY_ENDS: [usize; 6] = [8, 83, 136, 165, 211, 245];

/// More than any log here takes.
const LOG_LIMIT: u64 = 1 << 16;

/// A put: its records, where an empty value deletes.
type Batch<'a> = &'a [(&'a [u8], &'a [u8])];

/// Each batch makes one entry of the log.
const BATCHES: &[Batch] = &[
    // New records, handed over out of order.
    &[(b"beta", b"first beta"), (b"alpha", b"first alpha"), (b"\x00\xff", b"\x01\x00\xfe")],
    // One is overwritten, another is given twice: the later value counts.
    &[(b"beta", b"second beta"), (b"gamma", b"lost"), (b"gamma", b"g")],
    // One is deleted.
    &[(b"alpha", b"")],
    // The empty key is a key; a deletion of what was never put is logged too.
    &[(b"", b"no name"), (b"unknown", b"")],
    // A deleted one comes back.
    &[(b"alpha", b"again")],
];

const LATER_BATCHES: &[Batch] = &[
    &[(b"beta", b""), (b"delta", b"first delta")],
    // A batch without records makes no entry.
    &[],
    &[(b"gamma", b"third gamma")],
];

fn records(batch: Batch) -> Vec<Record> {
    batch.iter().map(|(key, value)| (key.to_vec(), value.to_vec())).collect()
}

/// Puts the batches, each once the one before is on disk, so that each gets its own entry.
fn put_one_by_one(store: &Store, batches: &[Batch]) {
    for (write_id, batch) in batches.iter().enumerate() {
        store.put(write_id as u64, records(batch));
        wait_for(store, write_id as u64);
    }
}

fn wait_for(store: &Store, write_id: u64) {
    loop {
        poll(&mut [PollFd::from_borrowed_fd(store.event_fd(), PollFlags::IN)], None).expect("poll works");
        let done = store.take_completed().expect("the store works");
        if done.contains(&write_id) {
            return;
        }
    }
}

fn open(folder: &Path) -> (Store, Vec<Record>) {
    Store::open(folder, LOG_LIMIT).expect("the folder can be opened")
}

/// All files of a folder, by name.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("the folder can be read");
    let file = |entry: fs::DirEntry| {
        let name = entry.file_name().into_string().expect("names are text");
        (name, fs::read(entry.path()).expect("the file can be read"))
    };
    entries.map(|entry| file(entry.expect("the folder can be read"))).collect()
}

fn folder_of(files: &[(&str, &[u8])]) -> TempDir {
    let folder = tempfile::tempdir().expect("a temporary folder");
    for (name, bytes) in files {
        fs::write(folder.path().join(name), bytes).expect("the folder can be written");
    }
    folder
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A line a record: key and value in hex.
fn listing(records: &[Record]) -> String {
    records.iter().map(|(key, value)| format!("\"{}\" {}\n", hex(key), hex(value))).collect()
}

fn assert_files(folder: &Path, expected: &[(&str, &[u8])]) {
    let shown = |(name, bytes): (&str, &[u8])| (name.to_owned(), hex(bytes));
    let found: Vec<(String, String)> = files(folder).iter().map(|(n, bytes)| shown((n, bytes))).collect();
    let expected: Vec<(String, String)> = expected.iter().copied().map(shown).collect();
    assert_eq!(found, expected);
}

#[test]
fn a_sequence_of_puts_makes_exactly_these_files() {
    let folder = folder_of(&[]);
    let (store, found) = open(folder.path());
    assert_eq!(found, []);
    assert_files(folder.path(), &[("log-1", LOG_MAGIC), ("snapshot", EMPTY_SNAPSHOT)]);
    put_one_by_one(&store, BATCHES);
    drop(store);
    assert_files(folder.path(), &[("log-1", LOG), ("snapshot", EMPTY_SNAPSHOT)]);

    let (store, found) = open(folder.path());
    assert_eq!(listing(&found), RECORDS);
    assert_files(folder.path(), &[("log-2", LOG_MAGIC), ("snapshot", SNAPSHOT)]);
    put_one_by_one(&store, LATER_BATCHES);
    drop(store);
    assert_files(folder.path(), &[("log-2", SECOND_LOG), ("snapshot", SNAPSHOT)]);
}

/// A batch that the log has no room for goes into a snapshot, and an empty log follows.
#[test]
fn a_full_log_is_replaced_by_exactly_this_snapshot() {
    let folder = folder_of(&[]);
    let all_but_the_last = ENTRY_ENDS[BATCHES.len() - 1];
    let (store, _) = Store::open(folder.path(), all_but_the_last as u64).expect("the folder can be opened");
    put_one_by_one(&store, &BATCHES[..BATCHES.len() - 1]);
    assert_files(folder.path(), &[("log-1", &LOG[..all_but_the_last]), ("snapshot", EMPTY_SNAPSHOT)]);
    put_one_by_one(&store, &BATCHES[BATCHES.len() - 1..]);
    drop(store);
    // The last batch has no entry: the next sequence number is one lower than in the golden snapshot.
    let mut snapshot = SNAPSHOT[..SNAPSHOT.len() - 4].to_vec();
    snapshot[16] -= 1;
    snapshot.extend_from_slice(&crc32fast::hash(&snapshot).to_le_bytes());
    assert_files(folder.path(), &[("log-2", LOG_MAGIC), ("snapshot", &snapshot)]);
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
fn a_folder_of_these_files_holds_these_records(#[case] files: &[(&str, &[u8])], #[case] expected: &str) {
    let folder = folder_of(files);
    let (store, found) = open(folder.path());
    assert_eq!(listing(&found), expected);
    drop(store);
    // What was read is now in a new snapshot.
    assert_eq!(listing(&open(folder.path()).1), expected);
}

/// The records after so many of [`BATCHES`].
fn records_after(count: usize) -> Vec<Record> {
    let mut map = BTreeMap::new();
    for (key, value) in BATCHES[..count].iter().flat_map(|batch| records(batch)) {
        map.insert(key, value);
    }
    map.into_iter().filter(|(_, value)| !value.is_empty()).collect()
}

fn opened_with_log(log: &[u8]) -> Vec<Record> {
    let folder = folder_of(&[("log-1", log), ("snapshot", EMPTY_SNAPSHOT)]);
    open(folder.path()).1
}

#[test]
fn a_log_cut_off_anywhere_yields_its_complete_entries() {
    assert_eq!(*ENTRY_ENDS.last().expect("the magic at least"), LOG.len());
    for length in 0..=LOG.len() {
        let complete = ENTRY_ENDS.iter().filter(|end| **end <= length).count().saturating_sub(1);
        assert_eq!(opened_with_log(&LOG[..length]), records_after(complete), "cut off at {length}");
    }
}

#[test]
fn a_changed_byte_ends_the_log_before_its_entry() {
    for position in 0..LOG.len() {
        let mut log = LOG.to_vec();
        log[position] ^= 0x40;
        let complete = ENTRY_ENDS.iter().filter(|end| **end <= position).count().saturating_sub(1);
        assert_eq!(opened_with_log(&log), records_after(complete), "changed at {position}");
    }
}

/// Blocks that the file system has allocated and not written.
#[test]
fn zeros_behind_the_log_are_no_entry() {
    let log = [LOG, &[0; 64]].concat();
    assert_eq!(listing(&opened_with_log(&log)), RECORDS);
}

/// The error is of a file that does not hold what was written, and names the file.
fn assert_corrupt(error: Error, file: &Path) {
    assert!(matches!(&error, Error::Corrupt { path, .. } if path == file), "{error}");
}

#[test]
fn a_snapshot_with_a_changed_byte_is_rejected() {
    for position in 0..SNAPSHOT.len() {
        let mut snapshot = SNAPSHOT.to_vec();
        snapshot[position] ^= 0x40;
        let folder = folder_of(&[("snapshot", &snapshot)]);
        let error = Store::open(folder.path(), LOG_LIMIT).expect_err("the snapshot is corrupt");
        assert_corrupt(error, &folder.path().join("snapshot"));
    }
}

#[test]
fn entries_without_a_snapshot_are_rejected() {
    let folder = folder_of(&[("log-1", LOG)]);
    let error = Store::open(folder.path(), LOG_LIMIT).expect_err("the snapshot is missing");
    assert_corrupt(error, &folder.path().join("log-1"));
}
