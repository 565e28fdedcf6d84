//! The set of voters. The leader reconciles it with the live core nodes, by one committed change at a time.
//!
//! - A core node that is not a voter sends the leader join requests with its log index until it is added (`join`). It
//!   is added once it has caught up.
//! - A voter that does not respond to heartbeats is removed once the remaining voters and the nodes waiting to join
//!   tolerate the required losses (`reconcile`). It is removed *before* its successor is added, so that a successor
//!   that is lost immediately does not leave a second unresponsive voter in the set.
//! - A voter that shuts down announces it, and exits once a majority of the remaining voters has applied the log as far
//!   as it has (`leave`).
//!
//! The leader makes each decision, and commits it as an entry of the log.

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

/// A voter that has not responded for this long is unresponsive.
const UNRESPONSIVE_MS: Millis = 1_200;
/// The timeout of a voter doubles each time it becomes unresponsive and returns, up to this many times.
const MAX_FLAP_DOUBLINGS: u32 = 3;
/// The doublings are reset once a voter has not become unresponsive for this long.
const FLAP_MEMORY_MS: Millis = 60_000;
/// Interval between two join requests, and between two leave requests.
const REQUEST_INTERVAL_MS: Millis = 150;
/// A join request takes effect only if another one follows it at least this much later, so that a single delayed
/// request has no effect.
const REPEATED_AFTER_MS: Millis = 90;
/// How long a request is valid: four later ones may be lost.
const REQUEST_LEASE_MS: Millis = 700;

/// A request to become a voter.
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

/// How often a voter became unresponsive, and when it last did.
#[derive(Debug, Clone, Copy)]
struct Flaps {
    count: u32,
    at: Millis,
}

/// This node's own join and leave requests.
#[derive(Debug, Default)]
struct OwnRequests {
    sent_at: Millis,
    /// Counts join requests. While no leader is known, it selects the core node to ask.
    turn: usize,
    is_shutting_down: bool,
    is_leave_granted: bool,
}

/// The join and leave requests of other nodes, and those of this node.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    joining: BTreeMap<Ipv4Addr, JoinRequest>,
    leaving: BTreeMap<Ipv4Addr, LeaveRequest>,
    flaps: BTreeMap<Ipv4Addr, Flaps>,
    zones: BTreeMap<Ipv4Addr, String>,
    own: OwnRequests,
    /// The node that bootstraps the log, once this node has chosen it.
    bootstrap_node: Option<Ipv4Addr>,
}

impl Membership {
    /// The initial state, which contains the node's own zone.
    pub(crate) fn new(node: &PeerRecord) -> Membership {
        let mut membership = Membership::default();
        membership.record_zone(node);
        membership
    }

    /// Records the zone of a node if it belongs to the core.
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

    /// The nodes that have repeated their join request and are not leaving, each with the log index it reported.
    fn joining(&self) -> impl Iterator<Item = (VoterId, LogIndex)> + '_ {
        let is_repeated = |request: &JoinRequest| request.last_at >= request.first_at + REPEATED_AFTER_MS;
        self.joining
            .iter()
            .filter(move |(ip, request)| is_repeated(request) && !self.leaving.contains_key(*ip))
            .map(|(ip, request)| (VoterId { ip: *ip, disk: request.disk }, request.index))
    }

    /// The zone of each voter; `None` if it is unknown.
    fn zones_of<'a>(&'a self, voters: impl Iterator<Item = &'a VoterId>) -> Vec<Option<&'a str>> {
        voters.map(|voter| self.zones.get(&voter.ip).map(String::as_str)).collect()
    }

    /// How long a voter may fail to respond before it is unresponsive, in ms.
    fn response_timeout_ms(&self, voter: VoterId) -> Millis {
        UNRESPONSIVE_MS << self.flaps.get(&voter.ip).map_or(0, |flaps| flaps.count.min(MAX_FLAP_DOUBLINGS))
    }

    fn record_flap(&mut self, now: Millis, voter: VoterId) {
        let flaps = self.flaps.entry(voter.ip).or_insert(Flaps { count: 0, at: now });
        (flaps.count, flaps.at) = (flaps.count + 1, now);
    }
}
