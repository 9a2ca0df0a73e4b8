//! A simulated disk. A power loss preserves synced data and an arbitrary part of the rest. The disk can also be made to
//! fail, to be full, to hang and to panic.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

use oorandom::Rand64;

use crate::directory::Directory;

pub(super) struct SimulatedDisk {
    state: Mutex<DiskState>,
    changed: Condvar,
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Call {
    Read,
    Create,
    Append,
    Sync,
    Truncate,
    Rename,
    Remove,
    SyncDirectory,
}

impl Call {
    /// The call's bit in [`Fault::failing_calls`].
    pub(super) const fn bit(self) -> u64 {
        1 << self as u64
    }
}

/// A fault of the disk during the next calls.
#[derive(Clone, Copy, Default)]
pub(super) struct Fault {
    /// How many calls the fault lasts.
    pub(super) calls: u64,
    /// A bit mask of the [`Call`]s that fail.
    pub(super) failing_calls: u64,
    /// The disk's capacity in bytes.
    pub(super) capacity: Option<usize>,
    pub(super) hangs: bool,
    pub(super) panics: bool,
}

pub(super) struct DiskState {
    pub(super) rng: Rand64,
    pub(super) fault: Fault,
    pub(super) failed_calls: u64,
    pub(super) hanging_calls: u64,
    /// The maximum number of bytes used by all files so far.
    pub(super) max_used_bytes: usize,
    /// The number of calls until power is lost. Every call from then on fails.
    pub(super) calls_left: u64,
    files: Vec<SimulatedFile>,
    /// The index in `files` of each file name.
    names: BTreeMap<String, FileId>,
    /// The file names that survive a power loss.
    durable_names: BTreeMap<String, FileId>,
    /// The name changes since the last sync of the directory.
    unsynced_changes: Vec<NameChange>,
}

/// An index in [`DiskState::files`].
type FileId = usize;

/// A rename, or a removal if there is no new name.
struct NameChange {
    old_name: String,
    file: FileId,
    new_name: Option<String>,
}

#[derive(Default)]
struct SimulatedFile {
    content: Vec<u8>,
    /// How many bytes were synced; `None` if the file was never synced.
    synced_bytes: Option<usize>,
    /// The start of each write since the last sync.
    unsynced_writes: Vec<usize>,
    /// A sync has failed; later syncs succeed without any effect.
    has_failed_sync: bool,
}

impl SimulatedDisk {
    pub(super) fn new(seed: u64) -> Arc<SimulatedDisk> {
        let state = DiskState {
            rng: Rand64::new(seed.into()),
            fault: Fault::default(),
            failed_calls: 0,
            hanging_calls: 0,
            max_used_bytes: 0,
            calls_left: u64::MAX,
            files: vec![],
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            unsynced_changes: vec![],
        };
        Arc::new(SimulatedDisk { state: Mutex::new(state), changed: Condvar::new() })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap()
    }

    pub(super) fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
        self.changed.notify_all();
    }

    pub(super) fn wait_until(&self, condition: impl Fn(&DiskState) -> bool) {
        drop(self.changed.wait_while(self.lock(), |state| !condition(state)).unwrap());
    }

    fn fail(&self, state: &mut DiskState) -> io::Error {
        state.failed_calls += 1;
        self.changed.notify_all();
        io::ErrorKind::StorageFull.into()
    }

    /// Counts a call and lets it fail, hang or panic according to the current fault.
    fn call(&self, call: Call) -> io::Result<MutexGuard<'_, DiskState>> {
        let mut state = self.lock();
        if state.fault.hangs {
            state.hanging_calls += 1;
            self.changed.notify_all();
            state = self.changed.wait_while(state, |state| state.fault.hangs).unwrap();
        }
        assert!(!state.fault.panics, "panic requested by the test");
        state.calls_left = state.calls_left.saturating_sub(1);
        if state.calls_left == 0 {
            return Err(io::Error::other("no power"));
        }
        if state.fault.calls == 0 {
            state.fault = Fault::default();
        } else if call != Call::Read {
            state.fault.calls -= 1;
            if state.fault.failing_calls & call.bit() != 0 {
                return Err(self.fail(&mut state));
            }
        }
        Ok(state)
    }
}

impl DiskState {
    /// Returns true with a probability of 1 in `n`.
    pub(super) fn one_in(&mut self, n: u64) -> bool {
        self.rng.rand_range(0..n) == 0
    }

    fn used_bytes(&self) -> usize {
        self.names.values().map(|&file| self.files[file].content.len()).sum()
    }

    /// Makes those pending renames and removals durable for which `is_durable` returns true, and discards the others.
    fn apply_name_changes(&mut self, is_durable: impl Fn(&mut Self) -> bool) {
        for NameChange { old_name, file, new_name } in std::mem::take(&mut self.unsynced_changes) {
            if self.durable_names.get(&old_name) == Some(&file) && is_durable(self) {
                self.durable_names.remove(&old_name);
                self.durable_names.extend(new_name.map(|new_name| (new_name, file)));
            }
        }
    }

    pub(super) fn lose_power(&mut self) {
        let loses_all_unsynced = self.one_in(3);
        for (name, &file) in &self.names.clone() {
            if self.files[file].synced_bytes.is_none() && !loses_all_unsynced && self.one_in(2) {
                self.durable_names.insert(name.clone(), file);
            }
        }
        self.apply_name_changes(|state| !loses_all_unsynced && state.one_in(2));
        for id in 0..self.files.len() {
            let file = std::mem::take(&mut self.files[id]);
            let content = self.content_after_power_loss(&file, loses_all_unsynced);
            self.files[id] =
                SimulatedFile { synced_bytes: Some(content.len()), content, ..SimulatedFile::default() };
        }
        self.names = self.durable_names.clone();
    }

    /// The synced content with an arbitrary part of the later writes.
    fn content_after_power_loss(&mut self, file: &SimulatedFile, loses_all_unsynced: bool) -> Vec<u8> {
        let mut content = file.content[..file.synced_bytes.unwrap_or(0)].to_vec();
        let ends = file.unsynced_writes.iter().skip(1).copied().chain([file.content.len()]);
        for (&start, end) in file.unsynced_writes.iter().zip(ends) {
            if loses_all_unsynced || self.one_in(3) {
                continue;
            }
            content.resize(content.len().max(end), 0);
            content[start..end].copy_from_slice(&file.content[start..end]);
            if self.one_in(2) {
                // A torn write: its end is missing or was replaced by zeros.
                let torn_at = start + self.rng.rand_range(0..(end - start) as u64 + 1) as usize;
                if end == content.len() && self.one_in(2) {
                    content.truncate(torn_at);
                } else {
                    content[torn_at..end].fill(0);
                }
            }
        }
        content
    }
}

impl Directory for Arc<SimulatedDisk> {
    type File = FileId;

    fn path(&self, name: &str) -> PathBuf {
        name.into()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.call(Call::Read)?.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = self.call(Call::Read)?;
        Ok(state.names.get(name).map(|&file| state.files[file].content.clone()))
    }

    fn create(&self, name: &str) -> io::Result<FileId> {
        let mut state = self.call(Call::Create)?;
        // An existing file of this name is kept as a separate file, because a power loss may bring it back.
        let file = state.files.len();
        state.files.push(SimulatedFile::default());
        state.names.insert(name.into(), file);
        Ok(file)
    }

    fn append(&self, file: &mut FileId, bytes: &[u8]) -> io::Result<()> {
        // Power may be lost before or after the write takes effect, so a failing call still writes.
        let mut error = self.call(Call::Append).err();
        let mut state = self.lock();
        let free_bytes =
            state.fault.capacity.map_or(bytes.len(), |capacity| capacity.saturating_sub(state.used_bytes()));
        if free_bytes < bytes.len() {
            error = Some(self.fail(&mut state));
        }
        let file = &mut state.files[*file];
        file.unsynced_writes.push(file.content.len());
        file.content.extend_from_slice(&bytes[..free_bytes.min(bytes.len())]);
        state.max_used_bytes = state.max_used_bytes.max(state.used_bytes());
        error.map_or(Ok(()), Err)
    }

    fn sync(&self, id: &mut FileId) -> io::Result<()> {
        let error = self.call(Call::Sync).err();
        let mut state = self.lock();
        let file = &mut state.files[*id];
        file.has_failed_sync |= error.is_some();
        if file.has_failed_sync {
            return error.map_or(Ok(()), Err);
        }
        file.synced_bytes = Some(file.content.len());
        file.unsynced_writes = vec![];
        let name = state.names.iter().find(|(_, file)| *file == id).map(|(name, _)| name.clone());
        state.durable_names.insert(name.expect("a synced file has a name"), *id);
        Ok(())
    }

    fn truncate(&self, file: &mut FileId, length: u64) -> io::Result<()> {
        let mut state = self.call(Call::Truncate)?;
        let file = &mut state.files[*file];
        file.content.truncate(length as usize);
        file.unsynced_writes.retain(|start| *start < length as usize);
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.call(Call::Rename)?;
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.into(), file);
        state.unsynced_changes.push(NameChange { old_name: from.into(), file, new_name: Some(to.into()) });
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.call(Call::Remove)?;
        let file = state.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
        state.unsynced_changes.push(NameChange { old_name: name.into(), file, new_name: None });
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let error = self.call(Call::SyncDirectory).err();
        let mut state = self.lock();
        // Later syncs do not make changes durable that a failed sync has dropped.
        let has_succeeded = error.is_none();
        state.apply_name_changes(|state| has_succeeded || state.one_in(2));
        error.map_or(Ok(()), Err)
    }
}
