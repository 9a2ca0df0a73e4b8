//! Tests of the contract of both stores, and of opening damaged directories.

use rstest::rstest;

use super::{is_readable, record, wait_for_writes, NO_BACKOFF};
use crate::directory::FsDirectory;
use crate::{Error, InMemoryRecords, InMemoryStore, Record, RecordStore, Store};

/// The backing storage of a store, which outlives it.
enum BackingStorage {
    Directory(tempfile::TempDir),
    Memory(InMemoryRecords),
}

impl BackingStorage {
    fn open(&self) -> (Box<dyn RecordStore>, Vec<Record>) {
        match self {
            // The log is so short that it is compacted occasionally.
            BackingStorage::Directory(directory) => {
                let (store, records) = Store::open(directory.path(), 200).unwrap();
                (Box::new(store), records)
            }
            BackingStorage::Memory(records) => {
                let (store, records) = InMemoryStore::open(records).unwrap();
                (Box::new(store), records)
            }
        }
    }
}

#[rstest]
#[case::on_disk(BackingStorage::Directory(tempfile::tempdir().unwrap()))]
#[case::in_memory(BackingStorage::Memory(InMemoryRecords::default()))]
fn acknowledged_records_survive_reopening(#[case] backing_storage: BackingStorage) {
    let (store, records) = backing_storage.open();
    assert_eq!((records, is_readable(&*store, false)), (vec![], false));
    for write_id in 0..100 {
        let records = [record("last", &write_id.to_string()), record(&format!("k{write_id:02}"), "v")];
        store.put(write_id, records.into());
    }
    assert_eq!(wait_for_writes(&*store, 100).unwrap(), (0..100).collect::<Vec<_>>());
    assert!(!is_readable(&*store, false) && store.take_completed().unwrap().is_empty());
    drop(store);

    let (store, records) = backing_storage.open();
    let mut expected: Vec<Record> = (0..100).map(|n| record(&format!("k{n:02}"), "v")).collect();
    expected.push(record("last", "99"));
    assert_eq!(records, expected);
    // The last of two values of a key in one write counts, and an empty write completes too.
    store.put(7, vec![record("last", "x"), record("last", "y")]);
    store.put(8, vec![]);
    // An empty value deletes a key durably; a later value sets it again.
    store.put(9, vec![record("k00", ""), record("k01", ""), record("k01", "again")]);
    assert_eq!(wait_for_writes(&*store, 3).unwrap(), [7, 8, 9]);
    drop(store);
    let (_, records) = backing_storage.open();
    assert_eq!((records.len(), &records[0]), (100, &record("k01", "again")));
    assert_eq!(records.last(), Some(&record("last", "y")));
}

#[test]
fn corrupt_or_missing_snapshot_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(directory.path(), 1 << 20).unwrap();
    store.put(1, vec![record("a", "b")]);
    drop(store);
    let path = directory.path().join("snapshot");
    let snapshot = std::fs::read(&path).unwrap();
    std::fs::write(&path, &snapshot[..snapshot.len() - 1]).unwrap();
    assert!(matches!(Store::open(directory.path(), 0), Err(Error::Corrupt { .. })));
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(Store::open(directory.path(), 0), Err(Error::Corrupt { .. })));
    std::fs::write(&path, &snapshot).unwrap();
    assert_eq!(Store::open(directory.path(), 0).unwrap().1, [record("a", "b")]);
}

#[test]
fn unwritable_directory_opens_and_is_written_later() {
    let directory = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(directory.path(), 1 << 20).unwrap();
    store.put(1, vec![record("a", "b")]);
    drop(store);
    let obstacle = directory.path().join("snapshot.new");
    std::fs::create_dir(&obstacle).unwrap();
    let fs_directory = FsDirectory::open(directory.path()).unwrap();
    let (store, records) = Store::start(fs_directory, 1 << 20, NO_BACKOFF).unwrap();
    assert_eq!(records, [record("a", "b")]);
    store.put(2, vec![record("c", "d")]);
    assert_eq!((store.take_completed(), is_readable(&store, false)), (Ok(vec![]), false));
    std::fs::remove_dir(&obstacle).unwrap();
    assert_eq!(wait_for_writes(&store, 1).unwrap(), [2]);
    drop(store);
    assert_eq!(Store::open(directory.path(), 0).unwrap().1, [record("a", "b"), record("c", "d")]);
}
