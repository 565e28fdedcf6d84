//! The last-known node list: the nodes that the gateway's discovery sources listed, stored for a start at which no
//! source is reachable. The module does no I/O and reads no clock; the use of a row depends only on its age:
//!
//! - Up to [`SLOW_START_AFTER_MS`]: the node is used as stored, with its recorded start time.
//! - Older, or dated in the future because the wall clock was set back: the node is used in slow start, like a node
//!   that has just started.
//! - Older than [`IGNORED_AFTER_MS`]: the node is not used. A drain stays in force regardless of its age.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Row age in milliseconds above which the node is used in slow start: 30 minutes, in which it may have restarted.
pub const SLOW_START_AFTER_MS: u64 = 30 * 60_000;
/// Row age in milliseconds above which the node is not used: 7 days, after which its address may belong to another
/// host.
pub const IGNORED_AFTER_MS: u64 = 7 * 86_400_000;
/// Row age in milliseconds from which an unchanged row is written again: 10 minutes. It bounds the error of a row's age
/// without a write for every listing.
pub const REWRITE_AFTER_MS: u64 = 10 * 60_000;

/// The last known data of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownNode {
    /// The address that the node listens on.
    pub endpoint: SocketAddr,
    /// The failure domain; empty if the site has a single zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of the same group share the idempotency keys that they have seen.
    #[serde(default)]
    pub group: u64,
    /// The capacity relative to the other nodes.
    #[serde(default)]
    pub size: f64,
    /// The start time, Unix time in milliseconds; 0 if unknown.
    #[serde(default)]
    pub started_ms: f64,
    /// Whether the node is draining. It gets no requests until a source that reports drains lists it again.
    #[serde(default)]
    pub draining: bool,
    /// When a source last listed the node, Unix time in milliseconds.
    #[serde(rename = "heard_ms")]
    pub last_listed_ms: u64,
}

/// The last-known nodes by name.
pub type KnownList = BTreeMap<String, KnownNode>;

/// How a row is used when the gateway starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowUse {
    /// The node is used as stored.
    AsStored,
    /// The node is used in slow start.
    SlowStart,
    /// The row is too old and is ignored.
    Ignored,
}

impl KnownNode {
    /// How the row is used at `now_ms`, Unix time in milliseconds.
    pub fn row_use(&self, now_ms: u64) -> RowUse {
        match now_ms.checked_sub(self.last_listed_ms) {
            None => RowUse::SlowStart,
            _ if self.draining => RowUse::AsStored,
            Some(age) if age > IGNORED_AFTER_MS => RowUse::Ignored,
            Some(age) if age > SLOW_START_AFTER_MS => RowUse::SlowStart,
            Some(_) => RowUse::AsStored,
        }
    }

    /// The start time to assume for the node at `now_ms`, both Unix time in milliseconds. It is `now_ms` for a row that
    /// is not used as stored, and never later than `now_ms`.
    pub fn assumed_start_ms(&self, now_ms: u64) -> f64 {
        match self.row_use(now_ms) {
            RowUse::AsStored => self.started_ms.min(now_ms as f64),
            RowUse::SlowStart | RowUse::Ignored => now_ms as f64,
        }
    }

    /// Whether the stored row `old` has the same content and is recent enough not to be written again.
    pub fn can_reuse(&self, old: &KnownNode) -> bool {
        let is_same = KnownNode { last_listed_ms: old.last_listed_ms, ..self.clone() } == *old;
        is_same && self.last_listed_ms.abs_diff(old.last_listed_ms) < REWRITE_AFTER_MS
    }
}
