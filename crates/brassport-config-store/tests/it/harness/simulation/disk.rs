//! A voter's store in memory.

use brassport_config_store::consensus::*;

/// Applies a record to the durable state, like a store.
pub fn append(durable: &mut DurableState, record: Record) {
    match record {
        Record::Promised(term) => durable.promised = durable.promised.max(term),
        Record::Accepted { term, index, entry } => {
            durable.promised = durable.promised.max(term);
            while durable.state.index + 1 < index {
                // An entry is accepted only after the entry before it was committed.
                let Some(AcceptedEntry { entry: before, .. }) = durable.accepted.take() else { break };
                durable.state.apply(&before);
            }
            durable.accepted = Some(AcceptedEntry { term, entry });
        }
        Record::Committed(CommittedEntry { index, entry }) => {
            while durable.state.index + 1 < index {
                let Some(AcceptedEntry { entry: before, .. }) = durable.accepted.take() else { break };
                durable.state.apply(&before);
            }
            durable.accepted = None;
            durable.state.apply(&entry);
        }
        Record::Snapshot(snapshot) => *durable = snapshot,
    }
}
