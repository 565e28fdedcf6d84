//! What a replica knows of the leader, and the timer after which it campaigns itself.

use super::{Millis, Term};
use std::net::Ipv4Addr;

/// A leader whose heartbeat came so lately is alive, and no other candidate is promised anything: three heartbeats. Guards
/// a leader against a voter that can send and can't receive.
const LEADER_LEASE_MS: Millis = 360;
/// Silence after which the first voter in the agreed order campaigns: three and a half heartbeats, so that one that is
/// lost, or late, costs no election.
pub(super) const ELECTION_TIMEOUT_MS: Millis = 420;
/// So much later each voter behind it, so that the one before it has its majority first.
const ELECTION_STAGGER_MS: Millis = 220;
/// The time-out at a start, before any contact: a live leader sends a heartbeat within 120 ms.
const FIRST_ELECTION_TIMEOUT_MS: Millis = 240;
/// The stagger at a start.
const FIRST_ELECTION_STAGGER_MS: Millis = 90;

/// A leader, as its latest heartbeat showed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct KnownLeader {
    pub term: Term,
    pub ip: Ipv4Addr,
    /// The number of its latest heartbeat.
    pub heartbeat: u64,
    /// When that came.
    pub at: Millis,
}

/// The last known leader and the election timer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Election {
    leader: Option<KnownLeader>,
    /// Whether a leader had contact with this replica, or it campaigned, since the process started.
    has_had_contact: bool,
    timer_started_at: Millis,
}

impl Election {
    /// At the start of a process.
    pub fn new(now: Millis) -> Election {
        Election { leader: None, has_had_contact: false, timer_started_at: now }
    }

    /// Starts the timer anew.
    pub fn reset_timer(&mut self, now: Millis) {
        self.timer_started_at = now;
    }

    /// Lets the timer of the first voter expire at once.
    pub fn expire_timer(&mut self, now: Millis) {
        self.timer_started_at = now.saturating_sub(ELECTION_TIMEOUT_MS);
    }

    /// Forgets the leader, and starts the timer anew.
    pub fn forget_leader(&mut self, now: Millis) {
        self.leader = None;
        self.reset_timer(now);
    }

    /// Notes that the cluster is there: from here on the longer time-out holds.
    pub fn note_contact(&mut self) {
        self.has_had_contact = true;
    }

    /// Notes a leader's heartbeat. Only one that is newer than all before shows that the leader is alive: an old one may
    /// come late, or twice.
    pub fn on_leader_contact(&mut self, contact: KnownLeader) {
        let is_newer = self
            .leader
            .is_none_or(|leader| (contact.term, contact.heartbeat) > (leader.term, leader.heartbeat));
        if is_newer {
            self.leader = Some(contact);
            self.reset_timer(contact.at);
        }
    }

    /// The leader, if it has been heard of within two election time-outs.
    pub fn live_leader(&self, now: Millis) -> Option<KnownLeader> {
        self.leader.filter(|leader| now < leader.at + 2 * ELECTION_TIMEOUT_MS)
    }

    /// Whether a leader other than this candidate is alive.
    pub fn has_other_live_leader(&self, now: Millis, candidate: Ipv4Addr) -> bool {
        self.leader.is_some_and(|leader| now < leader.at + LEADER_LEASE_MS && leader.ip != candidate)
    }

    /// Whether this machine led under this term when it was heard of last.
    pub fn is_leader_of(&self, term: Term, ip: Ipv4Addr) -> bool {
        self.leader.is_some_and(|leader| leader.term == term && leader.ip == ip)
    }

    /// Whether the voter at this position of the agreed order, of so many voters, is to campaign.
    pub fn is_timed_out(&self, now: Millis, position: usize, voters: usize) -> bool {
        let (timeout, stagger) = match self.has_had_contact {
            true => (ELECTION_TIMEOUT_MS, ELECTION_STAGGER_MS),
            false => (FIRST_ELECTION_TIMEOUT_MS, FIRST_ELECTION_STAGGER_MS),
        };
        // A single voter has nobody to wait for.
        let wait = if voters == 1 { 0 } else { timeout + stagger * position as Millis };
        now >= self.timer_started_at + wait
    }
}
