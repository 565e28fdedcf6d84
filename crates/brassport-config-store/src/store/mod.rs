//! A voter's store: the disk's number, what the voter promised and accepted, and the state, in one SQLite file. Every
//! record is synced before [`Store::append`] returns. It has one owner; the host gives it a thread, so that a disk that
//! hangs delays nobody else.

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

/// The format of the file. One of format 1 is converted when it is opened; any other is rejected.
const FORMAT: u32 = 2;
/// Most bytes of the file. With its write-ahead log, which takes some 4 MB, it never fills a disk of 64 MB.
const MAX_FILE_BYTES: u64 = 40 << 20;
/// Bytes of one page of the file: SQLite's default.
const PAGE_BYTES: u64 = 4096;
/// SQLite's page cache, as it wants it: negative, in KiB. The state is one row, so there is little to cache.
const CACHE_SIZE_KIB: i32 = -512;
/// The file's name in the data folder. It is an older name of the log, kept for the stores that are in service.
pub const FILE_NAME: &str = "timetable.sqlite";

/// A voter's file.
#[derive(Debug)]
pub struct Store {
    file: PathBuf,
    connection: Connection,
    disk: DiskId,
    /// Whether a record failed to be written: what comes after it would stand on a gap, until a snapshot is written.
    has_gap: bool,
}

impl Store {
    /// Opens the store of a folder, or creates one there with this number.
    ///
    /// # Errors
    /// The disk refuses, or the file is not of this format.
    pub fn open(folder: &Path, new_disk: DiskId) -> Result<(Store, DurableState), StoreError> {
        Store::open_with_limit(folder, new_disk, MAX_FILE_BYTES)
    }

    /// As [`open`](Store::open), for a file of so many bytes at the most: what exceeds them is refused as by a full disk.
    ///
    /// # Errors
    /// As there.
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

    /// Marks a new file with its format and number, and converts one of format 1.
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

    /// The number that this disk was given.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// The state that the records so far amount to.
    ///
    /// # Errors
    /// The disk refuses, or a record can't be read.
    pub fn recover(&self) -> Result<DurableState, StoreError> {
        let promised: Term = self.decoded(self.rows().meta(META_PROMISED))?.unwrap_or_default();
        let state: Option<ReplicatedState> = self.decoded(self.rows().state())?;
        let state = state.unwrap_or_else(ReplicatedState::empty);
        let (state, accepted) = self.replay(state, self.rows().log()?)?;
        let promised = accepted.as_ref().map_or(promised, |accepted| promised.max(accepted.term));
        Ok(DurableState { promised, state, accepted })
    }

    /// Applies the log's entries to a state, but for the last, if that is only accepted.
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
            // What stands before another was committed when that one was accepted.
            if row.is_committed || number + 1 < last {
                state.apply(&entry);
            } else {
                accepted = Some(AcceptedEntry { term: self.decoded(row.term())?, entry });
            }
        }
        Ok((state, accepted))
    }

    /// Appends a record; it is on disk when this returns.
    ///
    /// # Errors
    /// The disk refuses; nothing of the record is kept, and none is taken after it until one is a snapshot.
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

    /// Names the file in the error of what could not be decoded.
    fn decoded<T>(&self, result: Result<T, DecodeError>) -> Result<T, StoreError> {
        result.map_err(|error| match error {
            DecodeError::Sqlite(error) => StoreError::Sqlite(error),
            DecodeError::Cbor(what) => self.corrupt(what),
        })
    }

    fn corrupt(&self, what: String) -> StoreError {
        StoreError::Corrupt { file: self.file.clone(), what }
    }
}

/// Opens the file, with what makes each commit durable, and its tables.
fn connect(file: &Path, max_bytes: u64) -> Result<Connection, rusqlite::Error> {
    let connection = Connection::open(file)?;
    // Exclusive: the index of the write-ahead log stays in this process's memory.
    connection.pragma_update(None, "locking_mode", "exclusive")?;
    connection.pragma_update(None, "journal_mode", "wal")?;
    connection.pragma_update(None, "synchronous", "full")?;
    connection.pragma_update(None, "cache_size", CACHE_SIZE_KIB)?;
    connection.pragma_update(None, "max_page_count", max_bytes / PAGE_BYTES)?;
    rows::create_tables(&connection)?;
    Ok(connection)
}

/// Syncs the folder's own entries. Guards against a loss of power that takes a file whose content was synced.
fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    std::fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|error| StoreError::SyncFolder { folder: folder.to_owned(), error })
}
