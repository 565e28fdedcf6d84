//! A disk: what was written to it, and what of that is kept.

use super::script::Millis;
use brassport_config_store::consensus::{AcceptedEntry, CommittedEntry, DurableState, Record};
use brassport_types::LogIndex;
use std::collections::VecDeque;

pub struct Store {
    /// Drawn when it is opened empty.
    pub number: Option<u64>,
    pub kept: DurableState,
    /// Whether it stands on a gap until all is written anew.
    pub torn: bool,
    pub pending: VecDeque<(u64, Record)>,
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

/// What a store does with a record. Whether it is kept.
pub fn keep(store: &mut Store, record: Record) -> bool {
    let gap = store.torn && !matches!(record, Record::Snapshot(_));
    store.torn = store.full || gap;
    if store.torn {
        return false;
    }
    let kept = &mut store.kept;
    // What stands before another was chosen when that was accepted.
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
