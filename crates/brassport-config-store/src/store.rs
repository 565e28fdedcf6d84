//! The store of a voter: its number, what it promised and accepted, and the state, in one SQLite file. Every record is
//! synced before [`Store::keep`] returns. One owner; the host gives it a thread, so that a disk that hangs holds up
//! nobody else.

use crate::consensus::{
    AcceptedEntry, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Record, ReplicatedState,
    ShortDigestState, Term,
};
use rusqlite::{params, Connection, OptionalExtension};
use serde::{de::DeserializeOwned, Serialize};
use std::path::{Path, PathBuf};

/// The format of the file. One of format 1 is converted when it is opened; any other is refused.
const FORMAT: u32 = 2;
/// The format in which orders were remembered by shorter digests.
const SHORT_DIGESTS: u32 = 1;
/// Most bytes of the file, and those of one of its pages.
const MOST: u64 = 40 << 20;
const PAGE: u64 = 4096;
/// The file's name in the data folder.
pub const FILE_NAME: &str = "timetable.sqlite";

/// Why a store can't be used, or did not keep a record.
#[derive(Debug, miette::Diagnostic)]
pub enum StoreError {
    /// The file is of another format.
    #[diagnostic(help(
        "start the program that wrote it, or move the file away: a voter without it is let in anew"
    ))]
    UnsupportedFormat {
        /// The file.
        file: PathBuf,
        /// What it says of itself.
        found: u32,
    },
    /// What is in it makes no sense.
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
        /// What the system said.
        error: std::io::Error,
    },
    /// The disk refuses.
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

impl std::error::Error for StoreError {}

impl From<rusqlite::Error> for StoreError {
    fn from(error: rusqlite::Error) -> StoreError {
        StoreError::Sqlite(error)
    }
}

/// A voter's file.
#[derive(Debug)]
pub struct Store {
    file: PathBuf,
    connection: Connection,
    disk: DiskId,
    /// Whether a record was not kept: what comes behind it would stand on a gap, until all is written anew.
    torn: bool,
}

impl Store {
    /// Opens the store of a folder, or begins one there with this number.
    ///
    /// # Errors
    /// The disk refuses, or the file is none of this format.
    pub fn open(folder: &Path, new_disk: DiskId) -> Result<(Store, DurableState), StoreError> {
        Store::open_with_limit(folder, new_disk, MOST)
    }

    /// As [`open`](Store::open), for a file of so many bytes at the most: what goes beyond is refused as by a full disk.
    ///
    /// # Errors
    /// As there.
    pub fn open_with_limit(
        folder: &Path,
        new_disk: DiskId,
        most: u64,
    ) -> Result<(Store, DurableState), StoreError> {
        let file = folder.join(FILE_NAME);
        let connection = Connection::open(&file)?;
        // Exclusive: the index of the write-ahead log stays in this process's memory.
        connection.pragma_update(None, "locking_mode", "exclusive")?;
        connection.pragma_update(None, "journal_mode", "wal")?;
        connection.pragma_update(None, "synchronous", "full")?;
        connection.pragma_update(None, "cache_size", -512)?;
        // With its write-ahead log, which holds some 4 MB, it never fills a disk of 64 MB.
        connection.pragma_update(None, "max_page_count", most / PAGE)?;
        connection.execute_batch(
            "CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
             CREATE TABLE IF NOT EXISTS state (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), value BLOB NOT NULL);
             CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, epoch BLOB NOT NULL, entry BLOB NOT NULL, chosen INTEGER NOT NULL);",
        )?;
        let mut store = Store { file, connection, disk: new_disk, torn: false };
        match store.meta::<u32>("format")? {
            Some(FORMAT) => {}
            Some(SHORT_DIGESTS) => store.convert_short_digests()?,
            Some(found) => return Err(StoreError::UnsupportedFormat { file: store.file, found }),
            None => {
                let transaction = store.connection.transaction()?;
                put_meta(&transaction, "format", &FORMAT)?;
                put_meta(&transaction, "disk", &new_disk)?;
                transaction.commit()?;
            }
        }
        sync_folder(folder)?;
        store.disk = store.meta("disk")?.ok_or_else(|| store.corrupt("it has no number".to_owned()))?;
        let recovered = store.recover()?;
        Ok((store, recovered))
    }

    /// Orders of a file of format 1 can't be told from others any more: they are noted as forgotten, so that one that is
    /// sent again gets no clear answer rather than a wrong one.
    fn convert_short_digests(&mut self) -> Result<(), StoreError> {
        let bytes: Option<Vec<u8>> =
            self.connection.query_row("SELECT value FROM state", [], |row| row.get(0)).optional()?;
        let old = bytes.map(|bytes| self.decode::<ShortDigestState>(&bytes)).transpose()?;
        let transaction = self.connection.transaction()?;
        if let Some(old) = old {
            put_state(&transaction, &old.into())?;
        }
        put_meta(&transaction, "format", &FORMAT)?;
        transaction.commit()?;
        Ok(())
    }

    /// The number that this disk was given.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// What the records so far amount to.
    ///
    /// # Errors
    /// The disk refuses, or a record can't be read.
    pub fn recover(&self) -> Result<DurableState, StoreError> {
        let promised: Term = self.meta("promised")?.unwrap_or_default();
        let state: Option<Vec<u8>> =
            self.connection.query_row("SELECT value FROM state", [], |row| row.get(0)).optional()?;
        let mut state: ReplicatedState =
            state.map_or(Ok(ReplicatedState::empty()), |bytes| self.decode(&bytes))?;
        let mut statement =
            self.connection.prepare("SELECT place, epoch, entry, chosen FROM log ORDER BY place")?;
        let rows = statement.query_map([], |row| {
            Ok((
                row.get::<_, i64>(0)?,
                row.get::<_, Vec<u8>>(1)?,
                row.get::<_, Vec<u8>>(2)?,
                row.get::<_, bool>(3)?,
            ))
        })?;
        let rows: Vec<_> = rows.collect::<Result<_, _>>()?;
        let last = rows.len();
        let mut accepted: Option<AcceptedEntry> = None;
        for (number, (index, term, entry, chosen)) in rows.into_iter().enumerate() {
            let entry: Entry = self.decode(&entry)?;
            if LogIndex(index as u64) != state.index + 1 {
                return Err(self.corrupt(format!("index {index} stands behind index {}", state.index)));
            }
            // What stands before another was chosen when that was accepted.
            if chosen || number + 1 < last {
                state.apply(&entry);
            } else {
                accepted = Some(AcceptedEntry { term: self.decode(&term)?, entry });
            }
        }
        let promised = accepted.as_ref().map_or(promised, |accepted| promised.max(accepted.term));
        Ok(DurableState { promised, state, accepted })
    }

    /// Keeps a record; it is on disk when this returns.
    ///
    /// # Errors
    /// The disk refuses; nothing of the record is kept.
    pub fn append(&mut self, record: &Record) -> Result<(), StoreError> {
        if self.torn && !matches!(record, Record::Snapshot(_)) {
            return Err(self.corrupt("a record before this one was not kept".to_owned()));
        }
        let kept = self.try_to_keep(record);
        self.torn = kept.is_err();
        kept
    }

    fn try_to_keep(&mut self, record: &Record) -> Result<(), StoreError> {
        let transaction = self.connection.transaction()?;
        match record {
            Record::Promised(term) => put_meta(&transaction, "promised", term)?,
            Record::Accepted { term, index, entry } => {
                put_meta(&transaction, "promised", term)?;
                put_entry(&transaction, (*index, entry), *term, false)?;
            }
            Record::Committed(CommittedEntry { index, entry }) => {
                put_entry(&transaction, (*index, entry), Term::ZERO, true)?;
            }
            Record::Snapshot(DurableState { promised, state, accepted }) => {
                put_meta(&transaction, "promised", promised)?;
                put_state(&transaction, state)?;
                transaction.execute("DELETE FROM log", [])?;
                if let Some(AcceptedEntry { term, entry }) = accepted {
                    put_entry(&transaction, (state.index + 1, entry), *term, false)?;
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }

    fn meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        let value: Option<Vec<u8>> = self
            .connection
            .query_row("SELECT value FROM meta WHERE key = ?1", [key], |row| row.get(0))
            .optional()?;
        value.map(|bytes| self.decode(&bytes)).transpose()
    }

    fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, StoreError> {
        ciborium::from_reader(bytes).map_err(|error| self.corrupt(error.to_string()))
    }

    fn corrupt(&self, what: String) -> StoreError {
        StoreError::Corrupt { file: self.file.clone(), what }
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A vector takes all that is written to it.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Syncs the folder's own entries. Guards against a loss of power that takes a file whose content was synced.
fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    std::fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|error| StoreError::SyncFolder { folder: folder.to_owned(), error })
}

fn put_state(at: &Connection, state: &ReplicatedState) -> Result<(), StoreError> {
    at.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", params![encode(state)])?;
    Ok(())
}

fn put_meta(at: &Connection, key: &str, value: &impl Serialize) -> Result<(), StoreError> {
    at.execute("INSERT OR REPLACE INTO meta VALUES (?1, ?2)", params![key, encode(value)])?;
    Ok(())
}

fn put_entry(
    at: &Connection,
    (index, entry): (LogIndex, &Entry),
    term: Term,
    chosen: bool,
) -> Result<(), StoreError> {
    at.execute("DELETE FROM log WHERE place >= ?1", [index.0 as i64])?;
    at.execute(
        "INSERT INTO log VALUES (?1, ?2, ?3, ?4)",
        params![index.0 as i64, encode(&term), encode(entry), chosen],
    )?;
    Ok(())
}
