//! Gossip: exchanges between nodes that keep the partial views fresh, and say how far each knows the log, who leads, and
//! whether the endpoint tables differ.

use crate::contacts::CONTACT_MS;
use crate::control_plane::ControlPlane;
use crate::peer_message::{Gossip, LeaderHint, PeerMessage};
use crate::Millis;
use brassport_transport::peer_sampling::AgedRecord;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Between two exchanges that a node begins: a third of [`CONTACT_MS`], so that two may be lost.
const INTERVAL_MS: Millis = CONTACT_MS / 3;
/// While fewer than two peers are known: each tick, as nothing else goes on.
const BOOTSTRAP_INTERVAL_MS: Millis = 60;
/// Without a leader: the node was partitioned, or an election is under way.
const LEADERLESS_INTERVAL_MS: Millis = 150;
/// A change of a backend brings the next exchange forward by so much.
const BRING_FORWARD_MS: Millis = 250;
/// With fewer peers than this a node knows too little to find the others by its view.
const FEW_PEERS: usize = 2;
/// Of so many turns [`FAR_TURNS`] go to all nodes, near or not. The others stay near: bytes between zones cost.
const TURN_CYCLE: usize = 6;
const FAR_TURNS: usize = 2;
/// The seeds are contacted at each so many turns, whoever is known. Guards against a partition that knows only itself.
const SEED_TURNS: usize = 16;

/// Whether the receiver of gossip is to answer with its own side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exchange {
    /// It is to answer: this begins an exchange.
    Begin,
    /// It is not: this ends one, or is a notice of its own.
    Notify,
}

/// When the node begins exchanges, and whose turn it is.
#[derive(Debug)]
pub(crate) struct GossipSchedule {
    last: Millis,
    has_begun: bool,
    turn: usize,
}

impl GossipSchedule {
    /// Turns start anywhere, so that nodes that start together do not all contact the same peer.
    pub(crate) fn new(seed: u64) -> GossipSchedule {
        GossipSchedule { last: 0, has_begun: false, turn: seed as usize % 7 }
    }

    /// Takes the next turn, if one is due.
    fn take_turn(&mut self, now: Millis, interval: Millis) -> Option<usize> {
        if self.has_begun && now < self.last + interval {
            return None;
        }
        (self.last, self.has_begun) = (now, true);
        self.turn += 1;
        Some(self.turn)
    }

    /// The next exchange comes sooner: there is something to compare.
    pub(crate) fn bring_forward(&mut self) {
        self.last = self.last.saturating_sub(BRING_FORWARD_MS);
    }
}

impl ControlPlane {
    /// Begins the next exchanges when they are due: with one of the core or one of the known peers; besides, when the core
    /// is not heard, with one that is; and, while few are known, with the seeds.
    pub(crate) fn gossip_when_due(&mut self) {
        let interval = self.gossip_interval();
        let Some(turn) = self.gossip.take_turn(self.clock.now(), interval) else { return };
        let core = self.core_peers();
        let is_isolated = !core.iter().any(|ip| self.contacts.is_in_contact(*ip, self.clock.now()));
        let mut to: BTreeSet<Ipv4Addr> =
            self.exchange_partner(turn, &core, is_isolated).into_iter().collect();
        // Who hears none of the core follows through others that it hears, wherever they are.
        if is_isolated {
            to.extend(self.partner_beside_core(&core));
        }
        if self.view.len() < FEW_PEERS || turn.is_multiple_of(SEED_TURNS) {
            let own = self.options.node.ip;
            to.extend(self.options.seeds.iter().copied().filter(|ip| *ip != own));
        }
        to.into_iter().for_each(|ip| self.gossip_to(ip, Exchange::Begin));
    }

    fn gossip_interval(&self) -> Millis {
        if self.view.len() < FEW_PEERS {
            BOOTSTRAP_INTERVAL_MS
        } else if self.leader().is_none() {
            LEADERLESS_INTERVAL_MS
        } else {
            INTERVAL_MS
        }
    }

    /// Whose turn it is. Turns alternate between the core and all peers; each cycle reaches those far away too.
    fn exchange_partner(&mut self, turn: usize, core: &[Ipv4Addr], is_isolated: bool) -> Option<Ipv4Addr> {
        let is_far = turn % TURN_CYCLE < FAR_TURNS;
        if is_isolated && !core.is_empty() {
            // At each turn: what is known here of backends is quarantined from when the core is heard again.
            return Some(core[turn % core.len()]);
        }
        if turn.is_multiple_of(2) && !core.is_empty() {
            let near: Vec<Ipv4Addr> = core.iter().copied().filter(|ip| self.is_near(*ip)).collect();
            let of = if near.is_empty() || is_far { core } else { &near };
            return Some(of[(turn / 2) % of.len()]);
        }
        if is_far {
            return self.view.sample(1, |_| true).pop();
        }
        let (now, contacts, zone) = (self.clock.now(), &self.contacts, &self.options.node.zone);
        let near =
            self.view.sample(1, |peer| peer.zone == *zone && contacts.is_in_contact(peer.ip, now)).pop();
        near.or_else(|| self.view.sample(1, |_| true).pop())
    }

    /// Whether a peer is of the own zone and in contact. One that is not may be partitioned: then those farther away are
    /// contacted.
    fn is_near(&self, ip: Ipv4Addr) -> bool {
        let is_of_zone = |ip| self.view.peer(ip).is_some_and(|peer| peer.zone == self.options.node.zone);
        self.contacts.is_in_contact(ip, self.clock.now()) && is_of_zone(ip)
    }

    /// A peer in contact, else one that is not of the core.
    fn partner_beside_core(&mut self, core: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let (now, contacts) = (self.clock.now(), &self.contacts);
        let in_contact = self.view.sample(1, |peer| contacts.is_in_contact(peer.ip, now)).pop();
        in_contact.or_else(|| self.view.sample(1, |peer| !core.contains(&peer.ip)).pop())
    }

    /// Sends this node's side of an exchange.
    pub(crate) fn gossip_to(&mut self, to: Ipv4Addr, exchange: Exchange) {
        let now = self.clock.now();
        let gossip = Gossip {
            sender: self.options.node.clone(),
            index: self.replica.state().index,
            table_digest: self.backends.table.digest(),
            leader: self.leader_hint(),
            peers: self.view.shuffle_sample(now, to),
            wants_reply: exchange == Exchange::Begin,
        };
        self.outbox.send(to, PeerMessage::Gossip(gossip));
    }

    fn leader_hint(&self) -> Option<LeaderHint> {
        let now = self.clock.now();
        let (term, ip) = self.leader()?;
        let is_heard_now = self.replica.leader(now).is_some();
        let heard_at = if is_heard_now { now } else { self.known_leader.heard_at(ip).unwrap_or(now) };
        let age_ms = u32::try_from(now.saturating_sub(heard_at)).unwrap_or(u32::MAX);
        Some(LeaderHint { term, ip, age_ms })
    }

    /// A peer sends its side of an exchange.
    pub(crate) fn on_gossip(&mut self, gossip: Gossip) {
        let now = self.clock.now();
        let Gossip { sender, index, table_digest, leader, peers, wants_reply } = gossip;
        let from = sender.ip;
        self.contacts.record_index(from, index);
        self.membership.record_zone(&sender);
        self.view.merge(now, AgedRecord { peer: sender, age_ms: 0 });
        for peer in peers {
            self.view.merge(now, peer);
        }
        if let Some(hint) = leader {
            self.known_leader.merge(hint, now);
        }
        if index > self.replica.state().index {
            self.fetch_entries(from);
        }
        if wants_reply {
            self.gossip_to(from, Exchange::Notify);
        }
        self.compare_tables(from, table_digest);
    }
}
