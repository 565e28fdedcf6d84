//! The acceptor role of a replica: its promises, its acceptances, and its handling of heartbeats.

use super::campaign::Role;
use super::election::KnownLeader;
use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{AcceptedEntry, Action, CommittedEntry, Entry, LogIndex, Message, Record, Term, VoterId};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Every replica takes a snapshot at each multiple of this index, which replaces the entries before it. This bounds
/// the number of entries that a store replays when it is opened.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 64;
/// Heartbeat number recorded for messages other than heartbeats; lower than the number of any heartbeat.
const NO_HEARTBEAT: u64 = 0;

impl Replica {
    /// Handles a candidate's request for a promise.
    pub(super) fn on_prepare(&mut self, from: VoterId, term: Term) {
        if self.id.disk.is_none() {
            return;
        }
        let is_below = term < self.promised && !is_active(Mutant::PromiseBroken);
        if is_below || (term > self.promised && self.has_live_leader_other_than(from.ip)) {
            return self.send(from.ip, Message::Reject { term: self.promised });
        }
        let promise = Message::Promise { term, index: self.state.index, accepted: self.accepted.clone() };
        let is_same_promise =
            |message: &Message| matches!(message, Message::Promise { term: under, .. } if *under == term);
        if term > self.promised {
            self.promised = term;
            if from.ip != self.id.ip {
                self.step_down();
                self.election.reset_timer(self.now);
            }
            self.write_then_send(Record::Promised(term), from.ip, promise);
        } else if self.writes.synced.promised >= term {
            // A repeated request: the promise is on disk and can be sent again.
            self.send(from.ip, promise);
        } else if !self.writes.has_deferred(is_same_promise) {
            self.write_then_send(Record::Promised(term), from.ip, promise);
        }
    }

    /// Whether a leader other than `candidate` counts as alive. This leader may be the replica itself.
    fn has_live_leader_other_than(&self, candidate: Ipv4Addr) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.has_quorum(self.now, &self.state) && candidate != self.id.ip,
            _ => self.election.has_other_live_leader(self.now, candidate),
        }
    }

    /// Handles the leader's request to accept an entry.
    pub(super) fn on_accept(&mut self, from: VoterId, term: Term, index: LogIndex, entry: Entry) {
        if self.id.disk.is_none() {
            return;
        }
        if term < self.promised && !is_active(Mutant::PromiseBroken) {
            return self.send(from.ip, Message::Reject { term: self.promised });
        }
        self.observe_leader(term, from.ip, NO_HEARTBEAT);
        if index > self.state.index + 1 {
            return self.actions.push(Action::FetchLog(from.ip));
        }
        if index <= self.state.index {
            // The index is committed already, but the leader does not know this yet. The entry that the leader proposes
            // under its own term can only be the committed one.
            return;
        }
        let response = Message::Accepted { term, index };
        let is_repeated = self.accepted.as_ref().is_some_and(|last| last.term == term && last.entry == entry);
        if is_repeated && self.writes.is_acceptance_synced(term, index) {
            return self.send(from.ip, response);
        }
        if is_repeated && self.writes.has_deferred(|message| *message == response) {
            return;
        }
        self.promised = term;
        self.accepted = Some(AcceptedEntry { term, entry: entry.clone() });
        self.write_then_send(Record::Accepted { term, index, entry }, from.ip, response);
    }

    /// Handles a heartbeat, which shows that the leader is alive and how far the log is committed.
    pub(super) fn on_heartbeat(&mut self, from: VoterId, term: Term, index: LogIndex, heartbeat: u64) {
        if term < self.promised && !is_active(Mutant::PromiseBroken) {
            return self.send(from.ip, Message::Reject { term: self.promised });
        }
        self.observe_leader(term, from.ip, heartbeat);
        if index == self.state.index + 1 {
            // The entry accepted under the leader's own term is the committed one; it is on disk or its write is
            // pending.
            if let Some(AcceptedEntry { entry, .. }) = self.accepted.take_if(|last| last.term == term) {
                self.apply(entry);
            }
        }
        if index > self.state.index {
            self.actions.push(Action::FetchLog(from.ip));
        }
        self.send(from.ip, Message::HeartbeatResponse { term, index: self.state.index, heartbeat });
    }

    /// Records a message from the leader of a term.
    fn observe_leader(&mut self, term: Term, ip: Ipv4Addr, heartbeat: u64) {
        self.election.mark_contact();
        if ip == self.id.ip {
            return;
        }
        if self.role.term().is_some_and(|mine| mine < term) {
            self.step_down();
        }
        self.election.on_leader_contact(KnownLeader { term, ip, heartbeat, received_at: self.now });
    }

    /// Commits an entry at the next index, where another entry may have been accepted.
    pub(super) fn commit(&mut self, entry: Entry) {
        let index = self.state.index + 1;
        let is_on_disk = self.accepted.take().is_some_and(|last| last.entry == entry);
        if self.id.disk.is_some() && !is_on_disk {
            self.write(Record::Committed(CommittedEntry { index, entry: entry.clone() }), Vec::new());
        }
        self.apply(entry);
    }

    fn apply(&mut self, entry: Entry) {
        Arc::make_mut(&mut self.state).apply(&entry);
        let committed = CommittedEntry { index: self.state.index, entry };
        self.retained.push(committed.clone());
        self.actions.push(Action::Applied(Some(committed)));
        if self.state.index.0.is_multiple_of(SNAPSHOT_INTERVAL_ENTRIES) {
            self.checkpoint = Some(self.state.clone());
            if self.id.disk.is_some() {
                self.write_snapshot();
            }
        }
    }
}
