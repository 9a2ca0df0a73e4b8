//! Notices changes of the settings file.

use crate::settings::read_file;
use crate::{Error, Settings};
use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

/// A file that was changed more recently than this may change again without its stamp showing it.
const MIN_RELIABLE_AGE: Duration = Duration::from_secs(2);

/// Notices changes of a settings file.
#[derive(Debug)]
pub struct SettingsWatcher {
    path: PathBuf,
    last_read: LastRead,
}

/// What the last look at the file found.
#[derive(Debug)]
enum LastRead {
    /// There has been none yet.
    Never,
    /// The file could not be read, which has been reported.
    Failed,
    /// The file's content, which has been reported.
    Content {
        stamp: FileStamp,
        /// Whether an equal stamp means equal content.
        is_stamp_reliable: bool,
        bytes: Vec<u8>,
    },
}

/// What tells a file from its later states without its content being read.
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
    /// Watches the file at `path`, which need not exist yet. Nothing is read before [`SettingsWatcher::poll`].
    pub fn new(path: impl AsRef<Path>) -> SettingsWatcher {
        SettingsWatcher { path: path.as_ref().to_owned(), last_read: LastRead::Never }
    }

    /// `None` if the file is as it was at the last call; else its settings, or why they are rejected: the caller then
    /// keeps those that it has. Each change is reported once, a faulty file too. The first call always reports, so
    /// that no change between loading the settings and watching them is missed.
    ///
    /// Does not wait; meant to be called once a second and at SIGHUP. A file that is found half written is reported
    /// as it is, and again at the next call once it is complete; writers had better rename a complete file.
    pub fn poll(&mut self) -> Option<Result<Settings, Error>> {
        // The stamp is taken before the content: a change in between shows at the next call, at the latest.
        let metadata = std::fs::metadata(&self.path).ok();
        if self.is_known_unchanged(metadata.as_ref()) {
            return None;
        }
        match (read_file(&self.path), metadata) {
            (Ok(bytes), Some(metadata)) => self.record_content(&metadata, bytes),
            // The file appeared between the two looks; the next call reads it.
            (Ok(_), None) => None,
            (Err(error), _) => self.record_failure(error),
        }
    }

    /// Whether the stamp alone shows that the file has not changed.
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

/// Whether the file's last change is so long ago that another one shows in its time of modification.
///
/// Invariant: a stamp is trusted only then. Two changes within one tick of the file system's clock that keep the
/// length have the same stamp, and the second would be missed for good. A time in the future, after a clock was set
/// back, is never trusted.
fn is_stamp_reliable(metadata: &Metadata) -> bool {
    let modified = metadata.modified().ok();
    let age = modified.and_then(|modified| SystemTime::now().duration_since(modified).ok());
    age.is_some_and(|age| age > MIN_RELIABLE_AGE)
}
