//! Errors of reading, writing and changing a state.

use super::FORMAT;
use crate::model::Refusal;
use std::error::Error;
use std::fmt;
use std::io;

/// The reason why a state or log file can't be read or written. Each message names the file, and most
/// give a remedy.
#[derive(Debug)]
pub enum StoreError {
    /// The file does not exist.
    Missing {
        /// The file's path.
        file: String,
    },
    /// A file with this name exists already.
    Exists {
        /// The file's path.
        file: String,
    },
    /// The file is empty. No version of the program leaves an empty file behind.
    Empty {
        /// The file's path.
        file: String,
    },
    /// Another process has the file open.
    InUse {
        /// The file's path.
        file: String,
    },
    /// The file's format is newer than [`FORMAT`].
    Newer {
        /// The file's path.
        file: String,
        /// The file's format version.
        format: u64,
    },
    /// The file is damaged.
    Corrupt {
        /// The file's path.
        file: String,
        /// A description of the damage.
        detail: String,
    },
    /// The operating system reported an error.
    Io {
        /// The failed operation as a verb phrase; the message continues with the file's path.
        doing: &'static str,
        /// The file's path.
        file: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// An earlier write failed. The file's content is uncertain until it is opened again, so all writes are rejected.
    Broken {
        /// The file's path.
        file: String,
        /// The text of the first write error.
        first: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Missing { file } => {
                write!(f, "{file} is not there: make one with `init`, or bring a backup back with `restore`")
            }
            StoreError::Exists { file } => write!(f, "{file} is there already, and is left as it is"),
            StoreError::Empty { file } => write!(
                f,
                "{file} is empty, which no version of this program leaves behind: bring a backup back with \
                 `restore`, or move the file away and `init` anew"
            ),
            StoreError::InUse { file } => write!(f, "{file} is in use by another process"),
            StoreError::Newer { file, format } => write!(
                f,
                "{file} was written by a newer version (format {format}, this one reads {FORMAT}): use that \
                 version, or `restore` a backup that this one wrote"
            ),
            StoreError::Corrupt { file, detail } => write!(
                f,
                "{file} is damaged ({detail}); nothing was changed in it: keep a copy, then bring a backup back with \
                 `restore`"
            ),
            StoreError::Io { doing, file, error } => {
                write!(f, "cannot {doing} {file}: {error}")?;
                f.write_str(match error.kind() {
                    io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => "; free space there, then restart",
                    io::ErrorKind::ReadOnlyFilesystem => "; make the disk writable, then restart",
                    io::ErrorKind::PermissionDenied => "; its directory and it must belong to who runs this program",
                    _ => "",
                })
            }
            StoreError::Broken { file, first } => write!(
                f,
                "{file} takes no more changes since a write failed ({first}): traffic goes on with the list as it \
                 was; mend the disk, then restart"
            ),
        }
    }
}

impl Error for StoreError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StoreError::Io { error, .. } => Some(error),
            _ => None,
        }
    }
}

/// The reason why a change was not made.
#[derive(Debug)]
pub enum ChangeError {
    /// The change was rejected and the state is unchanged.
    Refused(Refusal),
    /// The file can't be written. Whether the change was made is known only when the file is opened again. A repeated
    /// request with the same id is safe: the change is made at most once.
    Store(StoreError),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::Refused(refusal) => refusal.fmt(f),
            ChangeError::Store(error) => error.fmt(f),
        }
    }
}

impl Error for ChangeError {
    // The message is already that of the inner error, so the source is the inner error's source.
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ChangeError::Refused(refusal) => refusal.source(),
            ChangeError::Store(error) => error.source(),
        }
    }
}
