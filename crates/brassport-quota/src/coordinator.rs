//! The coordinator's part of the protocol: a token bucket for each tenant, from which requests are granted to
//! nodes in advance, and the meter reading of each period.

use crate::mutants::{is_active, Mutant};
use crate::token_bucket::TokenBucket;
use crate::{Incarnation, Millis, QuotaGrant, RateLimit, TenantId, UsageReport, METER_PERIOD_MS};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Time without a report after which a node is not counted as live.
const NODE_TIMEOUT_MS: Millis = 4_000;
/// Time without a report after which a node's counts are removed. It is much longer than [`NODE_TIMEOUT_MS`],
/// as the first report of a node that returns after the removal is left out of the meter reading.
const NODE_EXPIRY_MS: Millis = 10 * NODE_TIMEOUT_MS;
/// Debt of a new coordinator, in seconds of the rate. The previous coordinator may have granted until its
/// lease expired, up to 600 ms after its last contact with a majority, and a new one starts no earlier than
/// 360 ms after that contact.
const TAKEOVER_DEBT_S: f64 = 0.3;

/// The last report of a node.
#[derive(Debug)]
struct ReportingNode {
    incarnation: Incarnation,
    last_report: Millis,
    /// Requests that the node has forwarded, as of its last report, by tenant.
    sent: BTreeMap<TenantId, u64>,
}

impl ReportingNode {
    fn new(now: Millis, incarnation: Incarnation) -> ReportingNode {
        ReportingNode { incarnation, last_report: now, sent: BTreeMap::new() }
    }

    /// Records that a report arrived. The counts of another incarnation start at 0.
    fn record_report(&mut self, now: Millis, incarnation: Incarnation) {
        if self.incarnation != incarnation {
            *self = ReportingNode::new(now, incarnation);
        }
        self.last_report = now;
    }

    /// Returns the tenant's requests that the node forwarded since its previous report.
    fn sent_since_last_report(&mut self, usage: &UsageReport) -> u32 {
        let previously_sent = std::mem::replace(self.sent.entry(usage.tenant).or_default(), usage.sent);
        usage.sent.saturating_sub(previously_sent) as u32
    }
}

/// The coordinator's token bucket and counters of one tenant.
#[derive(Debug)]
struct TenantBudget {
    bucket: TokenBucket,
    /// Requests forwarded by all nodes in the current meter period.
    sent_this_period: u32,
    /// Requests forwarded by all nodes in the last complete meter period.
    sent_last_period: u32,
}

impl TenantBudget {
    fn new(active_since: Millis, limit: &RateLimit) -> TenantBudget {
        let tokens = if is_active(Mutant::FullBucketAtTakeover) {
            limit.granted_depth()
        } else {
            limit.granted_debt(TAKEOVER_DEBT_S)
        };
        let bucket = TokenBucket::new(tokens, active_since);
        TenantBudget { bucket, sent_this_period: 0, sent_last_period: 0 }
    }

    /// Grants as many of the wanted requests as the bucket contains.
    fn grant(&mut self, now: Millis, wanted: u16, limit: &RateLimit) -> u16 {
        self.bucket.refill(now, limit.granted_rate_per_s(), limit.granted_depth());
        let granted = self.bucket.available(f64::from(wanted));
        self.bucket.debit(if is_active(Mutant::GrantsNotDebited) { 0.0 } else { granted });
        granted as u16
    }

    fn end_period(&mut self) {
        (self.sent_last_period, self.sent_this_period) = (self.sent_this_period, 0);
    }
}

/// The coordinator's state for all tenants and nodes. It grants requests only while it is active, between
/// [`QuotaCoordinator::activate`] and [`QuotaCoordinator::deactivate`].
#[derive(Debug, Default)]
pub struct QuotaCoordinator {
    /// `None` while the coordinator is inactive.
    active_since: Option<Millis>,
    nodes: BTreeMap<Ipv4Addr, ReportingNode>,
    tenants: BTreeMap<TenantId, TenantBudget>,
    period_start: Millis,
}

impl QuotaCoordinator {
    /// Starts to grant requests, without knowledge of the grants of the previous coordinator.
    pub fn activate(&mut self, now: Millis) {
        *self =
            QuotaCoordinator { active_since: Some(now), period_start: now, ..QuotaCoordinator::default() };
    }

    /// Stops granting requests and removes all state.
    pub fn deactivate(&mut self) {
        *self = QuotaCoordinator::default();
    }

    /// Returns the number of nodes with a report within the last 4 s.
    pub fn live_nodes(&self, now: Millis) -> usize {
        self.nodes.values().filter(|node| now < node.last_report + NODE_TIMEOUT_MS).count()
    }

    /// Counts the usage that a node reports, and grants as many of the requests that it asks for as the
    /// limits allow.
    ///
    /// Returns no grants for tenants without a limit, and none at all while the coordinator is inactive.
    pub fn grant(
        &mut self,
        now: Millis,
        (ip, incarnation): (Ipv4Addr, Incarnation),
        usage: &[UsageReport],
        limit: impl Fn(TenantId) -> Option<RateLimit>,
    ) -> Vec<QuotaGrant> {
        let Some(active_since) = self.active_since else { return Vec::new() };
        self.end_period_if_over(now);
        // The first counts of a node cover an unknown time and are therefore left out of the meter reading.
        let is_first_report = !self.nodes.contains_key(&ip);
        let node = self.nodes.entry(ip).or_insert_with(|| ReportingNode::new(now, incarnation));
        node.record_report(now, incarnation);
        let mut grants = Vec::with_capacity(usage.len());
        for report in usage {
            let Some(limit) = limit(report.tenant).filter(RateLimit::is_limited) else { continue };
            let sent = node.sent_since_last_report(report);
            let budget = self.tenants.entry(report.tenant);
            let budget = budget.or_insert_with(|| TenantBudget::new(active_since, &limit));
            budget.sent_this_period += if is_first_report { 0 } else { sent };
            let requests = budget.grant(now, report.wanted, &limit);
            grants.push(QuotaGrant { tenant: report.tenant, requests, sent_by_all: budget.sent_last_period });
        }
        grants
    }

    /// Ends the meter period if it is over, and removes nodes without a report for [`NODE_EXPIRY_MS`].
    fn end_period_if_over(&mut self, now: Millis) {
        if now < self.period_start + METER_PERIOD_MS {
            return;
        }
        self.period_start = now;
        self.tenants.values_mut().for_each(TenantBudget::end_period);
        self.nodes.retain(|_, node| now < node.last_report + NODE_EXPIRY_MS);
    }
}
