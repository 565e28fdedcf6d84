//! What the state's file and the log's file have in common: how a redb file is created, opened and written.

use crate::files::Files;
use crate::mutants::mutant;
use crate::store::StoreError;
use redb::{Builder, Database, DatabaseError, Durability, StorageBackend, WriteTransaction};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Pages that are cached in memory, in bytes. What is read often is in memory as plain data already.
const CACHE_BYTES: usize = 1 << 20;

/// The error for what redb reports.
pub(crate) fn store_error(doing: &'static str, file: &str, error: impl Into<redb::Error>) -> StoreError {
    let file = file.to_string();
    match error.into() {
        redb::Error::DatabaseAlreadyOpen => StoreError::InUse { file },
        redb::Error::UpgradeRequired(format) => {
            StoreError::Corrupt { file, detail: format!("its page format {format} is not this version's") }
        }
        redb::Error::Io(error) if error.kind() == io::ErrorKind::InvalidData => {
            StoreError::Corrupt { file, detail: error.to_string() }
        }
        redb::Error::Io(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            StoreError::Corrupt { file, detail: "it ends too early".into() }
        }
        redb::Error::Io(error) => StoreError::Io { doing, file, error },
        redb::Error::PreviousIo => {
            StoreError::Io { doing, file, error: io::Error::other("a write failed before") }
        }
        other => StoreError::Corrupt { file, detail: other.to_string() },
    }
}

/// The error for a row that can't be decoded.
pub(crate) fn undecodable(error: &serde_json::Error) -> redb::Error {
    redb::Error::Corrupted(format!("a row makes no sense: {error}"))
}

/// Fails if a file of that name exists.
pub(crate) fn check_absent<F: Files>(files: &F, name: &str) -> Result<(), StoreError> {
    let file = || files.describe(name);
    let io = |error| StoreError::Io { doing: "look at", file: file(), error };
    match files.length(name).map_err(io)? {
        Some(_) => Err(StoreError::Exists { file: file() }),
        None => Ok(()),
    }
}

/// Creates a file atomically: written under another name, synced, then renamed.
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
        files.rename(&new, name).map_err(|error| io("name", error))?;
        files.sync().map_err(|error| io("sync the directory of", error))?;
    }
    let database = Builder::new()
        .set_cache_size(CACHE_BYTES)
        .create_with_backend(file)
        .map_err(|error| write_error(error.into()))?;
    write(&database).map_err(write_error)?;
    // Closing is a write too: it marks the file as closed in order.
    drop(database);
    if !mutant!(RenameBeforeSync) {
        // Whether what closing wrote is durable shows only here: closing reports no error.
        sync_file(files, &new).map_err(|error| io("sync", error))?;
        files.rename(&new, name).map_err(|error| io("name", error))?;
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

/// Opens an existing file that isn't empty.
pub(crate) fn open_file<F: Files>(files: &F, name: &str) -> Result<F::File, StoreError> {
    let file = files.describe(name);
    match files.length(name) {
        Err(error) => return Err(StoreError::Io { doing: "open", file, error }),
        Ok(None) => return Err(StoreError::Missing { file }),
        // Guards against a silent start from nothing: redb takes an empty file for a new one.
        Ok(Some(0)) => return Err(StoreError::Empty { file }),
        Ok(Some(_)) => {}
    }
    files.open(name).map_err(|error| match error.kind() {
        io::ErrorKind::WouldBlock => StoreError::InUse { file },
        // The lock that redb takes on the file reports its conflict by this text alone.
        _ if error.to_string().contains("already open") => StoreError::InUse { file },
        _ => StoreError::Io { doing: "open", file, error },
    })
}

/// Opens the database in a file, with a check of every page.
pub(crate) fn open_database(file: impl StorageBackend) -> Result<Database, DatabaseError> {
    Builder::new()
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(!mutant!(ChecksumIgnored))
        .create_with_backend(file)
}

/// Guards against a page that is damaged in such a way that redb panics: that is damage, too.
pub(crate) fn catch_panic<T>(
    file: &str,
    open: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(open)).unwrap_or_else(|_| {
        Err(StoreError::Corrupt { file: file.to_string(), detail: "reading it ends in a panic".to_string() })
    })
}

/// Begins a transaction whose commit is durable when it returns.
pub(crate) fn begin_write(database: &Database) -> Result<WriteTransaction, redb::Error> {
    let mut transaction = database.begin_write()?;
    // Guards an acknowledged change against a later flaw in its pages: in two phases the header never points to what
    // was not durable before it, so a page that does not fit its checksum is damage and no torn commit to be undone.
    transaction.set_two_phase_commit(!mutant!(OnePhaseCommit));
    if mutant!(AcknowledgeBeforeSync) {
        transaction.set_durability(Durability::None)?;
    }
    Ok(transaction)
}
