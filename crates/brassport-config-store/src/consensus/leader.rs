//! The leader role: heartbeats, the progress of the voters, and the transfer of leadership.

use super::campaign::Role;
use super::command::CommandQueue;
use super::proposal::Proposal;
use super::replica::Replica;
use super::tracker::{ProgressTracker, VoterProgress};
use super::{Action, LogIndex, Message, Millis, Outcome, ReplicatedState, Term, VoterId};
use std::collections::BTreeSet;

/// Interval between heartbeats. Each time-out that depends on heartbeats spans several of them.
const HEARTBEAT_INTERVAL_MS: Millis = 120;
/// A leader without responses from a majority for this time steps down: five heartbeat intervals.
const QUORUM_TIMEOUT_MS: Millis = 600;
/// Longest time that a transfer of leadership waits for the outcome of the pending proposal.
const TRANSFER_TIMEOUT_MS: Millis = 500;

/// The state of a leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    pub term: Term,
    started_at: Millis,
    /// The number of the latest heartbeat.
    pub heartbeat: u64,
    heartbeat_sent_at: Millis,
    pub progress: ProgressTracker,
    pub proposal: Option<Proposal>,
    pub commands: CommandQueue,
    /// When a transfer of leadership was requested.
    pub transferring_since: Option<Millis>,
}

impl LeaderState {
    fn new(term: Term, now: Millis, voters: &[VoterId]) -> LeaderState {
        LeaderState {
            term,
            started_at: now,
            heartbeat: 0,
            heartbeat_sent_at: now,
            progress: ProgressTracker::new(voters, now),
            proposal: None,
            commands: CommandQueue::default(),
            transferring_since: None,
        }
    }

    /// Whether a majority has responded within the last [`QUORUM_TIMEOUT_MS`].
    pub fn has_quorum(&self, now: Millis, state: &ReplicatedState) -> bool {
        self.progress.is_majority(state, |progress| is_responsive(progress, now))
    }
}

fn is_responsive(progress: &VoterProgress, now: Millis) -> bool {
    now < progress.responded_at + QUORUM_TIMEOUT_MS
}

impl Replica {
    /// Whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this replica leads and a majority has responded within the last 600 ms.
    pub fn has_quorum(&self, now: Millis) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.has_quorum(now, &self.state))
    }

    /// Whether this replica has led for at least `duration`, in milliseconds.
    pub fn has_led_for(&self, now: Millis, duration: Millis) -> bool {
        matches!(&self.role, Role::Leader(leader) if now >= leader.started_at + duration)
    }

    /// Milliseconds since a voter last responded to this leader's heartbeats, or since the leader started to track it;
    /// 0 for this replica itself. `None` if this replica does not lead.
    pub fn unresponsive_for(&self, voter: VoterId, now: Millis) -> Option<Millis> {
        let Role::Leader(leader) = &self.role else { return None };
        if voter == self.id {
            return Some(0);
        }
        let responded_at =
            leader.progress.get(&voter).map_or(leader.started_at, |progress| progress.responded_at);
        Some(now.saturating_sub(responded_at))
    }

    /// Whether a majority of these voters has reported to this leader that it knows all entries up to `index` to be
    /// committed; `false` if this replica does not lead.
    pub fn is_known_to_majority_of(&self, voters: &BTreeSet<VoterId>, index: LogIndex) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let knows = |voter: &&VoterId| match **voter == self.id {
            true => self.state.index >= index,
            false => leader.progress.get(voter).is_some_and(|progress| progress.index >= index),
        };
        voters.iter().filter(knows).count() > voters.len() / 2
    }

    /// Becomes the leader of a term.
    pub(super) fn become_leader(&mut self, term: Term) {
        self.role = Role::Leader(LeaderState::new(term, self.now, &self.state.voters));
        self.send_heartbeat();
    }

    /// Becomes a follower. Another leader may still commit what this one proposed, so the outcome of its commands is
    /// [`Outcome::Unknown`].
    pub(super) fn step_down(&mut self) {
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) {
            let proposed = leader.proposal.and_then(|proposal| proposal.command_number);
            let numbers: Vec<u64> = proposed.into_iter().chain(leader.commands.into_numbers()).collect();
            numbers.into_iter().for_each(|number| self.respond(number, Outcome::Unknown));
        }
        self.election.reset_timer(self.now);
    }

    pub(super) fn respond(&mut self, number: u64, outcome: Outcome) {
        self.actions.push(Action::Respond(number, outcome));
    }

    pub(super) fn send_heartbeat(&mut self) {
        let (now, index) = (self.now, self.state.index);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat += 1;
        leader.heartbeat_sent_at = now;
        let message = Message::Heartbeat { term: leader.term, index, heartbeat: leader.heartbeat };
        self.broadcast(&message);
    }

    /// Handles a voter's response to a heartbeat.
    pub(super) fn on_heartbeat_response(
        &mut self,
        from: VoterId,
        term: Term,
        index: LogIndex,
        heartbeat: u64,
    ) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.term != term {
            return;
        }
        leader.progress.on_response(from, heartbeat, index, now);
        self.evaluate_pending();
    }

    /// Advances a leader's timers: steps down without a quorum; otherwise ends overdue commands, and repeats the
    /// proposal and the heartbeat when they are due.
    pub(super) fn tick_leader(&mut self) {
        let (now, state) = (self.now, self.state.clone());
        let Role::Leader(leader) = &mut self.role else { return };
        if !leader.has_quorum(now, &state) {
            return self.step_down();
        }
        let is_heartbeat_due = now >= leader.heartbeat_sent_at + HEARTBEAT_INTERVAL_MS;
        let overdue = leader.commands.remove_overdue(now);
        overdue.into_iter().for_each(|number| self.respond(number, Outcome::Unknown));
        self.resend_proposal();
        if is_heartbeat_due {
            self.send_heartbeat();
        }
        self.finish_transfer();
    }

    /// Transfers leadership to another voter as soon as the pending proposal has an outcome. No further command is
    /// evaluated.
    pub fn transfer_leadership(&mut self, now: Millis) -> Vec<Action> {
        self.now = now;
        if let Role::Leader(leader) = &mut self.role {
            leader.transferring_since.get_or_insert(now);
        }
        self.finish_transfer();
        self.take_actions()
    }

    pub(super) fn finish_transfer(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(since) = leader.transferring_since else { return };
        if leader.proposal.is_some() && self.now < since + TRANSFER_TIMEOUT_MS {
            return;
        }
        let Some(to) = self.successor() else { return };
        let term = leader.term;
        self.send_to_others(&Message::TransferLeadership { term, to });
        self.step_down();
    }

    /// The responsive voter with the highest known committed index; among equals, the one that responded last.
    fn successor(&self) -> Option<VoterId> {
        let Role::Leader(leader) = &self.role else { return None };
        let others = self.state.voters.iter().filter(|voter| **voter != self.id);
        let tracked = others.filter_map(|voter| Some((leader.progress.get(voter)?, *voter)));
        let live = tracked.filter(|(progress, _)| is_responsive(progress, self.now));
        live.max_by_key(|(progress, _)| (progress.index, progress.responded_at)).map(|(_, voter)| voter)
    }

    /// Handles the message that the leader of a term steps down in favour of `to`. If that is this voter, it campaigns
    /// at once.
    pub(super) fn on_transfer_leadership(&mut self, from: VoterId, term: Term, to: VoterId) {
        if !self.election.is_leader_of(term, from.ip) {
            return;
        }
        self.election.forget_leader(self.now);
        if to == self.id && self.is_voter() && matches!(self.role, Role::Follower) {
            self.campaign();
        }
    }
}
