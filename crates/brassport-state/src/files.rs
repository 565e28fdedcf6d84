//! The seam to the directory that the files of the state are in; tests implement it by a disk that loses power.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A directory of files, addressed by name.
///
/// An implementation guarantees what POSIX does, and no more: what was written is durable once the file is synced, a
/// name once the directory is.
pub trait Files {
    /// An open file.
    type File: StorageBackend;

    /// Opens an existing file.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`] if there is none, or the error of the system.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Creates an empty file, replacing one of that name.
    ///
    /// # Errors
    /// The error of the system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// The length in bytes, or `None` if there is no such file.
    ///
    /// # Errors
    /// The error of the system.
    fn length(&self, name: &str) -> io::Result<Option<u64>>;

    /// Renames a file, replacing one of the new name.
    ///
    /// # Errors
    /// The error of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; that there is none is no error.
    ///
    /// # Errors
    /// The error of the system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names durable.
    ///
    /// # Errors
    /// The error of the system.
    fn sync(&self) -> io::Result<()>;

    /// The file's path for people, in messages.
    fn describe(&self, name: &str) -> String;
}

/// A directory of the file system. Files that it creates are readable by their owner alone.
#[derive(Debug, Clone)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// Opens an existing directory.
    ///
    /// # Errors
    /// The error of the system.
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
