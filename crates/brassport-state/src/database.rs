//! Creating, opening and writing the redb files of the state and of the replicated log.

use crate::files::Files;
use crate::mutants::mutant;
use crate::store::StoreError;
use redb::{Builder, Database, DatabaseError, Durability, StorageBackend, WriteTransaction};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Size of redb's page cache in bytes. It can be small, as frequently read data is in memory in decoded form.
const CACHE_BYTES: usize = 1 << 20;

/// Converts a redb error; `doing` is the failed operation, as a verb.
pub(crate) fn store_error(doing: &'static str, file: &str, error: impl Into<redb::Error>) -> StoreError {
    let file = file.to_string();
    match error.into() {
        redb::Error::DatabaseAlreadyOpen => StoreError::InUse { file },
        redb::Error::UpgradeRequired(format) => StoreError::Corrupt {
            file,
            detail: format!("page format {format} is not supported by this version"),
        },
        redb::Error::Io(error) if error.kind() == io::ErrorKind::InvalidData => {
            StoreError::Corrupt { file, detail: error.to_string() }
        }
        redb::Error::Io(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            StoreError::Corrupt { file, detail: "unexpected end of file".into() }
        }
        redb::Error::Io(error) => StoreError::Io { doing, file, error },
        redb::Error::PreviousIo => {
            StoreError::Io { doing, file, error: io::Error::other("an earlier write failed") }
        }
        other => StoreError::Corrupt { file, detail: other.to_string() },
    }
}

/// Returns the error for a row that can't be decoded.
pub(crate) fn undecodable(error: &serde_json::Error) -> redb::Error {
    redb::Error::Corrupted(format!("a row cannot be decoded: {error}"))
}

/// Returns an error if a file named `name` exists.
pub(crate) fn check_absent<F: Files>(files: &F, name: &str) -> Result<(), StoreError> {
    let file = || files.describe(name);
    let io = |error| StoreError::Io { doing: "check for", file: file(), error };
    match files.length(name).map_err(io)? {
        Some(_) => Err(StoreError::Exists { file: file() }),
        None => Ok(()),
    }
}

/// Creates a file atomically: writes it under a temporary name, syncs it and renames it.
pub(crate) fn create_atomically<F: Files>(
    files: &F,
    name: &str,
    write: impl FnOnce(&Database) -> Result<(), redb::Error>,
) -> Result<(), StoreError> {
    let new = format!("{name}.new");
    let io = |doing, error| StoreError::Io { doing, file: files.describe(name), error };
    let write_error = |error: redb::Error| store_error("write", &files.describe(&new), error);
    let file = files.create(&new).map_err(|error| io("create", error))?;
    if mutant!(RenameBeforeSync) {
        files.rename(&new, name).map_err(|error| io("rename the new file to", error))?;
        files.sync().map_err(|error| io("sync the directory of", error))?;
    }
    let database = Builder::new()
        .set_cache_size(CACHE_BYTES)
        .create_with_backend(file)
        .map_err(|error| write_error(error.into()))?;
    write(&database).map_err(write_error)?;
    // Closing the database also writes: it marks the file as cleanly closed.
    drop(database);
    if !mutant!(RenameBeforeSync) {
        // Closing reports no error, so only this sync shows whether its writes are durable.
        sync_file(files, &new).map_err(|error| io("sync", error))?;
        files.rename(&new, name).map_err(|error| io("rename the new file to", error))?;
        if !mutant!(NoDirectorySync) {
            files.sync().map_err(|error| io("sync the directory of", error))?;
        }
    }
    Ok(())
}

fn sync_file<F: Files>(files: &F, name: &str) -> io::Result<()> {
    let file = files.open(name)?;
    file.sync_data()?;
    file.close()
}

/// Opens an existing file that is not empty.
pub(crate) fn open_file<F: Files>(files: &F, name: &str) -> Result<F::File, StoreError> {
    let file = files.describe(name);
    match files.length(name) {
        Err(error) => return Err(StoreError::Io { doing: "open", file, error }),
        Ok(None) => return Err(StoreError::Missing { file }),
        // redb initializes an empty file as a new database, which would silently discard the state.
        Ok(Some(0)) => return Err(StoreError::Empty { file }),
        Ok(Some(_)) => {}
    }
    files.open(name).map_err(|error| match error.kind() {
        io::ErrorKind::WouldBlock => StoreError::InUse { file },
        // redb reports a conflict over its file lock only by this text.
        _ if error.to_string().contains("already open") => StoreError::InUse { file },
        _ => StoreError::Io { doing: "open", file, error },
    })
}

/// Opens the database in a file and verifies every page.
pub(crate) fn open_database(file: impl StorageBackend) -> Result<Database, DatabaseError> {
    Builder::new()
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(!mutant!(ChecksumIgnored))
        .create_with_backend(file)
}

/// Reports a panic while opening as a damaged file, as redb panics on some kinds of damaged pages.
pub(crate) fn catch_panic<T>(
    file: &str,
    open: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(open)).unwrap_or_else(|_| {
        Err(StoreError::Corrupt { file: file.to_string(), detail: "reading it caused a panic".to_string() })
    })
}

/// Begins a write transaction whose `commit` returns only once the data is durable.
pub(crate) fn begin_write(database: &Database) -> Result<WriteTransaction, redb::Error> {
    let mut transaction = database.begin_write()?;
    // With a two-phase commit, the header never points to pages that were not durable before it. A checksum mismatch is
    // therefore damage and is reported as such, instead of being taken for a torn commit and rolled back, which would
    // lose an acknowledged change.
    transaction.set_two_phase_commit(!mutant!(OnePhaseCommit));
    if mutant!(AcknowledgeBeforeSync) {
        transaction.set_durability(Durability::None)?;
    }
    Ok(transaction)
}
