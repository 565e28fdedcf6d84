//! A voter's durable store: the number of the disk, the voter's promises and acceptances, and the replicated state, in
//! one SQLite file. Every record is synced before [`Store::append`] returns. The store has a single owner. The host
//! runs this owner on a separate thread, so that a hanging disk blocks only that thread.

mod error;
mod migration;
mod rows;

pub use error::StoreError;

use crate::consensus::{
    AcceptedEntry, CommittedEntry, DiskId, DurableState, Entry, Record, ReplicatedState, Term,
};
use rows::{DecodeError, LogRow, Rows, META_DISK, META_FORMAT, META_PROMISED};
use rusqlite::Connection;
use std::path::{Path, PathBuf};

/// The format of the file. A file of format 1 is migrated when it is opened; any other format is rejected.
const FORMAT: u32 = 2;
/// Maximum size of the file in bytes. Together with the write-ahead log, which takes about 4 MB, it does not fill a
/// disk of 64 MB.
const MAX_FILE_BYTES: u64 = 40 << 20;
/// Page size of the file in bytes: SQLite's default.
const PAGE_BYTES: u64 = 4096;
/// SQLite's `cache_size`, where a negative value is a size in KiB. The state is a single row, so there is little to
/// cache.
const CACHE_SIZE_KIB: i32 = -512;
/// The name of the file in the data folder. "Timetable" is a former name of the log, kept for existing stores.
pub const FILE_NAME: &str = "timetable.sqlite";

/// A voter's durable store.
#[derive(Debug)]
pub struct Store {
    file: PathBuf,
    connection: Connection,
    disk: DiskId,
    /// Whether a write has failed. Records after it would leave a gap in the log, so only a snapshot is accepted next.
    has_gap: bool,
}

impl Store {
    /// Opens the store in a folder, or creates one with the disk number `new_disk`.
    ///
    /// # Errors
    /// The disk can't be read or written, or the file is corrupt or has an unsupported format.
    pub fn open(folder: &Path, new_disk: DiskId) -> Result<(Store, DurableState), StoreError> {
        Store::open_with_limit(folder, new_disk, MAX_FILE_BYTES)
    }

    /// Like [`open`](Store::open), with the size of the file limited to `max_bytes`. A write that exceeds the limit
    /// fails as it does on a full disk.
    ///
    /// # Errors
    /// The same as for [`open`](Store::open).
    pub fn open_with_limit(
        folder: &Path,
        new_disk: DiskId,
        max_bytes: u64,
    ) -> Result<(Store, DurableState), StoreError> {
        let file = folder.join(FILE_NAME);
        let connection = connect(&file, max_bytes)?;
        let mut store = Store { file, connection, disk: new_disk, has_gap: false };
        store.check_format()?;
        sync_folder(folder)?;
        let disk = store.rows().meta(META_DISK);
        store.disk = store.decoded(disk)?.ok_or_else(|| store.corrupt("it has no number".to_owned()))?;
        let found = store.recover()?;
        Ok((store, found))
    }

    /// Writes format and disk number to a new file, and migrates a file of format 1.
    fn check_format(&mut self) -> Result<(), StoreError> {
        let format = self.rows().meta::<u32>(META_FORMAT);
        match self.decoded(format)? {
            Some(FORMAT) => Ok(()),
            Some(migration::SHORT_DIGEST_FORMAT) => self.migrate(),
            Some(found) => Err(StoreError::UnsupportedFormat { file: self.file.clone(), found }),
            None => {
                let transaction = self.connection.transaction()?;
                Rows(&transaction).put_meta(META_FORMAT, &FORMAT)?;
                Rows(&transaction).put_meta(META_DISK, &self.disk)?;
                Ok(transaction.commit()?)
            }
        }
    }

    fn migrate(&mut self) -> Result<(), StoreError> {
        let old = migration::read_short_digest_state(&self.rows());
        let old = self.decoded(old)?;
        let transaction = self.connection.transaction()?;
        if let Some(old) = old {
            Rows(&transaction).put_state(&old.into())?;
        }
        Rows(&transaction).put_meta(META_FORMAT, &FORMAT)?;
        Ok(transaction.commit()?)
    }

    /// The number assigned to this disk.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// The durable state that results from all records.
    ///
    /// # Errors
    /// The disk can't be read, or a record can't be decoded.
    pub fn recover(&self) -> Result<DurableState, StoreError> {
        let promised: Term = self.decoded(self.rows().meta(META_PROMISED))?.unwrap_or_default();
        let state: Option<ReplicatedState> = self.decoded(self.rows().state())?;
        let state = state.unwrap_or_else(ReplicatedState::empty);
        let (state, accepted) = self.replay(state, self.rows().log()?)?;
        let promised = accepted.as_ref().map_or(promised, |accepted| promised.max(accepted.term));
        Ok(DurableState { promised, state, accepted })
    }

    /// Applies the entries of the log to a state, except the last one if it is accepted but not known to be committed.
    fn replay(
        &self,
        mut state: ReplicatedState,
        rows: Vec<LogRow>,
    ) -> Result<(ReplicatedState, Option<AcceptedEntry>), StoreError> {
        let mut accepted = None;
        let last = rows.len();
        for (number, row) in rows.into_iter().enumerate() {
            let entry: Entry = self.decoded(row.entry())?;
            if row.index != state.index + 1 {
                let gap = format!("index {} stands behind index {}", row.index.0 as i64, state.index);
                return Err(self.corrupt(gap));
            }
            // An entry is accepted only after the entry before it was committed.
            if row.is_committed || number + 1 < last {
                state.apply(&entry);
            } else {
                accepted = Some(AcceptedEntry { term: self.decoded(row.term())?, entry });
            }
        }
        Ok((state, accepted))
    }

    /// Appends a record, which is synced to disk when this returns.
    ///
    /// # Errors
    /// The write failed: nothing of the record is stored, and every later record is rejected until a snapshot is
    /// written.
    pub fn append(&mut self, record: &Record) -> Result<(), StoreError> {
        if self.has_gap && !matches!(record, Record::Snapshot(_)) {
            return Err(self.corrupt("a record before this one was not kept".to_owned()));
        }
        let written = self.write(record);
        self.has_gap = written.is_err();
        written
    }

    fn write(&mut self, record: &Record) -> Result<(), StoreError> {
        let transaction = self.connection.transaction()?;
        let rows = Rows(&transaction);
        match record {
            Record::Promised(term) => rows.put_meta(META_PROMISED, term)?,
            Record::Accepted { term, index, entry } => {
                rows.put_meta(META_PROMISED, term)?;
                rows.put_entry(&LogRow::accepted(*index, *term, entry))?;
            }
            Record::Committed(CommittedEntry { index, entry }) => {
                rows.put_entry(&LogRow::committed(*index, entry))?;
            }
            Record::Snapshot(DurableState { promised, state, accepted }) => {
                rows.put_meta(META_PROMISED, promised)?;
                rows.put_state(state)?;
                rows.clear_log()?;
                if let Some(AcceptedEntry { term, entry }) = accepted {
                    rows.put_entry(&LogRow::accepted(state.index + 1, *term, entry))?;
                }
            }
        }
        Ok(transaction.commit()?)
    }

    fn rows(&self) -> Rows<'_> {
        Rows(&self.connection)
    }

    /// Adds the path of the file to a decoding error.
    fn decoded<T>(&self, result: Result<T, DecodeError>) -> Result<T, StoreError> {
        result.map_err(|error| match error {
            DecodeError::Sqlite(error) => StoreError::Sqlite(error),
            DecodeError::Cbor(reason) => self.corrupt(reason),
        })
    }

    fn corrupt(&self, reason: String) -> StoreError {
        StoreError::Corrupt { file: self.file.clone(), reason }
    }
}

/// Opens the file with settings that make each commit durable, and creates its tables if they are missing.
fn connect(file: &Path, max_bytes: u64) -> Result<Connection, rusqlite::Error> {
    let connection = Connection::open(file)?;
    // In exclusive mode, the index of the write-ahead log is kept in this process's memory instead of a file.
    connection.pragma_update(None, "locking_mode", "exclusive")?;
    connection.pragma_update(None, "journal_mode", "wal")?;
    connection.pragma_update(None, "synchronous", "full")?;
    connection.pragma_update(None, "cache_size", CACHE_SIZE_KIB)?;
    connection.pragma_update(None, "max_page_count", max_bytes / PAGE_BYTES)?;
    rows::create_tables(&connection)?;
    Ok(connection)
}

/// Syncs the folder's directory entries. Otherwise, a new file may be missing after a power failure although its
/// content was synced.
fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    std::fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|error| StoreError::SyncFolder { folder: folder.to_owned(), error })
}
