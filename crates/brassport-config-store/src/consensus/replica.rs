//! One machine's replica of the log: what it promised and accepted, and the state that all entries led to. A machine
//! without a vote has one too, and only follows.

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

/// A clock that jumps by more than an election time-out between two ticks belongs to a machine that stood still.
const STALLED_AFTER_MS: Millis = super::election::ELECTION_TIMEOUT_MS;

/// One machine's replica of the log: a state machine without I/O. Each method that changes it takes the host's clock and
/// returns the actions that the host is to execute, in their order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) me: VoterId,
    pub(super) state: Arc<ReplicatedState>,
    pub(super) promised: Term,
    /// Accepted at the next index.
    pub(super) accepted: Option<AcceptedEntry>,
    pub(super) retained: RetainedEntries,
    /// The state at the last index that all replicas take a snapshot of.
    pub(super) checkpoint: Option<Arc<ReplicatedState>>,
    pub(super) election: Election,
    pub(super) role: Role,
    pub(super) writes: PendingWrites,
    /// Whether this machine is about to end: then it campaigns no more.
    is_leaving: bool,
    pub(super) actions: Vec<Action>,
    pub(super) now: Millis,
}

impl Replica {
    /// A machine that starts. `disk` is the number that its disk was given; with [`DiskId::NONE`] it never votes.
    pub fn new(ip: Ipv4Addr, disk: DiskId, found: Option<DurableState>, now: Millis) -> Replica {
        let found = found.unwrap_or_else(DurableState::empty);
        Replica {
            me: VoterId { ip, disk },
            state: Arc::new(found.state),
            promised: found.promised,
            accepted: found.accepted,
            retained: RetainedEntries::default(),
            checkpoint: None,
            election: Election::new(now),
            role: Role::Follower,
            writes: PendingWrites::new(found.promised),
            is_leaving: false,
            actions: Vec::new(),
            now,
        }
    }

    /// The store is open: the disk's number, and what was found on it.
    pub fn attach_store(&mut self, now: Millis, disk: DiskId, found: DurableState) -> Vec<Action> {
        self.now = now;
        self.me.disk = disk;
        self.promised = self.promised.max(found.promised);
        self.writes.synced.promised = found.promised;
        if found.state.index >= self.state.index && found.state.index > LogIndex(0) {
            (self.state, self.accepted) = (Arc::new(found.state), found.accepted);
            self.retained.clear();
            self.actions.push(Action::Applied(None));
        } else if self.state.index > LogIndex(0) {
            self.write_snapshot();
        }
        self.election.reset_timer(now);
        self.take_actions()
    }

    /// Begins the log, with this voter alone. Only one machine of a cluster may ever do so. Without effect where there is
    /// a log already, or no disk.
    pub fn bootstrap(&mut self, now: Millis, quota_shares: u32) -> Vec<Action> {
        self.now = now;
        if self.state.index == LogIndex(0) && self.me.disk.is_some() {
            self.state = Arc::new(ReplicatedState::genesis(vec![self.me], quota_shares));
            self.write_snapshot();
            self.actions.push(Action::Applied(None));
            self.election.expire_timer(now);
        }
        self.take_actions()
    }

    /// The state that the log has led to, as far as this replica knows.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        &self.state
    }

    /// The voter that this machine is, or would be.
    pub fn id(&self) -> VoterId {
        self.me
    }

    /// The term and the address of the live leader, if one is known.
    pub fn leader(&self, now: Millis) -> Option<(Term, Ipv4Addr)> {
        match &self.role {
            Role::Leader(leader) => Some((leader.term, self.me.ip)),
            _ => self.election.live_leader(now).map(|leader| (leader.term, leader.ip)),
        }
    }

    /// This machine is about to end: it campaigns no more, and transfers leadership if it leads.
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        self.is_leaving = true;
        self.transfer_leadership(now)
    }

    /// Whether this machine has a vote, as far as this replica knows.
    pub fn is_voter(&self) -> bool {
        self.me.disk.is_some() && self.state.voters.contains(&self.me)
    }

    /// The entries after an index; `None` if some are no longer retained, or this replica lags behind the index.
    pub fn entries_after(&self, index: LogIndex) -> Option<Vec<CommittedEntry>> {
        self.retained.after(index, self.state.index)
    }

    /// The state at the last index that every replica takes a snapshot of, if this one has passed it: all have the same.
    pub fn checkpoint(&self) -> Option<Arc<ReplicatedState>> {
        self.checkpoint.clone()
    }

    /// Applies entries that are known to be committed. Those that do not follow the last one applied are passed over.
    pub fn append_committed(&mut self, now: Millis, entries: Vec<CommittedEntry>) -> Vec<Action> {
        self.now = now;
        for CommittedEntry { index, entry } in entries {
            if index == self.state.index + 1 {
                self.resolve_overtaken_proposal(index, &entry);
                self.commit(entry);
            }
        }
        self.review_campaign();
        self.take_actions()
    }

    /// Installs a state that is known to be committed; one that is not newer is passed over.
    pub fn install_snapshot(&mut self, now: Millis, state: ReplicatedState) -> Vec<Action> {
        self.now = now;
        if state.index > self.state.index {
            self.resolve_overtaken_proposal(state.index, &Entry::Noop);
            self.state = Arc::new(state);
            self.accepted = None;
            self.retained.clear();
            if self.me.disk.is_some() {
                self.write_snapshot();
            }
            self.actions.push(Action::Applied(None));
        }
        self.review_campaign();
        self.take_actions()
    }

    /// A message came from a voter.
    pub fn step(&mut self, now: Millis, from: VoterId, message: Message) -> Vec<Action> {
        self.now = now;
        self.handle(from, message);
        self.take_actions()
    }

    /// Submits a command to this replica, which has to lead; [`Action::Respond`] repeats the number.
    pub fn submit(&mut self, now: Millis, number: u64, command: Command) -> Vec<Action> {
        self.now = now;
        self.enqueue(number, command);
        self.take_actions()
    }

    /// Time passed. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        // Guards against a machine that stood still and believes what it knew before.
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
        let position = voters.iter().position(|voter| *voter == self.me).unwrap_or_default();
        if self.election.is_timed_out(self.now, position, voters.len()) {
            self.election.note_contact();
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

    /// Sends a message; one to this machine itself is handled at once.
    pub(super) fn send(&mut self, to: Ipv4Addr, message: Message) {
        if to == self.me.ip {
            self.handle(self.me, message);
        } else {
            self.actions.push(Action::Send(to, message));
        }
    }

    /// Sends a message to all voters but this one.
    pub(super) fn send_to_others(&mut self, message: &Message) {
        let others: Vec<Ipv4Addr> =
            self.state.voters.iter().map(|voter| voter.ip).filter(|ip| *ip != self.me.ip).collect();
        others.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }

    /// Sends a message to all voters.
    pub(super) fn broadcast(&mut self, message: &Message) {
        self.send_to_others(message);
        // This machine itself comes last: what it answers itself may change what follows.
        if self.is_voter() {
            self.send(self.me.ip, message.clone());
        }
    }
}
