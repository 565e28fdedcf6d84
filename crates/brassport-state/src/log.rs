//! Persists a replicated log: the voting state, the latest snapshot and the entries after it, by index.
//!
//! The content is opaque bytes that only the consensus engine interprets. Each [`Write`] is one transaction that is
//! durable when [`LogStore::write`] returns, so that a vote and its entries are on disk before any peer is notified.

use crate::database::{
    begin_write, catch_panic, check_absent, create_atomically, open_database, open_file, store_error,
};
use crate::files::Files;
use crate::store::StoreError;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const VOTES: &str = "votes";
const SNAPSHOT: &str = "snapshot";
const FORMAT: &str = "format";
/// The file format version that this program writes. It is not checked when a file is opened.
const VERSION: &[u8] = b"1";

/// The content of one transaction, written in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// A snapshot that replaces the previous snapshot and all entries.
    pub snapshot: Option<Vec<u8>>,
    /// Entries with their indices, in ascending order. Stored entries at or above the first index are removed first.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The voting state, which replaces the previous one.
    pub votes: Option<Vec<u8>>,
    /// An index and a snapshot that covers all entries below it; these entries are removed.
    pub compact: Option<(u64, Vec<u8>)>,
}

/// The complete content of a log file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Image {
    /// The voting state; `None` if none was written yet.
    pub votes: Option<Vec<u8>>,
    /// The latest snapshot; `None` if none was written yet.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after the snapshot with their indices, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// An open log file.
pub struct LogStore {
    database: Database,
    file: String,
    /// The text of the first write error. After it, the file's content is uncertain until the file is opened again.
    first_write_error: Option<String>,
}

impl LogStore {
    /// Creates an empty log, which is durable when this returns.
    ///
    /// # Errors
    /// The file exists already or cannot be written.
    pub fn create<F: Files>(files: &F, name: &str) -> Result<(), StoreError> {
        check_absent(files, name)?;
        create_atomically(files, name, |database| {
            let transaction = begin_write(database)?;
            transaction.open_table(ENTRIES)?;
            transaction.open_table(FACTS)?.insert(FORMAT, VERSION)?;
            Ok(transaction.commit()?)
        })
    }

    /// Opens a log, verifies every page and reads the content.
    ///
    /// # Errors
    /// The problem with the file. The file is left unchanged.
    pub fn open<F: Files>(files: &F, name: &str) -> Result<(LogStore, Image), StoreError> {
        let file = files.describe(name);
        let backend = open_file(files, name)?;
        catch_panic(&file, || {
            let database = open_database(backend).map_err(|error| store_error("open", &file, error))?;
            let image = read_image(&database).map_err(|error| store_error("read", &file, error))?;
            Ok((LogStore { database, file: file.clone(), first_write_error: None }, image))
        })
    }

    /// Writes one transaction, which is durable when this returns.
    ///
    /// # Errors
    /// The transaction could not be written. All later writes fail too; whether this one was written is known only when
    /// the file is opened again.
    pub fn write(&mut self, write: &Write) -> Result<(), StoreError> {
        if let Some(first) = &self.first_write_error {
            return Err(StoreError::Broken { file: self.file.clone(), first: first.clone() });
        }
        let result = commit(&self.database, write).map_err(|error| store_error("write", &self.file, error));
        self.first_write_error = result.as_ref().err().map(ToString::to_string);
        result
    }
}

fn read_image(database: &Database) -> Result<Image, redb::Error> {
    let transaction = database.begin_read()?;
    let facts = transaction.open_table(FACTS)?;
    let fact = |name| Ok::<_, redb::Error>(facts.get(name)?.map(|bytes| bytes.value().to_vec()));
    let entries = transaction.open_table(ENTRIES)?;
    let entries =
        entries.iter()?.map(|entry| entry.map(|(index, bytes)| (index.value(), bytes.value().to_vec())));
    let entries = entries.collect::<Result<_, _>>()?;
    Ok(Image { votes: fact(VOTES)?, snapshot: fact(SNAPSHOT)?, entries })
}

fn commit(database: &Database, write: &Write) -> Result<(), redb::Error> {
    let transaction = begin_write(database)?;
    {
        let mut facts = transaction.open_table(FACTS)?;
        let mut entries = transaction.open_table(ENTRIES)?;
        if let Some(snapshot) = &write.snapshot {
            entries.retain(|_, _| false)?;
            facts.insert(SNAPSHOT, snapshot.as_slice())?;
        }
        if let Some((first, _)) = write.entries.first() {
            entries.retain_in::<u64, _>(*first.., |_, _| false)?;
        }
        for (index, bytes) in &write.entries {
            entries.insert(index, bytes.as_slice())?;
        }
        if let Some(votes) = &write.votes {
            facts.insert(VOTES, votes.as_slice())?;
        }
        if let Some((below, snapshot)) = &write.compact {
            entries.retain_in::<u64, _>(..*below, |_, _| false)?;
            facts.insert(SNAPSHOT, snapshot.as_slice())?;
        }
    }
    Ok(transaction.commit()?)
}
