//! Reads the state from its file when it is opened.

use super::tables::{decode, CACHED_NODES, FACTS, FORMAT_FACT, HISTORY, NODES, PLANS, REVISION_FACT};
use super::{Entry, StoreError, FORMAT};
use crate::database::store_error;
use crate::known::KnownList;
use crate::model::State;
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableError};

/// The part of the file's content that a store holds in memory.
pub(super) struct Contents {
    pub(super) state: State,
    pub(super) cached_nodes: KnownList,
    /// The wall-clock time of the latest change, Unix time in milliseconds; 0 if there is none.
    pub(super) last_change_ms: u64,
}

impl Contents {
    pub(super) fn read(database: &Database, file: &str) -> Result<Contents, StoreError> {
        let result = database.begin_read().map_err(redb::Error::from);
        let transaction = result.map_err(|error| read_error(file, error))?;
        match read_format(&transaction).map_err(|error| read_error(file, error))? {
            Some(FORMAT) => {}
            Some(format) => return Err(StoreError::Newer { file: file.to_string(), format }),
            None => return Err(corrupt(file, "the format version is missing".into())),
        }
        let contents = || -> Result<Contents, redb::Error> {
            let state = read_state(&transaction)?;
            let cached_nodes = read_cached_nodes(&transaction)?;
            let last_change_ms = read_last_change_ms(&transaction, state.revision)?;
            Ok(Contents { state, cached_nodes, last_change_ms })
        };
        contents().map_err(|error| read_error(file, error))
    }
}

fn corrupt(file: &str, detail: String) -> StoreError {
    StoreError::Corrupt { file: file.to_string(), detail }
}

fn read_error(file: &str, error: redb::Error) -> StoreError {
    match error {
        redb::Error::TableDoesNotExist(table) => corrupt(file, format!("table '{table}' is missing")),
        error => store_error("read", file, error),
    }
}

fn read_format(transaction: &ReadTransaction) -> Result<Option<u64>, redb::Error> {
    let facts = transaction.open_table(FACTS)?;
    Ok(facts.get(FORMAT_FACT)?.map(|format| format.value()))
}

fn read_state(transaction: &ReadTransaction) -> Result<State, redb::Error> {
    let facts = transaction.open_table(FACTS)?;
    let revision = facts.get(REVISION_FACT)?.map_or(0, |revision| revision.value());
    let mut state = State { revision, ..State::default() };
    for row in transaction.open_table(NODES)?.iter()? {
        let (name, node) = row?;
        state.nodes.insert(name.value().to_string(), decode(node.value())?);
    }
    for row in transaction.open_table(PLANS)?.iter()? {
        let (studio, plan) = row?;
        state.plans.insert(studio.value(), plan.value().to_string());
    }
    Ok(state)
}

fn read_cached_nodes(transaction: &ReadTransaction) -> Result<KnownList, redb::Error> {
    let table = match transaction.open_table(CACHED_NODES) {
        // A file of a version without a last-known list.
        Err(TableError::TableDoesNotExist(_)) => return Ok(KnownList::new()),
        table => table?,
    };
    let mut list = KnownList::new();
    for row in table.iter()? {
        let (name, node) = row?;
        list.insert(name.value().to_string(), decode(node.value())?);
    }
    Ok(list)
}

/// Returns the wall-clock time of the latest change, Unix time in milliseconds, or 0 if there is none. Also checks that
/// the history ends with the state's revision.
fn read_last_change_ms(transaction: &ReadTransaction, revision: u64) -> Result<u64, redb::Error> {
    let history = transaction.open_table(HISTORY)?;
    let last = history.last()?;
    match last {
        Some((last_revision, entry)) => {
            let entry: Entry = decode(entry.value())?;
            if last_revision.value() != revision {
                return Err(redb::Error::Corrupted(
                    "the history does not end with the state's revision".into(),
                ));
            }
            Ok(entry.change.at_ms)
        }
        None if revision != 0 => Err(redb::Error::Corrupted("the history is missing".into())),
        None => Ok(0),
    }
}
