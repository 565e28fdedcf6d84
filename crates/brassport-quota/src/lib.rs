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
//! use brassport_quota::{Borrower, RateLimit, TenantId};
//! let mut door = Borrower::default();
//! let limit = RateLimit { rate_per_s: 100.0, burst: 100.0 };
//! // Alone with nothing ahead, one of ten doors has its base.
//! assert!(door.take(0, TenantId(7), limit, 10).is_ok());
//! ```
#![forbid(unsafe_code)]

mod borrower;
mod lender;
pub mod mutants;

pub use borrower::Borrower;
pub use lender::Lender;

pub use brassport_types::{Incarnation, Millis, TenantId, Term};
use serde::{Deserialize, Serialize};

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
pub struct RateLimit {
    /// Requests a second; 0: no limit.
    pub rate_per_s: f64,
    /// On top of that, at once.
    pub burst: f64,
}

impl RateLimit {
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

/// A node's counts of one tenant since its start, and how many requests it asks to have granted ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "UsageRow", into = "UsageRow")]
pub struct UsageReport {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests that came.
    pub offered: u64,
    /// Requests that were forwarded.
    pub sent: u64,
    /// Requests that it wants granted ahead.
    pub wanted: u16,
}

type UsageRow = (TenantId, u64, u64, u16);

impl From<UsageRow> for UsageReport {
    fn from((tenant, offered, sent, wanted): UsageRow) -> UsageReport {
        UsageReport { tenant, offered, sent, wanted }
    }
}

impl From<UsageReport> for UsageRow {
    fn from(report: UsageReport) -> UsageRow {
        (report.tenant, report.offered, report.sent, report.wanted)
    }
}

/// Requests of a tenant's limit that a node is granted ahead, with the reading that goes along.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "GrantRow", into = "GrantRow")]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests granted.
    pub requests: u16,
    /// What all nodes together sent in the last complete meter period.
    pub sent_by_all: u32,
}

type GrantRow = (TenantId, u16, u32);

impl From<GrantRow> for QuotaGrant {
    fn from((tenant, requests, sent_by_all): GrantRow) -> QuotaGrant {
        QuotaGrant { tenant, requests, sent_by_all }
    }
}

impl From<QuotaGrant> for GrantRow {
    fn from(grant: QuotaGrant) -> GrantRow {
        (grant.tenant, grant.requests, grant.sent_by_all)
    }
}
