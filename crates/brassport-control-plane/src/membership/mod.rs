//! Who votes: the leader reconciles the set of voters with the nodes that there are, by one committed step at a time.
//!
//! - A node of the core that has no vote requests one from the leader, again and again, and says how far it knows the log
//!   (`join`). It is let in once it has caught up.
//! - A voter that does not answer heartbeats is removed as soon as those who stay and those who wait for a vote tolerate the
//!   losses that are required (`reconcile`). It goes *before* its successor comes: so a successor that is lost at once
//!   leaves no second unresponsive voter behind.
//! - A voter that is shutting down says so, and ends once a majority of those who stay knows all that it knows
//!   (`leave`).
//!
//! The leader decides, and each decision is an entry of the log like any other.

mod bootstrap;
mod fault_tolerance;
mod join;
mod leave;
mod reconcile;

pub use fault_tolerance::FaultTolerance;

use crate::Millis;
use brassport_config_store::consensus::VoterId;
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, LogIndex};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A voter that has not answered for so many ms is unresponsive.
const UNRESPONSIVE_MS: Millis = 1_200;
/// For each time that a voter became unresponsive and came back it is tolerated for twice as long, this often at the most.
const MAX_FLAP_DOUBLINGS: u32 = 3;
/// After so many ms without becoming unresponsive again a voter counts as steady.
const FLAP_MEMORY_MS: Millis = 60_000;
/// Between two requests to join, and between two to leave, in ms.
const REQUEST_INTERVAL_MS: Millis = 150;
/// A request to join counts once another has followed it after so many ms. Guards against a request that comes late.
const REPEATED_AFTER_MS: Millis = 90;
/// A request holds for so many ms: four may be lost.
const REQUEST_LEASE_MS: Millis = 700;

/// A node that requests a vote.
#[derive(Debug, Clone, Copy)]
struct JoinRequest {
    disk: DiskId,
    index: LogIndex,
    first_at: Millis,
    last_at: Millis,
}

/// A voter that is shutting down.
#[derive(Debug, Clone, Copy)]
struct LeaveRequest {
    disk: DiskId,
    at: Millis,
}

/// How often a voter became unresponsive and came back, and when it last became so.
#[derive(Debug, Clone, Copy)]
struct Flaps {
    count: u32,
    at: Millis,
}

/// This node's own requests.
#[derive(Debug, Default)]
struct OwnRequests {
    sent_at: Millis,
    /// Counts requests to join, so that each goes to the next of the core while no leader is known.
    turn: usize,
    is_leaving: bool,
    is_leave_granted: bool,
}

/// Requests of other nodes for their votes, and this node's own.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    joining: BTreeMap<Ipv4Addr, JoinRequest>,
    leaving: BTreeMap<Ipv4Addr, LeaveRequest>,
    flaps: BTreeMap<Ipv4Addr, Flaps>,
    zones: BTreeMap<Ipv4Addr, String>,
    own: OwnRequests,
    /// The node that begins the log, once this node has chosen it.
    bootstrap_node: Option<Ipv4Addr>,
}

impl Membership {
    /// What a node knows at its start: its own zone.
    pub(crate) fn new(node: &PeerRecord) -> Membership {
        let mut membership = Membership::default();
        membership.record_zone(node);
        membership
    }

    /// A node of the core says in which zone it is.
    pub(crate) fn record_zone(&mut self, node: &PeerRecord) {
        if node.is_core {
            self.zones.insert(node.ip, node.zone.clone());
        }
    }

    fn record_join(&mut self, now: Millis, from: VoterId, index: LogIndex) {
        let first = JoinRequest { disk: from.disk, index, first_at: now, last_at: now };
        let request = self.joining.entry(from.ip).or_insert(first);
        if request.disk != from.disk || now >= request.last_at + REQUEST_LEASE_MS {
            *request = first;
        }
        (request.index, request.last_at) = (index, now);
    }

    fn record_leave(&mut self, now: Millis, voter: VoterId) {
        self.leaving.insert(voter.ip, LeaveRequest { disk: voter.disk, at: now });
    }

    fn is_leaving(&self, voter: VoterId) -> bool {
        self.leaving.get(&voter.ip).is_some_and(|request| request.disk == voter.disk)
    }

    fn expire(&mut self, now: Millis) {
        self.joining.retain(|_, request| now < request.last_at + REQUEST_LEASE_MS);
        self.leaving.retain(|_, request| now < request.at + REQUEST_LEASE_MS);
        self.flaps.retain(|_, flaps| now < flaps.at + FLAP_MEMORY_MS);
    }

    /// Nodes that have repeated their request to join and do not leave, with how far each knows the log.
    fn joining(&self) -> impl Iterator<Item = (VoterId, LogIndex)> + '_ {
        let is_repeated = |request: &JoinRequest| request.last_at >= request.first_at + REPEATED_AFTER_MS;
        self.joining
            .iter()
            .filter(move |(ip, request)| is_repeated(request) && !self.leaving.contains_key(*ip))
            .map(|(ip, request)| (VoterId { ip: *ip, disk: request.disk }, request.index))
    }

    /// The zone of each voter, as far as it is known.
    fn zones_of<'a>(&'a self, voters: impl Iterator<Item = &'a VoterId>) -> Vec<Option<&'a str>> {
        voters.map(|voter| self.zones.get(&voter.ip).map(String::as_str)).collect()
    }

    /// For how many ms a voter may be unresponsive.
    fn response_timeout_ms(&self, voter: VoterId) -> Millis {
        UNRESPONSIVE_MS << self.flaps.get(&voter.ip).map_or(0, |flaps| flaps.count.min(MAX_FLAP_DOUBLINGS))
    }

    fn record_flap(&mut self, now: Millis, voter: VoterId) {
        let flaps = self.flaps.entry(voter.ip).or_insert(Flaps { count: 0, at: now });
        (flaps.count, flaps.at) = (flaps.count + 1, now);
    }
}
