//! The table of backends at one node.

use super::{Backend, BackendState, RANGES};
use crate::Millis;
use std::collections::BTreeMap;

/// What merging a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// Nothing, or no more than that the backend is still there.
    Unchanged,
    /// It changes whether or where requests are sent.
    Changed,
    /// It says unresponsive of a backend that was heard here since: the sender is to learn so.
    Stale,
}

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The backend itself called this node.
    Backend,
    /// Another node sent it.
    Peer,
}

#[derive(Debug)]
struct Entry {
    backend: Backend,
    /// When a call of the backend last renewed the lease.
    renewed_at: Millis,
    /// When its last heartbeat came to this very node; `None`: another node received it.
    heartbeat_at: Option<Millis>,
    /// Until when it is warming up.
    warm_at: Millis,
    /// Whether this node was isolated since it heard of it, and nobody has confirmed it since.
    is_quarantined: bool,
}

impl Entry {
    fn new(backend: Backend, renewed_at: Millis, heartbeat_at: Option<Millis>, warm_at: Millis) -> Entry {
        Entry { backend, renewed_at, heartbeat_at, warm_at, is_quarantined: false }
    }

    fn is_received_here_since(&self, since: Millis) -> bool {
        self.heartbeat_at.is_some_and(|at| at >= since)
    }

    fn is_expired(&self, now: Millis) -> bool {
        now >= self.renewed_at + self.backend.state.lease_ms()
    }

    /// The record with its times as of now, to be sent to others.
    fn snapshot(&self, now: Millis) -> Backend {
        let span = |millis: Millis| u32::try_from(millis).unwrap_or(u32::MAX);
        Backend {
            warmup_left_ms: span(self.warm_at.saturating_sub(now)),
            age_ms: span(now.saturating_sub(self.renewed_at)),
            ..self.backend.clone()
        }
    }

    /// Takes a newer copy.
    fn update(&mut self, newer: Backend, update: Update) -> MergeOutcome {
        let state = state_after(self.backend.state, newer.state);
        let is_changed = state != self.backend.state
            || newer.address != self.backend.address
            || newer.service != self.backend.service;
        let is_renewed = newer.call_count > self.backend.call_count;
        if is_renewed {
            self.renewed_at = update.renewed_at;
            self.heartbeat_at = update.heartbeat_at;
        }
        if is_renewed || (self.backend.warmup_left_ms == 0 && newer.warmup_left_ms > 0) {
            self.warm_at = update.warm_at;
        }
        self.backend = Backend { state, ..newer };
        if is_changed {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Unchanged
        }
    }
}

/// The times that come with a copy.
#[derive(Debug, Clone, Copy)]
struct Update {
    renewed_at: Millis,
    heartbeat_at: Option<Millis>,
    warm_at: Millis,
}

/// Guards against a heartbeat that overtook the one before: what was draining stays so.
fn state_after(known: BackendState, newer: BackendState) -> BackendState {
    match (known, newer) {
        (BackendState::Draining, BackendState::Ready | BackendState::Unresponsive) => BackendState::Draining,
        _ => newer,
    }
}

/// All backends that a node knows, by name.
#[derive(Debug, Default)]
pub(crate) struct Table {
    entries: BTreeMap<String, Entry>,
    changed_at: Option<Millis>,
}

impl Table {
    /// When a record was new or changed last.
    pub(crate) fn changed_at(&self) -> Option<Millis> {
        self.changed_at
    }

    /// Merges a record. Copies merge in any order to the same.
    pub(crate) fn merge(&mut self, now: Millis, backend: Backend, source: Source) -> MergeOutcome {
        let update = Update {
            renewed_at: now.saturating_sub(Millis::from(backend.age_ms)),
            heartbeat_at: (source == Source::Backend).then_some(now),
            warm_at: now + Millis::from(backend.warmup_left_ms),
        };
        // Guards against a record that goes round for ever: who has dropped it would take it again.
        if now >= update.renewed_at + backend.state.lease_ms() {
            return MergeOutcome::Unchanged;
        }
        let outcome = self.merge_unexpired(backend, update);
        if outcome == MergeOutcome::Changed {
            self.changed_at = Some(now);
        }
        outcome
    }

    fn merge_unexpired(&mut self, backend: Backend, update: Update) -> MergeOutcome {
        let Some(known) = self.entries.get_mut(&backend.id) else {
            let id = backend.id.clone();
            let entry = Entry::new(backend, update.renewed_at, update.heartbeat_at, update.warm_at);
            self.entries.insert(id, entry);
            return MergeOutcome::Changed;
        };
        known.is_quarantined = false;
        if backend.is_newer_than(&known.backend) {
            return known.update(backend, update);
        }
        let is_heard_since =
            backend.state == BackendState::Unresponsive && known.backend.state == BackendState::Ready;
        if is_heard_since {
            MergeOutcome::Stale
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// The backend was redirected to another node: this one no longer watches its heartbeats.
    pub(crate) fn release_heartbeat(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.heartbeat_at = None;
        }
    }

    /// Ends a backend, whether or not it was heard of here: others may know it. The record to be disseminated.
    pub(crate) fn terminate(&mut self, now: Millis, id: &str) -> Backend {
        let unknown = || Entry::new(Backend::terminated(id), now, None, now);
        let entry = self.entries.entry(id.to_owned()).or_insert_with(unknown);
        entry.backend.state = BackendState::Terminated;
        entry.is_quarantined = false;
        entry.renewed_at = now;
        entry.snapshot(now)
    }

    /// Marks the backends unresponsive whose heartbeats came here and have stopped for `after` ms. Each is returned once.
    pub(crate) fn mark_unresponsive(&mut self, now: Millis, after: Millis) -> Vec<Backend> {
        let mut marked = Vec::new();
        for entry in self.entries.values_mut() {
            let is_stopped = entry.heartbeat_at.is_some_and(|at| now >= at + after);
            if is_stopped && entry.backend.state == BackendState::Ready && !entry.is_quarantined {
                entry.backend.state = BackendState::Unresponsive;
                marked.push(entry.backend.clone());
            }
        }
        marked
    }

    /// Renews all leases after a stall of this node: heartbeats that it missed say nothing of their senders.
    pub(crate) fn renew_all(&mut self, now: Millis) {
        for entry in self.entries.values_mut() {
            entry.renewed_at = now;
            entry.heartbeat_at = entry.heartbeat_at.map(|_| now);
        }
    }

    /// Quarantines the live backends but those whose last heartbeat came here since a time: this node was isolated, and
    /// the others may have ended long ago. A quarantined record goes to nobody until somebody confirms it.
    pub(crate) fn quarantine(&mut self, received_since: Millis) {
        for entry in self.entries.values_mut() {
            let is_live = matches!(entry.backend.state, BackendState::Ready | BackendState::Unresponsive);
            entry.is_quarantined = is_live && !entry.is_received_here_since(received_since);
        }
    }

    /// Live backends whose last heartbeat came to this node since a time.
    pub(crate) fn received_here(&self, now: Millis, since: Millis) -> Vec<Backend> {
        let is_received = |entry: &&Entry| {
            entry.backend.state == BackendState::Ready && entry.is_received_here_since(since)
        };
        self.entries.values().filter(is_received).map(|entry| entry.snapshot(now)).collect()
    }

    /// Drops what is still quarantined. Returns the names.
    pub(crate) fn drop_quarantined(&mut self) -> Vec<String> {
        let quarantined = self.entries.iter().filter(|(_, entry)| entry.is_quarantined);
        let names: Vec<String> = quarantined.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !entry.is_quarantined);
        names
    }

    /// Drops records whose lease has expired. Returns the names of those that had not terminated.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<String> {
        let is_lost =
            |entry: &Entry| entry.is_expired(now) && entry.backend.state != BackendState::Terminated;
        let lost = self.entries.iter().filter(|(_, entry)| is_lost(entry));
        let names: Vec<String> = lost.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !entry.is_expired(now));
        names
    }

    /// How many backends are in a state.
    pub(crate) fn count(&self, state: BackendState) -> usize {
        self.entries.values().filter(|entry| entry.backend.state == state).count()
    }

    /// One record, to be sent to others.
    pub(crate) fn get(&self, now: Millis, id: &str) -> Option<Backend> {
        self.entries.get(id).map(|entry| entry.snapshot(now))
    }

    fn trusted(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| !entry.is_quarantined)
    }

    /// The digest of each range.
    pub(crate) fn digests(&self) -> [u32; RANGES] {
        let mut digests = [0; RANGES];
        for entry in self.trusted() {
            digests[entry.backend.range()] ^= entry.backend.digest() as u32;
        }
        digests
    }

    /// The digest of all records.
    pub(crate) fn digest(&self) -> u64 {
        self.trusted().fold(0, |all, entry| all ^ entry.backend.digest())
    }

    /// The records of the ranges whose digests differ from a peer's.
    pub(crate) fn differing(&self, now: Millis, peer: &[u32; RANGES]) -> Vec<Backend> {
        let own = self.digests();
        let differs = |entry: &&Entry| own[entry.backend.range()] != peer[entry.backend.range()];
        self.trusted().filter(differs).map(|entry| entry.snapshot(now)).collect()
    }
}
