//! Campaigns: how a voter becomes the leader. It asks all voters to promise a term, and leads once a majority of them,
//! itself included, has the promise on disk.

use super::leader::Leading;
use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{AcceptedEntry, Action, DiskId, Entry, LogIndex, Message, Millis, Term, VoterId};
use std::collections::BTreeMap;

/// A campaign that has no majority after so long is over; the next one has a higher term.
const CAMPAIGN: Millis = 500;
/// After so long promises are asked for again.
const ASK_AGAIN: Millis = 150;

/// What a replica is at.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Role {
    /// It follows, or waits until it would campaign.
    Follower,
    /// It asks for promises.
    Candidate(Candidate),
    /// It leads.
    Leader(Leading),
}

impl Role {
    /// The term that it leads or campaigns under.
    pub fn term(&self) -> Option<Term> {
        match self {
            Role::Follower => None,
            Role::Candidate(candidate) => Some(candidate.term),
            Role::Leader(leading) => Some(leading.term),
        }
    }
}

/// A campaign.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    term: Term,
    since: Millis,
    /// When promises were asked for last.
    asked: Millis,
    promises: BTreeMap<VoterId, Promised>,
}

/// What one voter promised with: the last index that it knows to be chosen, and what it accepted behind.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promised {
    index: LogIndex,
    accepted: Option<AcceptedEntry>,
}

impl Replica {
    /// Campaigns under a term above all that it knows.
    pub(super) fn campaign(&mut self) {
        let number = self.promised.number.max(self.role.term().map_or(0, |term| term.number)) + 1;
        let term = Term::new(number, self.me.disk);
        self.quiet_since = self.now;
        self.role =
            Role::Candidate(Candidate { term, since: self.now, asked: self.now, promises: BTreeMap::new() });
        self.tell_others(&Message::Prepare { term });
        self.promise_oneself();
    }

    /// Promises itself, once the others do: one whom they refuse must not bar the leader that lives.
    fn promise_oneself(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        let term = candidate.term;
        let others = candidate.promises.keys().filter(|voter| **voter != self.me).count();
        let has_promised = candidate.promises.contains_key(&self.me);
        if others + 1 >= self.state.majority() && !has_promised {
            self.send(self.me.ip, Message::Prepare { term });
        }
    }

    /// A voter refuses: it has promised this term.
    pub(super) fn refused(&mut self, term: Term) {
        if self.role.term().is_some_and(|own| term > own) {
            // The next term that it campaigns under is above this one.
            self.promised = self.promised.max(Term::new(term.number, DiskId::NONE));
            self.step_down();
        }
    }

    /// A voter promises this candidate its term.
    pub(super) fn promise(
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
        candidate.promises.insert(from, Promised { index, accepted });
        if index > self.state.index {
            self.actions.push(Action::FetchLog(from.ip));
        }
        if from != self.me {
            self.promise_oneself();
        }
        self.review_campaign();
    }

    /// Leads, if a majority has promised by now: the state may have moved on meanwhile.
    pub(super) fn review_campaign(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        if !self.is_voter() {
            // What it learned meanwhile says that it has no vote any more.
            return self.step_down();
        }
        let promised: Vec<&Promised> =
            self.state.voters.iter().filter_map(|voter| candidate.promises.get(voter)).collect();
        // Guards against the same term being taken again after a crash: the own promise is on disk first.
        let is_own = candidate.promises.contains_key(&self.me) || is_active(Mutant::OwnPromiseUnsynced);
        // Guards against a leader that is behind one of those who promised: what it lacks comes first.
        let is_behind = promised.iter().any(|told| told.index > self.state.index);
        if !is_own || is_behind || promised.len() < self.state.majority() {
            return;
        }
        let at_next = promised.into_iter().filter(|told| told.index == self.state.index);
        let accepted = at_next.filter_map(|told| told.accepted.clone()).max_by_key(|accepted| accepted.term);
        let term = candidate.term;
        self.lead(term);
        self.adopt_open_entry(accepted.map(|accepted| accepted.entry));
    }

    /// What may have been chosen under a lower term is finished before anything is judged. Where nothing is open, no entry
    /// is needed to make sure of the majority.
    fn adopt_open_entry(&mut self, open: Option<Entry>) {
        if let Some(entry) = open.filter(|_| !is_active(Mutant::OpenForgotten)) {
            self.propose(entry, None);
        }
    }

    /// Time passed for a candidate.
    pub(super) fn tick_candidate(&mut self) {
        let now = self.now;
        let Role::Candidate(candidate) = &mut self.role else { return };
        if now >= candidate.since + CAMPAIGN {
            self.role = Role::Follower;
            self.quiet_since = now;
        } else if now >= candidate.asked + ASK_AGAIN {
            candidate.asked = now;
            let term = candidate.term;
            self.tell_others(&Message::Prepare { term });
            self.promise_oneself();
        }
    }
}
