//! The leader: heartbeats, the queue of what is asked of it, its one open proposal, and what it knows of the voters.

use super::campaign::Role;
use super::mutants::{is_active, Mutant};
use super::replica::Replica;
use super::{
    Action, ChangeScope, ConfigurationRequest, Entry, LogIndex, Message, Millis, Outcome, ReplicatedState,
    Term, VoterId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

/// Between two heartbeats.
const HEARTBEAT: Millis = 120;
/// A leader that a majority has not answered for so long steps down.
const QUORUM_SILENCE: Millis = 600;
/// After so long an entry is sent again to those who have not accepted it; a long one later by what its bytes take at 8
/// Mbit/s, and by twice as much each time. Guards a narrow link against the same bytes again and again.
const SEND_AGAIN: Millis = 150;
const BYTES_A_MILLISECOND: usize = 1_000;
const MOST_DOUBLINGS: u32 = 5;
/// A command that has waited so long gets no clear answer: its caller has gone on.
const PATIENCE: Millis = 2_500;
/// A leader that hands over finishes what it proposed, for so long at the most.
const HAND_OVER: Millis = 500;

/// What may be asked of the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Change the configuration.
    Configure(ConfigurationRequest),
    /// The newest state.
    Read,
    /// Another set of voters, that differs by one at the most, or another number of quota shares.
    ChangeVoters {
        /// The voters.
        voters: Vec<VoterId>,
        /// How many equal shares tenants' rate limits are cut into.
        quota_shares: u32,
    },
}

/// A leader's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Leading {
    pub term: Term,
    since: Millis,
    heartbeat: u64,
    heartbeat_at: Millis,
    answered: BTreeMap<VoterId, Answered>,
    proposal: Option<Proposal>,
    waiting: VecDeque<Waiting>,
    /// Since when it hands leadership over.
    hands_over: Option<Millis>,
}

/// What a voter answered last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Answered {
    heartbeat: u64,
    at: Millis,
    /// The last index that it knew to be chosen.
    index: LogIndex,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposal {
    index: LogIndex,
    entry: Entry,
    asker: Option<u64>,
    accepted: BTreeSet<VoterId>,
    sent: Millis,
    /// How often it was sent again.
    repeats: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    number: u64,
    command: Command,
    since: Millis,
    /// A majority that answers this heartbeat shows that nobody else leads.
    heartbeat: u64,
}

impl Leading {
    fn begin(term: Term, now: Millis, voters: &[VoterId]) -> Leading {
        let mut leading = Leading {
            term,
            since: now,
            heartbeat: 0,
            heartbeat_at: now,
            answered: BTreeMap::new(),
            proposal: None,
            waiting: VecDeque::new(),
            hands_over: None,
        };
        leading.know(voters, now);
        leading
    }

    /// Voters that are new here count as heard now: their silence begins here.
    fn know(&mut self, voters: &[VoterId], now: Millis) {
        for voter in voters {
            self.answered.entry(*voter).or_insert(Answered { heartbeat: 0, at: now, index: LogIndex(0) });
        }
    }

    /// Whether a majority answered of late.
    pub fn has_quorum(&self, now: Millis, state: &ReplicatedState) -> bool {
        self.is_majority(state, |answered| now < answered.at + QUORUM_SILENCE)
    }

    /// Whether what a majority answered last passes.
    fn is_majority(&self, state: &ReplicatedState, passes: impl Fn(&Answered) -> bool) -> bool {
        let has_passed = |voter: &&VoterId| self.answered.get(voter).is_some_and(&passes);
        state.voters.iter().filter(has_passed).count() >= state.majority()
    }

    /// The commands that have waited for too long.
    fn drop_overdue(&mut self, now: Millis) -> Vec<u64> {
        let is_late = |waiting: &Waiting| now >= waiting.since + PATIENCE;
        let late = self.waiting.iter().filter(|waiting| is_late(waiting)).map(|waiting| waiting.number);
        let late = late.collect();
        self.waiting.retain(|waiting| !is_late(waiting));
        late
    }
}

impl Proposal {
    fn is_due_again(&self, now: Millis) -> bool {
        let on_its_way = (self.entry.size() / BYTES_A_MILLISECOND) as Millis;
        now >= self.sent + SEND_AGAIN + (on_its_way << self.repeats.min(MOST_DOUBLINGS))
    }
}

impl Replica {
    /// Whether this machine leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this machine leads, and a majority answered of late.
    pub fn has_quorum(&self, now: Millis) -> bool {
        matches!(&self.role, Role::Leader(leading) if leading.has_quorum(now, &self.state))
    }

    /// Whether this machine has led for so long.
    pub fn has_led_for(&self, now: Millis, long: Millis) -> bool {
        matches!(&self.role, Role::Leader(leading) if now >= leading.since + long)
    }

    /// For how long a voter has not answered this leader's heartbeats; `None` if this machine does not lead.
    pub fn unresponsive_for(&self, voter: VoterId, now: Millis) -> Option<Millis> {
        let Role::Leader(leading) = &self.role else { return None };
        if voter == self.me {
            return Some(0);
        }
        let at = leading.answered.get(&voter).map_or(leading.since, |answered| answered.at);
        Some(now.saturating_sub(at))
    }

    /// Whether a majority of these voters has told this leader that it knows all up to this index to be chosen.
    pub fn is_known_to_majority_of(&self, voters: &BTreeSet<VoterId>, index: LogIndex) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        let knows = |voter: &&VoterId| match **voter == self.me {
            true => self.state.index >= index,
            false => leading.answered.get(voter).is_some_and(|answered| answered.index >= index),
        };
        voters.iter().filter(knows).count() > voters.len() / 2
    }

    /// Hands leadership over to another voter, once what is proposed has its outcome. Nothing new is judged any more.
    pub fn transfer_leadership(&mut self, now: Millis) -> Vec<Action> {
        self.now = now;
        if let Role::Leader(leading) = &mut self.role {
            leading.hands_over.get_or_insert(now);
        }
        self.finish_hand_over();
        self.done()
    }

    fn finish_hand_over(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let Some(since) = leading.hands_over else { return };
        if leading.proposal.is_some() && self.now < since + HAND_OVER {
            return;
        }
        let Some(to) = self.successor() else { return };
        let term = leading.term;
        self.tell_others(&Message::TransferLeadership { term, to });
        self.step_down();
    }

    /// The voter that knows most of the log, and of those the one that answered last.
    fn successor(&self) -> Option<VoterId> {
        let Role::Leader(leading) = &self.role else { return None };
        let others = self.state.voters.iter().filter(|voter| **voter != self.me);
        let known = others.filter_map(|voter| Some((leading.answered.get(voter)?, *voter)));
        let live = known.filter(|(answered, _)| self.now < answered.at + QUORUM_SILENCE);
        live.max_by_key(|(answered, _)| (answered.index, answered.at)).map(|(_, voter)| voter)
    }

    /// The leader of a term gives way to a voter: if that is this one, it campaigns at once.
    pub(super) fn transferred(&mut self, from: VoterId, term: Term, to: VoterId) {
        let is_leader = self.heard.is_some_and(|heard| heard.term == term && heard.ip == from.ip);
        if !is_leader {
            return;
        }
        (self.heard, self.quiet_since) = (None, self.now);
        if to == self.me && self.is_voter() && matches!(self.role, Role::Follower) {
            self.campaign();
        }
    }

    /// Leads under this term.
    pub(super) fn lead(&mut self, term: Term) {
        self.role = Role::Leader(Leading::begin(term, self.now, &self.state.voters));
        self.send_heartbeat();
    }

    /// Gives leadership up. What was proposed may still be chosen by another.
    pub(super) fn step_down(&mut self) {
        if let Role::Leader(leading) = std::mem::replace(&mut self.role, Role::Follower) {
            let proposed = leading.proposal.and_then(|proposal| proposal.asker);
            let waiting = leading.waiting.into_iter().map(|waiting| waiting.number);
            let numbers: Vec<u64> = proposed.into_iter().chain(waiting).collect();
            numbers.into_iter().for_each(|number| self.answer(number, Outcome::Unknown));
        }
        self.quiet_since = self.now;
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.actions.push(Action::Respond(number, outcome));
    }

    pub(super) fn tell_others(&mut self, message: &Message) {
        let others: Vec<Ipv4Addr> =
            self.state.voters.iter().map(|voter| voter.ip).filter(|ip| *ip != self.me.ip).collect();
        others.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }

    fn tell_voters(&mut self, message: &Message) {
        self.tell_others(message);
        // This machine itself comes last: what it says to itself may change what follows.
        if self.is_voter() {
            self.send(self.me.ip, message.clone());
        }
    }

    fn send_heartbeat(&mut self) {
        let (now, index) = (self.now, self.state.index);
        let Role::Leader(leading) = &mut self.role else { return };
        leading.heartbeat += 1;
        leading.heartbeat_at = now;
        let message = Message::Heartbeat { term: leading.term, index, heartbeat: leading.heartbeat };
        self.tell_voters(&message);
    }

    pub(super) fn propose(&mut self, entry: Entry, asker: Option<u64>) {
        let (now, index) = (self.now, self.state.index + 1);
        let Role::Leader(leading) = &mut self.role else { return };
        let term = leading.term;
        let accepted = BTreeSet::new();
        leading.proposal =
            Some(Proposal { index, entry: entry.clone(), asker, accepted, sent: now, repeats: 0 });
        self.tell_voters(&Message::Accept { term, index, entry });
    }

    /// A voter has accepted the proposal.
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
            self.answer(number, Outcome::Committed);
        }
        self.continue_behind_chosen();
    }

    /// The promises that a leader has are enough for a set that differs by one voter: each majority of the new set meets
    /// each of the old, so whoever accepted behind this index under a lower term would have told of this index.
    fn continue_behind_chosen(&mut self) {
        if !self.is_voter() {
            return self.step_down();
        }
        let (now, state) = (self.now, self.state.clone());
        if let Role::Leader(leading) = &mut self.role {
            leading.know(&state.voters, now);
        }
        self.send_heartbeat();
        self.judge_waiting();
        self.finish_hand_over();
    }

    /// Others told that an index is chosen for which this leader has a proposal out. Guards against the same entry at two
    /// indexes: what was adopted from an earlier leader may have been chosen by it.
    pub(super) fn overtaken(&mut self, index: LogIndex, entry: &Entry) {
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(proposal) = leading.proposal.take_if(|proposal| proposal.index <= index) else { return };
        if let Some(number) = proposal.asker {
            let same = proposal.index == index && proposal.entry == *entry;
            self.answer(number, if same { Outcome::Committed } else { Outcome::Unknown });
        }
    }

    /// A voter answers a heartbeat.
    pub(super) fn followed(&mut self, from: VoterId, term: Term, heartbeat: u64, index: LogIndex) {
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else { return };
        if leading.term != term {
            return;
        }
        let before = leading.answered.get(&from).copied();
        let before = before.unwrap_or(Answered { heartbeat: 0, at: now, index: LogIndex(0) });
        // Guards against an answer that comes late, or twice: it does not show that the voter hears this leader now.
        let at = if heartbeat > before.heartbeat { now } else { before.at };
        let heartbeat = before.heartbeat.max(heartbeat);
        leading.answered.insert(from, Answered { heartbeat, at, index: before.index.max(index) });
        self.judge_waiting();
    }

    /// Takes a command up; it is judged once it is sure that nobody else leads.
    pub(super) fn enqueue(&mut self, number: u64, command: Command) {
        let now = self.now;
        let Role::Leader(leading) = &mut self.role else { return self.answer(number, Outcome::Unknown) };
        if leading.hands_over.is_some() {
            return self.answer(number, Outcome::Unknown);
        }
        let heartbeat = leading.heartbeat + 1;
        leading.waiting.push_back(Waiting { number, command, since: now, heartbeat });
        self.send_heartbeat();
    }

    /// Judges what waits, one after another, each on what the one before led to.
    fn judge_waiting(&mut self) {
        while let Some(Waiting { number, command, .. }) = self.next_to_judge() {
            self.judge(number, command);
        }
    }

    /// The first command in the queue, if nothing is open and a majority has answered since it came.
    fn next_to_judge(&mut self) -> Option<Waiting> {
        let state = self.state.clone();
        let Role::Leader(leading) = &mut self.role else { return None };
        if leading.proposal.is_some() || leading.hands_over.is_some() {
            return None;
        }
        let since = leading.waiting.front()?.heartbeat;
        let has_quorum = leading.is_majority(&state, |answered| answered.heartbeat >= since);
        if !has_quorum && !is_active(Mutant::JudgesUnsure) {
            return None;
        }
        leading.waiting.pop_front()
    }

    fn judge(&mut self, number: u64, command: Command) {
        match command {
            Command::Read => self.answer(number, Outcome::Current(self.state.clone())),
            Command::ChangeVoters { voters, quota_shares } => self.judge_voters(number, voters, quota_shares),
            Command::Configure(request) => self.judge_request(number, request),
        }
    }

    /// Guards against a change that was asked for before another was committed: of two sets that differ by more than one
    /// voter, majorities need not meet.
    fn judge_voters(&mut self, number: u64, voters: Vec<VoterId>, quota_shares: u32) {
        let is_step = self.state.differs_by(&voters) <= 1 || is_active(Mutant::VotersUnchecked);
        if is_step && !voters.is_empty() {
            self.propose(Entry::Voters { voters, quota_shares }, Some(number));
        } else {
            self.answer(number, Outcome::VersionConflict);
        }
    }

    fn judge_request(&mut self, number: u64, request: ConfigurationRequest) {
        let state = self.state.clone();
        if state.has_applied(&request.digest()) {
            return self.answer(number, Outcome::Committed);
        }
        if state.may_have_forgotten(request.base_version) {
            return self.answer(number, Outcome::Unknown);
        }
        if request.base_version != state.version() {
            return self.answer(number, Outcome::VersionConflict);
        }
        if let Err(errors) = state.evaluate(request.scope, &request.body) {
            return self.answer(number, Outcome::Invalid(errors.to_string()));
        }
        let ConfigurationRequest { scope, base_version, body } = request;
        let entry = match scope {
            ChangeScope::Full => Entry::Replace { base_version, body },
            ChangeScope::Partial => Entry::Change { base_version, body },
        };
        self.propose(entry, Some(number));
    }

    /// Time passed for a leader.
    pub(super) fn tick_leader(&mut self) {
        let (now, state) = (self.now, self.state.clone());
        let Role::Leader(leading) = &mut self.role else { return };
        if !leading.has_quorum(now, &state) {
            return self.step_down();
        }
        let is_heartbeat_due = now >= leading.heartbeat_at + HEARTBEAT;
        let overdue = leading.drop_overdue(now);
        overdue.into_iter().for_each(|number| self.answer(number, Outcome::Unknown));
        self.send_proposal_again();
        if is_heartbeat_due {
            self.send_heartbeat();
        }
        self.finish_hand_over();
    }

    fn send_proposal_again(&mut self) {
        let (now, state) = (self.now, self.state.clone());
        let Role::Leader(leading) = &mut self.role else { return };
        let term = leading.term;
        let Some(proposal) = leading.proposal.as_mut().filter(|proposal| proposal.is_due_again(now)) else {
            return;
        };
        (proposal.sent, proposal.repeats) = (now, proposal.repeats + 1);
        let message = Message::Accept { term, index: proposal.index, entry: proposal.entry.clone() };
        let lacks = |voter: &&VoterId| !proposal.accepted.contains(voter);
        let to: Vec<Ipv4Addr> = state.voters.iter().filter(lacks).map(|voter| voter.ip).collect();
        to.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }
}
