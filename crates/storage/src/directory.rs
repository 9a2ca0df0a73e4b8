//! The file system operations that the store needs. Tests implement them with a simulated disk that fails and loses
//! power.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A directory on a disk. Names refer to files in it.
pub(crate) trait Directory {
    /// An open file.
    type File;

    /// The path of the directory (for the name ""), or of a file in it; for error messages.
    fn path(&self, name: &str) -> PathBuf;
    /// The names of all files, in any order.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The content of a file; `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates a file, or truncates an existing one.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Appends to a file. A call that fails may have written some of the bytes.
    fn append(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<()>;
    /// Makes everything written to a file durable. Once this has failed for a file, later results for the file are
    /// meaningless.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;
    /// Truncates a file to free the space after `length`. The file is not written to afterwards.
    fn truncate(&self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// Renames a file, replacing an existing file of the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes renames and removals durable.
    fn sync_directory(&self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub(crate) struct FsDirectory(PathBuf);

impl FsDirectory {
    /// Opens the directory; creates it if it does not exist.
    pub(crate) fn open(path: &Path) -> io::Result<FsDirectory> {
        if !path.is_dir() {
            std::fs::create_dir_all(path)?;
            // Invariant: the directory is durable before its files are. Otherwise a power loss would remove it with all
            // of them.
            let parent = path.parent().filter(|parent| !parent.as_os_str().is_empty());
            File::open(parent.unwrap_or(Path::new(".")))?.sync_all()?;
        }
        Ok(FsDirectory(path.to_owned()))
    }
}

impl Directory for FsDirectory {
    type File = File;

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.0)?;
        let names = entries.map(|entry| entry.map(|entry| entry.file_name().into_string().ok()));
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

    fn append(&self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn truncate(&self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.0.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}
