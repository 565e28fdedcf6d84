//! A replicated log's durable side: entries by index, the state of its votes, a snapshot and the entries after it.
//!
//! What the bytes mean is the consensus engine's business. One [`Write`] is one transaction, durable when
//! [`LogStore::write`] returns: a vote and the entries that go with it are on disk before any peer is notified of them.

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
/// The format of the file that this version writes and reads.
const VERSION: &[u8] = b"1";

/// What one transaction writes, in this order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Write {
    /// A snapshot that replaces the one before and all entries.
    pub snapshot: Option<Vec<u8>>,
    /// Entries with their indices, ascending. Entries in the file from the first of these indices on are removed.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The state of the votes, which replaces the one before.
    pub votes: Option<Vec<u8>>,
    /// A snapshot of the entries below this index, which are removed.
    pub compact: Option<(u64, Vec<u8>)>,
}

/// All that a log's file has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Image {
    /// The state of the votes, if one was written.
    pub votes: Option<Vec<u8>>,
    /// The last snapshot, if one was written.
    pub snapshot: Option<Vec<u8>>,
    /// The entries after the snapshot, with their indices, ascending.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// A log's open file.
pub struct LogStore {
    database: Database,
    file: String,
    /// The first error of a write: after it, what the file has isn't certain before it is opened again.
    first_write_error: Option<String>,
}

impl LogStore {
    /// Creates an empty log, durable when this returns.
    ///
    /// # Errors
    /// The file exists already, or can't be written.
    pub fn create<F: Files>(files: &F, name: &str) -> Result<(), StoreError> {
        check_absent(files, name)?;
        create_atomically(files, name, |database| {
            let transaction = begin_write(database)?;
            transaction.open_table(ENTRIES)?;
            transaction.open_table(FACTS)?.insert(FORMAT, VERSION)?;
            Ok(transaction.commit()?)
        })
    }

    /// Opens a log, checks every page of it, and reads it.
    ///
    /// # Errors
    /// What is wrong with the file, which is left as it is.
    pub fn open<F: Files>(files: &F, name: &str) -> Result<(LogStore, Image), StoreError> {
        let file = files.describe(name);
        let backend = open_file(files, name)?;
        catch_panic(&file, || {
            let database = open_database(backend).map_err(|error| store_error("open", &file, error))?;
            let image = read_image(&database).map_err(|error| store_error("read", &file, error))?;
            Ok((LogStore { database, file: file.clone(), first_write_error: None }, image))
        })
    }

    /// Writes one transaction, durable when this returns.
    ///
    /// # Errors
    /// It could not be written. From then on nothing is, and what the file has shows when it is opened again.
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
