//! Keeps a state in one file, a redb database. Every write is one transaction: copy on write, two phases, checksums on
//! every page, which are verified whenever the file is opened.

mod error;
mod read;
mod snapshot;
mod tables;
mod write;

pub use error::{ChangeError, StoreError};
pub use snapshot::Snapshot;

use crate::database::{
    begin_write, catch_panic, check_absent, create_atomically, open_database, open_file, store_error,
};
use crate::files::Files;
use crate::known::KnownList;
use crate::model::{Change, Refusal, State};
use read::Contents;
use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError};
use serde::{Deserialize, Serialize};
use tables::{decode, FACTS, FORMAT_FACT, HISTORY, IDS, IN_FLIGHT, NODES, PLANS, UNFINISHED};
use write::{Committed, Progress};

/// The format of the file that this version writes and reads.
pub const FORMAT: u64 = 1;
/// The most changes that the history keeps, which bounds the file; the ids of older ones are dropped with them.
pub const HISTORY_LIMIT: u64 = 200_000;

/// A change that was made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number in the history, which is ordered by it.
    pub revision: u64,
    /// Whether the wall clock was behind that of the change before it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub clock_set_back: bool,
    /// The change as it was requested.
    #[serde(flatten)]
    pub change: Change,
}

/// A request that is not idempotent and was sent to a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sent {
    /// The client's name for it.
    pub request: String,
    /// The class of the request.
    pub class: String,
    /// The studio (tenant) that sent it.
    pub studio: u64,
    /// The node of its latest attempt.
    pub node: String,
    /// The wall clock at that attempt, Unix time in milliseconds.
    pub at_ms: u64,
}

/// What one transaction writes, in this order.
#[derive(Debug, Default)]
pub struct Batch {
    /// Changes to the state.
    pub changes: Vec<Change>,
    /// Requests that are not idempotent and are about to be sent.
    pub sending: Vec<Sent>,
    /// Names of those of which no attempt is in flight any more.
    pub ended: Vec<String>,
    /// Removes the unfinished requests up to this number.
    pub clear_unfinished: Option<u64>,
    /// The last-known list, which replaces the one before.
    pub known: Option<KnownList>,
}

/// A change that is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The revision that it made.
    pub revision: u64,
    /// Whether it was made before: this id had been used for the same change.
    pub repeated: bool,
}

/// A state and its file, which is locked while it is open: one store at a time.
#[derive(Debug)]
pub struct Store {
    database: Database,
    file: String,
    state: State,
    cached_nodes: KnownList,
    /// The wall clock of the latest change, Unix milliseconds.
    last_change_ms: u64,
    unfinished_count: u64,
    /// The first error of a write: after it, what the file has isn't certain before it is opened again.
    first_write_error: Option<String>,
}

impl Store {
    /// Creates an empty state, durable when this returns.
    ///
    /// # Errors
    /// The file exists already, or can't be written.
    pub fn create<F: Files>(files: &F, name: &str) -> Result<(), StoreError> {
        check_absent(files, name)?;
        create_atomically(files, name, |database| {
            let transaction = begin_write(database)?;
            transaction.open_table(FACTS)?.insert(FORMAT_FACT, FORMAT)?;
            transaction.open_table(NODES)?;
            transaction.open_table(PLANS)?;
            transaction.open_table(HISTORY)?;
            transaction.open_table(IDS)?;
            transaction.open_table(IN_FLIGHT)?;
            transaction.open_table(UNFINISHED)?;
            Ok(transaction.commit()?)
        })
    }

    /// Opens a state, checks every page of it, and records the requests that were in flight when it was left as
    /// unfinished.
    ///
    /// # Errors
    /// What is wrong with the file, and the way out. A file that is wrong is left as it is.
    pub fn open<F: Files>(files: &F, name: &str) -> Result<Store, StoreError> {
        let file = files.describe(name);
        let backend = open_file(files, name)?;
        catch_panic(&file, || {
            let database = open_database(backend).map_err(|error| match error {
                DatabaseError::Storage(StorageError::Corrupted(detail)) => {
                    StoreError::Corrupt { file: file.clone(), detail }
                }
                error => store_error("open", &file, error),
            })?;
            Store::load(database, file.clone())
        })
    }

    fn load(database: Database, file: String) -> Result<Store, StoreError> {
        let Contents { state, cached_nodes, last_change_ms } = Contents::read(&database, &file)?;
        let unfinished_count =
            write::retire_in_flight(&database).map_err(|error| store_error("write", &file, error))?;
        Ok(Store {
            database,
            file,
            state,
            cached_nodes,
            last_change_ms,
            unfinished_count,
            first_write_error: None,
        })
    }

    /// The state that is durable.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last-known list that is durable.
    pub fn known(&self) -> &KnownList {
        &self.cached_nodes
    }

    /// The text of the error since which no change is accepted, if there was one.
    pub fn first_write_error(&self) -> Option<&str> {
        self.first_write_error.as_deref()
    }

    /// How many requests of earlier runs may have run.
    pub fn unfinished_count(&self) -> u64 {
        self.unfinished_count
    }

    /// Makes one change, durable when this returns.
    ///
    /// # Errors
    /// Why it was not made.
    ///
    /// # Panics
    /// Never: a batch has one outcome for each of its changes.
    pub fn apply(&mut self, change: Change) -> Result<Done, ChangeError> {
        let batch = Batch { changes: vec![change], ..Batch::default() };
        let mut outcomes = self.write(&batch).map_err(ChangeError::Store)?;
        outcomes.pop().expect("an outcome for each change").map_err(ChangeError::Refused)
    }

    /// Writes a batch atomically, durable when this returns, and returns the outcome of each of its changes in order.
    /// A rejected change does not keep the rest of the batch from being written.
    ///
    /// # Errors
    /// The file can't be written. Nothing counts as durable from then on, and the state stays as it was.
    pub fn write(&mut self, batch: &Batch) -> Result<Vec<Result<Done, Refusal>>, StoreError> {
        if let Some(first) = &self.first_write_error {
            return Err(StoreError::Broken { file: self.file.clone(), first: first.clone() });
        }
        let progress = Progress { state: self.state.clone(), last_change_ms: self.last_change_ms };
        match write::commit(&self.database, progress, &self.cached_nodes, batch) {
            Ok(Committed { outcomes, progress, unfinished_count }) => {
                (self.state, self.last_change_ms) = (progress.state, progress.last_change_ms);
                self.unfinished_count = unfinished_count;
                if let Some(list) = &batch.known {
                    self.cached_nodes.clone_from(list);
                }
                Ok(outcomes)
            }
            Err(error) => {
                // Guards against a failed sync that is followed by one that succeeds: what the first was to make
                // durable may be lost all the same.
                let error = store_error("write", &self.file, error);
                self.first_write_error = Some(error.to_string());
                Err(error)
            }
        }
    }

    /// Changes before the revision `before`, the latest first, `limit` at most.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn history(&self, before: u64, limit: usize) -> Result<Vec<Entry>, StoreError> {
        let read = || -> Result<Vec<Entry>, redb::Error> {
            let history = self.database.begin_read()?.open_table(HISTORY)?;
            let rows = history.range(..before)?.rev().take(limit);
            rows.map(|row| decode(row?.1.value())).collect()
        };
        read().map_err(|error| store_error("read", &self.file, error))
    }

    /// Requests that were in flight when an earlier run ended without a graceful shutdown, each with its number: any may
    /// have run. Nothing sends them again.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn unfinished(&self) -> Result<Vec<(u64, Sent)>, StoreError> {
        let read = || -> Result<Vec<(u64, Sent)>, redb::Error> {
            let unfinished = self.database.begin_read()?.open_table(UNFINISHED)?;
            let rows = unfinished.iter()?.map(|row| {
                let (number, sent) = row?;
                Ok((number.value(), decode(sent.value())?))
            });
            rows.collect()
        };
        read().map_err(|error| store_error("read", &self.file, error))
    }

    /// All that is durable now, to be read while changes go on.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn snapshot(&self) -> Result<Snapshot, StoreError> {
        let transaction =
            self.database.begin_read().map_err(|error| store_error("read", &self.file, error))?;
        Ok(Snapshot { transaction })
    }
}
