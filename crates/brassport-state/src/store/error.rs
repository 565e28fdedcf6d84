//! Why a state can't be read, written or changed.

use super::FORMAT;
use crate::model::Refusal;
use std::error::Error;
use std::fmt;
use std::io;

/// Why a state or a log can't be read or written. Each text names the file and the way out.
#[derive(Debug)]
pub enum StoreError {
    /// There is no such file.
    Missing {
        /// The file's path.
        file: String,
    },
    /// A file of that name exists already.
    Exists {
        /// The file's path.
        file: String,
    },
    /// The file has no bytes, which no version leaves behind.
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
        /// Its format.
        format: u64,
    },
    /// The file is damaged.
    Corrupt {
        /// The file's path.
        file: String,
        /// What of it.
        detail: String,
    },
    /// The system reports an error.
    Io {
        /// The operation, as a verb.
        doing: &'static str,
        /// The file's path.
        file: String,
        /// The error of the system.
        error: io::Error,
    },
    /// A write failed before: what the file has shows when it is opened again.
    Broken {
        /// The file's path.
        file: String,
        /// The text of the first error.
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

/// Why a change was not made.
#[derive(Debug)]
pub enum ChangeError {
    /// The change was rejected; the state is as it was.
    Refused(Refusal),
    /// The file can't be written. Whether the change was made shows when the file is opened again; requested again under
    /// its id, it is made at most once.
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
    // The text is that of the cause, so the source is the cause's source.
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ChangeError::Refused(refusal) => refusal.source(),
            ChangeError::Store(error) => error.source(),
        }
    }
}
