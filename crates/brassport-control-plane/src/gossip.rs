//! Gossip: exchanges between machines that keep the partial views fresh, tell how far each knows the log, who leads, and
//! whether the tables of backends differ.

use crate::control::ControlPlane;
use crate::peer_message::{Gossip, LeaderHint, PeerMessage};
use crate::Millis;
use brassport_transport::peer_sampling::AgedRecord;
use brassport_types::Term;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// Between two gossip exchanges, and between two while nobody is known yet.
const GOSSIP: Millis = 400;
const FIRST_GOSSIP: Millis = 60;
/// Between two of a machine that knows of no leader: it was cut off, or a new one is on its way.
const LEADERLESS_GOSSIP: Millis = 150;
/// Between two repairs of the table; while it changes all the time, at the latest.
const REPAIR: Millis = 300;
const REPAIR_LATEST: Millis = 900;
/// A machine that said something so lately is not cut off from here.
pub(crate) const SPEAKS: Millis = 1_200;
/// So many turns have two for all doors, near or not.
const FAR_TURN: usize = 6;
/// Between two looks for what is missing at one machine.
const FETCH: Millis = 120;

impl ControlPlane {
    /// How long it is between two gossip exchanges that this machine begins.
    pub(crate) fn gossip_every(&self) -> Millis {
        if self.views.len() < 2 {
            FIRST_GOSSIP
        } else if self.leader().is_none() {
            LEADERLESS_GOSSIP
        } else {
            GOSSIP
        }
    }

    /// Hails one of the core, one of those known, and, while few are known, the seeds.
    pub(crate) fn gossip_next(&mut self) {
        self.turn += 1;
        let me = self.options.node.ip;
        let core: Vec<Ipv4Addr> = self.core().into_iter().filter(|ip| *ip != me).collect();
        let zone = self.options.node.zone.clone();
        // One that has said nothing for long may be cut off: then those farther away are asked.
        let (heard, now) = (&self.heard, self.now);
        let speaks = |ip: &Ipv4Addr| heard.get(ip).is_some_and(|at| now < at + SPEAKS);
        let is_near =
            |ip: &Ipv4Addr| speaks(ip) && self.views.peer(*ip).is_some_and(|member| member.zone == zone);
        let near: Vec<Ipv4Addr> = core.iter().copied().filter(is_near).collect();
        let mut to: BTreeSet<Ipv4Addr> = BTreeSet::new();
        // Mostly near: bytes between zones cost. All of the core and all doors have their turn.
        let far = self.turn % FAR_TURN < 2;
        let is_cut_off = !core.iter().any(speaks);
        if is_cut_off && !core.is_empty() {
            // At each turn: what is known here of backends is doubted from when the core is heard again.
            to.insert(core[self.turn % core.len()]);
        } else if self.turn.is_multiple_of(2) && !core.is_empty() {
            let of = if near.is_empty() || far { &core } else { &near };
            to.insert(of[(self.turn / 2) % of.len()]);
        } else if far {
            to.extend(self.views.sample(1, |_| true));
        } else {
            let drawn = self.views.sample(1, |member| member.zone == zone && speaks(&member.ip));
            to.extend(if drawn.is_empty() { self.views.sample(1, |_| true) } else { drawn });
        }
        // Who hears none of the core follows through others that it hears, wherever they are.
        if is_cut_off {
            let drawn = self.views.sample(1, |member| speaks(&member.ip));
            to.extend(if drawn.is_empty() {
                self.views.sample(1, |member| !core.contains(&member.ip))
            } else {
                drawn
            });
        }
        // Guards against a part of the doors that knows only itself.
        if self.views.len() < 2 || self.turn.is_multiple_of(16) {
            to.extend(self.options.seeds.iter().copied().filter(|ip| *ip != me));
        }
        to.into_iter().for_each(|ip| self.gossip_to(ip, true));
    }

    pub(crate) fn gossip_to(&mut self, to: Ipv4Addr, back: bool) {
        let hint = |(term, ip): (Term, Ipv4Addr)| -> LeaderHint {
            let at = self.told.filter(|(_, at_ip, _)| *at_ip == ip).map_or(self.now, |(_, _, at)| at);
            let heard = if self.replica.leader(self.now).is_some() { self.now } else { at };
            LeaderHint { term, ip, age_ms: u32::try_from(self.now - heard).unwrap_or(u32::MAX) }
        };
        let leader = self.leader().map(hint);
        let gossip = Gossip {
            sender: self.options.node.clone(),
            index: self.replica.state().index,
            table_digest: self.table.digest(),
            leader,
            peers: self.views.sample_for_exchange(self.now, to),
            wants_reply: back,
        };
        self.send(to, PeerMessage::Gossip(gossip));
    }

    pub(crate) fn receive_gossip(&mut self, gossip: Gossip) {
        let Gossip { sender: member, index, table_digest: digest, leader, peers: members, wants_reply: back } =
            gossip;
        let from = member.ip;
        self.indexes.insert(from, index);
        self.membership.note_zone(&member);
        self.views.merge(self.now, AgedRecord { peer: member, age_ms: 0 });
        for aged in members {
            self.views.merge(self.now, aged);
        }
        if let Some(LeaderHint { term, ip, age_ms }) = leader {
            let at = self.now.saturating_sub(Millis::from(age_ms));
            let newer =
                self.told.is_none_or(|(known, _, heard)| term > known || (term == known && at > heard));
            if newer {
                self.told = Some((term, ip, at));
            }
        }
        if index > self.replica.state().index {
            self.fetch(from);
        }
        if back {
            self.gossip_to(from, false);
        }
        if digest == self.table.digest() {
            self.compared();
        } else if self.may_repair() {
            self.repaired = Some(self.now);
            let own = self.table.digests();
            self.send(from, PeerMessage::TableDigests(own));
        }
    }

    /// Whether tables that differ are to be mended now. Guards the links while many backends come at once: what differs is
    /// on its way then, and a part of the table for each exchange would weigh more than all of it.
    pub(crate) fn may_repair(&self) -> bool {
        let since = |at: Option<Millis>| at.map_or(Millis::MAX, |at| self.now.saturating_sub(at));
        let (repaired, changed) = (since(self.repaired), since(self.table.changed()));
        repaired >= REPAIR_LATEST || (repaired >= REPAIR && changed >= REPAIR)
    }

    pub(crate) fn fetch(&mut self, from: Ipv4Addr) {
        // What a snapshot brings comes first.
        if self.snapshots.is_downloading(self.now) {
            return;
        }
        let last = self.fetched.get(&from).copied();
        if last.is_none_or(|at| self.now >= at + FETCH) {
            self.fetched.insert(from, self.now);
            let index = self.replica.state().index;
            self.send(from, PeerMessage::FetchEntries(index));
        }
    }
}
