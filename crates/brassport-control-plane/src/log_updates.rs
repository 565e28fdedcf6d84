//! Updates of the log: who tells whom, so that every door has each entry soon and no link carries it often.

use crate::control::{ControlPlane, ALL};
use crate::peer_message::PeerMessage;
use crate::snapshots::CHUNK;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::{CommittedEntry, LogIndex};
use std::net::Ipv4Addr;

/// Entries up to so many bytes are told at once; of longer ones it is told that they are there.
const SHORT: usize = 8 * 1024;
/// Doors that the leader tells where there are many, and that each other tells on. Of long entries the leader too tells
/// few: one behind the other they would fill its link while those who have them are idle.
const SOME: usize = 8;
const ON: usize = 3;
/// Short entries are told a second time so much later. Guards against a door that misses the first, and then a gossip exchange.
const RETELL: Millis = 120;
/// What was sent counts as lost after so long, and so much later as its bytes take on a narrow link (2 Mbit/s, in bytes a
/// millisecond).
const ON_ITS_WAY: Millis = 100;
const NARROW_LINK: Millis = 250;
/// Most bytes of entries at once; a longer one is part of a snapshot.
const MOST_BYTES: usize = 256 * 1024;

/// Entries, or a first chunk, that went to a machine which asked for all behind an index.
#[derive(Debug)]
pub(crate) struct OnItsWay {
    index: LogIndex,
    /// From here on they count as lost.
    until: Millis,
}

fn size(entries: &[CommittedEntry]) -> usize {
    entries.iter().map(|chosen| chosen.entry.size()).sum()
}

/// The first entries that together take no more than [`MOST_BYTES`]; none, if the first one takes more.
fn first_of(entries: Vec<CommittedEntry>) -> Vec<CommittedEntry> {
    let mut bytes = 0;
    let fits = |chosen: &CommittedEntry| {
        bytes += chosen.entry.size();
        bytes <= MOST_BYTES
    };
    entries.into_iter().take_while(fits).collect()
}

impl ControlPlane {
    /// Tells a machine what it lacks behind an index, unless that is on its way already.
    pub(crate) fn send_entries(&mut self, to: Ipv4Addr, index: LogIndex) {
        let is_on_its_way =
            self.on_their_way.get(&to).is_some_and(|sent| sent.index == index && self.now < sent.until);
        if index >= self.replica.state().index || is_on_its_way || !self.may_hand_out(to) {
            return;
        }
        let entries = self.replica.entries_after(index).map(first_of).unwrap_or_default();
        let bytes = if entries.is_empty() { CHUNK } else { size(&entries) };
        let until = self.now + ON_ITS_WAY + bytes as Millis / NARROW_LINK;
        self.on_their_way.insert(to, OnItsWay { index, until });
        if entries.is_empty() {
            self.offer_snapshot(to, index);
        } else {
            self.send(to, PeerMessage::Entries(entries));
        }
    }

    /// Whether a machine may be told of the log. Guards against a machine that is cut off and hands out an old
    /// configuration: without a leader that was heard of lately, only machines of the core are told, who need it to elect one.
    fn may_hand_out(&self, to: Ipv4Addr) -> bool {
        let is_of_core =
            self.core().contains(&to) || self.views.peer(to).is_some_and(|member| member.is_core);
        is_of_core || self.leader().is_some() || is_active(Mutant::CutOffHandsOut)
    }

    /// Takes in entries, and asks for more where there are.
    pub(crate) fn receive_entries(&mut self, from: Ipv4Addr, entries: Vec<CommittedEntry>) {
        let before = self.replica.state().index;
        let done = self.replica.append_committed(self.now, entries);
        self.carry_out(done);
        let index = self.replica.state().index;
        let told = self.indexes.get(&from).copied().unwrap_or_default();
        if index > before && told > index {
            self.fetched.remove(&from);
            self.fetch(from);
        }
    }

    /// Entries were chosen: the leader tells those who have no vote, and who hears of them tells on.
    pub(crate) fn spread_entries(&mut self, entries: Vec<CommittedEntry>) {
        let few = self.views.len() <= ALL;
        let is_short = !entries.is_empty() && size(&entries) <= SHORT;
        let most = match (self.replica.is_leader(), few) {
            (true, true) => ALL,
            (true, false) if is_short => SOME,
            (false, true) => return,
            (_, false) => ON,
        };
        let voters: Vec<Ipv4Addr> = self.replica.state().voters.iter().map(|voter| voter.ip).collect();
        let to = self.views.sample(most, |member| !voters.contains(&member.ip));
        // Of long ones it is told only that they are there.
        let entries = if is_short { entries } else { Vec::new() };
        self.tell_entries(&to, &entries);
        self.retell = match (self.replica.is_leader(), few) {
            (true, true) => Some((self.now + RETELL, to, entries)),
            // Others than those who were told first: some of them nobody drew.
            (true, false) => Some((self.now + RETELL, self.views.sample(most, |_| true), entries)),
            (false, _) => Some((self.now + RETELL, self.views.sample(1, |_| true), entries)),
        };
    }

    fn tell_entries(&mut self, to: &[Ipv4Addr], entries: &[CommittedEntry]) {
        for ip in to {
            if entries.is_empty() {
                self.gossip_to(*ip, false);
            } else {
                self.send(*ip, PeerMessage::Entries(entries.to_vec()));
            }
        }
    }

    /// Tells the latest entries a second time, once that is due.
    pub(crate) fn retell(&mut self) {
        if let Some((_, to, entries)) = self.retell.take_if(|(due, ..)| self.now >= *due) {
            self.tell_entries(&to, &entries);
        }
    }
}
