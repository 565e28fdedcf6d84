//! One machine's replica of the log: its promises and acceptances, and the state that results from the committed
//! entries. A machine without a vote also has a replica, which is always a follower.

use super::campaign::Role;
use super::durability::PendingWrites;
use super::election::Election;
use super::retained::RetainedEntries;
use super::{
    AcceptedEntry, Action, Command, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Message, Millis,
    ReplicatedState, Term, VoterId,
};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// If the clock advances by more than this time, an election time-out, between two ticks, the machine was stalled.
const STALLED_AFTER_MS: Millis = super::election::ELECTION_TIMEOUT_MS;

/// One machine's replica of the log: a state machine without I/O. Each method that changes it takes the host's clock
/// and returns the actions that the host has to execute, in order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) id: VoterId,
    pub(super) state: Arc<ReplicatedState>,
    pub(super) promised: Term,
    /// The entry accepted at the next index.
    pub(super) accepted: Option<AcceptedEntry>,
    pub(super) retained: RetainedEntries,
    /// The state at the last index at which all replicas take a snapshot.
    pub(super) checkpoint: Option<Arc<ReplicatedState>>,
    pub(super) election: Election,
    pub(super) role: Role,
    pub(super) writes: PendingWrites,
    /// Whether this machine is shutting down; it then starts no further campaign.
    is_leaving: bool,
    pub(super) actions: Vec<Action>,
    pub(super) now: Millis,
}

impl Replica {
    /// A replica at process start. `disk` is the number assigned to the machine's disk; with [`DiskId::NONE`] the
    /// replica never votes. `recovered` is the state read from disk.
    pub fn new(ip: Ipv4Addr, disk: DiskId, recovered: Option<DurableState>, now: Millis) -> Replica {
        let recovered = recovered.unwrap_or_else(DurableState::empty);
        Replica {
            id: VoterId { ip, disk },
            state: Arc::new(recovered.state),
            promised: recovered.promised,
            accepted: recovered.accepted,
            retained: RetainedEntries::default(),
            checkpoint: None,
            election: Election::new(now),
            role: Role::Follower,
            writes: PendingWrites::new(recovered.promised),
            is_leaving: false,
            actions: Vec::new(),
            now,
        }
    }

    /// Attaches a store that was opened after the start; `disk` is its number and `recovered` the state read from it.
    pub fn attach_store(&mut self, now: Millis, disk: DiskId, recovered: DurableState) -> Vec<Action> {
        self.now = now;
        self.id.disk = disk;
        self.promised = self.promised.max(recovered.promised);
        self.writes.synced.promised = recovered.promised;
        if recovered.state.index >= self.state.index && recovered.state.index > LogIndex(0) {
            (self.state, self.accepted) = (Arc::new(recovered.state), recovered.accepted);
            self.retained.clear();
            self.actions.push(Action::Applied(None));
        } else if self.state.index > LogIndex(0) {
            self.write_snapshot();
        }
        self.election.reset_timer(now);
        self.take_actions()
    }

    /// Starts a new log with this replica as its only voter. Only one machine of a cluster may ever do this. Has no
    /// effect if there is a log already, or no disk.
    pub fn bootstrap(&mut self, now: Millis, quota_shares: u32) -> Vec<Action> {
        self.now = now;
        if self.state.index == LogIndex(0) && self.id.disk.is_some() {
            self.state = Arc::new(ReplicatedState::initial(vec![self.id], quota_shares));
            self.write_snapshot();
            self.actions.push(Action::Applied(None));
            self.election.expire_timer(now);
        }
        self.take_actions()
    }

    /// The state that results from the entries that this replica knows to be committed.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        &self.state
    }

    /// The identity under which this machine votes, or would vote.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// The term and the address of the live leader, if one is known.
    pub fn leader(&self, now: Millis) -> Option<(Term, Ipv4Addr)> {
        match &self.role {
            Role::Leader(leader) => Some((leader.term, self.id.ip)),
            _ => self.election.live_leader(now).map(|leader| (leader.term, leader.ip)),
        }
    }

    /// Prepares for shutdown: the replica starts no further campaign, and transfers leadership if it leads.
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        self.is_leaving = true;
        self.transfer_leadership(now)
    }

    /// Whether this machine is a voter according to the state known to this replica.
    pub fn is_voter(&self) -> bool {
        self.id.disk.is_some() && self.state.voters.contains(&self.id)
    }

    /// The committed entries after an index; `None` if some are no longer retained, or this replica is behind the
    /// index.
    pub fn entries_after(&self, index: LogIndex) -> Option<Vec<CommittedEntry>> {
        self.retained.after(index, self.state.index)
    }

    /// The state at the last index at which every replica takes a snapshot, which is the same on all replicas; `None`
    /// if this replica has not applied the entry at such an index since it started.
    pub fn checkpoint(&self) -> Option<Arc<ReplicatedState>> {
        self.checkpoint.clone()
    }

    /// Applies entries that are known to be committed. Entries that do not directly follow the last applied one are
    /// ignored.
    pub fn append_committed(&mut self, now: Millis, entries: Vec<CommittedEntry>) -> Vec<Action> {
        self.now = now;
        for CommittedEntry { index, entry } in entries {
            if index == self.state.index + 1 {
                self.resolve_overtaken_proposal(index, &entry);
                self.commit(entry);
            }
        }
        self.try_become_leader();
        self.take_actions()
    }

    /// Installs a state that is known to be committed. A state that is not newer is ignored.
    pub fn install_snapshot(&mut self, now: Millis, state: ReplicatedState) -> Vec<Action> {
        self.now = now;
        if state.index > self.state.index {
            self.resolve_overtaken_proposal(state.index, &Entry::Noop);
            self.state = Arc::new(state);
            self.accepted = None;
            self.retained.clear();
            if self.id.disk.is_some() {
                self.write_snapshot();
            }
            self.actions.push(Action::Applied(None));
        }
        self.try_become_leader();
        self.take_actions()
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Millis, from: VoterId, message: Message) -> Vec<Action> {
        self.now = now;
        self.handle(from, message);
        self.take_actions()
    }

    /// Submits a command under a number, which [`Action::Respond`] repeats. A replica that does not lead responds with
    /// [`Outcome::Unknown`](super::Outcome::Unknown).
    pub fn submit(&mut self, now: Millis, number: u64, command: Command) -> Vec<Action> {
        self.now = now;
        self.enqueue(number, command);
        self.take_actions()
    }

    /// Advances the clock and all timers. To be called about every 50 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        // After a stall, the last known leader may have been replaced.
        if now > self.now + STALLED_AFTER_MS {
            self.election.forget_leader(now);
        }
        self.now = now;
        self.tick_follower();
        self.tick_candidate();
        self.tick_leader();
        self.take_actions()
    }

    fn tick_follower(&mut self) {
        if !self.is_voter() || self.is_leaving || !matches!(self.role, Role::Follower) {
            return;
        }
        let voters = &self.state.voters;
        let position = voters.iter().position(|voter| *voter == self.id).unwrap_or_default();
        if self.election.is_timed_out(self.now, position, voters.len()) {
            self.election.mark_contact();
            self.campaign();
        }
    }

    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    fn handle(&mut self, from: VoterId, message: Message) {
        match message {
            Message::Prepare { term } => self.on_prepare(from, term),
            Message::Accept { term, index, entry } => self.on_accept(from, term, index, entry),
            Message::Heartbeat { term, index, heartbeat } => self.on_heartbeat(from, term, index, heartbeat),
            Message::Promise { term, index, accepted } => self.on_promise(from, term, index, accepted),
            Message::Accepted { term, index } => self.on_accepted(from, term, index),
            Message::HeartbeatResponse { term, index, heartbeat } => {
                self.on_heartbeat_response(from, term, index, heartbeat);
            }
            Message::TransferLeadership { term, to } => self.on_transfer_leadership(from, term, to),
            Message::Reject { term } => self.on_reject(term),
        }
    }

    /// Sends a message. A message to this replica itself is handled at once.
    pub(super) fn send(&mut self, to: Ipv4Addr, message: Message) {
        if to == self.id.ip {
            self.handle(self.id, message);
        } else {
            self.actions.push(Action::Send(to, message));
        }
    }

    /// Sends a message to all other voters.
    pub(super) fn send_to_others(&mut self, message: &Message) {
        let others: Vec<Ipv4Addr> =
            self.state.voters.iter().map(|voter| voter.ip).filter(|ip| *ip != self.id.ip).collect();
        others.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }

    /// Sends a message to all voters, including this replica if it is one.
    pub(super) fn broadcast(&mut self, message: &Message) {
        self.send_to_others(message);
        // This replica handles the message last, as its own response may change its state.
        if self.is_voter() {
            self.send(self.id.ip, message.clone());
        }
    }
}
