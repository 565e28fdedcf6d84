//! A simulated disk: pending writes and the durable state.

use super::script::Millis;
use brassport_config_store::consensus::{AcceptedEntry, CommittedEntry, DurableState, Record};
use brassport_types::LogIndex;
use std::collections::VecDeque;

pub struct Store {
    /// The disk ID, drawn when an empty disk is first opened.
    pub disk_id: Option<u64>,
    /// The durable state.
    pub durable: DurableState,
    /// Whether a record is missing. Later records are then rejected until a snapshot replaces the whole state.
    pub torn: bool,
    pub pending: VecDeque<(u64, Record)>,
    /// When the last pending write is synced.
    pub busy: Millis,
    pub full: bool,
    pub hangs_until: Millis,
}

impl Store {
    pub fn empty() -> Store {
        Store {
            disk_id: None,
            durable: DurableState::empty(),
            torn: false,
            pending: VecDeque::new(),
            busy: 0,
            full: false,
            hangs_until: 0,
        }
    }
}

/// Applies a record to the durable state. Returns whether the record is durable.
pub fn persist(store: &mut Store, record: Record) -> bool {
    let gap = store.torn && !matches!(record, Record::Snapshot(_));
    store.torn = store.full || gap;
    if store.torn {
        return false;
    }
    let durable = &mut store.durable;
    // A replica accepts an entry only after all entries before it were chosen.
    let catch_up = |durable: &mut DurableState, index: LogIndex| {
        while durable.state.index + 1 < index {
            let Some(before) = durable.accepted.take() else { break };
            durable.state.apply(&before.entry);
        }
    };
    match record {
        Record::Promised(term) => durable.promised = durable.promised.max(term),
        Record::Accepted { term, index, entry } => {
            durable.promised = durable.promised.max(term);
            catch_up(durable, index);
            durable.accepted = Some(AcceptedEntry { term, entry });
        }
        Record::Committed(CommittedEntry { index, entry }) => {
            catch_up(durable, index);
            durable.accepted = None;
            durable.state.apply(&entry);
        }
        Record::Snapshot(state) => *durable = state,
    }
    true
}
