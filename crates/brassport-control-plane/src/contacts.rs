//! When each peer was heard last, and how far it said that it knows the log.

use crate::Millis;
use brassport_types::LogIndex;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A peer that was heard within so many milliseconds is in contact: three gossip exchanges.
pub(crate) const CONTACT_MS: Millis = 1_200;
/// A peer that was not heard for so many milliseconds is forgotten here.
const FORGET_MS: Millis = 10 * CONTACT_MS;

/// The peers that were heard of late, by their own messages.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    heard_at: BTreeMap<Ipv4Addr, Millis>,
    indexes: BTreeMap<Ipv4Addr, LogIndex>,
}

impl Contacts {
    /// A peer sent a message.
    pub(crate) fn record(&mut self, peer: Ipv4Addr, now: Millis) {
        self.heard_at.insert(peer, now);
    }

    /// A peer says how far it knows the log.
    pub(crate) fn record_index(&mut self, peer: Ipv4Addr, index: LogIndex) {
        self.indexes.insert(peer, index);
    }

    /// Forgets peers that were not heard for long.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.heard_at.retain(|_, at| now < *at + FORGET_MS);
        let heard_at = &self.heard_at;
        self.indexes.retain(|ip, _| heard_at.contains_key(ip));
    }

    /// Whether a peer is remembered.
    pub(crate) fn contains(&self, peer: Ipv4Addr) -> bool {
        self.heard_at.contains_key(&peer)
    }

    /// Whether a peer was heard of late.
    pub(crate) fn is_in_contact(&self, peer: Ipv4Addr, now: Millis) -> bool {
        self.heard_at.get(&peer).is_some_and(|at| now < at + CONTACT_MS)
    }

    /// The index that a peer said last.
    pub(crate) fn index(&self, peer: Ipv4Addr) -> Option<LogIndex> {
        self.indexes.get(&peer).copied()
    }

    /// Each peer that is remembered, with when it was heard.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Ipv4Addr, Millis)> + '_ {
        self.heard_at.iter().map(|(ip, at)| (*ip, *at))
    }

    /// The next peer behind `last`, in the order of addresses, that knows the log up to this index at the least.
    pub(crate) fn next_at(&self, index: LogIndex, last: Ipv4Addr) -> Option<Ipv4Addr> {
        let mut able = self.indexes.iter().filter(|(_, known)| **known >= index).map(|(ip, _)| *ip);
        let first = able.next()?;
        std::iter::once(first).chain(able).find(|ip| *ip > last).or(Some(first))
    }
}
