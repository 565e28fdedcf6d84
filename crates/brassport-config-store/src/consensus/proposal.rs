//! The leader's single pending proposal, from its first request to the voters until it is committed, or until its index
//! is known to be committed by another leader.

use super::campaign::Role;
use super::replica::Replica;
use super::{Entry, LogIndex, Message, Millis, Outcome, Term, VoterId};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Interval after which an entry is sent again to the voters that have not accepted it, since a request or its response
/// may be lost.
const RESEND_INTERVAL_MS: Millis = 150;
/// Assumed throughput of a slow link, 8 Mbit/s. The resend interval is extended by the transmission time of the entry,
/// so that resending a long entry does not saturate such a link.
const LINK_BYTES_PER_MS: usize = 1_000;
/// Maximum number of doublings of this extension; it doubles with each resend.
const MAX_RESEND_DOUBLINGS: u32 = 5;

/// An entry proposed by the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    index: LogIndex,
    entry: Entry,
    /// The number of the command that the entry comes from; `None` if it was adopted from a lower term.
    pub command_number: Option<u64>,
    accepted_by: BTreeSet<VoterId>,
    sent_at: Millis,
    /// How many times the entry was sent again.
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

    /// Handles a voter's acceptance of the proposal.
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

    /// Continues to lead under the same term, also if the committed entry changed the voters. The leader's promises
    /// suffice for a set that differs by one voter: each majority of the new set intersects each majority of the old
    /// one, so a voter that accepted an entry after this index under a lower term would have reported this index as
    /// committed.
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

    /// Drops the pending proposal if its index is known to be committed by another leader, and responds to its command.
    /// Guards against the same entry at two indexes: an entry adopted from an earlier leader may have been committed by
    /// that leader.
    pub(super) fn resolve_overtaken_proposal(&mut self, index: LogIndex, entry: &Entry) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(proposal) = leader.proposal.take_if(|proposal| proposal.index <= index) else { return };
        if let Some(number) = proposal.command_number {
            let is_same = proposal.index == index && proposal.entry == *entry;
            self.respond(number, if is_same { Outcome::Committed } else { Outcome::Unknown });
        }
    }

    /// Sends the pending proposal again, if that is due, to the voters that have not accepted it.
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
