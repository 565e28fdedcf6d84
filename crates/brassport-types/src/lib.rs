//! Identifiers and units that several packages of the cluster share: log positions, terms, disks, process incarnations
//! and tenants.
//!
//! Each is a newtype, so that one can't stand where another is meant, and each is encoded as the plain number (a [`Term`]
//! as a row of two), because names of fields would weigh more on the wire than what they hold.
//!
//! Not for types that a single package owns, and not for behaviour.
//!
//! ```
//! use brassport_types::{DiskId, LogIndex, Term};
//! let older = Term::new(3, DiskId(9));
//! let newer = Term::new(4, DiskId(1));
//! assert!(newer > older);
//! assert_eq!(LogIndex(7) + 1, LogIndex(8));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod hash;
mod ids;
mod log_position;

pub use hash::fnv1a_32;
pub use ids::{DiskId, Incarnation, TenantId};
pub use log_position::{LogIndex, Term};

/// Milliseconds on the host's monotonic clock, counted from a moment that the host chose. Never wall time, and never
/// compared between machines.
pub type Millis = u64;
