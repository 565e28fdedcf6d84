//! What backends call: heartbeats and ends. MergeOutcome of a backend spreads to all machines; that one leaves is acknowledged once
//! a majority of the core knows.

use crate::backends::{Backend, MergeOutcome};
use crate::call::Reply;
use crate::control::{Action, ControlPlane, ALL};
use crate::peer_message::PeerMessage;
use crate::Millis;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

const SOME: usize = 4;
const ON: usize = 2;

/// MergeOutcome of a backend bring the next gossip exchange forward by so much.
const SOONER: Millis = 250;

impl ControlPlane {
    /// Takes in records that another machine tells.
    pub(crate) fn receive_backends(&mut self, from: Ipv4Addr, records: Vec<Backend>, number: Option<u64>) {
        if number.is_none() && !records.is_empty() {
            self.compared();
        }
        let (mut news, mut outdated) = (Vec::new(), Vec::new());
        for record in records {
            let id = record.id.clone();
            match self.table.hear(self.now, record, false) {
                MergeOutcome::Changed => news.extend(self.table.told(self.now, &id)),
                MergeOutcome::Stale => outdated.extend(self.table.told(self.now, &id)),
                MergeOutcome::Unchanged => {}
            }
        }
        if let Some(number) = number {
            self.send(from, PeerMessage::RecordsConfirmed(number, self.replica.state().index));
        }
        if !outdated.is_empty() {
            // Whoever told it told others too.
            self.spread(outdated, None);
        }
        if news.is_empty() {
            return;
        }
        self.actions.extend(news.iter().cloned().map(Action::BackendChanged));
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
        let zone = self.options.node.zone.clone();
        let to = if self.views.len() <= ALL {
            self.views.sample(ALL, |_| true)
        } else {
            let zones: BTreeSet<String> = self.views.peers().map(|member| member.zone.clone()).collect();
            let far = |other: &String| *other != zone;
            let mut to = self.views.sample(SOME, |member| member.zone == zone);
            for other in zones.iter().filter(|other| far(other)) {
                to.extend(self.views.sample(1, |member| member.zone == *other));
            }
            to
        };
        self.tell(to, &records, except);
    }

    /// Tells some of the own zone what was heard for the first time.
    pub(crate) fn spread_on(&mut self, records: &[Backend], except: Option<Ipv4Addr>) {
        let zone = self.options.node.zone.clone();
        let to = self.views.sample(ON, |member| member.zone == zone && Some(member.ip) != except);
        self.tell(to, records, except);
    }

    pub(crate) fn tell(&mut self, to: Vec<Ipv4Addr>, records: &[Backend], except: Option<Ipv4Addr>) {
        for ip in to.into_iter().filter(|ip| Some(*ip) != except) {
            self.send(ip, PeerMessage::BackendRecords(records.to_vec(), None));
        }
    }

    /// Acknowledges a beat, and names a door of the backend's own zone for the next ones.
    pub(crate) fn take_beat(&mut self, number: u64, record: &Backend) {
        let own = &self.options.node;
        let near = self.control_port.filter(|_| record.zone != own.zone).and_then(|port| {
            let members: Vec<Ipv4Addr> = self
                .views
                .peers()
                .filter(|member| member.zone == record.zone)
                .map(|member| member.ip)
                .collect();
            let index = record.digest_of_name() as usize % members.len().max(1);
            members.get(index).map(|ip| format!("{{\"reportTo\":\"{ip}:{port}\"}}").into_bytes())
        });
        match near {
            Some(body) => {
                self.table.hand_on(&record.id);
                self.reply(number, Reply::Done(Arc::new(body)));
            }
            None => self.done(number),
        }
    }
}
