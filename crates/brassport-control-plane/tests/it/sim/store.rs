//! A simulated disk: pending writes and the durable state.

use super::script::Millis;
use brassport_config_store::consensus::{AcceptedEntry, CommittedEntry, DurableState, Record};
use brassport_types::LogIndex;
use std::collections::VecDeque;

pub struct Store {
    /// The disk ID, drawn when an empty disk is first opened.
    pub number: Option<u64>,
    /// The durable state.
    pub kept: DurableState,
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
            number: None,
            kept: DurableState::empty(),
            torn: false,
            pending: VecDeque::new(),
            busy: 0,
            full: false,
            hangs_until: 0,
        }
    }
}

/// Applies a record to the durable state. Returns whether it was kept.
pub fn keep(store: &mut Store, record: Record) -> bool {
    let gap = store.torn && !matches!(record, Record::Snapshot(_));
    store.torn = store.full || gap;
    if store.torn {
        return false;
    }
    let kept = &mut store.kept;
    // A replica accepts an entry only after all entries before it were chosen.
    let catch_up = |kept: &mut DurableState, index: LogIndex| {
        while kept.state.index + 1 < index {
            let Some(before) = kept.accepted.take() else { break };
            kept.state.apply(&before.entry);
        }
    };
    match record {
        Record::Promised(term) => kept.promised = kept.promised.max(term),
        Record::Accepted { term, index, entry } => {
            kept.promised = kept.promised.max(term);
            catch_up(kept, index);
            kept.accepted = Some(AcceptedEntry { term, entry });
        }
        Record::Committed(CommittedEntry { index, entry }) => {
            catch_up(kept, index);
            kept.accepted = None;
            kept.state.apply(&entry);
        }
        Record::Snapshot(whole) => *kept = whole,
    }
    true
}
