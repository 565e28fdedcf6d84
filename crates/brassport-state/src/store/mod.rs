//! Persists a state in a single redb database file. Each write is one copy-on-write transaction with a two-phase
//! commit. Every page has a checksum, and all checksums are verified whenever the file is opened.

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

/// The file format version that this program reads and writes.
pub const FORMAT: u64 = 1;
/// Maximum number of changes in the history, which bounds the file's size. Older changes are dropped with their ids.
pub const HISTORY_LIMIT: u64 = 200_000;

/// A change in the history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision that the change made. The history is ordered by it.
    pub revision: u64,
    /// Whether the change's wall-clock time is earlier than that of the previous change.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub clock_set_back: bool,
    /// The change as it was requested.
    #[serde(flatten)]
    pub change: Change,
}

/// A non-idempotent request that was sent to a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sent {
    /// The client's identifier of the request.
    pub request: String,
    /// The request class.
    pub class: String,
    /// The studio (tenant) that sent it.
    pub studio: u64,
    /// The node that the latest attempt was sent to.
    pub node: String,
    /// The wall-clock time of the latest attempt, Unix time in milliseconds.
    pub at_ms: u64,
}

/// The content of one transaction, written in the order of the fields.
#[derive(Debug, Default)]
pub struct Batch {
    /// Changes to the state.
    pub changes: Vec<Change>,
    /// Non-idempotent requests that are about to be sent.
    pub sending: Vec<Sent>,
    /// Identifiers of requests that have no attempt in flight any more.
    pub ended: Vec<String>,
    /// Removes the unfinished requests with numbers up to and including this one.
    pub clear_unfinished: Option<u64>,
    /// The last-known node list, which replaces the previous one.
    pub known: Option<KnownList>,
}

/// The outcome of a change that is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The revision that the change made.
    pub revision: u64,
    /// Whether an earlier request with the same id had already made the change.
    pub repeated: bool,
}

/// An open state file and its content. The file is locked, so that only one store has it open at a time.
#[derive(Debug)]
pub struct Store {
    database: Database,
    file: String,
    state: State,
    cached_nodes: KnownList,
    /// The wall-clock time of the latest change, Unix time in milliseconds; 0 if there is none.
    last_change_ms: u64,
    unfinished_count: u64,
    /// The text of the first write error. After it, the file's content is uncertain until the file is opened again.
    first_write_error: Option<String>,
}

impl Store {
    /// Creates an empty state, which is durable when this returns.
    ///
    /// # Errors
    /// The file exists already or cannot be written.
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

    /// Opens a state, verifies every page, and records requests that were in flight when the previous run ended as
    /// unfinished.
    ///
    /// # Errors
    /// The problem with the file and its remedy. An invalid file is left unchanged.
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

    /// Returns the durable state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the durable last-known node list.
    pub fn known(&self) -> &KnownList {
        &self.cached_nodes
    }

    /// Returns the text of the first write error, if any. The store rejects all writes after it.
    pub fn first_write_error(&self) -> Option<&str> {
        self.first_write_error.as_deref()
    }

    /// Returns the number of unfinished requests of earlier runs.
    pub fn unfinished_count(&self) -> u64 {
        self.unfinished_count
    }

    /// Makes one change, which is durable when this returns.
    ///
    /// # Errors
    /// The reason why the change was not made.
    ///
    /// # Panics
    /// Never, as a batch has one outcome per change.
    pub fn apply(&mut self, change: Change) -> Result<Done, ChangeError> {
        let batch = Batch { changes: vec![change], ..Batch::default() };
        let mut outcomes = self.write(&batch).map_err(ChangeError::Store)?;
        outcomes.pop().expect("an outcome for each change").map_err(ChangeError::Refused)
    }

    /// Writes a batch atomically and returns the outcome of each of its changes, in order. The batch is durable when
    /// this returns. If a change is rejected, the rest of the batch is still written.
    ///
    /// # Errors
    /// The file can't be written. The state stays unchanged and all later writes fail.
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
                // After a failed sync, the data may be lost even if a later sync succeeds, so no write is accepted
                // any more.
                let error = store_error("write", &self.file, error);
                self.first_write_error = Some(error.to_string());
                Err(error)
            }
        }
    }

    /// Returns at most `limit` changes with revisions below `before`, newest first.
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

    /// Returns the requests, with their numbers, that were in flight when an earlier run ended without a graceful
    /// shutdown. Any of them may have been executed; they are never sent again.
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

    /// Returns a consistent snapshot of the durable content. Later writes neither affect it nor wait for it.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn snapshot(&self) -> Result<Snapshot, StoreError> {
        let transaction =
            self.database.begin_read().map_err(|error| store_error("read", &self.file, error))?;
        Ok(Snapshot { transaction })
    }
}
