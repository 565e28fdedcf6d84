//! The tables of a store and their rows. The column names are kept for existing stores: `place` contains a log index,
//! `epoch` a term, and `chosen` whether the entry is known to be committed. Values are encoded as CBOR.

use crate::consensus::{Entry, LogIndex, ReplicatedState, Term};
use rusqlite::{params, Connection, OptionalExtension};
use serde::{de::DeserializeOwned, Serialize};

/// The key of the file format in the table `meta`.
pub(super) const META_FORMAT: &str = "format";
/// The key of the disk number in the table `meta`.
pub(super) const META_DISK: &str = "disk";
/// The key of the highest promised term in the table `meta`.
pub(super) const META_PROMISED: &str = "promised";

/// Creates the tables that are missing.
pub(super) fn create_tables(connection: &Connection) -> Result<(), rusqlite::Error> {
    connection.execute_batch(
        "CREATE TABLE IF NOT EXISTS meta (key TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
             CREATE TABLE IF NOT EXISTS state (only_one INTEGER PRIMARY KEY CHECK (only_one = 1), value BLOB NOT NULL);
             CREATE TABLE IF NOT EXISTS log (place INTEGER PRIMARY KEY, epoch BLOB NOT NULL, entry BLOB NOT NULL, chosen INTEGER NOT NULL);",
    )
}

/// An error of reading a value.
#[derive(Debug)]
pub(super) enum DecodeError {
    /// The row can't be read.
    Sqlite(rusqlite::Error),
    /// The value can't be decoded; the message of the CBOR decoder.
    Cbor(String),
}

impl From<rusqlite::Error> for DecodeError {
    fn from(error: rusqlite::Error) -> DecodeError {
        DecodeError::Sqlite(error)
    }
}

/// A row of the table `log`, with term and entry still encoded.
#[derive(Debug)]
pub(super) struct LogRow {
    /// The index of the entry.
    pub index: LogIndex,
    /// Whether the entry is known to be committed.
    pub is_committed: bool,
    term: Vec<u8>,
    entry: Vec<u8>,
}

impl LogRow {
    /// The row of an entry accepted under a term.
    pub fn accepted(index: LogIndex, term: Term, entry: &Entry) -> LogRow {
        LogRow { index, is_committed: false, term: encode(&term), entry: encode(entry) }
    }

    /// The row of a committed entry, for which the term is irrelevant.
    pub fn committed(index: LogIndex, entry: &Entry) -> LogRow {
        LogRow { index, is_committed: true, term: encode(&Term::ZERO), entry: encode(entry) }
    }

    /// Decodes the entry.
    pub fn entry(&self) -> Result<Entry, DecodeError> {
        decode(&self.entry)
    }

    /// Decodes the term under which the entry was accepted; zero if it was written as committed.
    pub fn term(&self) -> Result<Term, DecodeError> {
        decode(&self.term)
    }
}

/// Access to the rows of a store through a connection or a transaction.
pub(super) struct Rows<'a>(pub &'a Connection);

impl Rows<'_> {
    /// Reads a value from the table `meta`, if it is present.
    pub fn meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, DecodeError> {
        let value: Option<Vec<u8>> =
            self.0.query_row("SELECT value FROM meta WHERE key = ?1", [key], |row| row.get(0)).optional()?;
        value.map(|bytes| decode(&bytes)).transpose()
    }

    /// Reads the state, if there is one.
    pub fn state<T: DeserializeOwned>(&self) -> Result<Option<T>, DecodeError> {
        let value: Option<Vec<u8>> =
            self.0.query_row("SELECT value FROM state", [], |row| row.get(0)).optional()?;
        value.map(|bytes| decode(&bytes)).transpose()
    }

    /// Reads all rows of the log, ordered by index.
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

    /// Writes a value to the table `meta`.
    pub fn put_meta(&self, key: &str, value: &impl Serialize) -> Result<(), rusqlite::Error> {
        self.0.execute("INSERT OR REPLACE INTO meta VALUES (?1, ?2)", params![key, encode(value)])?;
        Ok(())
    }

    /// Replaces the state.
    pub fn put_state(&self, state: &ReplicatedState) -> Result<(), rusqlite::Error> {
        self.0.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", params![encode(state)])?;
        Ok(())
    }

    /// Writes an entry at its index, and deletes all rows from that index on.
    pub fn put_entry(&self, row: &LogRow) -> Result<(), rusqlite::Error> {
        let index = row.index.0 as i64;
        self.0.execute("DELETE FROM log WHERE place >= ?1", [index])?;
        self.0.execute(
            "INSERT INTO log VALUES (?1, ?2, ?3, ?4)",
            params![index, row.term, row.entry, row.is_committed],
        )?;
        Ok(())
    }

    /// Deletes all rows of the log.
    pub fn clear_log(&self) -> Result<(), rusqlite::Error> {
        self.0.execute("DELETE FROM log", [])?;
        Ok(())
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to a vector can't fail, and all stored types can be encoded.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError::Cbor(error.to_string()))
}
