//! The messages between nodes and the coordinator. They are encoded as arrays, as field names would take more
//! bytes than the values.

use crate::TenantId;
use serde::{Deserialize, Serialize};

/// A node's counts for one tenant since the node created the tenant's account, and the number of requests
/// that the node asks to be granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "UsageRow", into = "UsageRow")]
pub struct UsageReport {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests received from clients.
    pub offered: u64,
    /// Requests forwarded to backends.
    pub sent: u64,
    /// Requests to be granted in advance.
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

/// A grant of requests of a tenant's limit to a node, with the tenant's meter reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "GrantRow", into = "GrantRow")]
pub struct QuotaGrant {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests granted in advance.
    pub requests: u16,
    /// Requests forwarded by all nodes together in the last complete meter period.
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
