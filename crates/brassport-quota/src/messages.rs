//! What nodes and the coordinator exchange. On the wire each is a row: names of fields would weigh more than what they hold.

use crate::TenantId;
use serde::{Deserialize, Serialize};

/// A node's counts of one tenant since its start, and how many requests it wants granted ahead.
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
