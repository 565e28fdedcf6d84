//! Gossip: pairwise exchanges that refresh the partial views and carry the log index, the known leader and the digest
//! of the endpoint table.

use crate::contacts::CONTACT_MS;
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::peer_message::{Gossip, LeaderHint, PeerMessage};
use crate::Millis;
use brassport_transport::peer_sampling::AgedRecord;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Interval between the exchanges that a node begins: a third of [`CONTACT_MS`], so that two in a row may be lost.
const INTERVAL_MS: Millis = CONTACT_MS / 3;
/// Interval while fewer than [`MIN_KNOWN_PEERS`] peers are known: one exchange per tick, since there is no other
/// traffic.
const BOOTSTRAP_INTERVAL_MS: Millis = 60;
/// Interval while no leader is known: the node was partitioned, or an election is in progress.
const LEADERLESS_INTERVAL_MS: Millis = 150;
/// Interval of additional exchanges in a large cluster while backends come and go: two ticks. A push misses some nodes
/// there, which learn of the change by an exchange.
const CHURN_INTERVAL_MS: Millis = 120;
/// One of this many additional exchanges contacts a core node.
const CORE_EXCHANGE_INTERVAL: usize = 4;
/// Time after a change of the endpoint table, or a difference from a peer's, in which [`CHURN_INTERVAL_MS`] applies.
const CHURN_MS: Millis = 1_000;
/// A change of a backend makes the next exchange due this much earlier.
const BRING_FORWARD_MS: Millis = 250;
/// With fewer known peers than this, the partial view is too small to discover the others through it.
const MIN_KNOWN_PEERS: usize = 2;
/// In each cycle of this many turns, [`ANY_ZONE_TURNS`] contact nodes of any zone. The other turns stay within the
/// node's own zone, because traffic between zones is costly.
const TURNS_PER_CYCLE: usize = 6;
const ANY_ZONE_TURNS: usize = 2;
/// The seeds are contacted every this many turns, even if many peers are known. Prevents a permanent split into groups
/// of nodes whose views contain only each other.
const SEED_INTERVAL_TURNS: usize = 16;

/// Whether the receiver of gossip must reply with its own side of the exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exchange {
    /// The receiver replies.
    Begin,
    /// The receiver does not reply: the message ends an exchange, or is a one-way notification.
    Notify,
}

/// Schedules the exchanges that this node begins; the turn number selects the peer.
#[derive(Debug)]
pub(crate) struct GossipSchedule {
    last: Millis,
    has_begun: bool,
    turn: usize,
    /// When the last exchange of any kind began.
    last_exchange: Millis,
    /// Number of additional exchanges.
    additional: usize,
}

impl GossipSchedule {
    /// The first turn depends on the seed, so that nodes that start together do not all contact the same peer.
    pub(crate) fn new(seed: u64) -> GossipSchedule {
        GossipSchedule {
            last: 0,
            has_begun: false,
            turn: seed as usize % 7,
            last_exchange: 0,
            additional: seed as usize % 7,
        }
    }

    /// Returns the number of the next turn, if an exchange is due.
    fn take_turn(&mut self, now: Millis, interval: Millis) -> Option<usize> {
        if self.has_begun && now < self.last + interval {
            return None;
        }
        (self.last, self.has_begun, self.last_exchange) = (now, true, now);
        self.turn += 1;
        Some(self.turn)
    }

    /// Returns the number of the next additional exchange, if one is due.
    fn take_additional(&mut self, now: Millis) -> Option<usize> {
        if now < self.last_exchange + CHURN_INTERVAL_MS {
            return None;
        }
        self.last_exchange = now;
        self.additional += 1;
        Some(self.additional)
    }

    /// Makes the next exchange due earlier, after the endpoint table has changed.
    pub(crate) fn bring_forward(&mut self) {
        self.last = self.last.saturating_sub(BRING_FORWARD_MS);
    }
}

impl ControlPlane {
    /// Begins the exchanges that are due: with a core node or a known peer; also with a peer outside the core while no
    /// core node is in contact; and with the seeds while few peers are known, and every [`SEED_INTERVAL_TURNS`] turns.
    pub(crate) fn gossip_when_due(&mut self) {
        let interval = self.gossip_interval();
        let Some(turn) = self.gossip.take_turn(self.clock.now(), interval) else {
            return self.begin_additional_exchange();
        };
        let core = self.core_peers();
        let is_isolated = !core.iter().any(|ip| self.contacts.is_in_contact(*ip, self.clock.now()));
        let mut to: BTreeSet<Ipv4Addr> =
            self.exchange_partner(turn, &core, is_isolated).into_iter().collect();
        // A node that has no core node in contact gets committed entries from other peers, in any zone.
        if is_isolated {
            to.extend(self.fallback_partner(&core));
        }
        if self.view.len() < MIN_KNOWN_PEERS || turn.is_multiple_of(SEED_INTERVAL_TURNS) {
            let own = self.options.node.ip;
            to.extend(self.options.seeds.iter().copied().filter(|ip| *ip != own));
        }
        to.into_iter().for_each(|ip| self.gossip_to(ip, Exchange::Begin));
    }

    /// Begins an additional exchange in a large cluster while backends come and go. Most partners are peers of the node's
    /// zone, so that the load does not concentrate on the core.
    fn begin_additional_exchange(&mut self) {
        if self.view.len() <= FULL_BROADCAST_PEERS || !self.has_churn() {
            return;
        }
        let Some(number) = self.gossip.take_additional(self.clock.now()) else { return };
        let core = self.core_peers();
        let partner = if number.is_multiple_of(CORE_EXCHANGE_INTERVAL) && !core.is_empty() {
            Some(core[number / CORE_EXCHANGE_INTERVAL % core.len()])
        } else {
            self.near_partner()
        };
        if let Some(ip) = partner {
            self.gossip_to(ip, Exchange::Begin);
        }
    }

    fn gossip_interval(&self) -> Millis {
        if self.view.len() < MIN_KNOWN_PEERS {
            BOOTSTRAP_INTERVAL_MS
        } else if self.leader().is_none() {
            LEADERLESS_INTERVAL_MS
        } else {
            INTERVAL_MS
        }
    }

    /// Whether this node's table has changed, or differed from a peer's, within [`CHURN_MS`].
    fn has_churn(&self) -> bool {
        let since = self.clock.now().saturating_sub(CHURN_MS);
        self.backends.table.has_changed_since(since) || self.backends.repair.has_differed_since(since)
    }

    /// The peer for a turn. Turns alternate between the core and all peers; some turns of each cycle reach other zones.
    fn exchange_partner(&mut self, turn: usize, core: &[Ipv4Addr], is_isolated: bool) -> Option<Ipv4Addr> {
        let is_any_zone_turn = turn % TURNS_PER_CYCLE < ANY_ZONE_TURNS;
        if is_isolated && !core.is_empty() {
            // Every turn tries a core node: the quarantine of outdated backend records starts at the next contact with
            // a core node.
            return Some(core[turn % core.len()]);
        }
        if turn.is_multiple_of(2) && !core.is_empty() {
            let near: Vec<Ipv4Addr> = core.iter().copied().filter(|ip| self.is_near(*ip)).collect();
            let of = if near.is_empty() || is_any_zone_turn { core } else { &near };
            return Some(of[(turn / 2) % of.len()]);
        }
        if is_any_zone_turn {
            return self.view.sample(1, |_| true).pop();
        }
        self.near_partner()
    }

    /// A random peer of this node's zone that is in contact; if there is none, a random peer.
    fn near_partner(&mut self) -> Option<Ipv4Addr> {
        let (now, contacts, zone) = (self.clock.now(), &self.contacts, &self.options.node.zone);
        let near =
            self.view.sample(1, |peer| peer.zone == *zone && contacts.is_in_contact(peer.ip, now)).pop();
        near.or_else(|| self.view.sample(1, |_| true).pop())
    }

    /// Whether a peer is in this node's zone and in contact. A peer that is not in contact may be partitioned; without
    /// near peers, peers in other zones are contacted.
    fn is_near(&self, ip: Ipv4Addr) -> bool {
        let is_of_zone = |ip| self.view.peer(ip).is_some_and(|peer| peer.zone == self.options.node.zone);
        self.contacts.is_in_contact(ip, self.clock.now()) && is_of_zone(ip)
    }

    /// A random peer in contact; if there is none, a random peer outside the core.
    fn fallback_partner(&mut self, core: &[Ipv4Addr]) -> Option<Ipv4Addr> {
        let (now, contacts) = (self.clock.now(), &self.contacts);
        let in_contact = self.view.sample(1, |peer| contacts.is_in_contact(peer.ip, now)).pop();
        in_contact.or_else(|| self.view.sample(1, |peer| !core.contains(&peer.ip)).pop())
    }

    /// Sends this node's side of an exchange to a peer.
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
        let is_in_contact = self.replica.leader(now).is_some();
        let last_seen_at =
            if is_in_contact { now } else { self.known_leader.last_seen_at(ip).unwrap_or(now) };
        let age_ms = u32::try_from(now.saturating_sub(last_seen_at)).unwrap_or(u32::MAX);
        Some(LeaderHint { term, ip, age_ms })
    }

    /// Handles a peer's side of an exchange.
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
