//! The partial view of a node.

use super::{AgedRecord, PeerRecord};
use brassport_types::Millis;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Maximum number of records in a view. An additional record evicts a random one.
pub const MAX_PEERS: usize = 40;
/// Maximum age of a record in milliseconds. Older ones are dropped.
pub const MAX_AGE_MS: Millis = 9_000;
/// Number of records in a shuffle, without the node's own.
const SHUFFLE_RECORDS: usize = 2;

/// A record in the view.
#[derive(Debug)]
struct Entry {
    peer: PeerRecord,
    /// When the peer created the record, in milliseconds on this node's clock.
    made_at: Millis,
}

impl Entry {
    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.made_at)
    }
}

/// Fresh records of some of a node's peers, at most [`MAX_PEERS`].
#[derive(Debug)]
pub struct PartialView {
    own_ip: Ipv4Addr,
    entries: BTreeMap<Ipv4Addr, Entry>,
    rng: Rand64,
}

impl PartialView {
    /// Creates the empty view of the node with this address. The seed determines all random choices.
    pub fn new(own_ip: Ipv4Addr, seed: u64) -> PartialView {
        PartialView { own_ip, entries: BTreeMap::new(), rng: Rand64::new(u128::from(seed)) }
    }

    /// All peers in the view, in the order of their addresses.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.entries.values().map(|entry| &entry.peer)
    }

    /// The record of the peer with this address.
    pub fn peer(&self, ip: Ipv4Addr) -> Option<&PeerRecord> {
        self.entries.get(&ip).map(|entry| &entry.peer)
    }

    /// The age of a peer's record in milliseconds, which is the time since the peer was last known to be alive.
    pub fn age(&self, ip: Ipv4Addr, now: Millis) -> Option<Millis> {
        self.entries.get(&ip).map(|entry| entry.age(now))
    }

    /// The number of peers in the view.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the view contains no peer.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Merges a record, which replaces an older record of the same peer. The node's own records and records older than
    /// [`MAX_AGE_MS`] are ignored.
    ///
    /// Returns whether the peer, or its incarnation, is new to this view.
    pub fn merge(&mut self, now: Millis, record: AgedRecord) -> bool {
        let AgedRecord { peer, age_ms } = record;
        if peer.ip == self.own_ip || Millis::from(age_ms) > MAX_AGE_MS {
            return false;
        }
        let made_at = now.saturating_sub(Millis::from(age_ms));
        let current = self.entries.get(&peer.ip);
        if current.is_some_and(|entry| entry.made_at >= made_at) {
            return false;
        }
        let is_new = current.is_none_or(|entry| entry.peer.incarnation != peer.incarnation);
        self.entries.insert(peer.ip, Entry { peer, made_at });
        if self.entries.len() > MAX_PEERS {
            self.evict_one();
        }
        is_new
    }

    /// Removes a random record. The latest one is as likely to be removed as any other, so that the view remains a
    /// random sample of all nodes.
    fn evict_one(&mut self) {
        if let Some(ip) = self.sample(1, |_| true).first() {
            self.entries.remove(ip);
        }
    }

    /// Drops records older than [`MAX_AGE_MS`].
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| now <= entry.made_at + MAX_AGE_MS);
    }

    /// Draws up to `count` distinct peers that satisfy the predicate, each with the same probability (a partial
    /// Fisher-Yates shuffle).
    pub fn sample(&mut self, count: usize, predicate: impl Fn(&PeerRecord) -> bool) -> Vec<Ipv4Addr> {
        let mut drawn: Vec<Ipv4Addr> =
            self.peers().filter(|peer| predicate(peer)).map(|peer| peer.ip).collect();
        let count = count.min(drawn.len());
        for position in 0..count {
            let other = self.rng.rand_range(position as u64..drawn.len() as u64) as usize;
            drawn.swap(position, other);
        }
        drawn.truncate(count);
        drawn
    }

    /// Draws the records to send in a shuffle with a peer. The peer's own record is excluded.
    pub fn shuffle_sample(&mut self, now: Millis, partner: Ipv4Addr) -> Vec<AgedRecord> {
        let drawn = self.sample(SHUFFLE_RECORDS, |peer| peer.ip != partner);
        let aged = |ip: &Ipv4Addr| {
            let entry = self.entries.get(ip)?;
            let age_ms = u32::try_from(entry.age(now)).ok()?;
            Some(AgedRecord { peer: entry.peer.clone(), age_ms })
        };
        drawn.iter().filter_map(aged).collect()
    }
}
