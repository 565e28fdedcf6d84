//! The endpoint table of one node.

use super::{Backend, BackendState, RecordHashes, DIGEST_RANGES};
use crate::Millis;
use std::collections::{BTreeMap, HashSet};

/// The result of merging a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// Nothing that affects routing changed. The lease may have been renewed.
    Unchanged,
    /// The record is new, or its state, address or service changed.
    Changed,
    /// The record marks a backend as unresponsive, but the backend has called again since. The sender needs the newer
    /// record.
    Stale,
}

/// The origin of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// A call of the backend to this node.
    Backend,
    /// A message of another node.
    Peer,
}

#[derive(Debug)]
struct Entry {
    /// Changed only by [`replace`](Entry::replace), which updates the digest.
    backend: Backend,
    /// The digest of the record.
    digest: u64,
    /// The index of the table range that the record belongs to.
    range: usize,
    /// When a call of the backend, or the latest copy of its record, renewed the lease.
    renewed_at: Millis,
    /// When this node received the last heartbeat; `None` if another node received it.
    heartbeat_at: Option<Millis>,
    /// When the warm-up ends.
    warm_at: Millis,
    /// Whether this node was isolated after it received the record, and no other node has confirmed the record since.
    is_quarantined: bool,
}

impl Entry {
    fn new(backend: Backend, renewed_at: Millis, heartbeat_at: Option<Millis>, warm_at: Millis) -> Entry {
        let (digest, range) = (backend.digest(), backend.range());
        Entry { backend, digest, range, renewed_at, heartbeat_at, warm_at, is_quarantined: false }
    }

    fn replace(&mut self, backend: Backend) {
        self.digest = backend.digest();
        self.backend = backend;
    }

    fn set_state(&mut self, state: BackendState) {
        self.backend.state = state;
        self.digest = self.backend.digest();
    }

    /// The hash by which nodes compare single records.
    fn hash(&self) -> u32 {
        self.digest as u32
    }

    fn has_heartbeat_since(&self, since: Millis) -> bool {
        self.heartbeat_at.is_some_and(|at| at >= since)
    }

    fn is_expired(&self, now: Millis) -> bool {
        now >= self.renewed_at + self.backend.state.lease_ms()
    }

    /// A copy of the record with its age and warm-up as of now, to be sent to other nodes.
    fn snapshot(&self, now: Millis) -> Backend {
        let span = |millis: Millis| u32::try_from(millis).unwrap_or(u32::MAX);
        Backend {
            warmup_left_ms: span(self.warm_at.saturating_sub(now)),
            age_ms: span(now.saturating_sub(self.renewed_at)),
            ..self.backend.clone()
        }
    }

    /// Replaces the record by a newer copy. A copy without details leaves those of the record as they are.
    fn update(&mut self, newer: Backend, times: CopyTimes) -> MergeOutcome {
        let state = merged_state(self.backend.state, newer.state);
        let newer = if newer.has_details() {
            newer
        } else {
            Backend { call_count: newer.call_count, ..self.backend.clone() }
        };
        let is_changed = state != self.backend.state
            || newer.address != self.backend.address
            || newer.service != self.backend.service;
        let is_renewed = newer.call_count > self.backend.call_count;
        // A deregistration has no higher call count. Its lease begins with it all the same.
        self.renewed_at = self.renewed_at.max(times.renewed_at);
        if is_renewed {
            self.heartbeat_at = times.heartbeat_at;
        }
        if is_renewed || (self.backend.warmup_left_ms == 0 && newer.warmup_left_ms > 0) {
            self.warm_at = times.warm_at;
        }
        self.replace(Backend { state, ..newer });
        if is_changed {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Unchanged
        }
    }
}

/// The times of a received copy, on this node's clock.
#[derive(Debug, Clone, Copy)]
struct CopyTimes {
    renewed_at: Millis,
    heartbeat_at: Option<Millis>,
    warm_at: Millis,
}

/// The state after a newer copy. A draining backend stays draining until it terminates, so that heartbeats that arrive
/// out of order do not make it ready again.
fn merged_state(known: BackendState, newer: BackendState) -> BackendState {
    match (known, newer) {
        (BackendState::Draining, BackendState::Ready | BackendState::Unresponsive) => BackendState::Draining,
        _ => newer,
    }
}

/// The records of all backends known to a node, by name.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<String, Entry>,
    changed_at: Option<Millis>,
}

impl Table {
    /// Whether the table has changed since this time ([`MergeOutcome::Changed`]).
    pub(crate) fn has_changed_since(&self, since: Millis) -> bool {
        self.changed_at.is_some_and(|at| at >= since)
    }

    /// Merges a record. The order in which copies are merged does not matter.
    pub(crate) fn merge(&mut self, now: Millis, backend: Backend, source: Source) -> MergeOutcome {
        let times = CopyTimes {
            renewed_at: now.saturating_sub(Millis::from(backend.age_ms)),
            heartbeat_at: (source == Source::Backend).then_some(now),
            warm_at: now + Millis::from(backend.warmup_left_ms),
        };
        // A node that has dropped an expired record must not add it again, or the record would circulate indefinitely.
        if now >= times.renewed_at + backend.state.lease_ms() {
            return MergeOutcome::Unchanged;
        }
        let outcome = self.merge_unexpired(backend, times);
        if outcome == MergeOutcome::Changed {
            self.changed_at = Some(now);
        }
        outcome
    }

    fn merge_unexpired(&mut self, backend: Backend, times: CopyTimes) -> MergeOutcome {
        let Some(known) = self.entries.get_mut(&backend.id) else {
            let id = backend.id.clone();
            let entry = Entry::new(backend, times.renewed_at, times.heartbeat_at, times.warm_at);
            self.entries.insert(id, entry);
            return MergeOutcome::Changed;
        };
        known.is_quarantined = false;
        if backend.is_newer_than(&known.backend) {
            return known.update(backend, times);
        }
        let is_stale =
            backend.state == BackendState::Unresponsive && known.backend.state == BackendState::Ready;
        if is_stale {
            MergeOutcome::Stale
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// Stops monitoring the heartbeats of a backend that was redirected to another node.
    pub(crate) fn stop_monitoring(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.heartbeat_at = None;
        }
    }

    /// Terminates a backend, even one unknown to this node, since other nodes may have a record of it. Returns the
    /// record to be broadcast.
    pub(crate) fn terminate(&mut self, now: Millis, id: &str) -> Backend {
        let unknown =
            || Entry::new(Backend::without_details(id.to_owned(), BackendState::Terminated), now, None, now);
        let entry = self.entries.entry(id.to_owned()).or_insert_with(unknown);
        entry.set_state(BackendState::Terminated);
        entry.is_quarantined = false;
        entry.renewed_at = now;
        entry.snapshot(now)
    }

    /// Marks as unresponsive the ready backends that sent their last heartbeat to this node, at least `after` ms ago.
    /// Returns the newly marked records.
    pub(crate) fn mark_unresponsive(&mut self, now: Millis, after: Millis) -> Vec<Backend> {
        let mut marked = Vec::new();
        for entry in self.entries.values_mut() {
            let is_stopped = entry.heartbeat_at.is_some_and(|at| now >= at + after);
            if is_stopped && entry.backend.state == BackendState::Ready && !entry.is_quarantined {
                entry.set_state(BackendState::Unresponsive);
                marked.push(entry.backend.clone());
            }
        }
        marked
    }

    /// Renews all leases after a stall of this node, which may have missed heartbeats of live backends.
    pub(crate) fn renew_all(&mut self, now: Millis) {
        for entry in self.entries.values_mut() {
            entry.renewed_at = now;
            entry.heartbeat_at = entry.heartbeat_at.map(|_| now);
        }
    }

    /// Quarantines the live backends except those that sent this node a heartbeat since `received_since`. This node was
    /// isolated, so the other backends may have terminated. A quarantined record is not sent to other nodes until one
    /// of them confirms it.
    pub(crate) fn quarantine(&mut self, received_since: Millis) {
        for entry in self.entries.values_mut() {
            let is_live = matches!(entry.backend.state, BackendState::Ready | BackendState::Unresponsive);
            entry.is_quarantined = is_live && !entry.has_heartbeat_since(received_since);
        }
    }

    /// The names of the ready backends that sent this node a heartbeat since this time.
    pub(crate) fn with_heartbeat_since(&self, since: Millis) -> Vec<String> {
        let is_received =
            |entry: &&Entry| entry.backend.state == BackendState::Ready && entry.has_heartbeat_since(since);
        self.entries.values().filter(is_received).map(|entry| entry.backend.id.clone()).collect()
    }

    /// Drops the quarantined records. Returns their names.
    pub(crate) fn drop_quarantined(&mut self) -> Vec<String> {
        let quarantined = self.entries.iter().filter(|(_, entry)| entry.is_quarantined);
        let names: Vec<String> = quarantined.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !entry.is_quarantined);
        names
    }

    /// Drops the records whose lease has expired. Returns the names of those that were not terminated.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<String> {
        let is_lost =
            |entry: &Entry| entry.is_expired(now) && entry.backend.state != BackendState::Terminated;
        let lost = self.entries.iter().filter(|(_, entry)| is_lost(entry));
        let names: Vec<String> = lost.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !entry.is_expired(now));
        names
    }

    /// The number of backends in a state.
    pub(crate) fn count(&self, state: BackendState) -> usize {
        self.entries.values().filter(|entry| entry.backend.state == state).count()
    }

    /// A copy of one record.
    pub(crate) fn get(&self, now: Millis, id: &str) -> Option<Backend> {
        self.entries.get(id).map(|entry| entry.snapshot(now))
    }

    /// A copy of one record, to be sent to other nodes unless it is quarantined.
    pub(super) fn get_unquarantined(&self, now: Millis, id: &str) -> Option<Backend> {
        self.entries.get(id).filter(|entry| !entry.is_quarantined).map(|entry| entry.snapshot(now))
    }

    fn unquarantined(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| !entry.is_quarantined)
    }

    /// The digest of each range, without quarantined records.
    pub(crate) fn digests(&self) -> [u32; DIGEST_RANGES] {
        let mut digests = [0; DIGEST_RANGES];
        for entry in self.unquarantined() {
            digests[entry.range] ^= entry.hash();
        }
        digests
    }

    /// The digest of all records that are not quarantined.
    pub(crate) fn digest(&self) -> u64 {
        self.unquarantined().fold(0, |all, entry| all ^ entry.digest)
    }

    /// The records of the ranges whose digests differ from a peer's.
    pub(super) fn differing(&self, now: Millis, peer: &[u32; DIGEST_RANGES]) -> Vec<Backend> {
        let own = self.digests();
        let differs = |entry: &&Entry| own[entry.range] != peer[entry.range];
        self.unquarantined().filter(differs).map(|entry| entry.snapshot(now)).collect()
    }

    /// The hashes of all records that are not quarantined, by range.
    pub(super) fn hashes(&self) -> [Vec<u32>; DIGEST_RANGES] {
        let mut hashes: [Vec<u32>; DIGEST_RANGES] = Default::default();
        for entry in self.unquarantined() {
            hashes[entry.range].push(entry.hash());
        }
        hashes
    }

    /// The records of the listed ranges that a peer with these records lacks.
    pub(super) fn lacking(&self, now: Millis, peer: &RecordHashes) -> Vec<Backend> {
        let known: HashSet<u32> = peer.hashes().collect();
        let lacks = |entry: &&Entry| peer.has_range(entry.range) && !known.contains(&entry.hash());
        self.unquarantined().filter(lacks).map(|entry| entry.snapshot(now)).collect()
    }
}
