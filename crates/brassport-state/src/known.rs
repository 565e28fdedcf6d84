//! The last-known list: the nodes that a front door's sources listed, kept for a start at which they are out of reach.
//! No I/O, no clock: what a row is worth follows from its age.
//!
//! - Younger than [`GENTLE_AFTER`]: a node as it was, with the start that was known of it.
//! - Older, or of a time that has not been yet (a clock that was set back): a node that is tried gently, as one that
//!   has just started.
//! - Older than [`FORGOTTEN_AFTER`]: none; but a drain stands, however old it is.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Milliseconds behind which a node is only tried gently: half an hour.
pub const GENTLE_AFTER: u64 = 30 * 60_000;
/// Milliseconds behind which a node is not tried any more: a week.
pub const FORGOTTEN_AFTER: u64 = 7 * 86_400_000;
/// A row that does not change is written again when its time is so old, in milliseconds: ages are known to that.
pub const RENEWED_AFTER: u64 = 10 * 60_000;

/// What was last known of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownNode {
    /// Where it listens; nothing is known of one that is without.
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub group: u64,
    #[serde(default)]
    pub size: f64,
    /// Unix time of its start in milliseconds; 0: not known.
    #[serde(default)]
    pub started_ms: f64,
    /// Whether it was told to drain; then nothing is sent to it until a source that knows of drains lists it again.
    #[serde(default)]
    pub draining: bool,
    /// When a source last listed it, Unix time in milliseconds.
    pub heard_ms: u64,
}

/// Nodes by name.
pub type KnownList = BTreeMap<String, KnownNode>;

/// What a row is worth at a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Worth {
    /// A node as it was.
    Node,
    /// A node that is tried gently.
    Gentle,
    /// Nothing.
    Forgotten,
}

impl KnownNode {
    /// What it is worth at this time.
    pub fn worth(&self, now_ms: u64) -> Worth {
        match now_ms.checked_sub(self.heard_ms) {
            None => Worth::Gentle,
            _ if self.draining => Worth::Node,
            Some(age) if age > FORGOTTEN_AFTER => Worth::Forgotten,
            Some(age) if age > GENTLE_AFTER => Worth::Gentle,
            Some(_) => Worth::Node,
        }
    }

    /// When it started as far as a start of the program at this time has to know: what is old, or of no known start,
    /// counts as started now.
    pub fn start(&self, now_ms: u64) -> f64 {
        match self.worth(now_ms) {
            Worth::Node => self.started_ms.min(now_ms as f64),
            Worth::Gentle | Worth::Forgotten => now_ms as f64,
        }
    }

    /// Whether the row `old` says the same, and is young enough to go on standing.
    pub fn is_kept_by(&self, old: &KnownNode) -> bool {
        let same = KnownNode { heard_ms: old.heard_ms, ..self.clone() } == *old;
        same && self.heard_ms.abs_diff(old.heard_ms) < RENEWED_AFTER
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn node(heard_ms: u64) -> KnownNode {
        KnownNode {
            endpoint: "127.0.0.1:9000".parse().expect("an address"),
            zone: String::new(),
            group: 0,
            size: 1.0,
            started_ms: 5_000.0,
            draining: false,
            heard_ms,
        }
    }

    #[test]
    fn an_old_node_is_tried_gently_and_a_very_old_one_not_at_all() {
        let heard = 1_000_000;
        let worth = |age: u64| node(heard).worth(heard + age);
        assert_eq!(worth(GENTLE_AFTER), Worth::Node);
        assert_eq!(worth(GENTLE_AFTER + 1), Worth::Gentle);
        assert_eq!(worth(FORGOTTEN_AFTER + 1), Worth::Forgotten);
        assert_eq!(node(heard).start(heard + GENTLE_AFTER), 5_000.0);
        let late = heard + GENTLE_AFTER + 1;
        assert_eq!(node(heard).start(late), late as f64, "as one that starts now");
    }

    #[test]
    fn a_clock_that_was_set_back_makes_nothing_young_and_nothing_cold_for_long() {
        let set_back = node(9_000_000);
        assert_eq!(set_back.worth(8_000_000), Worth::Gentle);
        assert_eq!(set_back.start(8_000_000), 8_000_000.0, "never later than now");
        let draining = KnownNode { draining: true, ..node(1) };
        assert_eq!(draining.worth(1 + 2 * FORGOTTEN_AFTER), Worth::Node, "a drain outlives its row's age");
    }

    #[test]
    fn a_row_that_says_the_same_is_written_again_only_when_it_has_aged() {
        assert!(node(1000 + RENEWED_AFTER - 1).is_kept_by(&node(1000)));
        assert!(!node(1000 + RENEWED_AFTER).is_kept_by(&node(1000)));
        assert!(!KnownNode { draining: true, ..node(1000) }.is_kept_by(&node(1000)));
    }
}
