//! Entries of the server list.

use super::{Millis, ServerId};
use serde::{Deserialize, Serialize};

/// State of a server in the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests that it has, and must not receive new ones.
    Draining,
    /// Removed from the list; must not receive requests.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identifier of the server.
    pub id: ServerId,
    /// Number of the zone of the server, in the same numbering as that of the gateway.
    pub zone: u16,
    /// Cell of the server: the servers of a cell share the idempotency keys that they have seen.
    pub cell: u16,
    /// Capacity relative to other servers; 0: unknown.
    #[serde(rename = "share")]
    pub capacity: f64,
    /// State of the server.
    pub lifecycle: Lifecycle,
    /// Time of the server's last launch on the gateway's clock, if it is recent.
    #[serde(rename = "launched")]
    pub launched_at: Option<Millis>,
}

impl ServerEntry {
    /// Capacity relative to other servers; 1 if it is unknown.
    pub fn relative_capacity(&self) -> f64 {
        if self.capacity > 0.0 {
            self.capacity
        } else {
            1.0
        }
    }
}

/// How entries relate to the server list that a gateway has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The entries are those that changed.
    Delta,
    /// The entries are the complete list.
    Full,
    /// The entries are the complete list from this gateway's cache, which may be stale.
    Cached,
    /// The list could not be read: there are no entries, and the gateway keeps the list that it has.
    Failed,
}
