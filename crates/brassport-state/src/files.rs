//! The interface to the directory of the state's files. Tests implement it with a simulated disk that loses power.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A directory whose files are addressed by name.
///
/// An implementation guarantees no more than POSIX does: written data is durable once its file is synced, and a
/// created, renamed or removed name once the directory is synced.
pub trait Files {
    /// An open file.
    type File: StorageBackend;

    /// Opens an existing file.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`] if the file does not exist, or the error of the operating system.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Creates an empty file and replaces an existing file with the same name.
    ///
    /// # Errors
    /// The error of the operating system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Returns the file's length in bytes, or `None` if the file does not exist.
    ///
    /// # Errors
    /// The error of the operating system.
    fn length(&self, name: &str) -> io::Result<Option<u64>>;

    /// Renames a file and replaces an existing file named `to`.
    ///
    /// # Errors
    /// The error of the operating system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file. A file that does not exist is not an error.
    ///
    /// # Errors
    /// The error of the operating system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Syncs the directory, which makes created, renamed and removed names durable.
    ///
    /// # Errors
    /// The error of the operating system.
    fn sync(&self) -> io::Result<()>;

    /// Returns the file's path as shown in messages.
    fn describe(&self, name: &str) -> String;
}

/// A directory in the file system. Files that it creates have mode 0600.
#[derive(Debug, Clone)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// Opens an existing directory.
    ///
    /// # Errors
    /// The error of the operating system.
    pub fn open(path: &Path) -> io::Result<Directory> {
        if !fs::metadata(path)?.is_dir() {
            return Err(io::ErrorKind::NotADirectory.into());
        }
        Ok(Directory { path: path.to_path_buf() })
    }
}

impl Files for Directory {
    type File = FileBackend;

    fn open(&self, name: &str) -> io::Result<FileBackend> {
        let file = OpenOptions::new().read(true).write(true).open(self.path.join(name))?;
        FileBackend::new(file).map_err(io::Error::other)
    }

    fn create(&self, name: &str) -> io::Result<FileBackend> {
        self.remove(name)?;
        let mut options = OpenOptions::new();
        let file = options.read(true).write(true).create_new(true).mode(0o600).open(self.path.join(name))?;
        FileBackend::new(file).map_err(io::Error::other)
    }

    fn length(&self, name: &str) -> io::Result<Option<u64>> {
        match fs::metadata(self.path.join(name)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn describe(&self, name: &str) -> String {
        self.path.join(name).display().to_string()
    }
}
