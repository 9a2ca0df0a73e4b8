//! The contract of both shelves, and a journal on a disk that loses power.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use oorandom::Rand64;
use rstest::rstest;
use rustix::event::{poll, PollFd, PollFlags};

use crate::disk::{Disk, Folder};
use crate::format::Map;
use crate::record_log::RecordLog;
use crate::{Error, InMemoryStore, Kept, Record, RecordStore, Store, MAX_PENDING_WRITES};

/// A store that tries again at once.
const AT_ONCE: (Duration, Duration) = (Duration::ZERO, Duration::ZERO);

fn record(key: &str, value: &str) -> Record {
    (key.into(), value.into())
}

/// Where a shelf's records outlive it.
enum Place {
    Folder(tempfile::TempDir),
    Kept(Kept),
}

impl Place {
    fn open(&self) -> (Box<dyn RecordStore>, Vec<Record>) {
        match self {
            // A log so short that it is compacted now and then.
            Place::Folder(folder) => {
                let (store, records) = Store::open(folder.path(), 200).unwrap();
                (Box::new(store), records)
            }
            Place::Kept(kept) => {
                let (memory, records) = InMemoryStore::open(kept).unwrap();
                (Box::new(memory), records)
            }
        }
    }
}

fn readable(shelf: &dyn RecordStore, wait: bool) -> bool {
    let now = Default::default();
    let mut fds = [PollFd::from_borrowed_fd(shelf.wakes(), PollFlags::IN)];
    poll(&mut fds, if wait { None } else { Some(&now) }).unwrap() > 0
}

fn wait_for(shelf: &dyn RecordStore, count: usize) -> Result<Vec<u64>, Error> {
    let mut tickets = Vec::new();
    while tickets.len() < count {
        readable(shelf, true);
        tickets.extend(shelf.done()?);
    }
    Ok(tickets)
}

#[rstest]
#[case::store(Place::Folder(tempfile::tempdir().unwrap()))]
#[case::memory(Place::Kept(Kept::default()))]
fn a_shelf_keeps_what_it_acknowledged(#[case] place: Place) {
    let (shelf, records) = place.open();
    assert_eq!((records, readable(&*shelf, false)), (vec![], false));
    for write_id in 0..100 {
        shelf.put(
            write_id,
            vec![record("last", &write_id.to_string()), record(&format!("k{write_id:02}"), "v")],
        );
    }
    assert_eq!(wait_for(&*shelf, 100).unwrap(), (0..100).collect::<Vec<_>>());
    assert!(!readable(&*shelf, false) && shelf.done().unwrap().is_empty());
    drop(shelf);

    let (shelf, records) = place.open();
    let mut expected: Vec<Record> = (0..100).map(|n| record(&format!("k{n:02}"), "v")).collect();
    expected.push(record("last", "99"));
    assert_eq!(records, expected);
    // The last of two values in one put counts; and a put of nothing comes back too.
    shelf.put(7, vec![record("last", "x"), record("last", "y")]);
    shelf.put(8, vec![]);
    // An empty value takes a key away, for good; a value after it brings it back.
    shelf.put(9, vec![record("k00", ""), record("k01", ""), record("k01", "again")]);
    assert_eq!(wait_for(&*shelf, 3).unwrap(), [7, 8, 9]);
    drop(shelf);
    let (_, records) = place.open();
    assert_eq!((records.len(), &records[0]), (100, &record("k01", "again")));
    assert_eq!(records.last(), Some(&record("last", "y")));
}

#[test]
fn spoilt_files_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(folder.path(), 1 << 20).unwrap();
    store.put(1, vec![record("a", "b")]);
    drop(store);
    let path = folder.path().join("snapshot");
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() - 1]).unwrap();
    assert!(matches!(Store::open(folder.path(), 0), Err(Error::Spoilt { .. })));
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(Store::open(folder.path(), 0), Err(Error::Spoilt { .. })));
    std::fs::write(&path, &whole).unwrap();
    assert_eq!(Store::open(folder.path(), 0).unwrap().1, [record("a", "b")]);
}

#[test]
fn a_folder_that_cannot_be_written_opens_and_is_written_later() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(folder.path(), 1 << 20).unwrap();
    store.put(1, vec![record("a", "b")]);
    drop(store);
    let in_the_way = folder.path().join("snapshot.new");
    std::fs::create_dir(&in_the_way).unwrap();
    let (store, records) = Store::start(Folder::open(folder.path()).unwrap(), 1 << 20, AT_ONCE).unwrap();
    assert_eq!(records, [record("a", "b")]);
    store.put(2, vec![record("c", "d")]);
    assert_eq!((store.done(), readable(&store, false)), (Ok(vec![]), false));
    std::fs::remove_dir(&in_the_way).unwrap();
    assert_eq!(wait_for(&store, 1).unwrap(), [2]);
    drop(store);
    assert_eq!(Store::open(folder.path(), 0).unwrap().1, [record("a", "b"), record("c", "d")]);
}

/// A disk that keeps, when power is lost, what was synced, and any part of the rest; and that can be told to refuse,
/// to be full and to hang.
struct Sim {
    inner: Mutex<SimInner>,
    changed: Condvar,
}

#[derive(Clone, Copy, PartialEq)]
enum Call {
    Read,
    Create,
    Write,
    Sync,
    Cut,
    Rename,
    Remove,
    SyncFolder,
}

/// What is wrong with the disk during the next calls.
#[derive(Clone, Copy, Default)]
struct Trouble {
    calls: u64,
    /// Refuses each [`Call`] whose bit is set.
    refuses: u64,
    /// Has room for so many bytes.
    room: Option<usize>,
    hangs: bool,
    panics: bool,
}

struct SimInner {
    rng: Rand64,
    trouble: Trouble,
    /// How many calls were refused, and how many hang.
    refused: u64,
    hung: u64,
    /// The most bytes that all files have taken.
    most: usize,
    /// Calls until power is lost; each one from then on fails.
    left: u64,
    files: Vec<SimFile>,
    names: BTreeMap<String, usize>,
    lasting: BTreeMap<String, usize>,
    /// Renames (from, to) and removals (name, none) since the folder's last sync, and of which file.
    moves: Vec<(String, usize, Option<String>)>,
}

#[derive(Default)]
struct SimFile {
    live: Vec<u8>,
    /// How much was synced; `None` where the file never was.
    synced: Option<usize>,
    /// Where each write since then starts.
    writes: Vec<usize>,
    /// A sync has failed; later ones succeed and do nothing.
    failed: bool,
}

impl Sim {
    fn new(seed: u64) -> Arc<Sim> {
        let inner = SimInner {
            rng: Rand64::new(seed.into()),
            trouble: Trouble::default(),
            refused: 0,
            hung: 0,
            most: 0,
            left: u64::MAX,
            files: vec![],
            names: BTreeMap::new(),
            lasting: BTreeMap::new(),
            moves: vec![],
        };
        Arc::new(Sim { inner: Mutex::new(inner), changed: Condvar::new() })
    }

    fn lock(&self) -> MutexGuard<'_, SimInner> {
        self.inner.lock().unwrap()
    }

    fn trouble(&self, trouble: Trouble) {
        self.lock().trouble = trouble;
        self.changed.notify_all();
    }

    fn wait_until(&self, is: impl Fn(&SimInner) -> bool) {
        drop(self.changed.wait_while(self.lock(), |inner| !is(inner)).unwrap());
    }

    fn refuse(&self, inner: &mut SimInner) -> io::Error {
        inner.refused += 1;
        self.changed.notify_all();
        io::ErrorKind::StorageFull.into()
    }

    fn call(&self, call: Call) -> io::Result<MutexGuard<'_, SimInner>> {
        let mut inner = self.lock();
        if inner.trouble.hangs {
            inner.hung += 1;
            self.changed.notify_all();
            inner = self.changed.wait_while(inner, |inner| inner.trouble.hangs).unwrap();
        }
        assert!(!inner.trouble.panics, "as the test wants it");
        inner.left = inner.left.saturating_sub(1);
        if inner.left == 0 {
            return Err(io::Error::other("no power"));
        }
        if inner.trouble.calls == 0 {
            inner.trouble = Trouble::default();
        } else if call != Call::Read {
            inner.trouble.calls -= 1;
            if inner.trouble.refuses & 1 << call as u64 != 0 {
                return Err(self.refuse(&mut inner));
            }
        }
        Ok(inner)
    }
}

impl SimInner {
    fn chance(&mut self, of: u64) -> bool {
        self.rng.rand_range(0..of) == 0
    }

    fn used(&self) -> usize {
        self.names.values().map(|&id| self.files[id].live.len()).sum()
    }

    /// Makes each rename and removal last, or only some, and forgets the others.
    fn settle_moves(&mut self, lasts: impl Fn(&mut Self) -> bool) {
        for (from, id, to) in std::mem::take(&mut self.moves) {
            if self.lasting.get(&from) == Some(&id) && lasts(self) {
                self.lasting.remove(&from);
                self.lasting.extend(to.map(|to| (to, id)));
            }
        }
    }

    fn lose_power(&mut self) {
        let all_gone = self.chance(3);
        for (name, &id) in &self.names.clone() {
            if self.files[id].synced.is_none() && !all_gone && self.chance(2) {
                self.lasting.insert(name.clone(), id);
            }
        }
        self.settle_moves(|inner| !all_gone && inner.chance(2));
        for id in 0..self.files.len() {
            let file = std::mem::take(&mut self.files[id]);
            let mut kept = file.live[..file.synced.unwrap_or(0)].to_vec();
            let ends = file.writes.iter().skip(1).copied().chain([file.live.len()]);
            for (&start, end) in file.writes.iter().zip(ends) {
                if all_gone || self.chance(3) {
                    continue;
                }
                kept.resize(kept.len().max(end), 0);
                kept[start..end].copy_from_slice(&file.live[start..end]);
                if self.chance(2) {
                    // Torn: the end is missing, or some bytes in it are.
                    let cut = start + self.rng.rand_range(0..(end - start) as u64 + 1) as usize;
                    if end == kept.len() && self.chance(2) {
                        kept.truncate(cut);
                    } else {
                        kept[cut..end].fill(0);
                    }
                }
            }
            self.files[id] = SimFile { synced: Some(kept.len()), live: kept, writes: vec![], failed: false };
        }
        self.names = self.lasting.clone();
    }
}

impl Disk for Arc<Sim> {
    type File = usize;

    fn path(&self, name: &str) -> PathBuf {
        name.into()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.call(Call::Read)?.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let inner = self.call(Call::Read)?;
        Ok(inner.names.get(name).map(|&id| inner.files[id].live.clone()))
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        let mut inner = self.call(Call::Create)?;
        // A file of that name is emptied: the new one stands for it, and the old one is what may be left.
        let id = inner.files.len();
        inner.files.push(SimFile::default());
        inner.names.insert(name.into(), id);
        Ok(id)
    }

    fn write(&self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        // Power may go after the write as well as before it: a call that fails has written.
        let mut failed = self.call(Call::Write).err();
        let mut inner = self.lock();
        let room = inner.trouble.room.map_or(bytes.len(), |room| room.saturating_sub(inner.used()));
        if room < bytes.len() {
            failed = Some(self.refuse(&mut inner));
        }
        let file = &mut inner.files[*file];
        file.writes.push(file.live.len());
        file.live.extend_from_slice(&bytes[..room.min(bytes.len())]);
        inner.most = inner.most.max(inner.used());
        failed.map_or(Ok(()), Err)
    }

    fn sync(&self, file: &mut usize) -> io::Result<()> {
        let failed = self.call(Call::Sync).err();
        let mut inner = self.lock();
        let synced = &mut inner.files[*file];
        synced.failed |= failed.is_some();
        if synced.failed {
            return failed.map_or(Ok(()), Err);
        }
        (synced.synced, synced.writes) = (Some(synced.live.len()), vec![]);
        let name = inner.names.iter().find(|(_, id)| *id == file).map(|(name, _)| name.clone());
        inner.lasting.insert(name.expect("synced by a name"), *file);
        Ok(())
    }

    fn cut(&self, file: &mut usize, length: u64) -> io::Result<()> {
        let mut inner = self.call(Call::Cut)?;
        let file = &mut inner.files[*file];
        file.live.truncate(length as usize);
        file.writes.retain(|start| *start < length as usize);
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.call(Call::Rename)?;
        let id = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.into(), id);
        inner.moves.push((from.into(), id, Some(to.into())));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.call(Call::Remove)?;
        let id = inner.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        inner.moves.push((name.into(), id, None));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let failed = self.call(Call::SyncFolder).err();
        let mut inner = self.lock();
        // What a sync that failed has dropped, later ones do not make last.
        let whole = failed.is_none();
        inner.settle_moves(|inner| whole || inner.chance(2));
        failed.map_or(Ok(()), Err)
    }
}

/// Hands batches over until power is lost or the process is killed, many times over on one disk that refuses now and
/// then, openings included. What is found then must be the map after some whole batch, no earlier than the last one
/// acknowledged; and a disk that refuses nothing must keep what it is given.
#[rstest]
fn power_loss_takes_nothing_acknowledged(#[values(0, 60, 1000)] bound: u64) {
    for seed in 0..500 {
        let sim = Sim::new(seed);
        // The map after each batch from the last one that is sure.
        let mut maps = vec![Map::new()];
        for round in 0..12u64 {
            let mut inner = sim.lock();
            inner.left = inner.rng.rand_range(1..60);
            if inner.chance(2) {
                let calls = inner.rng.rand_range(1..30);
                let refuses = match inner.rng.rand_range(0..3) {
                    0 => 1 << inner.rng.rand_range(1..8),
                    1 => inner.rng.rand_u64(),
                    _ => 0,
                };
                let room = inner.chance(2).then(|| inner.rng.rand_range(0..500) as usize);
                inner.trouble = Trouble { calls, refuses, room, ..Trouble::default() };
            }
            drop(inner);
            match RecordLog::open(sim.clone(), bound) {
                Err(error) => {
                    assert!(matches!(error, Error::Disk { .. }), "seed={seed} round={round} {error}")
                }
                Ok(mut journal) => {
                    let at = maps.iter().position(|map| map == journal.map());
                    let at =
                        at.unwrap_or_else(|| panic!("seed={seed} round={round} found={:?}", journal.map()));
                    // Those before it may come back until this one is sure.
                    maps.truncate(at + 1);
                    for batch in 0.. {
                        // The first makes sure what was found.
                        let value = format!("{round}-{batch}");
                        let records = [record(&format!("k{}", batch % 5), &value), record("all", &value)];
                        let records: Map = records.into_iter().filter(|_| batch > 0).collect();
                        if batch > 0 {
                            let mut map = maps[maps.len() - 1].clone();
                            map.extend(records.clone());
                            maps.push(map);
                        }
                        let calm = sim.lock().trouble.calls == 0;
                        let kept = journal.keep(records);
                        if kept.is_ok() {
                            maps = maps.split_off(maps.len() - 1);
                        } else if sim.lock().left == 0 {
                            break;
                        }
                        assert!(kept.is_ok() || !calm, "seed={seed} round={round} {kept:?}");
                    }
                }
            }
            // Else the process was killed alone, and what it wrote is there and still not synced.
            let mut inner = sim.lock();
            inner.trouble = Trouble::default();
            if !inner.chance(4) {
                inner.lose_power();
            }
        }
        sim.lock().left = u64::MAX;
        let found = RecordLog::open(sim.clone(), bound).unwrap_or_else(|e| panic!("seed={seed} {e}"));
        assert!(maps.contains(found.map()), "seed={seed}");
    }
}

/// Power goes, and is back; gives what is found then.
fn after_power_loss(sim: &Arc<Sim>, store: Store) -> Vec<Record> {
    sim.lock().left = 1;
    drop(store);
    let mut inner = sim.lock();
    inner.lose_power();
    inner.left = u64::MAX;
    drop(inner);
    Store::start(sim.clone(), 0, AT_ONCE).unwrap().1
}

const FOR_GOOD: Trouble = Trouble { calls: u64::MAX, refuses: 0, room: None, hangs: false, panics: false };

const FOLDER_SYNCS: u64 = 1 << Call::SyncFolder as u64;

#[rstest]
#[case::full(Trouble { room: Some(0), ..FOR_GOOD })]
#[case::nearly_full(Trouble { room: Some(100), ..FOR_GOOD })]
#[case::no_syncs(Trouble { refuses: 1 << Call::Sync as u64, ..FOR_GOOD })]
#[case::no_syncs_of_the_folder(Trouble { refuses: FOLDER_SYNCS, ..FOR_GOOD })]
#[case::nothing(Trouble { refuses: u64::MAX, ..FOR_GOOD })]
fn a_refusal_holds_tickets_and_loses_none(#[case] trouble: Trouble, #[values(false, true)] at_open: bool) {
    const BOUND: u64 = 400;
    let sim = Sim::new(1);
    let (store, _) = Store::start(sim.clone(), BOUND, AT_ONCE).unwrap();
    store.put(0, vec![record("last", "0")]);
    assert_eq!(wait_for(&store, 1).unwrap(), [0]);
    drop(store);

    sim.trouble(if at_open { trouble } else { Trouble::default() });
    let (store, records) = Store::start(sim.clone(), BOUND, AT_ONCE).unwrap();
    assert_eq!(records, [record("last", "0")]);
    sim.trouble(trouble);
    // Long values: the log has no room for all, so that each kind of refusal is met.
    let long = "value".repeat(10);
    for write_id in 1..=50 {
        let records =
            vec![record("last", &write_id.to_string()), record(&format!("k{}", write_id % 9), &long)];
        store.put(write_id, records);
    }
    let before = sim.lock().refused;
    sim.wait_until(|inner| inner.refused > before + 10);
    // Until the log was full it may have taken some.
    let mut tickets = store.done().unwrap();
    assert!(!readable(&store, false) && (tickets.is_empty() || trouble.refuses == FOLDER_SYNCS));

    sim.trouble(Trouble::default());
    tickets.extend(wait_for(&store, 50 - tickets.len()).unwrap());
    assert_eq!(tickets, (1..=50).collect::<Vec<_>>());
    let mut expected: Vec<Record> = (0..9).map(|n| record(&format!("k{n}"), &long)).collect();
    expected.push(record("last", "50"));
    // Heads and checksums aside, the bound and twice the map.
    let map: usize = expected.iter().map(|(key, value)| 8 + key.len() + value.len()).sum();
    assert!(sim.lock().most <= BOUND as usize + 2 * (map + 28) + 8, "{}", sim.lock().most);
    assert_eq!(after_power_loss(&sim, store), expected);
}

#[test]
fn a_hang_drops_the_oldest_tickets_and_no_record() {
    let sim = Sim::new(1);
    let (store, _) = Store::start(sim.clone(), 1000, AT_ONCE).unwrap();
    sim.trouble(Trouble { hangs: true, ..FOR_GOOD });
    store.put(0, vec![record("first", "0")]);
    sim.wait_until(|inner| inner.hung > 0);
    let last = MAX_PENDING_WRITES as u64 + 10;
    for write_id in 1..=last {
        store.put(write_id, vec![record("last", &write_id.to_string())]);
    }
    assert_eq!(store.done(), Ok(vec![]));
    sim.trouble(Trouble::default());
    assert_eq!(wait_for(&store, MAX_PENDING_WRITES).unwrap(), (11..=last).collect::<Vec<_>>());
    let expected = [record("first", "0"), record("last", &last.to_string())];
    assert_eq!(after_power_loss(&sim, store), expected);
}

#[test]
fn the_death_of_the_thread_is_told_each_time() {
    let sim = Sim::new(1);
    let (store, _) = Store::start(sim.clone(), 1000, AT_ONCE).unwrap();
    store.put(1, vec![record("a", "b")]);
    assert_eq!(wait_for(&store, 1).unwrap(), [1]);
    sim.trouble(Trouble { panics: true, ..FOR_GOOD });
    store.put(2, vec![record("a", "c")]);
    let error = wait_for(&store, 1).unwrap_err();
    assert!(matches!(error, Error::Thread { .. }), "{error}");
    assert_eq!((store.done(), readable(&store, false)), (Err(error), false));
}
