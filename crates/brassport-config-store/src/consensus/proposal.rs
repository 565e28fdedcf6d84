//! The leader's one open proposal: from the first message to the voters until it is committed, or another leader's entry
//! is known to stand at its index.

use super::campaign::Role;
use super::replica::Replica;
use super::{Entry, LogIndex, Message, Millis, Outcome, Term, VoterId};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// After so long an entry is sent again to those who have not accepted it: a message, or its answer, may be lost.
const RESEND_INTERVAL_MS: Millis = 150;
/// A long entry is sent again later by what its bytes take at 8 Mbit/s. Guards a narrow link against the same bytes again
/// and again.
const LINK_BYTES_PER_MS: usize = 1_000;
/// That time doubles with each repetition, so often at the most.
const MAX_RESEND_DOUBLINGS: u32 = 5;

/// An entry that the leader proposes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    index: LogIndex,
    entry: Entry,
    /// The number of the command that it comes from, if it comes from one.
    pub command_number: Option<u64>,
    accepted_by: BTreeSet<VoterId>,
    sent_at: Millis,
    /// How often it was sent again.
    resends: u32,
}

impl Proposal {
    fn is_resend_due(&self, now: Millis) -> bool {
        let transmission_ms = (self.entry.estimated_size() / LINK_BYTES_PER_MS) as Millis;
        let backoff_ms = transmission_ms << self.resends.min(MAX_RESEND_DOUBLINGS);
        now >= self.sent_at + RESEND_INTERVAL_MS + backoff_ms
    }
}

impl Replica {
    /// Proposes an entry at the next index.
    pub(super) fn propose(&mut self, entry: Entry, command_number: Option<u64>) {
        let (now, index) = (self.now, self.state.index + 1);
        let Role::Leader(leader) = &mut self.role else { return };
        let term = leader.term;
        leader.proposal = Some(Proposal {
            index,
            entry: entry.clone(),
            command_number,
            accepted_by: BTreeSet::new(),
            sent_at: now,
            resends: 0,
        });
        self.broadcast(&Message::Accept { term, index, entry });
    }

    /// A voter has accepted the proposal.
    pub(super) fn on_accepted(&mut self, from: VoterId, term: Term, index: LogIndex) {
        let state = self.state.clone();
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.term != term || index != state.index + 1 {
            return;
        }
        let Some(proposal) = &mut leader.proposal else { return };
        proposal.accepted_by.insert(from);
        let votes = state.voters.iter().filter(|voter| proposal.accepted_by.contains(voter)).count();
        if votes < state.majority() {
            return;
        }
        let Some(Proposal { entry, command_number, .. }) = leader.proposal.take() else { return };
        self.commit(entry);
        if let Some(number) = command_number {
            self.respond(number, Outcome::Committed);
        }
        self.continue_after_commit();
    }

    /// The promises that a leader has are enough for a set that differs by one voter: each majority of the new set meets
    /// each of the old, so whoever accepted after this index under a lower term would have shown this index.
    fn continue_after_commit(&mut self) {
        if !self.is_voter() {
            return self.step_down();
        }
        let (now, state) = (self.now, self.state.clone());
        if let Role::Leader(leader) = &mut self.role {
            leader.progress.track(&state.voters, now);
        }
        self.send_heartbeat();
        self.evaluate_pending();
        self.finish_transfer();
    }

    /// Others have shown that an index is committed for which this leader has an open proposal. Guards against the same
    /// entry at two indexes: what was adopted from an earlier leader may have been committed by it.
    pub(super) fn resolve_overtaken_proposal(&mut self, index: LogIndex, entry: &Entry) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(proposal) = leader.proposal.take_if(|proposal| proposal.index <= index) else { return };
        if let Some(number) = proposal.command_number {
            let is_same = proposal.index == index && proposal.entry == *entry;
            self.respond(number, if is_same { Outcome::Committed } else { Outcome::Unknown });
        }
    }

    /// Sends the open proposal again, if that is due, to those who have not accepted it.
    pub(super) fn resend_proposal(&mut self) {
        let (now, state) = (self.now, self.state.clone());
        let Role::Leader(leader) = &mut self.role else { return };
        let term = leader.term;
        let Some(proposal) = leader.proposal.as_mut().filter(|proposal| proposal.is_resend_due(now)) else {
            return;
        };
        (proposal.sent_at, proposal.resends) = (now, proposal.resends + 1);
        let message = Message::Accept { term, index: proposal.index, entry: proposal.entry.clone() };
        let lacks = |voter: &&VoterId| !proposal.accepted_by.contains(voter);
        let to: Vec<Ipv4Addr> = state.voters.iter().filter(lacks).map(|voter| voter.ip).collect();
        to.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }
}
