//! Each node's position on the ring of backends: nodes are spread evenly, so that those of each zone send to all backends
//! alike, and so do all nodes together.
//!
//! A node knows only some of the others, so it can't count its rank itself. It tells the leader its zone now and then, and
//! is assigned its rank among the nodes of that zone which the leader has heard. Ranks are soft state: the next leader
//! learns them anew, and meanwhile each node keeps the one it has. Before it has one it estimates its position from its
//! partial view.

use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_types::Term;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Between two requests for the rank, in ms: before the first answer, and after it.
const FIRST_REQUEST_INTERVAL_MS: Millis = 500;
const REQUEST_INTERVAL_MS: Millis = 2_000;
/// A leader answers once it has led for so many ms: by then all nodes have requested their ranks from it.
const SETTLED_MS: Millis = REQUEST_INTERVAL_MS + 500;
/// A node that was not heard for so many ms has no rank any more: one that restarts finds its rank as it was.
const REGISTRATION_LEASE_MS: Millis = 30_000;

/// A node's rank among the nodes of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Nodes of the zone that come before it, in the order of their addresses.
    pub before: u16,
    /// All nodes of the zone.
    #[serde(rename = "doors")]
    pub nodes: u16,
}

impl Rank {
    /// The middle of the node's part, when the ring is cut evenly among the nodes of the zone.
    fn position(self) -> f64 {
        (f64::from(self.before) + 0.5) / f64::from(self.nodes.max(1))
    }
}

#[derive(Debug)]
struct Registration {
    zone: String,
    requested_at: Millis,
}

/// The rank that the leader of a term assigned.
#[derive(Debug, Clone, Copy)]
struct Assignment {
    term: Term,
    rank: Rank,
}

/// This node's rank; while it leads, the nodes that requested theirs.
#[derive(Debug, Default)]
pub(crate) struct RingRank {
    registry: BTreeMap<Ipv4Addr, Registration>,
    assigned: Option<Assignment>,
    requested_at: Option<Millis>,
}

impl RingRank {
    /// A new leader learns the nodes anew.
    pub(crate) fn reset_registry(&mut self) {
        self.registry.clear();
    }

    /// How many nodes have requested their ranks of late.
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

    /// Takes the rank that a leader assigned. One of an earlier term knows less.
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
    /// The position on the ring of backends, from 0 up to 1.
    pub fn ring_position(&self) -> f64 {
        self.ring_rank.assigned.map_or_else(|| self.estimated_rank(), |known| known.rank).position()
    }

    /// The rank in the partial view, which is a sample of all nodes.
    fn estimated_rank(&self) -> Rank {
        let node = &self.options.node;
        let of_zone = || self.view.peers().filter(|peer| peer.zone == node.zone);
        let before = of_zone().filter(|peer| peer.ip < node.ip).count();
        Rank { before: before as u16, nodes: of_zone().count() as u16 + 1 }
    }

    /// Requests the rank from the leader when that is due.
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

    /// A node requests its rank; the leader answers.
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
