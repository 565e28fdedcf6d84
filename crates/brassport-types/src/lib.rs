//! Identifiers and units that several packages of the cluster share: log positions, terms, disks, process
//! incarnations and tenants.
//!
//! Each identifier is a type of its own, so that the compiler rejects mix-ups. Identifiers are encoded as
//! plain numbers and a [`Term`] as an array of two numbers, as field names would take more bytes on the wire
//! than the values.
//!
//! Types that only one package uses belong to that package. This package contains no application logic.
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

/// A time of the host's monotonic clock, in milliseconds since an arbitrary start, or a duration in
/// milliseconds. Never a wall-clock time, and not comparable between machines.
pub type Millis = u64;
