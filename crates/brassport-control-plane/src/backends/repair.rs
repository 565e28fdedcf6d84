//! Repairs endpoint tables that differ: a node sends the hashes of its records to a peer, and the peer answers with the
//! records that the node lacks. An answer is limited, and departures come first in it.

use super::{Backend, RecordHashes, DIGEST_RANGES};
use crate::control_plane::ControlPlane;
use crate::peer_message::{LackingRecords, PeerMessage};
use crate::Millis;
use std::net::Ipv4Addr;

/// Minimum time between two comparisons that a node begins.
const COMPARISON_INTERVAL_MS: Millis = 60;
/// Maximum number of departures in one answer.
const MAX_DEPARTURES: usize = 400;
/// Maximum number of other records in all answers of a node between two ticks.
const MAX_RECORDS_PER_TICK: usize = 40;

/// The schedule of repairs, and the limit of answers.
#[derive(Debug, Default)]
pub(crate) struct RepairSchedule {
    compared_at: Option<Millis>,
    /// When this node's table last differed from a peer's.
    differed_at: Option<Millis>,
    /// Whether a peer has answered a comparison by hashes.
    is_answered: bool,
    /// Number of records sent since the last tick.
    sent_records: usize,
}

impl RepairSchedule {
    fn is_due(&self, now: Millis) -> bool {
        self.compared_at.is_none_or(|at| now >= at + COMPARISON_INTERVAL_MS)
    }

    /// Whether this node's table has differed from a peer's since this time.
    pub(crate) fn has_differed_since(&self, since: Millis) -> bool {
        self.differed_at.is_some_and(|at| at >= since)
    }

    /// Makes a comparison due at once.
    pub(crate) fn reset(&mut self) {
        self.compared_at = None;
    }

    /// Allows further answers. To be called at each tick.
    pub(crate) fn refill(&mut self) {
        self.sent_records = 0;
    }

    /// Removes the records that exceed the limit. Returns whether all fit.
    fn limit(&mut self, records: &mut Vec<Backend>) -> bool {
        let left = MAX_RECORDS_PER_TICK.saturating_sub(self.sent_records);
        let fits = records.len() <= left;
        records.truncate(left);
        self.sent_records += records.len();
        fits
    }
}

impl ControlPlane {
    /// Compares this node's table with a peer's digest, and begins a repair if they differ and a repair is due.
    pub(crate) fn compare_tables(&mut self, from: Ipv4Addr, digest: u64) {
        let (now, backends) = (self.clock.now(), &mut self.backends);
        if digest == backends.table.digest() {
            return self.isolation.record_comparison();
        }
        backends.repair.differed_at = Some(now);
        if !backends.repair.is_due(now) {
            return;
        }
        backends.repair.compared_at = Some(now);
        for hashes in RecordHashes::messages(&backends.table.hashes()) {
            self.outbox.send(from, PeerMessage::RecordHashes(hashes));
        }
        if !backends.repair.is_answered {
            self.outbox.send(from, PeerMessage::TableDigests(backends.table.digests()));
        }
    }

    /// Handles the hashes of a peer's records: replies with the records that the peer lacks.
    pub(crate) fn on_record_hashes(&mut self, from: Ipv4Addr, hashes: &RecordHashes) {
        let lacking = self.backends.table.lacking(self.clock.now(), hashes);
        let (mut departures, mut records) = (Vec::new(), Vec::new());
        for record in lacking {
            match record.departure() {
                Some(departure) => departures.push(departure),
                None => records.push(record),
            }
        }
        let is_complete = departures.len() <= MAX_DEPARTURES && self.backends.repair.limit(&mut records);
        departures.truncate(MAX_DEPARTURES);
        let lacking = LackingRecords { departures, records, is_complete };
        self.outbox.send(from, PeerMessage::LackingRecords(lacking));
    }

    /// Handles the records that this node lacked.
    pub(crate) fn on_lacking_records(&mut self, lacking: LackingRecords) {
        let LackingRecords { departures, mut records, is_complete } = lacking;
        self.backends.repair.is_answered = true;
        if is_complete {
            self.isolation.record_comparison();
        }
        records.extend(departures.into_iter().map(Backend::from));
        self.merge_records(records);
    }

    /// Handles the range digests of a peer's table: replies with this node's records of the ranges that differ.
    pub(crate) fn on_table_digests(&mut self, from: Ipv4Addr, digests: &[u32; DIGEST_RANGES]) {
        let mut records = self.backends.table.differing(self.clock.now(), digests);
        self.backends.repair.limit(&mut records);
        if !records.is_empty() {
            self.outbox.send(from, PeerMessage::BackendRecords(records, None));
        }
    }
}
