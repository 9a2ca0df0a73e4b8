//! Changes of the settings file.

use std::fs::Metadata;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use crate::settings::read;
use crate::{Error, Settings};

/// A file changed so short a time ago may change again without its stamp showing it.
const FRESH: Duration = Duration::from_secs(2);

/// Tells of changes of a settings file.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    seen: Seen,
}

/// What was seen of the file last.
#[derive(Debug)]
enum Seen {
    /// Not looked at yet.
    Nothing,
    /// It could not be read, and that was told.
    Unreadable,
    /// These bytes. `settled`: an equal stamp means equal bytes.
    Bytes { stamp: Stamp, settled: bool, bytes: Vec<u8> },
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Stamp {
    file: u64,
    length: u64,
    seconds: i64,
    nanos: i64,
}

impl Stamp {
    fn of(meta: &Metadata) -> Stamp {
        Stamp { file: meta.ino(), length: meta.size(), seconds: meta.mtime(), nanos: meta.mtime_nsec() }
    }
}

impl Watch {
    /// Watches the file at `path`. It need not exist yet. Nothing is read until [`Watch::changed`].
    pub fn new(path: impl AsRef<Path>) -> Watch {
        Watch { path: path.as_ref().to_owned(), seen: Seen::Nothing }
    }

    /// `None` where the file is as it was at the last call; else its settings, or why they cannot be taken:
    /// the caller then keeps those it has. Each change is told once, a bad file too. The first call always
    /// tells; so no change is missed between reading the settings first and watching them.
    ///
    /// Does not wait; meant to be called once a second and at SIGHUP. A file that is caught half written is
    /// told as it is, and told again at the next call once it is whole; writers do better to rename.
    pub fn changed(&mut self) -> Option<Result<Settings, Error>> {
        // The stamp is taken before the bytes: a change in between shows at the next call, at the latest.
        let meta = std::fs::metadata(&self.path).ok();
        let stamp = meta.as_ref().map(Stamp::of);
        if let Seen::Bytes { stamp: old, settled: true, .. } = &self.seen {
            if Some(*old) == stamp {
                return None;
            }
        }
        match (read(&self.path), meta, stamp) {
            (Ok(bytes), Some(meta), Some(stamp)) => self.saw(stamp, settled(&meta), bytes),
            // It came between the two looks: taken at the next call.
            (Ok(_), ..) => None,
            (Err(error), ..) => self.missed(error),
        }
    }

    fn saw(&mut self, stamp: Stamp, settled: bool, bytes: Vec<u8>) -> Option<Result<Settings, Error>> {
        let same = matches!(&self.seen, Seen::Bytes { bytes: old, .. } if *old == bytes);
        let told = (!same).then(|| Settings::from_bytes(&bytes));
        self.seen = Seen::Bytes { stamp, settled, bytes };
        told
    }

    fn missed(&mut self, error: Error) -> Option<Result<Settings, Error>> {
        let told = !matches!(self.seen, Seen::Unreadable);
        self.seen = Seen::Unreadable;
        told.then_some(Err(error))
    }
}

/// Whether the file's last change is so long ago that a further one shows in its time. Danger: two changes in
/// one tick of the file system's clock that keep the length have the same stamp; the second would be missed
/// for good. A time in the future, after a clock was set back, is never settled.
fn settled(meta: &Metadata) -> bool {
    let age = meta.modified().ok().and_then(|at| SystemTime::now().duration_since(at).ok());
    age.is_some_and(|age| age > FRESH)
}
