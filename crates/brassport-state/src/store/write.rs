//! Writes batches, each as one transaction.

use super::tables::{
    decode, encode, insert_changed, remove_missing, CACHED_NODES, FACTS, HISTORY, IDS, IN_FLIGHT, NODES,
    PLANS, REVISION_FACT, UNFINISHED,
};
use super::{Batch, Done, Entry, HISTORY_LIMIT};
use crate::database::begin_write;
use crate::known::KnownList;
use crate::model::{Change, Refusal, State};
use crate::mutants::mutant;
use redb::{Database, ReadableTable, ReadableTableMetadata, WriteTransaction};

/// Maximum number of unfinished requests that are stored; the oldest are dropped first. A single run leaves a few
/// hundred at most.
const UNFINISHED_LIMIT: u64 = 10_000;

/// The result of a durable batch, from which the store updates its in-memory state.
pub(super) struct Committed {
    pub(super) outcomes: Vec<Result<Done, Refusal>>,
    pub(super) progress: Progress,
    pub(super) unfinished_count: u64,
}

/// The state after the changes applied so far.
pub(super) struct Progress {
    pub(super) state: State,
    /// The wall-clock time of the latest change, Unix time in milliseconds; 0 if there is none.
    pub(super) last_change_ms: u64,
}

/// Writes a batch, which is durable when this returns.
pub(super) fn commit(
    database: &Database,
    mut progress: Progress,
    cached_nodes: &KnownList,
    batch: &Batch,
) -> Result<Committed, redb::Error> {
    let mut transaction = begin_write(database)?;
    let mut outcomes = Vec::with_capacity(batch.changes.len());
    for change in &batch.changes {
        outcomes.push(apply_change(&transaction, &mut progress, change)?);
    }
    update_in_flight(&transaction, batch)?;
    let unfinished_count = clear_unfinished(&transaction, batch.clear_unfinished)?;
    if let Some(list) = &batch.known {
        remove_missing(&mut transaction.open_table(CACHED_NODES)?, cached_nodes, list)?;
        if mutant!(CachedNodesInTwoCommits) {
            transaction.commit()?;
            transaction = begin_write(database)?;
        }
        insert_changed(&mut transaction.open_table(CACHED_NODES)?, cached_nodes, list)?;
    }
    transaction.commit()?;
    Ok(Committed { outcomes, progress, unfinished_count })
}

fn apply_change(
    transaction: &WriteTransaction,
    progress: &mut Progress,
    change: &Change,
) -> Result<Result<Done, Refusal>, redb::Error> {
    if let Some(outcome) = repeated_outcome(transaction, change)?.filter(|_| !mutant!(NotIdempotent)) {
        return Ok(outcome);
    }
    let next = match progress.state.after(change) {
        Ok(next) => next,
        Err(refusal) => return Ok(Err(refusal)),
    };
    let clock_set_back = change.at_ms < progress.last_change_ms;
    append_history(transaction, &Entry { revision: next.revision, clock_set_back, change: change.clone() })?;
    write_state(transaction, &progress.state, &next)?;
    let revision = next.revision;
    *progress = Progress { state: next, last_change_ms: change.at_ms };
    Ok(Ok(Done { revision, repeated: false }))
}

/// Returns the outcome of a change whose id was used before: the earlier revision if the action is the same, otherwise
/// a rejection. Returns `None` for a new id.
fn repeated_outcome(
    transaction: &WriteTransaction,
    change: &Change,
) -> Result<Option<Result<Done, Refusal>>, redb::Error> {
    let ids = transaction.open_table(IDS)?;
    let Some(revision) = ids.get(change.id.as_str())?.map(|revision| revision.value()) else {
        return Ok(None);
    };
    let history = transaction.open_table(HISTORY)?;
    let row = history.get(revision)?.map(|entry| entry.value().to_vec()).unwrap_or_default();
    let entry: Entry = decode(&row)?;
    Ok(Some(if entry.change.action == change.action {
        Ok(Done { revision, repeated: true })
    } else {
        Err(Refusal::IdUsed { id: change.id.clone(), revision })
    }))
}

/// Appends an entry to the history and drops the entry that exceeds [`HISTORY_LIMIT`], with its id.
fn append_history(transaction: &WriteTransaction, entry: &Entry) -> Result<(), redb::Error> {
    let mut ids = transaction.open_table(IDS)?;
    let mut history = transaction.open_table(HISTORY)?;
    history.insert(entry.revision, encode(entry).as_slice())?;
    ids.insert(entry.change.id.as_str(), entry.revision)?;
    if let Some(oldest) = entry.revision.checked_sub(HISTORY_LIMIT) {
        let row = history.remove(oldest)?.map(|row| row.value().to_vec());
        // The old row is removed even if it can't be decoded, as nothing reads it any more; its id then stays.
        if let Some(Ok(old)) = row.map(|row| decode::<Entry>(&row)) {
            ids.remove(old.change.id.as_str())?;
        }
    }
    Ok(())
}

/// Writes the rows that differ between the two states.
fn write_state(transaction: &WriteTransaction, old: &State, new: &State) -> Result<(), redb::Error> {
    let mut nodes = transaction.open_table(NODES)?;
    remove_missing(&mut nodes, &old.nodes, &new.nodes)?;
    insert_changed(&mut nodes, &old.nodes, &new.nodes)?;
    let mut plans = transaction.open_table(PLANS)?;
    for studio in old.plans.keys().filter(|studio| !new.plans.contains_key(*studio)) {
        plans.remove(*studio)?;
    }
    for (studio, plan) in new.plans.iter().filter(|(studio, plan)| old.plans.get(*studio) != Some(*plan)) {
        plans.insert(*studio, plan.as_str())?;
    }
    transaction.open_table(FACTS)?.insert(REVISION_FACT, new.revision)?;
    Ok(())
}

fn update_in_flight(transaction: &WriteTransaction, batch: &Batch) -> Result<(), redb::Error> {
    let mut in_flight = transaction.open_table(IN_FLIGHT)?;
    for sent in &batch.sending {
        in_flight.insert(sent.request.as_str(), encode(sent).as_slice())?;
    }
    for request in &batch.ended {
        in_flight.remove(request.as_str())?;
    }
    Ok(())
}

/// Removes the unfinished requests with numbers up to and including `up_to` and returns how many are left.
fn clear_unfinished(transaction: &WriteTransaction, up_to: Option<u64>) -> Result<u64, redb::Error> {
    let mut unfinished = transaction.open_table(UNFINISHED)?;
    if let Some(last) = up_to {
        while unfinished.first()?.is_some_and(|(number, _)| number.value() <= last) {
            unfinished.pop_first()?;
        }
    }
    Ok(unfinished.len()?)
}

/// Moves the in-flight requests of an earlier run to the unfinished requests, as any of them may have been executed.
/// Returns the total number of unfinished requests.
pub(super) fn retire_in_flight(database: &Database) -> Result<u64, redb::Error> {
    use redb::ReadableDatabase;
    let read = database.begin_read()?;
    if read.open_table(IN_FLIGHT)?.is_empty()? {
        return Ok(read.open_table(UNFINISHED)?.len()?);
    }
    let transaction = begin_write(database)?;
    let count = {
        let mut in_flight = transaction.open_table(IN_FLIGHT)?;
        let mut unfinished = transaction.open_table(UNFINISHED)?;
        let mut next = unfinished.last()?.map_or(0, |(number, _)| number.value()) + 1;
        while let Some((_, sent)) = in_flight.pop_first()? {
            unfinished.insert(next, sent.value())?;
            next += 1;
        }
        while unfinished.len()? > UNFINISHED_LIMIT {
            unfinished.pop_first()?;
        }
        unfinished.len()?
    };
    transaction.commit()?;
    Ok(count)
}
