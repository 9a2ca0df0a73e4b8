//! Detects changes to the settings file.

use crate::settings::read_file;
use crate::{Error, Settings};
use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A file modified more recently than this may be modified again without a change to its [`FileStamp`].
const MIN_RELIABLE_AGE: Duration = Duration::from_secs(2);

/// Detects changes to a settings file.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    last_read: LastRead,
}

/// The result of the last attempt to read the file.
#[derive(Debug)]
enum LastRead {
    /// The file has not been read yet.
    Never,
    /// The file could not be read, and the failure has been reported.
    Failed,
    /// The file was read, and its content has been reported.
    Content {
        stamp: FileStamp,
        /// Whether an equal stamp implies equal content.
        is_stamp_reliable: bool,
        bytes: Vec<u8>,
    },
}

/// File metadata used to detect a modification without reading the content.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FileStamp {
    inode: u64,
    bytes: u64,
    modified_seconds: i64,
    modified_nanos: i64,
}

impl FileStamp {
    fn from_metadata(metadata: &Metadata) -> FileStamp {
        FileStamp {
            inode: metadata.ino(),
            bytes: metadata.size(),
            modified_seconds: metadata.mtime(),
            modified_nanos: metadata.mtime_nsec(),
        }
    }
}

impl SettingsWatcher {
    /// Creates a watcher for the file at `path`, which does not need to exist yet. The file is read only by
    /// [`SettingsWatcher::poll`].
    pub fn new(path: impl AsRef<Path>) -> SettingsWatcher {
        SettingsWatcher { path: path.as_ref().to_owned(), last_read: LastRead::Never }
    }

    /// Returns the settings if the file has changed since the last call, or the error if it cannot be read or is
    /// invalid, in which case the caller should keep its current settings. Each change is reported once, including
    /// changes to an invalid file. The first call always reports the file, so that no change between loading and
    /// watching the settings is missed.
    ///
    /// Does not block; intended to be called once per second and on SIGHUP. A partially written file is reported as it
    /// is, and again by a later call once it is complete. To avoid this, replace the file by renaming a complete one.
    pub fn poll(&mut self) -> Option<Result<Settings, Error>> {
        // The metadata is read before the content, so that a change in between is detected by the next call.
        let metadata = std::fs::metadata(&self.path).ok();
        if self.is_known_unchanged(metadata.as_ref()) {
            return None;
        }
        match (read_file(&self.path), metadata) {
            (Ok(bytes), Some(metadata)) => self.record_content(&metadata, bytes),
            // The file was created between the two calls; the next poll reads it.
            (Ok(_), None) => None,
            (Err(error), _) => self.record_failure(error),
        }
    }

    /// Whether the metadata alone proves that the file has not changed.
    fn is_known_unchanged(&self, metadata: Option<&Metadata>) -> bool {
        match &self.last_read {
            LastRead::Content { stamp, is_stamp_reliable: true, .. } => {
                metadata.is_some_and(|metadata| *stamp == FileStamp::from_metadata(metadata))
            }
            _ => false,
        }
    }

    fn record_content(&mut self, metadata: &Metadata, bytes: Vec<u8>) -> Option<Result<Settings, Error>> {
        let is_same = matches!(&self.last_read, LastRead::Content { bytes: last, .. } if *last == bytes);
        let report = if is_same { None } else { Some(Settings::from_bytes(&bytes)) };
        self.last_read = LastRead::Content {
            stamp: FileStamp::from_metadata(metadata),
            is_stamp_reliable: is_stamp_reliable(metadata),
            bytes,
        };
        report
    }

    fn record_failure(&mut self, error: Error) -> Option<Result<Settings, Error>> {
        let is_reported = matches!(self.last_read, LastRead::Failed);
        self.last_read = LastRead::Failed;
        if is_reported {
            return None;
        }
        Some(Err(error))
    }
}

/// Whether the file's modification time is old enough that another modification would change it.
///
/// Invariant: a stamp is relied on only if this holds. Two modifications within one tick of the file system's clock
/// that keep the file's length result in the same stamp, so the second one would never be detected. A modification time
/// in the future, as after a clock was set back, is never relied on.
fn is_stamp_reliable(metadata: &Metadata) -> bool {
    let modified = metadata.modified().ok();
    let age = modified.and_then(|modified| SystemTime::now().duration_since(modified).ok());
    age.is_some_and(|age| age > MIN_RELIABLE_AGE)
}
