//! The coordinator's side: a bucket for each tenant, out of which nodes are granted requests ahead, and the reading of each
//! meter period.

use crate::mutants::{is_active, Mutant};
use crate::token_bucket::TokenBucket;
use crate::{Incarnation, Millis, QuotaGrant, RateLimit, TenantId, UsageReport, METER_PERIOD_MS};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A node without a report for so long is not counted as live.
const NODE_TIMEOUT_MS: Millis = 4_000;
/// A node without a report for so long is forgotten. Far behind the time-out: a node that is forgotten and comes back has
/// its next counts left out of the reading.
const NODE_EXPIRY_MS: Millis = 10 * NODE_TIMEOUT_MS;
/// A new coordinator starts with a debt of so many seconds of the rate. The one before may have granted until its lease ran out,
/// up to 600 ms after its last contact with a majority, and no new one begins sooner than 360 ms after that.
const TAKEOVER_DEBT_S: f64 = 0.3;

/// What a node reported.
#[derive(Debug)]
struct Node {
    incarnation: Incarnation,
    last_report: Millis,
    /// Requests of each tenant that it had forwarded.
    sent: BTreeMap<TenantId, u64>,
}

impl Node {
    fn new(now: Millis, incarnation: Incarnation) -> Node {
        Node { incarnation, last_report: now, sent: BTreeMap::new() }
    }

    /// Notes that a report came. Another incarnation counts from zero.
    fn refresh(&mut self, now: Millis, incarnation: Incarnation) {
        if self.incarnation != incarnation {
            *self = Node::new(now, incarnation);
        }
        self.last_report = now;
    }

    /// Requests of a tenant that the node forwarded since its report before.
    fn sent_since_last(&mut self, usage: &UsageReport) -> u32 {
        let before = std::mem::replace(self.sent.entry(usage.tenant).or_default(), usage.sent);
        usage.sent.saturating_sub(before) as u32
    }
}

/// What the coordinator has of one tenant.
#[derive(Debug)]
struct TenantBudget {
    bucket: TokenBucket,
    sent_this_period: u32,
    sent_last_period: u32,
}

impl TenantBudget {
    fn new(active_since: Millis, limit: &RateLimit) -> TenantBudget {
        let tokens = if is_active(Mutant::FullBucketAtTakeover) {
            limit.lent_depth()
        } else {
            limit.lent_debt(TAKEOVER_DEBT_S)
        };
        let bucket = TokenBucket::new(tokens, active_since);
        TenantBudget { bucket, sent_this_period: 0, sent_last_period: 0 }
    }

    /// Grants as many of the wanted requests as the bucket has.
    fn grant(&mut self, now: Millis, wanted: u16, limit: &RateLimit) -> u16 {
        self.bucket.refill(now, limit.lent_rate_per_s(), limit.lent_depth());
        let granted = self.bucket.available(f64::from(wanted));
        self.bucket.debit(if is_active(Mutant::GrantsNotDebited) { 0.0 } else { granted });
        granted as u16
    }

    fn end_period(&mut self) {
        (self.sent_last_period, self.sent_this_period) = (self.sent_this_period, 0);
    }
}

/// What the owner of the coordinator's role counts and grants. Before [`QuotaCoordinator::activate`] and after [`QuotaCoordinator::deactivate`] it grants
/// nothing.
#[derive(Debug, Default)]
pub struct QuotaCoordinator {
    active_since: Option<Millis>,
    nodes: BTreeMap<Ipv4Addr, Node>,
    tenants: BTreeMap<TenantId, TenantBudget>,
    period_start: Millis,
}

impl QuotaCoordinator {
    /// Begins to lend, with nothing known of what the coordinator before granted.
    pub fn activate(&mut self, now: Millis) {
        *self =
            QuotaCoordinator { active_since: Some(now), period_start: now, ..QuotaCoordinator::default() };
    }

    /// Lends no more, and forgets all.
    pub fn deactivate(&mut self) {
        *self = QuotaCoordinator::default();
    }

    /// How many nodes have reported lately.
    pub fn live_nodes(&self, now: Millis) -> usize {
        self.nodes.values().filter(|node| now < node.last_report + NODE_TIMEOUT_MS).count()
    }

    /// Counts the usage that a node reports, and grants it what it wants as far as the limits allow.
    ///
    /// Tenants without a limit get no grant. Not lending, it answers nothing.
    pub fn grant(
        &mut self,
        now: Millis,
        (ip, incarnation): (Ipv4Addr, Incarnation),
        usage: &[UsageReport],
        limit: impl Fn(TenantId) -> Option<RateLimit>,
    ) -> Vec<QuotaGrant> {
        let Some(active_since) = self.active_since else { return Vec::new() };
        self.end_period_if_over(now);
        // What an unknown node counted before belongs to no period of this coordinator.
        let is_first_report = !self.nodes.contains_key(&ip);
        let node = self.nodes.entry(ip).or_insert_with(|| Node::new(now, incarnation));
        node.refresh(now, incarnation);
        let mut grants = Vec::with_capacity(usage.len());
        for report in usage {
            let Some(limit) = limit(report.tenant).filter(RateLimit::is_limited) else { continue };
            let sent = node.sent_since_last(report);
            let budget = self.tenants.entry(report.tenant);
            let budget = budget.or_insert_with(|| TenantBudget::new(active_since, &limit));
            budget.sent_this_period += if is_first_report { 0 } else { sent };
            let requests = budget.grant(now, report.wanted, &limit);
            grants.push(QuotaGrant { tenant: report.tenant, requests, sent_by_all: budget.sent_last_period });
        }
        grants
    }

    /// Ends a meter period that is over, and forgets nodes that are gone for good.
    fn end_period_if_over(&mut self, now: Millis) {
        if now < self.period_start + METER_PERIOD_MS {
            return;
        }
        self.period_start = now;
        self.tenants.values_mut().for_each(TenantBudget::end_period);
        self.nodes.retain(|_, node| now < node.last_report + NODE_EXPIRY_MS);
    }
}
