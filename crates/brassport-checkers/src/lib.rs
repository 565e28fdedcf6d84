//! What has to hold of a history of plain events, judged apart from whatever made it: the seeded simulation, or real processes.
//!
//! - [`event`] is what may be seen of a request.
//! - [`requests`], [`lists`] and [`load`] check the five rules as a history goes on; [`judge`] puts them together.
//! - [`fleet`] judges a whole history of a fleet: fences, agreement, the audit.
//! - [`versions`] judges a whole history of operators who write versions and read.
//!
//! It knows no door, no wire and no process. Nothing here decides for a front door.
//!
//! ```
//! use brassport_checkers::event::{Node, Seen, Sent, MS};
//! use brassport_checkers::{figures_without_cold_nodes, Judge, Rule};
//!
//! let mut judge = Judge::new(figures_without_cold_nodes());
//! let sent = Sent { at: 0, patience: 1000 * MS, unsafe_to_repeat: true, customer: 7, has_ceiling: false };
//! judge.see(0, "r", Seen::Sent(sent));
//! judge.see(1, "r", Seen::Ran { node: Node(1) });
//! assert_eq!(judge.violation(), None);
//! judge.see(2, "r", Seen::Ran { node: Node(2) });
//! assert_eq!(judge.violation().map(|broken| broken.rule), Some(Rule::Effect));
//! ```
#![forbid(unsafe_code)]

pub mod event;
pub mod fleet;
pub mod judge;
pub mod lists;
pub mod load;
pub mod requests;
pub mod rule;
pub mod versions;

pub use judge::{Counts, Judge};
pub use load::Figures;
pub use rule::{Rule, Violation};

use event::{Nanos, MS};

/// Time limits on sockets are this much longer than the rule's own.
pub const GRACE: Nanos = 50 * MS;

/// Figures of a site of which only the rules on answers, effects and drains are of interest.
pub fn figures_without_cold_nodes() -> Figures {
    Figures {
        node_per_s: f64::INFINITY,
        cold_from: 1.0,
        cold_for: 1,
        fall_after: 1,
        tip_multiple: 1.0,
        tip_slack: f64::INFINITY,
        drain_grace: 500 * MS,
        max_attempts: 4,
        ceiling_rate: f64::INFINITY,
        ceiling_burst: f64::INFINITY,
        ceiling_slack: f64::INFINITY,
    }
}
