//! News of the chain: who tells whom, so that every door has each entry soon and no link carries it often.

use crate::control::{Control, ALL};
use crate::telegram::Telegram;
use crate::Millis;
use config_store::consensus::{Chosen, Entry, LogIndex};
use std::net::Ipv4Addr;

/// Entries up to so many bytes are told at once; of longer ones it is told that they are there.
const SHORT: usize = 8 * 1024;
/// Doors that the leader tells where there are many, and that each other tells on. Of long entries the leader too tells
/// few: one behind the other they would fill its link while those who have them are idle.
const SOME: usize = 8;
const ON: usize = 3;
/// Short entries are told a second time so much later. Guards against a door that misses the first, and then a hail.
const RETELL: Millis = 120;

fn size(entries: &[Chosen]) -> usize {
    let body = |chosen: &Chosen| match &chosen.entry {
        Entry::Replace { body, .. } | Entry::Change { body, .. } => body.len(),
        _ => 64,
    };
    entries.iter().map(body).sum()
}

impl Control {
    /// Tells a machine what it lacks behind a index.
    pub(crate) fn send_entries(&mut self, to: Ipv4Addr, index: LogIndex) {
        let state = self.replica.state().clone();
        if index >= state.index {
            return;
        }
        let telegram = match self.replica.entries_after(index) {
            Some(entries) => Telegram::Entries(entries),
            None => Telegram::Whole(state),
        };
        self.send(to, telegram);
    }

    /// Entries were chosen: the leader tells those who have no vote, and who hears of them tells on.
    pub(crate) fn spread_entries(&mut self, entries: Vec<Chosen>) {
        let few = self.views.len() <= ALL;
        let is_short = !entries.is_empty() && size(&entries) <= SHORT;
        let most = match (self.replica.leads(), few) {
            (true, true) => ALL,
            (true, false) if is_short => SOME,
            (false, true) => return,
            (_, false) => ON,
        };
        let voters: Vec<Ipv4Addr> = self.replica.state().voters.iter().map(|voter| voter.ip).collect();
        let to = self.views.draw(most, |card| !voters.contains(&card.ip));
        // Of long ones it is told only that they are there.
        let entries = if is_short { entries } else { Vec::new() };
        self.tell_entries(&to, &entries);
        self.retell = match (self.replica.leads(), few) {
            (true, true) => Some((self.now + RETELL, to, entries)),
            // Others than those who were told first: some of them nobody drew.
            (true, false) => Some((self.now + RETELL, self.views.draw(most, |_| true), entries)),
            (false, _) => Some((self.now + RETELL, self.views.draw(1, |_| true), entries)),
        };
    }

    fn tell_entries(&mut self, to: &[Ipv4Addr], entries: &[Chosen]) {
        for ip in to {
            if entries.is_empty() {
                self.gossip_to(*ip, false);
            } else {
                self.send(*ip, Telegram::Entries(entries.to_vec()));
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
