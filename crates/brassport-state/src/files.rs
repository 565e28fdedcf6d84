//! The seam to the directory that the state lies in.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// A directory of files, addressed by name.
///
/// The host of an implementation owes what POSIX does, and no more: what was written is durable once the file is
/// synced, a name once the directory is.
pub trait Files {
    /// An open file.
    type File: StorageBackend;

    /// Opens a file that is there.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`], or what the system says.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Makes an empty file, in the place of one that had the name.
    ///
    /// # Errors
    /// What the system says.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// The length in bytes, or `None` if there is no such file.
    ///
    /// # Errors
    /// What the system says.
    fn length(&self, name: &str) -> io::Result<Option<u64>>;

    /// Gives a file another name, in the place of one that had it.
    ///
    /// # Errors
    /// What the system says.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; none of that name is no error.
    ///
    /// # Errors
    /// What the system says.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes the names durable.
    ///
    /// # Errors
    /// What the system says.
    fn sync(&self) -> io::Result<()>;

    /// How a person finds the file.
    fn describe(&self, name: &str) -> String;
}

/// A directory of the system's. Its files are readable by their owner alone.
#[derive(Debug, Clone)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// A directory that is there.
    ///
    /// # Errors
    /// What the system says.
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
