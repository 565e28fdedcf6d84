//! Errors of the store.

use super::FORMAT;
use std::path::PathBuf;

/// Why a store can't be used, or a record could not be written.
#[derive(Debug, miette::Diagnostic)]
pub enum StoreError {
    /// The file is of another format.
    #[diagnostic(help(
        "start the program that wrote it, or move the file away: a voter without it is let in anew"
    ))]
    UnsupportedFormat {
        /// The file.
        file: PathBuf,
        /// The format that it has.
        found: u32,
    },
    /// Its content is inconsistent, or can't be decoded.
    #[diagnostic(help("move the file away: a voter without it is let in anew by the others"))]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// What was wrong.
        what: String,
    },
    /// The folder itself can't be synced.
    #[diagnostic(help("see to the disk, and to the rights on the folder"))]
    SyncFolder {
        /// The folder.
        folder: PathBuf,
        /// The error of the system.
        error: std::io::Error,
    },
    /// SQLite can't read or write the file: the disk is full, or failed.
    #[diagnostic(help("make room, or see to the disk; what was not kept was not promised"))]
    Sqlite(rusqlite::Error),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::UnsupportedFormat { file, found } => {
                write!(f, "{}: format {found}, this program writes {FORMAT}", file.display())
            }
            StoreError::Corrupt { file, what } => write!(f, "{}: {what}", file.display()),
            StoreError::SyncFolder { folder, error } => write!(f, "{}: {error}", folder.display()),
            StoreError::Sqlite(error) => write!(f, "the store's disk: {error}"),
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StoreError::UnsupportedFormat { .. } | StoreError::Corrupt { .. } => None,
            StoreError::SyncFolder { error, .. } => Some(error),
            StoreError::Sqlite(error) => Some(error),
        }
    }
}

impl From<rusqlite::Error> for StoreError {
    fn from(error: rusqlite::Error) -> StoreError {
        StoreError::Sqlite(error)
    }
}
