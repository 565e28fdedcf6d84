//! Each node's position on the ring of backends. The positions of the nodes of each zone are spaced evenly, so that the
//! nodes of a zone, and all nodes together, spread their requests evenly over the backends.
//!
//! A node's view is partial, so it can't compute its rank itself. It sends its zone to the leader periodically, and the
//! leader assigns its rank among the nodes of that zone from which it received requests. Ranks are soft state: a new
//! leader rebuilds its registry from the requests, and each node keeps its rank until it is assigned another one. A
//! node without a rank estimates its position from its partial view.

use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_types::Term;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Interval between two rank requests before a rank is assigned.
const FIRST_REQUEST_INTERVAL_MS: Millis = 500;
/// Interval between two rank requests once a rank is assigned.
const REQUEST_INTERVAL_MS: Millis = 2_000;
/// How long a leader waits before it assigns ranks. By then all nodes have sent it a request.
const SETTLED_MS: Millis = REQUEST_INTERVAL_MS + 500;
/// How long a node stays registered after its last request. A node that restarts within this time gets the same rank.
const REGISTRATION_LEASE_MS: Millis = 30_000;

/// A node's rank among the nodes of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Number of nodes of the zone with a lower address.
    pub before: u16,
    /// Number of nodes of the zone, this one included.
    #[serde(rename = "doors")]
    pub nodes: u16,
}

impl Rank {
    /// The middle of the node's arc, when the ring is divided evenly among the nodes of the zone.
    fn position(self) -> f64 {
        (f64::from(self.before) + 0.5) / f64::from(self.nodes.max(1))
    }
}

#[derive(Debug)]
struct Registration {
    zone: String,
    requested_at: Millis,
}

/// A rank assigned by the leader of a term.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    term: Term,
    rank: Rank,
}

/// This node's rank and, while it leads, the registry of the nodes that requested theirs.
#[derive(Debug, Default)]
pub(crate) struct RingRank {
    registry: BTreeMap<Ipv4Addr, Registration>,
    assigned: Option<Assignment>,
    requested_at: Option<Millis>,
}

impl RingRank {
    /// Clears the registry when this node becomes leader.
    pub(crate) fn reset_registry(&mut self) {
        self.registry.clear();
    }

    /// The number of nodes that requested their rank within [`REGISTRATION_LEASE_MS`].
    pub(crate) fn registered_nodes(&self) -> usize {
        self.registry.len()
    }

    fn register(&mut self, now: Millis, node: Ipv4Addr, zone: String) {
        self.registry.insert(node, Registration { zone, requested_at: now });
        self.registry.retain(|_, entry| now < entry.requested_at + REGISTRATION_LEASE_MS);
    }

    fn rank_of(&self, node: Ipv4Addr) -> Option<Rank> {
        let zone = &self.registry.get(&node)?.zone;
        let of_zone = || self.registry.iter().filter(|(_, entry)| entry.zone == *zone).map(|(ip, _)| *ip);
        let count = |nodes: usize| u16::try_from(nodes).unwrap_or(u16::MAX);
        Some(Rank {
            before: count(of_zone().filter(|ip| *ip < node).count()),
            nodes: count(of_zone().count()),
        })
    }

    /// Sets this node's rank. A rank of an earlier term than that of the current rank is ignored.
    pub(crate) fn assign(&mut self, term: Term, rank: Rank) {
        if self.assigned.is_none_or(|known| known.term <= term) {
            self.assigned = Some(Assignment { term, rank });
        }
    }

    fn is_request_due(&self, now: Millis) -> bool {
        let interval = match self.assigned {
            Some(_) => REQUEST_INTERVAL_MS,
            None => FIRST_REQUEST_INTERVAL_MS,
        };
        self.requested_at.is_none_or(|at| now >= at + interval)
    }
}

impl ControlPlane {
    /// This node's position on the ring of backends, above 0 and below 1.
    pub fn ring_position(&self) -> f64 {
        self.ring_rank.assigned.map_or_else(|| self.estimated_rank(), |known| known.rank).position()
    }

    /// The rank within the partial view, which is a random sample of all nodes.
    fn estimated_rank(&self) -> Rank {
        let node = &self.options.node;
        let of_zone = || self.view.peers().filter(|peer| peer.zone == node.zone);
        let before = of_zone().filter(|peer| peer.ip < node.ip).count();
        Rank { before: before as u16, nodes: of_zone().count() as u16 + 1 }
    }

    /// Requests this node's rank from the leader when a request is due.
    pub(crate) fn request_rank(&mut self) {
        let now = self.clock.now();
        if !self.ring_rank.is_request_due(now) {
            return;
        }
        let Some((_, leader)) = self.leader() else { return };
        self.ring_rank.requested_at = Some(now);
        let zone = self.options.node.zone.clone();
        if leader == self.options.node.ip {
            self.on_rank_request(leader, zone);
        } else {
            self.outbox.send(leader, PeerMessage::RankRequest(zone));
        }
    }

    /// Handles a rank request: the leader registers the node and, once settled, assigns its rank.
    pub(crate) fn on_rank_request(&mut self, node: Ipv4Addr, zone: String) {
        let now = self.clock.now();
        let leader = self.replica.leader(now).filter(|_| self.replica.is_leader());
        let Some((term, _)) = leader else { return };
        self.ring_rank.register(now, node, zone);
        if !self.replica.has_led_for(now, SETTLED_MS) {
            return;
        }
        let Some(rank) = self.ring_rank.rank_of(node) else { return };
        if node == self.options.node.ip {
            self.ring_rank.assign(term, rank);
        } else {
            self.outbox.send(node, PeerMessage::RankResponse(term, rank));
        }
    }
}
