//! Propagates changes of the endpoint table: broadcasts them at once, and repairs missed ones by comparing digests.

use super::{Backend, MergeOutcome, Source, DIGEST_RANGES};
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::event::Action;
use crate::peer_message::PeerMessage;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// In a large cluster, a node sends its own changes to this many peers in its zone, and to one peer in each other zone.
const ZONE_FANOUT: usize = 4;
/// In a large cluster, a node forwards a received change to this many peers in its zone.
const FORWARD_FANOUT: usize = 2;
/// A message with more records than this is a repair, and is not forwarded.
const MAX_FORWARDED_RECORDS: usize = 4;

impl ControlPlane {
    /// Handles records from a peer. If `confirmation` has a number, the peer expects a confirmation under that number.
    pub(crate) fn on_records(&mut self, from: Ipv4Addr, records: Vec<Backend>, confirmation: Option<u64>) {
        if confirmation.is_none() && !records.is_empty() {
            self.isolation.record_comparison();
        }
        let (changed, newer) = self.merge_records(records);
        if let Some(number) = confirmation {
            let index = self.replica.state().index;
            self.outbox.send(from, PeerMessage::RecordsConfirmed(number, index));
        }
        if !newer.is_empty() {
            // The sender may have sent the outdated records to other nodes as well.
            self.disseminate(&newer);
        }
        if !changed.is_empty() {
            self.outbox.extend(changed.iter().cloned().map(Action::BackendChanged));
            self.forward_records(from, &changed);
        }
    }

    /// Merges records. Returns the records that changed the table, and this node's records that override received ones.
    fn merge_records(&mut self, records: Vec<Backend>) -> (Vec<Backend>, Vec<Backend>) {
        let (now, table) = (self.clock.now(), &mut self.backends.table);
        let (mut changed, mut newer) = (Vec::new(), Vec::new());
        for record in records {
            let id = record.id.clone();
            match table.merge(now, record, Source::Peer) {
                MergeOutcome::Changed => changed.extend(table.get(now, &id)),
                MergeOutcome::Stale => newer.extend(table.get(now, &id)),
                MergeOutcome::Unchanged => {}
            }
        }
        (changed, newer)
    }

    /// Forwards records that a peer sent.
    fn forward_records(&mut self, from: Ipv4Addr, records: &[Backend]) {
        if self.view.len() <= FULL_BROADCAST_PEERS {
            // The sender has sent the records to every node that it can reach. The other nodes get them by a repair in
            // the next gossip exchange, which is brought forward here.
            self.gossip.bring_forward();
        } else if records.len() <= MAX_FORWARDED_RECORDS {
            let zone = &self.options.node.zone;
            let to = self.view.sample(FORWARD_FANOUT, |peer| peer.zone == *zone && peer.ip != from);
            self.send_records(to, records);
        }
    }

    /// Sends records to all peers. In a large cluster, sends them to some peers in this node's zone and to one peer in
    /// each other zone, which forward them.
    pub(crate) fn disseminate(&mut self, records: &[Backend]) {
        let to = if self.view.len() <= FULL_BROADCAST_PEERS {
            self.view.sample(FULL_BROADCAST_PEERS, |_| true)
        } else {
            self.sample_zones()
        };
        self.send_records(to, records);
    }

    fn sample_zones(&mut self) -> Vec<Ipv4Addr> {
        let own = &self.options.node.zone;
        let zones: BTreeSet<String> = self.view.peers().map(|peer| peer.zone.clone()).collect();
        let mut to = self.view.sample(ZONE_FANOUT, |peer| peer.zone == *own);
        for other in zones.iter().filter(|zone| *zone != own) {
            to.extend(self.view.sample(1, |peer| peer.zone == *other));
        }
        to
    }

    fn send_records(&mut self, to: Vec<Ipv4Addr>, records: &[Backend]) {
        for ip in to {
            self.outbox.send(ip, PeerMessage::BackendRecords(records.to_vec(), None));
        }
    }

    /// Marks backends whose heartbeats have stopped as unresponsive, and drops records whose lease has expired.
    pub(crate) fn expire_backends(&mut self) {
        let (now, interval) = (self.clock.now(), self.options.heartbeat_interval_ms);
        // 2.7 intervals: two heartbeats were missed, with tolerance for delays of the sender's clock and the link.
        let unresponsive = self.backends.table.mark_unresponsive(now, 2 * interval + interval * 7 / 10);
        for backend in unresponsive {
            self.outbox.push(Action::BackendChanged(backend.clone()));
            self.disseminate(&[backend]);
        }
        let expired = self.backends.table.expire(now);
        self.outbox.extend(expired.into_iter().map(Action::BackendExpired));
    }

    /// Compares this node's table with a peer's digest, and begins a repair if they differ and a repair is due.
    pub(crate) fn compare_tables(&mut self, from: Ipv4Addr, digest: u64) {
        let (now, backends) = (self.clock.now(), &mut self.backends);
        if digest == backends.table.digest() {
            self.isolation.record_comparison();
        } else if backends.repair.is_due(now, backends.table.changed_at()) {
            backends.repair.record(now);
            self.outbox.send(from, PeerMessage::TableDigests(backends.table.digests()));
        }
    }

    /// Handles the range digests of a peer's table: replies with this node's records of the ranges that differ.
    pub(crate) fn on_table_digests(&mut self, from: Ipv4Addr, digests: &[u32; DIGEST_RANGES]) {
        let records = self.backends.table.differing(self.clock.now(), digests);
        if !records.is_empty() {
            self.outbox.send(from, PeerMessage::BackendRecords(records, None));
        }
    }
}
