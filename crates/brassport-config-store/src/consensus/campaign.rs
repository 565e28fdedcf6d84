//! Campaigns: how a voter becomes the leader. A candidate asks all voters to promise a term, and leads once a majority of
//! them, itself included, has the promise on disk.

use super::leader::LeaderState;
use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{AcceptedEntry, Action, DiskId, Entry, LogIndex, Message, Millis, Term, VoterId};
use std::collections::BTreeMap;

/// A campaign that has no majority after so long is over; the next one has a higher term. Longer than three repetitions,
/// so that a lost message alone ends none.
const CAMPAIGN_TIMEOUT_MS: Millis = 500;
/// After so long promises are asked for again: a message, or its answer, may be lost.
const PREPARE_RETRY_INTERVAL_MS: Millis = 150;

/// A replica's role.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// It follows, or waits until it would campaign.
    Follower,
    /// It asks for promises.
    Candidate(Candidate),
    /// It leads.
    Leader(LeaderState),
}

impl Role {
    /// The term that it leads or campaigns under.
    pub fn term(&self) -> Option<Term> {
        match self {
            Role::Follower => None,
            Role::Candidate(candidate) => Some(candidate.term),
            Role::Leader(leader) => Some(leader.term),
        }
    }
}

/// A campaign.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    term: Term,
    started_at: Millis,
    prepare_sent_at: Millis,
    promises: BTreeMap<VoterId, VoterPromise>,
}

/// What a voter's promise shows of its log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct VoterPromise {
    /// The last index that it knows to be committed.
    index: LogIndex,
    /// What it accepted at the next.
    accepted: Option<AcceptedEntry>,
}

impl Replica {
    /// Campaigns under a term above all that it knows.
    pub(super) fn campaign(&mut self) {
        let number = self.promised.number.max(self.role.term().map_or(0, |term| term.number)) + 1;
        let term = Term::new(number, self.me.disk);
        let now = self.now;
        self.election.reset_timer(now);
        self.role = Role::Candidate(Candidate {
            term,
            started_at: now,
            prepare_sent_at: now,
            promises: BTreeMap::new(),
        });
        self.send_to_others(&Message::Prepare { term });
        self.vote_for_itself();
    }

    /// Promises itself the term, once so many others did that this makes a majority: a candidate whom they reject must not
    /// bar the leader that is alive.
    fn vote_for_itself(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        let term = candidate.term;
        let others = candidate.promises.keys().filter(|voter| **voter != self.me).count();
        let has_promised = candidate.promises.contains_key(&self.me);
        if others + 1 >= self.state.majority() && !has_promised {
            self.send(self.me.ip, Message::Prepare { term });
        }
    }

    /// A voter rejects this candidate, or this leader: it has promised that term.
    pub(super) fn on_reject(&mut self, term: Term) {
        if self.role.term().is_some_and(|mine| term > mine) {
            // The next term that it campaigns under is above this one.
            self.promised = self.promised.max(Term::new(term.number, DiskId::NONE));
            self.step_down();
        }
    }

    /// A voter promises this candidate its term.
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
        if from != self.me {
            self.vote_for_itself();
        }
        self.review_campaign();
    }

    /// Leads, if a majority has promised by now: the state may have changed meanwhile.
    pub(super) fn review_campaign(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        if !self.is_voter() {
            // What it learned meanwhile shows that it has no vote any more.
            return self.step_down();
        }
        let promises: Vec<&VoterPromise> =
            self.state.voters.iter().filter_map(|voter| candidate.promises.get(voter)).collect();
        // Guards against the same term being taken again after a crash: its own promise is on disk first.
        let is_own_synced =
            candidate.promises.contains_key(&self.me) || is_active(Mutant::LeadsBeforeOwnPromise);
        // Guards against a leader that is behind one of those who promised: what it lacks comes first.
        let is_behind = promises.iter().any(|promise| promise.index > self.state.index);
        if !is_own_synced || is_behind || promises.len() < self.state.majority() {
            return;
        }
        let at_next = promises.into_iter().filter(|promise| promise.index == self.state.index);
        let accepted =
            at_next.filter_map(|promise| promise.accepted.clone()).max_by_key(|accepted| accepted.term);
        let term = candidate.term;
        self.become_leader(term);
        self.adopt(accepted.map(|accepted| accepted.entry));
    }

    /// Finishes what may have been committed under a lower term before any command is evaluated (the value that phase 1 of
    /// Paxos has found). Where nothing was accepted, no entry is needed to make sure of the majority.
    fn adopt(&mut self, accepted: Option<Entry>) {
        if let Some(entry) = accepted.filter(|_| !is_active(Mutant::AcceptedEntryIgnored)) {
            self.propose(entry, None);
        }
    }

    /// Time passed for a candidate.
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
            self.vote_for_itself();
        }
    }
}
