//! Where each door stands on the ring of backends: spread evenly, the doors of each zone send to all backends alike, and
//! so do all doors together.
//!
//! A door knows only some of the others, so it can't count its rank itself. It tells the leader its zone now and then,
//! and is told its rank among the doors of that zone which the leader has heard. Ranks are soft state: the next leader
//! learns them anew, and meanwhile each door keeps the one it has. Before a door is told one it estimates its position
//! from its partial view.

use crate::control::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::Term;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Between two questions for the rank: before the first answer, and behind it.
const FIRST_ASKS: Millis = 500;
const LATER_ASKS: Millis = 2_000;
/// A leader answers once it has led for so long: by then the doors of its system have asked it.
const SETTLED: Millis = LATER_ASKS + 500;
/// A door that was not heard for so long has no rank any more: one that restarts finds its place as it was.
const FORGOTTEN: Millis = 30_000;

/// A door's rank among the doors of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    /// Doors of the zone that come before it, in the order of their addresses.
    pub before: u16,
    /// All doors of the zone.
    pub doors: u16,
}

impl Rank {
    /// The middle of the door's part, when the ring is cut evenly among the doors of the zone.
    fn position(self) -> f64 {
        (f64::from(self.before) + 0.5) / f64::from(self.doors.max(1))
    }
}

/// The leader's side: the doors that asked for their ranks.
#[derive(Debug, Default)]
pub(crate) struct Ranks {
    /// Each door's zone, and when it asked last.
    doors: BTreeMap<Ipv4Addr, (String, Millis)>,
}

impl Ranks {
    fn note(&mut self, now: Millis, door: Ipv4Addr, zone: String) {
        self.doors.insert(door, (zone, now));
        self.doors.retain(|_, (_, asked)| now < *asked + FORGOTTEN);
    }

    /// How many doors there are.
    pub(crate) fn len(&self) -> usize {
        self.doors.len()
    }

    fn rank(&self, door: Ipv4Addr) -> Option<Rank> {
        let (zone, _) = self.doors.get(&door)?;
        let of_zone = || self.doors.iter().filter(|(_, (other, _))| other == zone).map(|(ip, _)| *ip);
        let count = |doors: usize| u16::try_from(doors).unwrap_or(u16::MAX);
        Some(Rank {
            before: count(of_zone().filter(|ip| *ip < door).count()),
            doors: count(of_zone().count()),
        })
    }
}

/// A door's side: the rank that it was told, and when it asked.
#[derive(Debug, Default)]
pub(crate) struct OwnRank {
    told: Option<(Term, Rank)>,
    asked: Option<Millis>,
}

impl ControlPlane {
    /// The position on the ring of backends, from 0 up to 1.
    pub fn ring_position(&self) -> f64 {
        self.own_rank.told.map_or_else(|| self.estimated_rank(), |(_, rank)| rank).position()
    }

    /// The rank in the partial view, which is a draw from all doors.
    fn estimated_rank(&self) -> Rank {
        let me = &self.options.node;
        let of_zone = || self.views.peers().filter(|member| member.zone == me.zone);
        let before = of_zone().filter(|member| member.ip < me.ip).count();
        Rank { before: before as u16, doors: of_zone().count() as u16 + 1 }
    }

    /// Asks the leader for the rank when that is due.
    pub(crate) fn ask_for_rank(&mut self) {
        let every = if self.own_rank.told.is_some() { LATER_ASKS } else { FIRST_ASKS };
        if self.own_rank.asked.is_some_and(|asked| self.now < asked + every) {
            return;
        }
        let Some((_, leader)) = self.leader() else { return };
        self.own_rank.asked = Some(self.now);
        let zone = self.options.node.zone.clone();
        if leader == self.options.node.ip {
            self.rank_asked_by(leader, zone);
        } else {
            self.send(leader, PeerMessage::RankRequest(zone));
        }
    }

    /// A door asks for its rank; one that leads answers.
    pub(crate) fn rank_asked_by(&mut self, door: Ipv4Addr, zone: String) {
        let Some((term, _)) = self.replica.leader(self.now).filter(|_| self.replica.is_leader()) else {
            return;
        };
        self.ranks.note(self.now, door, zone);
        if !self.replica.has_led_for(self.now, SETTLED) {
            return;
        }
        let Some(rank) = self.ranks.rank(door) else { return };
        if door == self.options.node.ip {
            self.rank_told(term, rank);
        } else {
            self.send(door, PeerMessage::RankResponse(term, rank));
        }
    }

    /// A leader tells this door its rank. One of an earlier term knows less.
    pub(crate) fn rank_told(&mut self, term: Term, rank: Rank) {
        if self.own_rank.told.is_none_or(|(known, _)| known <= term) {
            self.own_rank.told = Some((term, rank));
        }
    }
}
