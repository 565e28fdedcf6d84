//! A node's partial view.

use super::{AgedRecord, PeerRecord};
use brassport_types::Millis;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Most records in a view. One more evicts one at random.
pub const MAX_PEERS: usize = 40;
/// A record older than this is dropped, in milliseconds.
pub const MAX_AGE_MS: Millis = 9_000;
/// Records of a shuffle, beside the node's own.
const SHUFFLE_RECORDS: usize = 2;

/// A record in the view.
#[derive(Debug)]
struct Entry {
    peer: PeerRecord,
    /// When its node made it, on this node's clock.
    made_at: Millis,
}

impl Entry {
    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.made_at)
    }
}

/// The peers that a node has fresh records of, at most [`MAX_PEERS`].
#[derive(Debug)]
pub struct PartialView {
    me: Ipv4Addr,
    entries: BTreeMap<Ipv4Addr, Entry>,
    rng: Rand64,
}

impl PartialView {
    /// The empty view of the node at this address. The seed determines all draws.
    pub fn new(me: Ipv4Addr, seed: u64) -> PartialView {
        PartialView { me, entries: BTreeMap::new(), rng: Rand64::new(u128::from(seed)) }
    }

    /// All peers, in the order of their addresses.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.entries.values().map(|entry| &entry.peer)
    }

    /// The peer at an address.
    pub fn peer(&self, ip: Ipv4Addr) -> Option<&PeerRecord> {
        self.entries.get(&ip).map(|entry| &entry.peer)
    }

    /// The age of a peer's record in milliseconds: how long ago the peer was last known to be alive.
    pub fn age(&self, ip: Ipv4Addr, now: Millis) -> Option<Millis> {
        self.entries.get(&ip).map(|entry| entry.age(now))
    }

    /// How many peers there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no peer.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Merges a record: it replaces an older one of its machine. Ignored are the node's own, and one older than
    /// [`MAX_AGE_MS`].
    ///
    /// Returns whether the machine, or its incarnation, is new to this view.
    pub fn merge(&mut self, now: Millis, record: AgedRecord) -> bool {
        let AgedRecord { peer, age_ms } = record;
        if peer.ip == self.me || Millis::from(age_ms) > MAX_AGE_MS {
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

    /// Removes a random record, the newest as well as any other: only so the view stays a sample of all.
    fn evict_one(&mut self) {
        if let Some(ip) = self.sample(1, |_| true).first() {
            self.entries.remove(ip);
        }
    }

    /// Drops records older than [`MAX_AGE_MS`].
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|_, entry| now <= entry.made_at + MAX_AGE_MS);
    }

    /// Draws up to `count` different peers that fit, each with the same probability (a partial Fisher-Yates shuffle).
    pub fn sample(&mut self, count: usize, fits: impl Fn(&PeerRecord) -> bool) -> Vec<Ipv4Addr> {
        let mut drawn: Vec<Ipv4Addr> = self.peers().filter(|peer| fits(peer)).map(|peer| peer.ip).collect();
        let count = count.min(drawn.len());
        for position in 0..count {
            let other = self.rng.rand_range(position as u64..drawn.len() as u64) as usize;
            drawn.swap(position, other);
        }
        drawn.truncate(count);
        drawn
    }

    /// Draws the records of a shuffle with a neighbour, with their ages. The neighbour's own is not among them.
    pub fn shuffle_sample(&mut self, now: Millis, with: Ipv4Addr) -> Vec<AgedRecord> {
        let drawn = self.sample(SHUFFLE_RECORDS, |peer| peer.ip != with);
        let aged = |ip: &Ipv4Addr| {
            let entry = self.entries.get(ip)?;
            let age_ms = u32::try_from(entry.age(now)).ok()?;
            Some(AgedRecord { peer: entry.peer.clone(), age_ms })
        };
        drawn.iter().filter_map(aged).collect()
    }
}
