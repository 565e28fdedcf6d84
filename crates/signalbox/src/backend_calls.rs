//! What backends call: heartbeats and ends. News of a backend spreads to all machines; that one leaves is acknowledged once
//! a majority of the core knows.

use crate::backends::{Backend, News, Stage};
use crate::call::Reply;
use crate::control::{Action, Control, Unconfirmed, ALL};
use crate::telegram::Telegram;
use crate::Millis;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

const SOME: usize = 4;
const ON: usize = 2;
/// A call that needs the core's word waits for so long, and the core is asked again so often.
const URGENT: Millis = 900;
const AGAIN: Millis = 120;

/// News of a backend bring the next gossip exchange forward by so much.
const SOONER: Millis = 250;

impl Control {
    /// Takes in records that another machine tells.
    pub(crate) fn receive_backends(&mut self, from: Ipv4Addr, records: Vec<Backend>, number: Option<u64>) {
        let (mut news, mut outdated) = (Vec::new(), Vec::new());
        for record in records {
            let id = record.id.clone();
            match self.table.hear(self.now, record, false) {
                News::Changed => news.extend(self.table.told(self.now, &id)),
                News::Outdated => outdated.extend(self.table.told(self.now, &id)),
                News::None => {}
            }
        }
        if let Some(number) = number {
            self.send(from, Telegram::Confirmed(number));
        }
        if !outdated.is_empty() {
            // Whoever told it told others too.
            self.spread(outdated, None);
        }
        if news.is_empty() {
            return;
        }
        self.actions.extend(news.iter().cloned().map(Action::Backend));
        if self.views.len() <= ALL {
            // Whoever told it told all that it reaches; those it doesn't are told by the next exchange, which comes sooner.
            self.gossiped = self.gossiped.saturating_sub(SOONER);
        } else if news.len() <= 4 {
            // A few records are news that spreads; many are a repair.
            self.spread_on(&news, Some(from));
        }
    }

    /// Tells all whom it knows; of many, some of its own zone and one of each other, who tell on in theirs.
    pub(crate) fn spread(&mut self, records: Vec<Backend>, except: Option<Ipv4Addr>) {
        let zone = self.start.card.zone.clone();
        let to = if self.views.len() <= ALL {
            self.views.draw(ALL, |_| true)
        } else {
            let zones: BTreeSet<String> = self.views.cards().map(|card| card.zone.clone()).collect();
            let far = |other: &String| *other != zone;
            let mut to = self.views.draw(SOME, |card| card.zone == zone);
            for other in zones.iter().filter(|other| far(other)) {
                to.extend(self.views.draw(1, |card| card.zone == *other));
            }
            to
        };
        self.tell(to, &records, except);
    }

    /// Tells some of the own zone what was heard for the first time.
    pub(crate) fn spread_on(&mut self, records: &[Backend], except: Option<Ipv4Addr>) {
        let zone = self.start.card.zone.clone();
        let to = self.views.draw(ON, |card| card.zone == zone && Some(card.ip) != except);
        self.tell(to, records, except);
    }

    pub(crate) fn tell(&mut self, to: Vec<Ipv4Addr>, records: &[Backend], except: Option<Ipv4Addr>) {
        for ip in to.into_iter().filter(|ip| Some(*ip) != except) {
            self.send(ip, Telegram::Backends(records.to_vec(), None));
        }
    }

    /// Acknowledges a beat, and names a door of the backend's own zone for the next ones.
    pub(crate) fn take_beat(&mut self, number: u64, record: &Backend) {
        let own = &self.start.card;
        let near = self.control_port.filter(|_| record.zone != own.zone).and_then(|port| {
            let cards: Vec<Ipv4Addr> =
                self.views.cards().filter(|card| card.zone == record.zone).map(|card| card.ip).collect();
            let index = record.digest_of_name() as usize % cards.len().max(1);
            cards.get(index).map(|ip| format!("{{\"reportTo\":\"{ip}:{port}\"}}").into_bytes())
        });
        match near {
            Some(body) => {
                self.table.hand_on(&record.id);
                self.reply(number, Reply::Done(Arc::new(body)));
            }
            None => self.done(number),
        }
    }

    /// Answers a call once a majority of the core has this record: from there every door in touch hears of it.
    pub(crate) fn confirm_by_core(&mut self, call: u64, record: Backend) {
        if self.known_ends.contains(&(record.id.clone(), record.stage == Stage::Gone)) {
            return self.done(call);
        }
        self.last_unconfirmed += 1;
        let mut taken = BTreeSet::new();
        if self.core().contains(&self.start.card.ip) {
            taken.insert(self.start.card.ip);
        }
        let unconfirmed = Unconfirmed { call, record, taken, since: self.now, sent: 0 };
        self.unconfirmed.insert(self.last_unconfirmed, unconfirmed);
        self.review_unconfirmed();
    }

    pub(crate) fn confirmed(&mut self, number: u64, from: Ipv4Addr) {
        if let Some(unconfirmed) = self.unconfirmed.get_mut(&number) {
            unconfirmed.taken.insert(from);
            self.review_unconfirmed();
        }
    }

    pub(crate) fn review_unconfirmed(&mut self) {
        let (now, core) = (self.now, self.core());
        let mut sends = Vec::new();
        let mut over = Vec::new();
        for (number, unconfirmed) in &mut self.unconfirmed {
            let known = core.iter().filter(|ip| unconfirmed.taken.contains(ip)).count();
            if known > core.len() / 2 {
                over.push((*number, true));
            } else if now >= unconfirmed.since + URGENT {
                over.push((*number, false));
            } else if unconfirmed.sent == 0 || now >= unconfirmed.sent + AGAIN {
                unconfirmed.sent = now.max(1);
                for ip in core.iter().filter(|ip| !unconfirmed.taken.contains(ip)) {
                    sends.push((*ip, Telegram::Backends(vec![unconfirmed.record.clone()], Some(*number))));
                }
            }
        }
        sends.into_iter().for_each(|(ip, telegram)| self.send(ip, telegram));
        for (number, known) in over {
            let Some(unconfirmed) = self.unconfirmed.remove(&number) else { continue };
            if known {
                self.known_ends.insert((unconfirmed.record.id, unconfirmed.record.stage == Stage::Gone));
                self.done(unconfirmed.call);
            } else {
                self.reply(unconfirmed.call, Reply::NotNow("too few of the core answer"));
            }
        }
        // Guards the memory: ends of long ago are of no use.
        while self.known_ends.len() > 10_000 {
            self.known_ends.pop_first();
        }
    }
}
