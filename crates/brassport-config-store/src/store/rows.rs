//! The tables of a store and their rows. Names of tables and columns are those of the stores in service: `place` holds a
//! log index, `epoch` a term, and `chosen` whether the entry is committed. Values are CBOR.

use crate::consensus::{Entry, LogIndex, ReplicatedState, Term};
use rusqlite::{params, Connection, OptionalExtension};
use serde::{de::DeserializeOwned, Serialize};

/// The key of the file's format in `meta`.
pub(super) const META_FORMAT: &str = "format";
/// The key of the disk's number.
pub(super) const META_DISK: &str = "disk";
/// The key of the highest term promised.
pub(super) const META_PROMISED: &str = "promised";

/// Creates the tables, where they are not there.
pub(super) fn create_tables(connection: &Connection) -> Result<(), rusqlite::Error> {
    connection.execute_batch(
        "CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
             CREATE TABLE IF NOT EXISTS state (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), value BLOB NOT NULL);
             CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, epoch BLOB NOT NULL, entry BLOB NOT NULL, chosen INTEGER NOT NULL);",
    )
}

/// Why a value can't be read.
#[derive(Debug)]
pub(super) enum DecodeError {
    /// The disk refuses.
    Sqlite(rusqlite::Error),
    /// The bytes are not what they should be; the reader's text.
    Cbor(String),
}

impl From<rusqlite::Error> for DecodeError {
    fn from(error: rusqlite::Error) -> DecodeError {
        DecodeError::Sqlite(error)
    }
}

/// A row of `log`, encoded.
#[derive(Debug)]
pub(super) struct LogRow {
    /// The index of the entry.
    pub index: LogIndex,
    /// Whether it is known to be committed.
    pub is_committed: bool,
    term: Vec<u8>,
    entry: Vec<u8>,
}

impl LogRow {
    /// The row of an entry that is accepted under a term.
    pub fn accepted(index: LogIndex, term: Term, entry: &Entry) -> LogRow {
        LogRow { index, is_committed: false, term: encode(&term), entry: encode(entry) }
    }

    /// The row of an entry that is committed: under which term does not matter any more.
    pub fn committed(index: LogIndex, entry: &Entry) -> LogRow {
        LogRow { index, is_committed: true, term: encode(&Term::ZERO), entry: encode(entry) }
    }

    /// The entry.
    pub fn entry(&self) -> Result<Entry, DecodeError> {
        decode(&self.entry)
    }

    /// The term under which it was accepted; zero for one that is committed.
    pub fn term(&self) -> Result<Term, DecodeError> {
        decode(&self.term)
    }
}

/// The rows of a store, by a connection or a transaction.
pub(super) struct Rows<'a>(pub &'a Connection);

impl Rows<'_> {
    /// A value of `meta`, if it is there.
    pub fn meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, DecodeError> {
        let value: Option<Vec<u8>> =
            self.0.query_row("SELECT value FROM meta WHERE key = ?1", [key], |row| row.get(0)).optional()?;
        value.map(|bytes| decode(&bytes)).transpose()
    }

    /// The state, if there is one.
    pub fn state<T: DeserializeOwned>(&self) -> Result<Option<T>, DecodeError> {
        let value: Option<Vec<u8>> =
            self.0.query_row("SELECT value FROM state", [], |row| row.get(0)).optional()?;
        value.map(|bytes| decode(&bytes)).transpose()
    }

    /// All rows of the log, in the order of their indexes.
    pub fn log(&self) -> Result<Vec<LogRow>, rusqlite::Error> {
        let mut statement = self.0.prepare("SELECT place, epoch, entry, chosen FROM log ORDER BY place")?;
        let rows = statement.query_map([], |row| {
            Ok(LogRow {
                index: LogIndex(row.get::<_, i64>(0)? as u64),
                term: row.get(1)?,
                entry: row.get(2)?,
                is_committed: row.get(3)?,
            })
        })?;
        rows.collect()
    }

    /// Sets a value of `meta`.
    pub fn put_meta(&self, key: &str, value: &impl Serialize) -> Result<(), rusqlite::Error> {
        self.0.execute("INSERT OR REPLACE INTO meta VALUES (?1, ?2)", params![key, encode(value)])?;
        Ok(())
    }

    /// Sets the state.
    pub fn put_state(&self, state: &ReplicatedState) -> Result<(), rusqlite::Error> {
        self.0.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", params![encode(state)])?;
        Ok(())
    }

    /// Puts an entry at its index, in place of all from there on.
    pub fn put_entry(&self, row: &LogRow) -> Result<(), rusqlite::Error> {
        let index = row.index.0 as i64;
        self.0.execute("DELETE FROM log WHERE place >= ?1", [index])?;
        self.0.execute(
            "INSERT INTO log VALUES (?1, ?2, ?3, ?4)",
            params![index, row.term, row.entry, row.is_committed],
        )?;
        Ok(())
    }

    /// Removes all rows of the log.
    pub fn clear_log(&self) -> Result<(), rusqlite::Error> {
        self.0.execute("DELETE FROM log", [])?;
        Ok(())
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError::Cbor(error.to_string()))
}
