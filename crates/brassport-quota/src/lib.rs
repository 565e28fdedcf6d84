//! Shares of limits. What a tenant may make over all doors is cut in two. A base, of which each door holds an equal part
//! for good. And a store at the holder of the duty ([`Lender`]), out of which a door ([`Borrower`]) gets a few requests
//! ahead, by need. A door that hears nothing more has its base; what it got ahead it may use once, whenever that is. So
//! all doors together never make more than the limit allows, whatever is cut off, killed or stands still: each part of
//! what may be made at once is counted where it lies.
//!
//! From the same counts the lender makes the reading of each meter period that the doors' coin is set by.
//!
//! No I/O; time is an argument.
//!
//! ```
//! use brassport_quota::{Borrower, Limit};
//! let mut door = Borrower::default();
//! let limit = Limit { rate: 100.0, burst: 100.0 };
//! // Alone with nothing ahead, one of ten doors has its base.
//! assert!(door.take(0, 7, limit, 10).is_ok());
//! ```
#![forbid(unsafe_code)]

mod borrower;
mod lender;
pub mod mutants;

pub use borrower::Borrower;
pub use lender::Lender;

use serde::{Deserialize, Serialize};

/// Milliseconds of the steady clock.
pub type Millis = u64;
/// Stands for a tenant: a hash of its name.
pub type TenantId = u32;

/// Parts of a tenant's rate: what doors hold for good, and what the lender's store fills at. The rule allows a tenth above
/// the limit, and what is held never lies quite where it is used.
pub const BASE: f64 = 0.5;
/// See [`BASE`].
pub const LENT: f64 = 0.54;
/// Parts of what may be made at once: in the doors' bases, in the lender's store, and ahead at the doors.
pub(crate) const BASE_DEPTH: f64 = 0.33;
pub(crate) const STORE_DEPTH: f64 = 0.3;
pub(crate) const AHEAD_DEPTH: f64 = 0.3;
/// What the rule allows at once beside the burst.
const FREE: f64 = 16.0;
/// An answer of the lender that takes longer is not taken.
pub const PATIENCE: Millis = 900;
/// A meter period.
pub const PERIOD: Millis = 1_000;

/// A tenant's limit over all doors.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests a second; 0: no limit.
    pub rate: f64,
    /// On top of that, at once.
    pub burst: f64,
}

impl Limit {
    /// What may be made at once, beside the rate: the rule's own slack included.
    pub(crate) fn depth(&self) -> f64 {
        self.burst + FREE
    }

    /// What a door may hold of its base at once.
    pub(crate) fn base_depth(&self, slots: u32) -> f64 {
        (BASE_DEPTH * self.depth() / f64::from(slots.max(1))).max(1.0)
    }

    /// What a door may have ahead.
    pub(crate) fn ahead(&self, slots: u32) -> f64 {
        (AHEAD_DEPTH * self.depth() / f64::from(slots.max(1))).max(1.0)
    }
}

/// A door's counts of one tenant since its start: requests that came, those sent on, and how many it asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use(pub TenantId, pub u64, pub u64, pub u16);

impl Use {
    /// The tenant.
    pub fn tenant(&self) -> TenantId {
        self.0
    }
    /// Requests that came.
    pub fn offered(&self) -> u64 {
        self.1
    }
    /// Requests that were sent on.
    pub fn sent(&self) -> u64 {
        self.2
    }
    /// Requests that it would have ahead.
    pub fn wanted(&self) -> u16 {
        self.3
    }
}

/// So many requests a door may make of a tenant's limit, and what all doors together sent in the last whole period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan(pub TenantId, pub u16, pub u32);

/// The hash of a tenant's name (FNV-1a): the same on every machine.
pub fn tenant_id(name: &str) -> TenantId {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
