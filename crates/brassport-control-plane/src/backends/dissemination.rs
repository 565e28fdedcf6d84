//! Pushes changes of the endpoint table from node to node.
//!
//! A node pushes a change that it makes itself to some peers of its zone and of each other zone. A node that learns of a
//! change by a push pushes it to further peers of its zone. Changes that arrive while a push is recent are collected, so
//! that the number of messages does not grow with the number of backends that change at once. What one push may send is
//! limited: departures come first, and what does not fit is left to the next push or to a repair.

use super::{Backend, Departure, MergeOutcome, Source};
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::event::Action;
use crate::peer_message::PeerMessage;
use crate::Millis;
use std::collections::{BTreeSet, VecDeque};
use std::net::Ipv4Addr;

/// In a large cluster, a node pushes its own changes to this many peers in its zone.
const ZONE_FANOUT: usize = 4;
/// In a large cluster, a node pushes its own changes to this many peers in each other zone.
const OTHER_ZONE_FANOUT: usize = 2;
/// In a large cluster, a node pushes departures that it received to this many peers in its zone. With five, a push
/// misses less than 1% of the nodes.
const DEPARTURE_FANOUT: usize = 5;
/// The same for other changes, which are less urgent.
const UPDATE_FANOUT: usize = 2;
/// Minimum time between two pushes, about half of a tick.
const PUSH_INTERVAL_MS: Millis = 30;
/// Number of complete records that fit into a datagram.
const RECORDS_PER_MESSAGE: usize = 5;
/// Number of departures that fit into a datagram.
const DEPARTURES_PER_MESSAGE: usize = 40;
/// Maximum number of departures in one push; later ones wait for the next push.
const MAX_PUSHED_DEPARTURES: usize = 2 * DEPARTURES_PER_MESSAGE;
/// Maximum number of other changes in one push; the rest is left to a repair.
const MAX_PUSHED_RECORDS: usize = 2 * RECORDS_PER_MESSAGE;

/// The names of changed backends that wait for a push, in the order of their changes.
#[derive(Debug, Default)]
struct Queue {
    names: VecDeque<String>,
    queued: BTreeSet<String>,
}

impl Queue {
    fn add(&mut self, id: &str) {
        if self.queued.insert(id.to_owned()) {
            self.names.push_back(id.to_owned());
        }
    }

    fn take(&mut self) -> Vec<String> {
        self.queued.clear();
        self.names.drain(..).collect()
    }

    fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The changes that wait for a push.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    /// Changes that this node made.
    own: Queue,
    /// Changes that peers pushed.
    received: Queue,
    pushed_at: Option<Millis>,
}

impl ChangeQueue {
    fn is_due(&self, now: Millis) -> bool {
        let is_empty = self.own.is_empty() && self.received.is_empty();
        !is_empty && self.pushed_at.is_none_or(|at| now >= at + PUSH_INTERVAL_MS)
    }
}

/// The changes of one push, and the peers that it is sent to.
#[derive(Debug, Default)]
struct Push {
    records: Vec<Backend>,
    departures: Vec<Backend>,
    /// The departures that exceed the limit.
    postponed: Vec<String>,
}

impl Push {
    fn of(records: impl Iterator<Item = Backend>) -> Push {
        let mut push = Push::default();
        for record in records {
            let is_departure = record.departure().is_some();
            if is_departure && push.departures.len() < MAX_PUSHED_DEPARTURES {
                push.departures.push(record);
            } else if is_departure {
                push.postponed.push(record.id);
            } else if push.records.len() < MAX_PUSHED_RECORDS {
                push.records.push(record);
            }
        }
        push
    }

    /// The messages about departures: complete records if these fit into one datagram, otherwise only the departures.
    fn departure_messages(&self) -> Vec<PeerMessage> {
        if self.departures.len() <= RECORDS_PER_MESSAGE {
            return record_messages(&self.departures);
        }
        let departures: Vec<Departure> = self.departures.iter().filter_map(Backend::departure).collect();
        let chunks = departures.chunks(DEPARTURES_PER_MESSAGE);
        chunks.map(|chunk| PeerMessage::Departures(chunk.to_vec())).collect()
    }
}

fn record_messages(records: &[Backend]) -> Vec<PeerMessage> {
    let chunks = records.chunks(RECORDS_PER_MESSAGE);
    chunks.map(|chunk| PeerMessage::BackendRecords(chunk.to_vec(), None)).collect()
}

impl ControlPlane {
    /// Handles records from a peer. If `confirmation` has a number, the peer expects a confirmation under that number.
    pub(crate) fn on_records(&mut self, from: Ipv4Addr, records: Vec<Backend>, confirmation: Option<u64>) {
        if confirmation.is_none() && !records.is_empty() {
            self.isolation.record_comparison();
        }
        let changed = self.merge_records(records);
        if let Some(number) = confirmation {
            let index = self.replica.state().index;
            self.outbox.send(from, PeerMessage::RecordsConfirmed(number, index));
        }
        self.forward(&changed);
    }

    /// Handles departures from a peer, as [`on_records`](Self::on_records) does complete records.
    pub(crate) fn on_departures(
        &mut self,
        from: Ipv4Addr,
        departures: Vec<Departure>,
        confirmation: Option<u64>,
    ) {
        self.on_records(from, departures.into_iter().map(Backend::from).collect(), confirmation);
    }

    /// Merges records. Returns the names of the backends that changed. This node's records that override received ones
    /// are disseminated, since the sender may have sent the outdated records to other nodes as well.
    pub(super) fn merge_records(&mut self, records: Vec<Backend>) -> Vec<String> {
        let (now, table) = (self.clock.now(), &mut self.backends.table);
        let (mut changed, mut newer) = (Vec::new(), Vec::new());
        for record in records {
            let id = record.id.clone();
            match table.merge(now, record, Source::Peer) {
                MergeOutcome::Changed => changed.extend(table.get(now, &id)),
                MergeOutcome::Stale => newer.push(id),
                MergeOutcome::Unchanged => {}
            }
        }
        newer.iter().for_each(|id| self.disseminate(id));
        let names = changed.iter().map(|record| record.id.clone()).collect();
        self.outbox.extend(changed.into_iter().map(Action::BackendChanged));
        names
    }

    /// Forwards changes that a peer pushed.
    fn forward(&mut self, changed: &[String]) {
        if self.view.len() > FULL_BROADCAST_PEERS {
            changed.iter().for_each(|id| self.backends.changes.received.add(id));
        } else if !changed.is_empty() {
            // The sender has pushed the change to every node that it can reach. The other nodes get it by a repair in
            // the next gossip exchange, which is brought forward here.
            self.gossip.bring_forward();
        }
    }

    /// Disseminates this node's record of a backend: to all peers or, in a large cluster, to some of them, which forward
    /// it.
    pub(crate) fn disseminate(&mut self, id: &str) {
        self.backends.changes.own.add(id);
    }

    /// Pushes the collected changes if the last push was not recent.
    pub(crate) fn push_changes_when_due(&mut self) {
        if self.backends.changes.is_due(self.clock.now()) {
            self.push_changes();
        }
    }

    /// Pushes the collected changes.
    pub(crate) fn push_changes(&mut self) {
        let changes = &mut self.backends.changes;
        let (own, received) = (changes.own.take(), changes.received.take());
        if own.is_empty() && received.is_empty() {
            return;
        }
        changes.pushed_at = Some(self.clock.now());
        let own = self.prepare_push(&own);
        let to = self.first_receivers();
        self.send_all(&to, &record_messages(&own.records));
        self.send_all(&to, &own.departure_messages());
        let received = self.prepare_push(&received);
        let to = self.next_receivers(UPDATE_FANOUT);
        self.send_all(&to, &record_messages(&received.records));
        let to = self.next_receivers(DEPARTURE_FANOUT);
        self.send_all(&to, &received.departure_messages());
        let changes = &mut self.backends.changes;
        own.postponed.iter().for_each(|id| changes.own.add(id));
        received.postponed.iter().for_each(|id| changes.received.add(id));
    }

    fn prepare_push(&self, names: &[String]) -> Push {
        let now = self.clock.now();
        Push::of(names.iter().filter_map(|id| self.backends.table.get_unquarantined(now, id)))
    }

    /// The peers to which a node pushes its own changes.
    fn first_receivers(&mut self) -> Vec<Ipv4Addr> {
        if self.view.len() <= FULL_BROADCAST_PEERS {
            return self.view.sample(FULL_BROADCAST_PEERS, |_| true);
        }
        let own = &self.options.node.zone;
        let zones: BTreeSet<String> = self.view.peers().map(|peer| peer.zone.clone()).collect();
        let mut to = self.view.sample(ZONE_FANOUT, |peer| peer.zone == *own);
        for other in zones.iter().filter(|zone| *zone != own) {
            to.extend(self.view.sample(OTHER_ZONE_FANOUT, |peer| peer.zone == *other));
        }
        to
    }

    /// The peers to which a node of a large cluster pushes changes that it received.
    fn next_receivers(&mut self, fanout: usize) -> Vec<Ipv4Addr> {
        let zone = &self.options.node.zone;
        self.view.sample(fanout, |peer| peer.zone == *zone)
    }

    fn send_all(&mut self, to: &[Ipv4Addr], messages: &[PeerMessage]) {
        for ip in to {
            messages.iter().for_each(|message| self.outbox.send(*ip, message.clone()));
        }
    }

    /// Marks backends whose heartbeats have stopped as unresponsive, and drops records whose lease has expired.
    pub(crate) fn expire_backends(&mut self) {
        let (now, interval) = (self.clock.now(), self.options.heartbeat_interval_ms);
        // 2.7 intervals: two heartbeats were missed, with tolerance for delays of the sender's clock and the link.
        let unresponsive = self.backends.table.mark_unresponsive(now, 2 * interval + interval * 7 / 10);
        for backend in unresponsive {
            self.disseminate(&backend.id);
            self.outbox.push(Action::BackendChanged(backend));
        }
        let expired = self.backends.table.expire(now);
        self.outbox.extend(expired.into_iter().map(Action::BackendExpired));
    }
}
