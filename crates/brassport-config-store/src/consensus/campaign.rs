//! Campaigns: how a voter becomes the leader. A candidate asks all voters to promise a term, and leads once a majority
//! of them, itself included, has the promise on disk.

use super::leader::LeaderState;
use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{AcceptedEntry, Action, DiskId, Entry, LogIndex, Message, Millis, Term, VoterId};
use std::collections::BTreeMap;

/// A candidate without a majority after this time gives up; its next campaign has a higher term. Longer than three
/// retry intervals, so that a single lost message does not end a campaign.
const CAMPAIGN_TIMEOUT_MS: Millis = 500;
/// Interval at which a candidate repeats its requests, since a request or its response may be lost.
const PREPARE_RETRY_INTERVAL_MS: Millis = 150;

/// Whether a replica follows, campaigns or leads.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// Follows a leader, or waits for its election time-out.
    Follower,
    /// Asks the voters for promises.
    Candidate(Candidate),
    /// Has promises from a majority of the voters.
    Leader(LeaderState),
}

impl Role {
    /// The term of the campaign or the leadership; `None` for a follower.
    pub fn term(&self) -> Option<Term> {
        match self {
            Role::Follower => None,
            Role::Candidate(candidate) => Some(candidate.term),
            Role::Leader(leader) => Some(leader.term),
        }
    }
}

/// The state of a campaign.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    term: Term,
    started_at: Millis,
    prepare_sent_at: Millis,
    promises: BTreeMap<VoterId, VoterPromise>,
}

/// The state of a voter's log, as reported with its promise.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct VoterPromise {
    /// The last index that the voter knows to be committed.
    index: LogIndex,
    /// The entry that the voter accepted at the next index.
    accepted: Option<AcceptedEntry>,
}

impl Replica {
    /// Starts a campaign under a term above every term known to this replica.
    pub(super) fn campaign(&mut self) {
        let number = self.promised.number.max(self.role.term().map_or(0, |term| term.number)) + 1;
        let term = Term::new(number, self.id.disk);
        let now = self.now;
        self.election.reset_timer(now);
        self.role = Role::Candidate(Candidate {
            term,
            started_at: now,
            prepare_sent_at: now,
            promises: BTreeMap::new(),
        });
        self.send_to_others(&Message::Prepare { term });
        self.vote_for_self();
    }

    /// Promises this candidate's term to itself as soon as that completes a majority, and not earlier: a candidate that
    /// the others reject must still be able to follow the live leader, whose term is lower.
    fn vote_for_self(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        let term = candidate.term;
        let others = candidate.promises.keys().filter(|voter| **voter != self.id).count();
        let has_promised = candidate.promises.contains_key(&self.id);
        if others + 1 >= self.state.majority() && !has_promised {
            self.send(self.id.ip, Message::Prepare { term });
        }
    }

    /// Handles a rejection by a voter that has promised `term`.
    pub(super) fn on_reject(&mut self, term: Term) {
        if self.role.term().is_some_and(|mine| term > mine) {
            // The next campaign has to use a term above this one.
            self.promised = self.promised.max(Term::new(term.number, DiskId::NONE));
            self.step_down();
        }
    }

    /// Handles a voter's promise of this candidate's term.
    pub(super) fn on_promise(
        &mut self,
        from: VoterId,
        term: Term,
        index: LogIndex,
        accepted: Option<AcceptedEntry>,
    ) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.term != term {
            return;
        }
        candidate.promises.insert(from, VoterPromise { index, accepted });
        if index > self.state.index {
            self.actions.push(Action::FetchLog(from.ip));
        }
        if from != self.id {
            self.vote_for_self();
        }
        self.try_become_leader();
    }

    /// Becomes the leader if a majority has promised. Must be called again when the state has changed, as the set of
    /// voters may have changed as well.
    pub(super) fn try_become_leader(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        if !self.is_voter() {
            // According to a state received since the campaign started, this replica is not a voter any more.
            return self.step_down();
        }
        let promises: Vec<&VoterPromise> =
            self.state.voters.iter().filter_map(|voter| candidate.promises.get(voter)).collect();
        // The candidate's own promise has to be on disk, or the same term could be used again after a crash.
        let is_own_promise_synced =
            candidate.promises.contains_key(&self.id) || is_active(Mutant::LeadsBeforeOwnPromise);
        // A candidate behind one of the voters that promised has to fetch the entries that it lacks before it leads.
        let is_behind = promises.iter().any(|promise| promise.index > self.state.index);
        if !is_own_promise_synced || is_behind || promises.len() < self.state.majority() {
            return;
        }
        let at_same_index = promises.into_iter().filter(|promise| promise.index == self.state.index);
        let accepted =
            at_same_index.filter_map(|promise| promise.accepted.clone()).max_by_key(|accepted| accepted.term);
        let term = candidate.term;
        self.become_leader(term);
        self.adopt(accepted.map(|accepted| accepted.entry));
    }

    /// Proposes the entry that may have been committed under a lower term, according to a majority's promises (the
    /// value found in phase 1 of Paxos), before any command is evaluated. If nothing was accepted, no entry is needed
    /// to confirm the majority.
    fn adopt(&mut self, accepted: Option<Entry>) {
        if let Some(entry) = accepted.filter(|_| !is_active(Mutant::AcceptedEntryIgnored)) {
            self.propose(entry, None);
        }
    }

    /// Advances a candidate's timers: repeats its requests, or ends the campaign.
    pub(super) fn tick_candidate(&mut self) {
        let now = self.now;
        let Role::Candidate(candidate) = &mut self.role else { return };
        if now >= candidate.started_at + CAMPAIGN_TIMEOUT_MS {
            self.role = Role::Follower;
            self.election.reset_timer(now);
        } else if now >= candidate.prepare_sent_at + PREPARE_RETRY_INTERVAL_MS {
            candidate.prepare_sent_at = now;
            let term = candidate.term;
            self.send_to_others(&Message::Prepare { term });
            self.vote_for_self();
        }
    }
}
