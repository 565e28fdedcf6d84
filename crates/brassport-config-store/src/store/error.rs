//! Errors of the store.

use super::FORMAT;
use std::path::PathBuf;

/// An error of opening a store, or of reading or writing its records.
#[derive(Debug, miette::Diagnostic)]
pub enum StoreError {
    /// The file has a format that this program does not support.
    #[diagnostic(help(
        "start the program that wrote it, or move the file away: a voter without it is let in anew"
    ))]
    UnsupportedFormat {
        /// The path of the file.
        file: PathBuf,
        /// The format of the file.
        found: u32,
    },
    /// The content of the file is inconsistent or can't be decoded.
    #[diagnostic(help("move the file away: a voter without it is let in anew by the others"))]
    Corrupt {
        /// The path of the file.
        file: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The data folder can't be synced.
    #[diagnostic(help("see to the disk, and to the rights on the folder"))]
    SyncFolder {
        /// The path of the folder.
        folder: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// SQLite can't read or write the file, for example because the disk is full or has failed.
    #[diagnostic(help("make room, or see to the disk; what was not kept was not promised"))]
    Sqlite(rusqlite::Error),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::UnsupportedFormat { file, found } => {
                write!(f, "{}: format {found}, this program writes {FORMAT}", file.display())
            }
            StoreError::Corrupt { file, reason } => write!(f, "{}: {reason}", file.display()),
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
