//! The last-known endpoint list: the nodes that a front door's discovery sources listed, kept for a start at which the
//! sources are out of reach. No I/O, no clock: how a row is used follows from its age.
//!
//! - Up to [`GENTLE_AFTER`]: a node as it was, with the start time that was known of it.
//! - Older, or dated in the future (the wall clock was set back): a node in slow start, as one that has just started.
//! - Older than [`FORGOTTEN_AFTER`]: none; but a drain stays in force, however old it is.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The age in milliseconds above which a node is used in slow start: half an hour, in which a node may have restarted.
pub const GENTLE_AFTER: u64 = 30 * 60_000;
/// The age in milliseconds above which a node is not used: a week, after which its address may be another's.
pub const FORGOTTEN_AFTER: u64 = 7 * 86_400_000;
/// The age in milliseconds from which on an unchanged row is written again: the precision of a row's age, against a
/// write at every listing.
pub const RENEWED_AFTER: u64 = 10 * 60_000;

/// What was last known of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownNode {
    /// The address it listens on.
    pub endpoint: SocketAddr,
    /// Its failure domain; empty where the site has one zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of one group share the idempotency keys that they have seen.
    #[serde(default)]
    pub group: u64,
    /// Its capacity relative to the other nodes'.
    #[serde(default)]
    pub size: f64,
    /// When it started, Unix time in milliseconds; 0 if that is not known.
    #[serde(default)]
    pub started_ms: f64,
    /// Whether it is draining: nothing is sent to it until a source that reports drains lists it again.
    #[serde(default)]
    pub draining: bool,
    /// When a source last listed it, Unix time in milliseconds.
    pub heard_ms: u64,
}

/// Nodes by name.
pub type KnownList = BTreeMap<String, KnownNode>;

/// How a row is used at a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Worth {
    /// A node as it was.
    Node,
    /// A node in slow start.
    Gentle,
    /// Not at all: it is too old.
    Forgotten,
}

impl KnownNode {
    /// How it is used at this time, Unix milliseconds.
    pub fn worth(&self, now_ms: u64) -> Worth {
        match now_ms.checked_sub(self.heard_ms) {
            None => Worth::Gentle,
            _ if self.draining => Worth::Node,
            Some(age) if age > FORGOTTEN_AFTER => Worth::Forgotten,
            Some(age) if age > GENTLE_AFTER => Worth::Gentle,
            Some(_) => Worth::Node,
        }
    }

    /// The start time to assume for it at this time, both Unix milliseconds: a row that is too old to be trusted counts
    /// as started now, and none as started later than now.
    pub fn start(&self, now_ms: u64) -> f64 {
        match self.worth(now_ms) {
            Worth::Node => self.started_ms.min(now_ms as f64),
            Worth::Gentle | Worth::Forgotten => now_ms as f64,
        }
    }

    /// Whether the row `old` has the same content and is young enough not to be written again.
    pub fn is_kept_by(&self, old: &KnownNode) -> bool {
        let same = KnownNode { heard_ms: old.heard_ms, ..self.clone() } == *old;
        same && self.heard_ms.abs_diff(old.heard_ms) < RENEWED_AFTER
    }
}
