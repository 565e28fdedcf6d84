//! The server list.

use super::{Millis, ServerId};
use serde::{Deserialize, Serialize};

/// State of a server by the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Draining: finishes its requests; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// Its cell: servers that share which idempotency keys they have seen.
    pub cell: u16,
    /// Its capacity relative to other servers; 0 if it is not known.
    pub share: f64,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// When it was last launched, on the gateway's clock, if that is recent.
    pub launched: Option<Millis>,
}

impl ServerEntry {
    /// Its capacity relative to other servers; 1 if it is not known.
    pub fn relative_capacity(&self) -> f64 {
        if self.share > 0.0 {
            self.share
        } else {
            1.0
        }
    }
}

/// What a server list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as this gateway last had it, perhaps stale.
    Cached,
    /// The list could not be read; the present one stays.
    Failed,
}
