//! Joins a registration, its client and its allocation to a node's entry.

use super::api::{Alloc, Client, Service};
use crate::book::{Entry, State};
use crate::mutants::mutant;
use crate::table::{Id, Row};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// What stands in an entry until its address is set or removed.
const UNSPECIFIED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Whether a client that is ineligible, and not draining, counts as draining.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ineligible {
    Ready,
    Draining,
}

/// A registration with what is known of its client and its allocation.
pub(super) struct Join<'a> {
    pub(super) id: &'a Id,
    pub(super) service: &'a Service,
    pub(super) client: Option<&'a Row<Client>>,
    pub(super) alloc: Option<&'a Row<Alloc>>,
    /// Unix time in milliseconds at which the registration was first seen.
    pub(super) seen_unix_ms: Option<u64>,
    pub(super) ineligible: Ineligible,
}

/// The state of a node, and why where that does not go without saying.
struct Status {
    state: State,
    note: String,
}

impl Status {
    fn ready() -> Status {
        Status { state: State::Ready, note: String::new() }
    }

    fn draining(note: impl Into<String>) -> Status {
        Status { state: State::Draining, note: note.into() }
    }

    fn gone(note: impl Into<String>) -> Status {
        Status { state: State::Gone, note: note.into() }
    }
}

impl Join<'_> {
    /// The node's entry.
    pub(super) fn entry(&self) -> Entry {
        let Join { id, service, client, alloc, seen_unix_ms, .. } = self;
        let revisions =
            [service.modify_index, client.map_or(0, |row| row.revision), alloc.map_or(0, |row| row.revision)];
        let Status { state, note } = self.status();
        let started = alloc.and_then(|row| row.value.as_ref()).map(Alloc::boot_ms);
        // Guards a node that may be warming up while its allocation is not known.
        let seen = seen_unix_ms.map(|ms| ms as f64);
        let address = service.address.parse::<IpAddr>().ok().filter(|_| service.port != 0);
        Entry {
            id: (*id).clone(),
            address: address.map(|ip| SocketAddr::new(ip, service.port)),
            zone: tag(service, "zone").unwrap_or_default().to_string(),
            group: tag(service, "group").and_then(|text| text.parse().ok()).unwrap_or(0),
            size: tag(service, "weight")
                .and_then(|text| text.parse::<f64>().ok())
                .filter(|size| size.is_finite() && *size > 0.0)
                .unwrap_or(0.0),
            boot_ms: started.or(seen).unwrap_or(0.0),
            state,
            revision: revisions.into_iter().max().unwrap_or(0),
            note,
        }
    }

    fn status(&self) -> Status {
        self.alloc_status().or_else(|| self.client_status()).unwrap_or_else(Status::ready)
    }

    /// What the allocation restricts, if it does.
    fn alloc_status(&self) -> Option<Status> {
        let Some(alloc) = &self.alloc?.value else {
            return Some(Status::draining("its allocation is no longer known"));
        };
        match (alloc.client_status.as_str(), alloc.desired_status.as_str()) {
            (ended, _) if alloc.is_terminated() => Some(Status::gone(format!("its allocation is {ended}"))),
            (_, desired @ ("stop" | "evict")) => {
                Some(Status::draining(format!("its allocation is to {desired}")))
            }
            ("pending", _) => Some(Status::draining("its allocation is pending")),
            _ => None,
        }
    }

    /// What the client restricts, if it does.
    fn client_status(&self) -> Option<Status> {
        let Some(client) = &self.client?.value else {
            return Some(Status::draining("its client is no longer known"));
        };
        if client.status == "down" {
            Some(Status::gone("its client is down"))
        } else if (client.drain || client.drain_strategy) && !mutant!(IgnoreClientDrain) {
            Some(Status::draining("its client drains"))
        } else if self.ineligible == Ineligible::Draining && client.scheduling_eligibility == "ineligible" {
            Some(Status::draining("its client is ineligible"))
        } else {
            None
        }
    }
}

/// The entry of a node whose registration was removed before there was a list.
pub(super) fn removed_entry(id: &Id, revision: u64) -> Entry {
    Entry {
        address: None,
        state: State::Gone,
        revision,
        note: "its registration was removed".into(),
        ..Entry::ready(id, UNSPECIFIED)
    }
}

/// The value of the tag `name=value`.
fn tag<'a>(service: &'a Service, name: &str) -> Option<&'a str> {
    let value = |tag: &'a String| tag.strip_prefix(name)?.strip_prefix('=');
    service.tags.iter().find_map(value).map(str::trim)
}
