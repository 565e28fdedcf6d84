//! Writes that are on their way to the disk, and the messages that depend on them: nothing is sent of what is not synced.

use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{Action, DurableState, LogIndex, Message, Millis, Record, ReplicatedState, Term};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A message that may be sent once a write is synced.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DeferredMessage {
    pub to: Ipv4Addr,
    pub message: Message,
}

/// What is known to be on disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct SyncedState {
    /// The highest term promised.
    pub promised: Term,
    /// The term of the latest acceptance.
    pub accepted_term: Term,
    /// The index of the latest acceptance.
    pub accepted_index: LogIndex,
}

/// Writes on their way to the disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingWrites {
    /// Messages by the number of the write that they depend on.
    deferred: BTreeMap<u64, Vec<DeferredMessage>>,
    pub synced: SyncedState,
    last_number: u64,
    /// Whether a write failed: then the next one has to carry a snapshot first.
    has_gap: bool,
}

impl PendingWrites {
    /// None on its way; this promise was found on disk.
    pub fn new(promised: Term) -> PendingWrites {
        let synced = SyncedState { promised, accepted_term: Term::ZERO, accepted_index: LogIndex(0) };
        PendingWrites { deferred: BTreeMap::new(), synced, last_number: 0, has_gap: false }
    }

    /// Whether a message that is like this waits for a write.
    pub fn has_deferred(&self, is_like: impl Fn(&Message) -> bool) -> bool {
        self.deferred.values().flatten().any(|deferred| is_like(&deferred.message))
    }

    /// Whether this very acceptance is on disk.
    pub fn is_acceptance_synced(&self, term: Term, index: LogIndex) -> bool {
        self.synced.accepted_term == term && self.synced.accepted_index == index
    }

    fn begin(&mut self, deferred: Vec<DeferredMessage>) -> u64 {
        self.last_number += 1;
        self.deferred.insert(self.last_number, deferred);
        self.last_number
    }

    fn note_synced(&mut self, message: &Message) {
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
    /// A write is synced, or failed: then nothing that depends on it is ever sent.
    pub fn on_persisted(&mut self, now: Millis, number: u64, synced: bool) -> Vec<Action> {
        self.now = now;
        let deferred = self.writes.deferred.remove(&number).unwrap_or_default();
        if synced {
            for DeferredMessage { to, message } in deferred {
                self.writes.note_synced(&message);
                self.send(to, message);
            }
        } else {
            self.writes.has_gap = true;
        }
        self.take_actions()
    }

    /// Writes a record; the messages are sent once it is synced.
    pub(super) fn write(&mut self, record: Record, deferred: Vec<DeferredMessage>) {
        let is_behind_gap = std::mem::take(&mut self.writes.has_gap);
        if is_behind_gap && !matches!(record, Record::Snapshot(_)) && !is_active(Mutant::WriteGapIgnored) {
            // Guards against a gap on disk: what failed to be written is part of the snapshot.
            self.write_snapshot();
        }
        let early = if is_active(Mutant::MessageBeforeSync) { deferred.clone() } else { Vec::new() };
        let number = self.writes.begin(deferred);
        early.into_iter().for_each(|early| self.send(early.to, early.message));
        self.actions.push(Action::Persist(number, record));
    }

    /// Writes all that there is to keep, in place of what was kept before.
    pub(super) fn write_snapshot(&mut self) {
        let state = ReplicatedState::clone(&self.state);
        let snapshot = DurableState { promised: self.promised, state, accepted: self.accepted.clone() };
        self.write(Record::Snapshot(snapshot), Vec::new());
    }

    /// Writes a record that one message depends on.
    pub(super) fn write_then_send(&mut self, record: Record, to: Ipv4Addr, message: Message) {
        self.write(record, vec![DeferredMessage { to, message }]);
    }
}
