//! The contract of both shelves, and a journal on a disk that loses power.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;

use oorandom::Rand64;
use rstest::rstest;
use rustix::event::{poll, PollFd, PollFlags};

use crate::disk::Disk;
use crate::format::Map;
use crate::journal::Journal;
use crate::{Error, Kept, Memory, Record, Shelf, Store};

fn record(key: &str, value: &str) -> Record {
    (key.into(), value.into())
}

/// Where a shelf's records outlive it.
enum Place {
    Folder(tempfile::TempDir),
    Kept(Kept),
}

impl Place {
    fn open(&self) -> (Box<dyn Shelf>, Vec<Record>) {
        match self {
            // A log so short that it is compacted now and then.
            Place::Folder(folder) => {
                let (store, records) = Store::open(folder.path(), 200).unwrap();
                (Box::new(store), records)
            }
            Place::Kept(kept) => {
                let (memory, records) = Memory::open(kept).unwrap();
                (Box::new(memory), records)
            }
        }
    }
}

fn readable(shelf: &dyn Shelf, wait: bool) -> bool {
    let now = Default::default();
    let mut fds = [PollFd::from_borrowed_fd(shelf.wakes(), PollFlags::IN)];
    poll(&mut fds, if wait { None } else { Some(&now) }).unwrap() > 0
}

fn wait_for(shelf: &dyn Shelf, count: usize) -> Result<Vec<u64>, Error> {
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
    for ticket in 0..100 {
        shelf.put(ticket, vec![record("last", &ticket.to_string()), record(&format!("k{ticket:02}"), "")]);
    }
    assert_eq!(wait_for(&*shelf, 100).unwrap(), (0..100).collect::<Vec<_>>());
    assert!(!readable(&*shelf, false) && shelf.done().unwrap().is_empty());
    drop(shelf);

    let (shelf, records) = place.open();
    let mut expected: Vec<Record> = (0..100).map(|n| record(&format!("k{n:02}"), "")).collect();
    expected.push(record("last", "99"));
    assert_eq!(records, expected);
    // The last of two values in one put counts; and a put of nothing comes back too.
    shelf.put(7, vec![record("last", "x"), record("last", "y")]);
    shelf.put(8, vec![]);
    assert_eq!(wait_for(&*shelf, 2).unwrap(), [7, 8]);
    drop(shelf);
    assert_eq!(place.open().1.pop(), Some(record("last", "y")));
}

#[test]
fn an_error_ends_the_store_and_is_told_each_time() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(folder.path(), 0).unwrap();
    std::fs::remove_dir_all(folder.path()).unwrap();
    // The open log takes the entry still; the compaction behind it cannot make its files.
    store.put(1, vec![record("a", "b")]);
    assert_eq!(wait_for(&store, 1).unwrap(), [1]);
    let error = wait_for(&store, 1).unwrap_err();
    assert!(error.to_string().contains("log-2"), "{error}");
    store.put(2, vec![]);
    assert_eq!((store.done(), readable(&store, false)), (Err(error), false));
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

/// A disk that keeps, when power is lost, what was synced, and any part of the rest.
struct Sim(RefCell<SimInner>);

struct SimInner {
    rng: Rand64,
    /// Calls until power is lost; each one from then on fails.
    left: u64,
    files: Vec<SimFile>,
    names: BTreeMap<String, usize>,
    lasting: BTreeMap<String, usize>,
    /// Renames (from, to) and removals (name, none) since the folder's last sync.
    moves: Vec<(String, Option<String>)>,
}

#[derive(Default)]
struct SimFile {
    live: Vec<u8>,
    /// How much was synced; `None` where the file never was.
    synced: Option<usize>,
    /// Where each write since then starts.
    writes: Vec<usize>,
}

impl Sim {
    fn call(&self) -> io::Result<std::cell::RefMut<'_, SimInner>> {
        let mut inner = self.0.borrow_mut();
        inner.left = inner.left.saturating_sub(1);
        if inner.left == 0 {
            return Err(io::Error::other("no power"));
        }
        Ok(inner)
    }
}

impl SimInner {
    fn chance(&mut self, of: u64) -> bool {
        self.rng.rand_range(0..of) == 0
    }

    fn lose_power(&mut self) {
        let all_gone = self.chance(3);
        for (name, &id) in &self.names.clone() {
            if self.files[id].synced.is_none() && !all_gone && self.chance(2) {
                self.lasting.insert(name.clone(), id);
            }
        }
        for (from, to) in std::mem::take(&mut self.moves) {
            if all_gone || self.chance(2) {
                continue;
            }
            if let (Some(id), Some(to)) = (self.lasting.remove(&from), to) {
                self.lasting.insert(to, id);
            }
        }
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
            self.files[id] = SimFile { synced: Some(kept.len()), live: kept, writes: vec![] };
        }
        self.names = self.lasting.clone();
    }
}

impl Disk for &Sim {
    type File = usize;

    fn path(&self, name: &str) -> PathBuf {
        name.into()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.call()?.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let inner = self.call()?;
        Ok(inner.names.get(name).map(|&id| inner.files[id].live.clone()))
    }

    fn create(&self, name: &str) -> io::Result<usize> {
        let mut inner = self.call()?;
        // A file of that name is emptied: the new one stands for it, and the old one is what may be left.
        let id = inner.files.len();
        inner.files.push(SimFile::default());
        inner.names.insert(name.into(), id);
        Ok(id)
    }

    fn write(&self, file: &mut usize, bytes: &[u8]) -> io::Result<()> {
        // Power may go after the write as well as before it: a call that fails has written.
        let failed = self.call().err();
        let mut inner = self.0.borrow_mut();
        let file = &mut inner.files[*file];
        file.writes.push(file.live.len());
        file.live.extend_from_slice(bytes);
        failed.map_or(Ok(()), Err)
    }

    fn sync(&self, file: &mut usize) -> io::Result<()> {
        let mut inner = self.call()?;
        let synced = &mut inner.files[*file];
        (synced.synced, synced.writes) = (Some(synced.live.len()), vec![]);
        let name = inner.names.iter().find(|(_, id)| *id == file).map(|(name, _)| name.clone());
        inner.lasting.insert(name.expect("synced by a name"), *file);
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.call()?;
        let id = inner.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.names.insert(to.into(), id);
        inner.moves.push((from.into(), Some(to.into())));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.call()?;
        inner.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        inner.moves.push((name.into(), None));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut inner = self.call()?;
        inner.lasting = inner.names.clone();
        inner.moves.clear();
        Ok(())
    }
}

/// Puts batches until power is lost or the process is killed, many times over on one disk, openings included. What is found then must
/// be the map after some whole batch, no earlier than the last one acknowledged or found before.
#[rstest]
fn power_loss_takes_nothing_acknowledged(#[values(0, 60, 1000)] bound: u64) {
    for seed in 0..400 {
        let inner = SimInner {
            rng: Rand64::new(seed),
            left: u64::MAX,
            files: vec![],
            names: BTreeMap::new(),
            lasting: BTreeMap::new(),
            moves: vec![],
        };
        let sim = Sim(RefCell::new(inner));
        // The map after each batch from the last one that is sure.
        let mut maps = vec![Map::new()];
        for round in 0..12u64 {
            let left = sim.0.borrow_mut().rng.rand_range(1..40);
            sim.0.borrow_mut().left = left;
            match Journal::open(&sim, bound) {
                Err(error) => {
                    assert!(matches!(error, Error::Disk { .. }), "seed={seed} round={round} {error}")
                }
                Ok(mut journal) => {
                    let at = maps.iter().position(|map| map == journal.map());
                    let at =
                        at.unwrap_or_else(|| panic!("seed={seed} round={round} found={:?}", journal.map()));
                    maps = vec![maps.swap_remove(at)];
                    for batch in 0.. {
                        let group: Vec<Vec<Record>> = (0..1 + batch % 3)
                            .map(|n| {
                                let value = format!("{round}-{batch}-{n}");
                                vec![record(&format!("k{}", (batch + n) % 5), &value), record("all", &value)]
                            })
                            .collect();
                        for batch in &group {
                            let mut map = maps[maps.len() - 1].clone();
                            map.extend(batch.iter().cloned());
                            maps.push(map);
                        }
                        if journal.append(group).is_err() {
                            break;
                        }
                        maps = maps.split_off(maps.len() - 1);
                        if journal.compact_if_due().is_err() {
                            break;
                        }
                    }
                }
            }
            // Else the process was killed alone, and what it wrote is there and still not synced.
            let mut inner = sim.0.borrow_mut();
            if !inner.chance(4) {
                inner.lose_power();
            }
        }
        sim.0.borrow_mut().left = u64::MAX;
        let found = Journal::open(&sim, bound).unwrap_or_else(|e| panic!("seed={seed} {e}"));
        assert!(maps.contains(found.map()), "seed={seed}");
    }
}
