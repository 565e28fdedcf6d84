//! What one node holds and counts of one tenant.

use crate::rate_limit::NodeShare;
use crate::retry_advice::{CoordinatorContact, RetryAdvice};
use crate::token_bucket::TokenBucket;
use crate::{Millis, QuotaGrant, TenantId, UsageReport, METER_PERIOD_MS};

/// What all nodes sent in the last complete meter period, and when that was received.
#[derive(Debug)]
struct Reading {
    sent_by_all: u32,
    received_at: Millis,
}

/// One tenant's account at a node.
#[derive(Debug, Default)]
pub(crate) struct Account {
    offered: u64,
    sent: u64,
    /// The node's own part of the limit; none before the first request under a limit.
    base: Option<TokenBucket>,
    /// Requests granted ahead. Below zero where requests passed that had to.
    prefetched: f64,
    /// Requests that the next report asks for.
    wanted: f64,
    reading: Option<Reading>,
    last_used: Millis,
    advice: RetryAdvice,
    last_reported: Option<UsageReport>,
}

impl Account {
    /// Notes that the tenant is in use.
    pub(crate) fn touch(&mut self, now: Millis) {
        self.last_used = now;
    }

    /// Whether nothing came of the tenant for longer than this.
    pub(crate) fn is_idle(&self, now: Millis, idle_timeout: Millis) -> bool {
        now > self.last_used + idle_timeout
    }

    /// Counts a request that came.
    pub(crate) fn record_offered(&mut self) {
        self.offered += 1;
    }

    /// Counts a request that no limit applies to.
    pub(crate) fn count_unlimited(&mut self) {
        self.sent += 1;
    }

    /// Counts a request that passes in any case, as a debt of what is granted ahead.
    pub(crate) fn force_acquire(&mut self) {
        self.sent += 1;
        self.prefetched -= 1.0;
    }

    /// Brings the tokens up to now. A limit that was lowered holds for what is prefetched too.
    pub(crate) fn refill(&mut self, now: Millis, share: &NodeShare) {
        // A new process has half a bucket: what an earlier incarnation spent is not known.
        let base = self.base.get_or_insert_with(|| TokenBucket::new((share.base_depth / 2.0).max(1.0), now));
        base.refill(now, share.base_rate_per_s, share.base_depth);
        self.prefetched = self.prefetched.min(share.prefetch_limit);
    }

    /// Spends one request, prefetched ones first. Returns whether there was one.
    pub(crate) fn try_spend(&mut self, share: &NodeShare) -> bool {
        let is_spent = if self.prefetched >= 1.0 {
            self.prefetched -= 1.0;
            true
        } else {
            self.base.as_mut().is_some_and(TokenBucket::try_take_one)
        };
        self.sent += u64::from(is_spent);
        self.wanted = (share.prefetch_limit - self.prefetched).max(0.0);
        is_spent
    }

    /// Whether the next two requests may not pass without a grant.
    pub(crate) fn is_low(&self) -> bool {
        self.prefetched < 1.0 && self.base.as_ref().is_none_or(|base| base.tokens() < 2.0)
    }

    /// Counts a rejection. Returns the milliseconds after which the client should retry.
    pub(crate) fn reject(&mut self, now: Millis, share: &NodeShare, contact: CoordinatorContact) -> Millis {
        let until_token_ms = self.base.as_ref().map_or(0.0, |base| base.until_one_ms(share.base_rate_per_s));
        self.advice.reject(now, until_token_ms, share, contact)
    }

    /// When a request was rejected last.
    pub(crate) fn last_rejection(&self) -> Option<Millis> {
        self.advice.last_rejection()
    }

    /// What all nodes sent in the last complete meter period, unless the reading is older than two periods.
    pub(crate) fn reading(&self, now: Millis) -> Option<u32> {
        let reading = self.reading.as_ref()?;
        (now < reading.received_at + 2 * METER_PERIOD_MS).then_some(reading.sent_by_all)
    }

    /// The report for the coordinator; none if it would say the same as the last one and asks for nothing.
    pub(crate) fn report(&mut self, tenant: TenantId) -> Option<UsageReport> {
        let report =
            UsageReport { tenant, offered: self.offered, sent: self.sent, wanted: self.wanted as u16 };
        if self.last_reported == Some(report) && report.wanted == 0 {
            return None;
        }
        self.last_reported = Some(report);
        Some(report)
    }

    /// Adds what the coordinator granted.
    pub(crate) fn apply_grant(&mut self, now: Millis, grant: &QuotaGrant) {
        let requests = f64::from(grant.requests);
        self.prefetched += requests;
        self.wanted = (self.wanted - requests).max(0.0);
        self.reading = Some(Reading { sent_by_all: grant.sent_by_all, received_at: now });
    }
}
