//! The time of the last message from each peer, and the log index that the peer reported last.

use crate::Millis;
use brassport_types::LogIndex;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A peer is in contact if a message from it was received within this many milliseconds: three gossip intervals.
pub(crate) const CONTACT_MS: Millis = 1_200;
/// A peer is forgotten after this many milliseconds without a message.
const FORGET_MS: Millis = 10 * CONTACT_MS;

/// The peers from which messages were received recently.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    last_seen_at: BTreeMap<Ipv4Addr, Millis>,
    indexes: BTreeMap<Ipv4Addr, LogIndex>,
}

impl Contacts {
    /// Records that a message from a peer was received.
    pub(crate) fn record(&mut self, peer: Ipv4Addr, now: Millis) {
        self.last_seen_at.insert(peer, now);
    }

    /// Records the index up to which a peer has applied the log.
    pub(crate) fn record_index(&mut self, peer: Ipv4Addr, index: LogIndex) {
        self.indexes.insert(peer, index);
    }

    /// Removes peers from which no message was received for [`FORGET_MS`].
    pub(crate) fn expire(&mut self, now: Millis) {
        self.last_seen_at.retain(|_, at| now < *at + FORGET_MS);
        let last_seen_at = &self.last_seen_at;
        self.indexes.retain(|ip, _| last_seen_at.contains_key(ip));
    }

    /// Whether a message from a peer was received within [`FORGET_MS`].
    pub(crate) fn contains(&self, peer: Ipv4Addr) -> bool {
        self.last_seen_at.contains_key(&peer)
    }

    /// Whether a message from a peer was received within [`CONTACT_MS`].
    pub(crate) fn is_in_contact(&self, peer: Ipv4Addr, now: Millis) -> bool {
        self.last_seen_at.get(&peer).is_some_and(|at| now < at + CONTACT_MS)
    }

    /// The log index that a peer reported last.
    pub(crate) fn index(&self, peer: Ipv4Addr) -> Option<LogIndex> {
        self.indexes.get(&peer).copied()
    }

    /// All remembered peers, each with the time of its last message.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Ipv4Addr, Millis)> + '_ {
        self.last_seen_at.iter().map(|(ip, at)| (*ip, *at))
    }

    /// The next peer after `last` in the cyclic order of addresses whose reported log index is at least `index`.
    pub(crate) fn next_with_index(&self, index: LogIndex, last: Ipv4Addr) -> Option<Ipv4Addr> {
        let mut able = self.indexes.iter().filter(|(_, known)| **known >= index).map(|(ip, _)| *ip);
        let first = able.next()?;
        std::iter::once(first).chain(able).find(|ip| *ip > last).or(Some(first))
    }
}
