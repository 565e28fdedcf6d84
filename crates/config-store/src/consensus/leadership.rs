//! The role: one voter at a time, under an term, proposes entries and judges what the operator asks.

use super::mutants::is_chosen;
use super::replica::Replica;
use super::*;
use std::collections::{BTreeSet, VecDeque};

/// Between two heartbeats of the leader.
const HEARTBEAT: Millis = 120;
/// A leader that a majority has not answered for so long gives way.
const QUORUM_SILENCE: Millis = 600;
/// So long a voter asks for promises; then it asks again under a higher term.
const CAMPAIGN: Millis = 500;
/// After so long what was not accepted is sent again.
const AGAIN: Millis = 150;
/// A call that has waited so long gets no clear answer: its caller has gone on.
const PATIENCE: Millis = 2500;

/// What may be asked of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// A configuration of the operator's, whole or a change, on top of a version.
    Put {
        /// Whether it is a whole one.
        is_whole: bool,
        /// The version it builds on.
        built_on: u32,
        /// As it was sent.
        body: Arc<Vec<u8>>,
    },
    /// The newest state.
    Read,
    /// Other voters, by one at the most, or other parts of limits.
    Voters {
        /// The voters.
        voters: Vec<VoterId>,
        /// Parts that limits are cut into.
        slots: u32,
    },
}

/// What this voter does for all.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Role {
    Follower,
    Candidate(Candidate),
    Leader(Leading),
}

impl Role {
    pub fn term(&self) -> Option<Term> {
        match self {
            Role::Follower => None,
            Role::Candidate(candidate) => Some(candidate.term),
            Role::Leader(leading) => Some(leading.term),
        }
    }
}

/// Promises asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    pub term: Term,
    since: Millis,
    /// When it was asked last.
    asked: Millis,
    promises: BTreeMap<VoterId, Promised>,
}

/// What one voter promised with: the last index that it knows to be chosen, and what it accepted behind.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promised {
    index: LogIndex,
    open: Option<(Term, Entry)>,
}

/// Leadership, held.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Leading {
    pub term: Term,
    since: Millis,
    heartbeat: u64,
    heartbeat_at: Millis,
    /// The latest heartbeat that each voter answered, and when.
    answered: BTreeMap<VoterId, (u64, Millis)>,
    proposal: Option<Proposal>,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposal {
    index: LogIndex,
    entry: Entry,
    asker: Option<u64>,
    accepted: BTreeSet<VoterId>,
    sent: Millis,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    number: u64,
    command: Command,
    since: Millis,
    /// A majority that answers this heartbeat shows that nobody else holds leadership.
    heartbeat: u64,
}

impl Leading {
    /// Whether a majority answered of late.
    pub fn has_quorum(&self, now: Millis, state: &State) -> bool {
        self.count(state, |_, at| now < at + QUORUM_SILENCE)
    }

    /// Whether for a majority what it answered last passes.
    fn count(&self, state: &State, passes: impl Fn(u64, Millis) -> bool) -> bool {
        let answered = |voter: &&VoterId| {
            self.answered.get(voter).is_some_and(|(heartbeat, at)| passes(*heartbeat, *at))
        };
        state.voters.iter().filter(answered).count() >= state.majority()
    }
}

impl Replica {
    /// Whether this machine holds leadership.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this machine holds leadership, and a majority answered of late.
    pub fn has_quorum(&self, now: Millis) -> bool {
        matches!(&self.role, Role::Leader(leading) if leading.has_quorum(now, &self.state))
    }

    /// Whether this machine has held leadership for so long.
    pub fn has_led(&self, now: Millis, long: Millis) -> bool {
        matches!(&self.role, Role::Leader(leading) if now >= leading.since + long)
    }

    /// Stands for leadership, under an term above all that it knows.
    pub(super) fn campaign(&mut self) {
        let number = self.promised.0.max(self.role.term().map_or(0, |term| term.0)) + 1;
        let term = (number, self.me.disk);
        self.quiet_since = self.now;
        self.role =
            Role::Candidate(Candidate { term, since: self.now, asked: self.now, promises: BTreeMap::new() });
        self.tell_others(&Message::Prepare { term });
        self.promise_oneself();
    }

    /// Promises itself, once the others do: one whom they refuse must not bar the leader that lives.
    fn promise_oneself(&mut self) {
        let Role::Candidate(candidate) = &self.role else { return };
        let (term, others) =
            (candidate.term, candidate.promises.keys().filter(|voter| **voter != self.me).count());
        if others + 1 >= self.state.majority() && !candidate.promises.contains_key(&self.me) {
            self.send(self.me.ip, Message::Prepare { term });
        }
    }

    /// Gives leadership up. What was proposed may still be chosen by another.
    pub(super) fn step_down(&mut self) {
        if let Role::Leader(leading) = std::mem::replace(&mut self.role, Role::Follower) {
            let proposed = leading.proposal.and_then(|proposal| proposal.asker);
            let waiting = leading.waiting.into_iter().map(|waiting| waiting.number);
            let numbers: Vec<u64> = proposed.into_iter().chain(waiting).collect();
            numbers.into_iter().for_each(|number| self.answer(number, Outcome::Open));
        }
        self.quiet_since = self.now;
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.actions.push(Action::Answer(number, outcome));
    }

    fn tell_others(&mut self, message: &Message) {
        let others: Vec<Ipv4Addr> =
            self.state.voters.iter().map(|voter| voter.ip).filter(|ip| *ip != self.me.ip).collect();
        others.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }

    fn tell_voters(&mut self, message: &Message) {
        self.tell_others(message);
        // This machine itself comes last: what it says to itself may change what follows.
        if self.votes() {
            self.send(self.me.ip, message.clone());
        }
    }

    pub(super) fn refused(&mut self, term: Term) {
        match self.role.term() {
            Some(own) if term > own => {
                // The next term that it stands under is above this one.
                self.promised = self.promised.max((term.0, 0));
                self.step_down();
            }
            _ => {}
        }
    }

    pub(super) fn promise(
        &mut self,
        from: VoterId,
        term: Term,
        index: LogIndex,
        open: Option<(Term, Entry)>,
    ) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if candidate.term != term {
            return;
        }
        candidate.promises.insert(from, Promised { index, open });
        if index > self.state.index {
            self.actions.push(Action::Fetch(from.ip));
        }
        if from != self.me {
            self.promise_oneself();
        }
        self.review();
    }

    /// Looks whether leadership is this voter's by now: the state may have moved on meanwhile.
    pub(super) fn review(&mut self) {
        let state = self.state.clone();
        let Role::Candidate(candidate) = &mut self.role else { return };
        let of_voters = || state.voters.iter().filter_map(|voter| candidate.promises.get(voter));
        // Guards against a leader that is behind one of those who promised: what it lacks comes first.
        // Nor is leadership taken before the own promise is on disk: the same term would be taken again after a crash.
        let is_own = candidate.promises.contains_key(&self.me) || is_chosen(Mutant::OwnPromiseUnsynced);
        if !is_own
            || of_voters().count() < state.majority()
            || of_voters().any(|told| told.index > state.index)
        {
            return;
        }
        let open = of_voters().filter(|told| told.index == state.index).filter_map(|told| told.open.clone());
        let open = open.max_by_key(|(under, _)| *under);
        let term = candidate.term;
        self.adopt_open_entry(term, open.map(|(_, entry)| entry));
    }

    /// Leadership is this voter's. What may have been chosen under a lower term is finished before anything is judged.
    fn adopt_open_entry(&mut self, term: Term, open: Option<Entry>) {
        self.role = Role::Leader(Leading {
            term,
            since: self.now,
            heartbeat: 0,
            heartbeat_at: self.now,
            answered: self.state.voters.iter().map(|voter| (*voter, (0, self.now))).collect(),
            proposal: None,
            waiting: VecDeque::new(),
        });
        self.send_heartbeat();
        // Nothing is asked of a majority by an entry of its own where nothing is open.
        if let Some(entry) = open.filter(|_| !is_chosen(Mutant::OpenForgotten)) {
            self.propose(entry, None);
        }
    }

    fn send_heartbeat(&mut self) {
        let (now, index) = (self.now, self.state.index);
        let Role::Leader(leading) = &mut self.role else { return };
        leading.heartbeat += 1;
        leading.heartbeat_at = now;
        let message = Message::Lead { term: leading.term, index, heartbeat: leading.heartbeat };
        self.tell_voters(&message);
    }

    fn propose(&mut self, entry: Entry, asker: Option<u64>) {
        let (now, index) = (self.now, self.state.index + 1);
        let Role::Leader(leading) = &mut self.role else { return };
        let term = leading.term;
        let accepted = BTreeSet::new();
        leading.proposal = Some(Proposal { index, entry: entry.clone(), asker, accepted, sent: now });
        self.tell_voters(&Message::Accept { term, index, entry });
    }

    pub(super) fn accepted(&mut self, from: VoterId, term: Term, index: LogIndex) {
        let state = self.state.clone();
        let Role::Leader(leading) = &mut self.role else { return };
        if leading.term != term || index != state.index + 1 {
            return;
        }
        let Some(proposal) = &mut leading.proposal else { return };
        proposal.accepted.insert(from);
        let for_it = state.voters.iter().filter(|voter| proposal.accepted.contains(voter)).count();
        if for_it < state.majority() {
            return;
        }
        let Some(Proposal { entry, asker, .. }) = leading.proposal.take() else { return };
        self.advance(entry);
        if let Some(number) = asker {
            self.answer(number, Outcome::Taken);
        }
        // The promises that it has are enough for a set that differs by one voter: each majority of the new set meets each
        // of the old, so whoever accepted behind this index under a lower term would have told of this index.
        if !self.votes() {
            return self.step_down();
        }
        self.send_heartbeat();
        self.judge_waiting();
    }

    /// Others told that a index is chosen for which this leader has a proposal out. Guards against the same entry at two
    /// indexes: what was taken over from an earlier leader may have been chosen by it.
    pub(super) fn overtaken(&mut self, index: LogIndex, entry: &Entry) {
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(proposal) = leading.proposal.take_if(|proposal| proposal.index <= index) else { return };
        if let Some(number) = proposal.asker {
            let same = proposal.index == index && proposal.entry == *entry;
            self.answer(number, if same { Outcome::Taken } else { Outcome::Open });
        }
    }

    pub(super) fn followed(&mut self, from: VoterId, term: Term, heartbeat: u64) {
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else { return };
        if leading.term == term {
            let answered = leading.answered.entry(from).or_insert((0, now));
            *answered = (answered.0.max(heartbeat), now);
            self.judge_waiting();
        }
    }

    /// Takes a command up; it is judged once it is sure that nobody else holds leadership.
    pub(super) fn asked(&mut self, number: u64, command: Command) {
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else { return self.answer(number, Outcome::Open) };
        let heartbeat = leading.heartbeat + 1;
        leading.waiting.push_back(Waiting { number, command, since: now, heartbeat });
        self.send_heartbeat();
    }

    /// Judges what waits, one after another, each on what the one before led to.
    fn judge_waiting(&mut self) {
        loop {
            let state = self.state.clone();
            let Role::Leader(leading) = &mut self.role else { return };
            let Some(first) = leading.waiting.front() else { return };
            let first_heartbeat = first.heartbeat;
            let has_quorum = leading.count(&state, |heartbeat, _| heartbeat >= first_heartbeat)
                || is_chosen(Mutant::JudgesUnsure);
            if leading.proposal.is_some() || !has_quorum {
                return;
            }
            let Some(Waiting { number, command, .. }) = leading.waiting.pop_front() else { return };
            match command {
                Command::Read => self.answer(number, Outcome::Newest(state)),
                Command::Voters { voters, slots } => {
                    // Guards against a change that was asked for before another was chosen: of two sets that differ by
                    // more than one voter, majorities need not meet.
                    if state.differs_by(&voters) <= 1 || is_chosen(Mutant::VotersUnchecked) {
                        self.propose(Entry::Voters { voters, slots }, Some(number));
                    } else {
                        self.answer(number, Outcome::Outdated);
                    }
                }
                Command::Put { is_whole, built_on, body } => {
                    let digest = digest(is_whole, built_on, &body);
                    if state.taken.values().any(|taken| *taken == digest) {
                        self.answer(number, Outcome::Taken);
                    } else if built_on != state.version() {
                        self.answer(number, Outcome::Outdated);
                    } else if let Err(faults) = state.built(is_whole, &body) {
                        self.answer(number, Outcome::Invalid(faults.to_string()));
                    } else {
                        let entry = if is_whole {
                            Entry::Replace { built_on, body }
                        } else {
                            Entry::Change { built_on, body }
                        };
                        self.propose(entry, Some(number));
                    }
                }
            }
        }
    }

    /// Time passed for whoever has leadership or stands for it.
    pub(super) fn tick_role(&mut self) {
        let (now, state) = (self.now, self.state.clone());
        match &mut self.role {
            Role::Follower => {}
            Role::Candidate(candidate) if now >= candidate.since + CAMPAIGN => {
                self.role = Role::Follower;
                self.quiet_since = now;
            }
            Role::Candidate(candidate) => {
                if now >= candidate.asked + AGAIN {
                    candidate.asked = now;
                    let term = candidate.term;
                    self.tell_others(&Message::Prepare { term });
                    self.promise_oneself();
                }
            }
            Role::Leader(leading) => {
                if !leading.has_quorum(now, &state) {
                    return self.step_down();
                }
                let late = |waiting: &Waiting| now >= waiting.since + PATIENCE;
                let numbers: Vec<u64> =
                    leading.waiting.iter().filter(|one| late(one)).map(|one| one.number).collect();
                leading.waiting.retain(|waiting| !late(waiting));
                let again = leading.proposal.as_mut().filter(|proposal| now >= proposal.sent + AGAIN);
                let again = again.map(|proposal| {
                    proposal.sent = now;
                    let lacks = |voter: &&VoterId| !proposal.accepted.contains(voter);
                    let to: Vec<Ipv4Addr> = state.voters.iter().filter(lacks).map(|voter| voter.ip).collect();
                    (to, proposal.entry.clone())
                });
                let (term, index) = (leading.term, state.index + 1);
                let due = now >= leading.heartbeat_at + HEARTBEAT;
                numbers.into_iter().for_each(|number| self.answer(number, Outcome::Open));
                if let Some((to, entry)) = again {
                    for ip in to {
                        self.send(ip, Message::Accept { term, index, entry: entry.clone() });
                    }
                }
                if due {
                    self.send_heartbeat();
                }
            }
        }
    }
}
