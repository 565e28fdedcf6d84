//! Which nodes are at one address, and which of them owns it.

use super::entry::Entry;
use super::merge::Listing;
use super::sources::Sources;
use crate::mutants::mutant;
use crate::table::Id;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The nodes at each address.
#[derive(Default)]
pub(super) struct Addresses(BTreeMap<SocketAddr, BTreeSet<Id>>);

/// The greatest owns the address. Every instance finds the same from the same entries.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Claim<'a> {
    /// A source that reports starts and drains lists the node.
    is_known_by_more_than_lists: bool,
    /// The bits of a start that is not negative; they order as the starts do.
    boot_ms_bits: u64,
    id: &'a Id,
}

impl<'a> Claim<'a> {
    fn new(entry: &'a Entry, sources: &Sources) -> Claim<'a> {
        Claim {
            is_known_by_more_than_lists: !sources.is_only_listed(&entry.id) || mutant!(ListerOutranks),
            boot_ms_bits: entry.boot_ms.max(0.0).to_bits(),
            id: &entry.id,
        }
    }
}

impl Addresses {
    pub(super) fn insert(&mut self, address: SocketAddr, id: &Id) {
        self.0.entry(address).or_default().insert(id.clone());
    }

    pub(super) fn remove(&mut self, address: SocketAddr, id: &Id) {
        if let Some(ids) = self.0.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.0.remove(&address);
            }
        }
    }

    pub(super) fn is_vacant(&self, address: SocketAddr) -> bool {
        !self.0.contains_key(&address)
    }

    /// The nodes at an address but this one.
    pub(super) fn others_at<'a>(&'a self, address: SocketAddr, id: &'a Id) -> impl Iterator<Item = &'a Id> {
        self.0.get(&address).into_iter().flatten().filter(move |other| *other != id)
    }

    /// Who owns this node's address in its stead: whoever started later, or, of those that started at the same or an
    /// unreported time, has the greater name.
    pub(super) fn owner_before(
        &self,
        entry: &Entry,
        sources: &Sources,
        list: &BTreeMap<Id, Listing>,
    ) -> Option<Id> {
        if sources.authoritative(&entry.id).next().is_some_and(|first| first.source.as_told) {
            return None;
        }
        let others = self.others_at(entry.address?, &entry.id).filter_map(|other| list.get(other));
        let claims = others.map(|other| Claim::new(&other.entry, sources));
        let claim = Claim::new(entry, sources);
        claims.filter(|other| *other > claim).max().map(|owner| owner.id.clone())
    }
}
