//! The few calls that the store makes on its folder, so that tests can put a disk in its place that loses
//! power.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder on a disk. Names are those of files in it.
pub(crate) trait Disk {
    type File;

    /// Where the folder, or a file in it, is; for errors.
    fn path(&self, name: &str) -> PathBuf;
    /// The names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// All bytes of a file; `None` where there is no such file.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Makes a file, or empties it.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Appends to a file. A call that fails may have written a part.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was written to a file last. Once it has failed for a file, what it says of that file later
    /// means nothing.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// Cuts a file to a length, to give back the room behind it. Nothing is written to the file afterwards.
    fn cut(&self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// Renames a file; a file of the new name is replaced.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes renames and removals last.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the operating system.
#[derive(Debug)]
pub(crate) struct Folder(PathBuf);

impl Folder {
    /// Opens the folder; makes it where there is none.
    pub(crate) fn open(path: &Path) -> io::Result<Folder> {
        if !path.is_dir() {
            std::fs::create_dir_all(path)?;
            // Danger: a folder that does not last takes all its files with it.
            let above = path.parent().filter(|above| !above.as_os_str().is_empty());
            File::open(above.unwrap_or(Path::new(".")))?.sync_all()?;
        }
        Ok(Folder(path.to_owned()))
    }
}

impl Disk for Folder {
    type File = File;

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let names = std::fs::read_dir(&self.0)?.map(|entry| entry.map(|e| e.file_name().into_string().ok()));
        names.filter_map(Result::transpose).collect()
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.0.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, name: &str) -> io::Result<File> {
        File::create(self.0.join(name))
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn cut(&self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
