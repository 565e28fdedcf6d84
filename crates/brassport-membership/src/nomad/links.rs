//! Which registrations are on which client and belong to which allocation.

use super::api::Service;
use crate::table::Id;
use std::collections::{BTreeMap, BTreeSet};

/// A registration's client and allocation, and when it was first seen.
struct Link {
    client: String,
    alloc: String,
    seen_unix_ms: u64,
}

/// The links of all registrations, with an index by client and one by allocation.
#[derive(Default)]
pub(super) struct Links {
    links: BTreeMap<Id, Link>,
    by_client: BTreeMap<String, BTreeSet<Id>>,
    by_alloc: BTreeMap<String, BTreeSet<Id>>,
}

impl Links {
    /// Unix time in milliseconds at which a registration was first seen.
    pub(super) fn seen_unix_ms(&self, id: &str) -> Option<u64> {
        self.links.get(id).map(|link| link.seen_unix_ms)
    }

    /// The registrations on a client.
    pub(super) fn on_client(&self, client: &str) -> impl Iterator<Item = &Id> {
        self.by_client.get(client).into_iter().flatten()
    }

    /// The registrations of an allocation.
    pub(super) fn of_alloc(&self, alloc: &str) -> impl Iterator<Item = &Id> {
        self.by_alloc.get(alloc).into_iter().flatten()
    }

    /// Whether an allocation has registrations.
    pub(super) fn has_alloc(&self, alloc: &str) -> bool {
        self.by_alloc.contains_key(alloc)
    }

    /// Links a registration that has no link.
    pub(super) fn insert(&mut self, id: &Id, service: &Service, seen_unix_ms: u64) {
        let Service { node: client, alloc, .. } = service;
        self.by_client.entry(client.clone()).or_default().insert(id.clone());
        self.by_alloc.entry(alloc.clone()).or_default().insert(id.clone());
        self.links.insert(id.clone(), Link { client: client.clone(), alloc: alloc.clone(), seen_unix_ms });
    }

    /// Removes a registration's link. Its allocation, if it had one.
    pub(super) fn remove(&mut self, id: &Id) -> Option<String> {
        let Link { client, alloc, .. } = self.links.remove(id)?;
        remove_from(&mut self.by_client, &client, id);
        remove_from(&mut self.by_alloc, &alloc, id);
        Some(alloc)
    }
}

/// Guards the memory: a key without registrations does not stay in the index.
fn remove_from(index: &mut BTreeMap<String, BTreeSet<Id>>, key: &str, id: &Id) {
    if let Some(ids) = index.get_mut(key) {
        ids.remove(id);
        if ids.is_empty() {
            index.remove(key);
        }
    }
}
