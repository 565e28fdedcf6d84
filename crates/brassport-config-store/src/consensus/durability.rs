//! Pending writes and the messages that depend on them. A message is sent only after its write is synced.

use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{Action, DurableState, LogIndex, Message, Millis, Record, ReplicatedState, Term};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A message to be sent once a write is synced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DeferredMessage {
    pub to: Ipv4Addr,
    pub message: Message,
}

/// Promises and acceptances that are known to be on disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SyncedState {
    /// The highest promised term.
    pub promised: Term,
    /// The term of the latest acceptance.
    pub accepted_term: Term,
    /// The index of the latest acceptance.
    pub accepted_index: LogIndex,
}

/// Writes that are not known to be synced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingWrites {
    /// Deferred messages, by the number of the write that they depend on.
    deferred: BTreeMap<u64, Vec<DeferredMessage>>,
    pub synced: SyncedState,
    last_number: u64,
    /// Whether a write has failed. A snapshot then has to be written before any other record.
    has_gap: bool,
}

impl PendingWrites {
    /// No pending writes; `promised` is the promise recovered from disk.
    pub fn new(promised: Term) -> PendingWrites {
        let synced = SyncedState { promised, accepted_term: Term::ZERO, accepted_index: LogIndex(0) };
        PendingWrites { deferred: BTreeMap::new(), synced, last_number: 0, has_gap: false }
    }

    /// Whether a deferred message satisfies the predicate.
    pub fn has_deferred(&self, predicate: impl Fn(&Message) -> bool) -> bool {
        self.deferred.values().flatten().any(|deferred| predicate(&deferred.message))
    }

    /// Whether the acceptance under this term at this index is on disk.
    pub fn is_acceptance_synced(&self, term: Term, index: LogIndex) -> bool {
        self.synced.accepted_term == term && self.synced.accepted_index == index
    }

    fn begin(&mut self, deferred: Vec<DeferredMessage>) -> u64 {
        self.last_number += 1;
        self.deferred.insert(self.last_number, deferred);
        self.last_number
    }

    fn mark_synced(&mut self, message: &Message) {
        match message {
            Message::Promise { term, .. } => self.synced.promised = self.synced.promised.max(*term),
            Message::Accepted { term, index } => {
                (self.synced.accepted_term, self.synced.accepted_index) = (*term, *index);
            }
            _ => {}
        }
    }
}

impl Replica {
    /// Handles the completion of a write. If the write failed, the messages that depend on it are never sent.
    pub fn on_persisted(&mut self, now: Millis, number: u64, synced: bool) -> Vec<Action> {
        self.now = now;
        let deferred = self.writes.deferred.remove(&number).unwrap_or_default();
        if synced {
            for DeferredMessage { to, message } in deferred {
                self.writes.mark_synced(&message);
                self.send(to, message);
            }
        } else {
            self.writes.has_gap = true;
        }
        self.take_actions()
    }

    /// Requests the write of a record. The deferred messages are sent once it is synced.
    pub(super) fn write(&mut self, record: Record, deferred: Vec<DeferredMessage>) {
        let is_behind_gap = std::mem::take(&mut self.writes.has_gap);
        if is_behind_gap && !matches!(record, Record::Snapshot(_)) && !is_active(Mutant::WriteGapIgnored) {
            // Prevents a gap on disk: the snapshot includes what the failed write was to store.
            self.write_snapshot();
        }
        let early = if is_active(Mutant::MessageBeforeSync) { deferred.clone() } else { Vec::new() };
        let number = self.writes.begin(deferred);
        early.into_iter().for_each(|early| self.send(early.to, early.message));
        self.actions.push(Action::Persist(number, record));
    }

    /// Requests the write of the complete durable state, which replaces all earlier records.
    pub(super) fn write_snapshot(&mut self) {
        let state = ReplicatedState::clone(&self.state);
        let snapshot = DurableState { promised: self.promised, state, accepted: self.accepted.clone() };
        self.write(Record::Snapshot(snapshot), Vec::new());
    }

    /// Requests the write of a record, and defers a message until it is synced.
    pub(super) fn write_then_send(&mut self, record: Record, to: Ipv4Addr, message: Message) {
        self.write(record, vec![DeferredMessage { to, message }]);
    }
}
