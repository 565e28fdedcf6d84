//! The last known leader, and the election timer.

use super::{Millis, Term};
use std::net::Ipv4Addr;

/// A leader counts as alive for this time, three heartbeat intervals, after its last heartbeat. During this time, other
/// candidates get no promise. Prevents a voter that can send but can't receive from replacing a live leader.
const LEADER_LEASE_MS: Millis = 360;
/// Time without a heartbeat after which the first voter in the agreed order campaigns: three and a half heartbeat
/// intervals, so that a single lost or late heartbeat does not cause an election.
pub(super) const ELECTION_TIMEOUT_MS: Millis = 420;
/// Additional time-out for each position in the agreed order, so that a voter has its majority before the next voter
/// campaigns.
const ELECTION_STAGGER_MS: Millis = 220;
/// Election time-out after a start, before any contact with the cluster: a live leader sends a heartbeat within 120 ms.
const STARTUP_ELECTION_TIMEOUT_MS: Millis = 240;
/// Additional time-out for each position in the agreed order after a start, before any contact with the cluster.
const STARTUP_ELECTION_STAGGER_MS: Millis = 90;

/// The leader according to its latest message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct KnownLeader {
    pub term: Term,
    pub ip: Ipv4Addr,
    /// The number of the leader's latest heartbeat; 0 if the message was not a heartbeat.
    pub heartbeat: u64,
    /// When the message arrived.
    pub received_at: Millis,
}

/// The last known leader and the election timer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Election {
    leader: Option<KnownLeader>,
    /// Whether this replica has received a message from a leader, or has campaigned, since the process started.
    has_had_contact: bool,
    timer_started_at: Millis,
}

impl Election {
    /// The state at process start.
    pub fn new(now: Millis) -> Election {
        Election { leader: None, has_had_contact: false, timer_started_at: now }
    }

    /// Restarts the election timer.
    pub fn reset_timer(&mut self, now: Millis) {
        self.timer_started_at = now;
    }

    /// Makes the timer expire at once for the first voter in the agreed order.
    pub fn expire_timer(&mut self, now: Millis) {
        self.timer_started_at = now.saturating_sub(ELECTION_TIMEOUT_MS);
    }

    /// Forgets the leader and restarts the election timer.
    pub fn forget_leader(&mut self, now: Millis) {
        self.leader = None;
        self.reset_timer(now);
    }

    /// Records contact with the cluster: the longer time-out applies from here on.
    pub fn mark_contact(&mut self) {
        self.has_had_contact = true;
    }

    /// Records a message from a leader. Only a message newer than all previous ones shows that the leader is alive: an
    /// older one may be delayed or duplicated.
    pub fn on_leader_contact(&mut self, contact: KnownLeader) {
        let is_newer = self
            .leader
            .is_none_or(|leader| (contact.term, contact.heartbeat) > (leader.term, leader.heartbeat));
        if is_newer {
            self.leader = Some(contact);
            self.reset_timer(contact.received_at);
        }
    }

    /// The leader, if its last message arrived within the last two election time-outs.
    pub fn live_leader(&self, now: Millis) -> Option<KnownLeader> {
        self.leader.filter(|leader| now < leader.received_at + 2 * ELECTION_TIMEOUT_MS)
    }

    /// Whether a leader other than `candidate` counts as alive.
    pub fn has_other_live_leader(&self, now: Millis, candidate: Ipv4Addr) -> bool {
        self.leader.is_some_and(|leader| now < leader.received_at + LEADER_LEASE_MS && leader.ip != candidate)
    }

    /// Whether the machine at `ip` is the last known leader, with this term.
    pub fn is_leader_of(&self, term: Term, ip: Ipv4Addr) -> bool {
        self.leader.is_some_and(|leader| leader.term == term && leader.ip == ip)
    }

    /// Whether the election time-out has expired for the voter at this position in the agreed order; `voters` is the
    /// number of voters.
    pub fn is_timed_out(&self, now: Millis, position: usize, voters: usize) -> bool {
        let (timeout, stagger) = match self.has_had_contact {
            true => (ELECTION_TIMEOUT_MS, ELECTION_STAGGER_MS),
            false => (STARTUP_ELECTION_TIMEOUT_MS, STARTUP_ELECTION_STAGGER_MS),
        };
        // A single voter campaigns without waiting.
        let wait = if voters == 1 { 0 } else { timeout + stagger * position as Millis };
        now >= self.timer_started_at + wait
    }
}
