//! A node as sources report it, and as the list has it.

use crate::table::{Id, Millis};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A moment, on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds since any fixed start; never goes back.
    pub monotonic: Millis,
    /// Milliseconds since 1970-01-01 UTC.
    pub unix: u64,
}

/// What may be sent to a node. A later variant is stricter than an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Requests.
    Ready,
    /// Nothing new.
    Draining,
    /// Nothing, ever again: it is terminated.
    Gone,
}

impl State {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

/// A node as a source reports it, and as the list has it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its name, the same in all sources.
    pub id: Id,
    /// Where it listens; nothing is sent to a node without.
    pub address: Option<SocketAddr>,
    /// Its zone; empty: not reported.
    pub zone: String,
    /// Its group, or cell.
    pub group: u64,
    /// Its size relative to others; 0: not reported.
    pub size: f64,
    /// Unix time of its start in milliseconds; 0: not reported.
    pub boot_ms: f64,
    /// What may be sent to it.
    pub state: State,
    /// The source's number of this report; not comparable between sources.
    pub revision: u64,
    /// In a few words why, where the state alone does not say it.
    pub note: String,
}

impl Entry {
    /// A node that is ready, with nothing else reported.
    pub fn ready(id: &str, address: SocketAddr) -> Entry {
        Entry {
            id: id.into(),
            address: Some(address),
            zone: String::new(),
            group: 0,
            size: 0.0,
            boot_ms: 0.0,
            state: State::Ready,
            revision: 0,
            note: String::new(),
        }
    }

    /// Whether both are the same to the policy, which sees neither revision nor note.
    pub(super) fn is_same(&self, other: &Entry) -> bool {
        let Entry { id, address, zone, group, size, boot_ms, state, revision: _, note: _ } = self;
        *id == other.id
            && *address == other.address
            && *zone == other.zone
            && *group == other.group
            && *size == other.size
            && *boot_ms == other.boot_ms
            && *state == other.state
    }
}
