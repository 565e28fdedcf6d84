//! The account of one tenant at a node.

use crate::rate_limit::NodeShare;
use crate::retry_delays::{CoordinatorContact, RetryDelays};
use crate::token_bucket::TokenBucket;
use crate::{Millis, QuotaGrant, TenantId, UsageReport, METER_PERIOD_MS};

/// The last meter reading that the node received.
#[derive(Debug)]
struct MeterReading {
    /// Requests forwarded by all nodes in the last complete meter period.
    sent_by_all: u32,
    received_at: Millis,
}

/// One node's quota and counters of one tenant.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// Requests received since the account was created.
    offered: u64,
    /// Requests forwarded since the account was created.
    sent: u64,
    /// The node's base share of the limit; `None` until the first request with a limit.
    base_bucket: Option<TokenBucket>,
    /// Requests granted in advance and not spent. Negative after forced requests.
    prefetched: f64,
    /// Requests that the next report asks for.
    wanted: f64,
    meter_reading: Option<MeterReading>,
    last_used: Millis,
    retry_delays: RetryDelays,
    last_reported: Option<UsageReport>,
}

impl Account {
    /// Records that the tenant is in use.
    pub(crate) fn record_use(&mut self, now: Millis) {
        self.last_used = now;
    }

    /// Returns whether the tenant was not in use for longer than `idle_timeout`.
    pub(crate) fn is_idle(&self, now: Millis, idle_timeout: Millis) -> bool {
        now > self.last_used + idle_timeout
    }

    /// Counts a received request.
    pub(crate) fn record_offered(&mut self) {
        self.offered += 1;
    }

    /// Counts a forwarded request without a limit.
    pub(crate) fn record_unlimited(&mut self) {
        self.sent += 1;
    }

    /// Counts a request that is forwarded in any case, and deducts it from the granted requests, which may
    /// become negative.
    pub(crate) fn force_acquire(&mut self) {
        self.sent += 1;
        self.prefetched -= 1.0;
    }

    /// Refills the base bucket up to `now`. Caps the prefetched requests too, as the limit may have been
    /// lowered.
    pub(crate) fn refill(&mut self, now: Millis, share: &NodeShare) {
        // A new process starts with half a bucket, as the usage of earlier incarnations is unknown.
        let base_bucket =
            self.base_bucket.get_or_insert_with(|| TokenBucket::new((share.base_depth / 2.0).max(1.0), now));
        base_bucket.refill(now, share.base_rate_per_s, share.base_depth);
        self.prefetched = self.prefetched.min(share.prefetch_limit);
    }

    /// Takes one request, from the prefetched ones first and from the base bucket otherwise. Returns whether
    /// a request was available.
    pub(crate) fn try_acquire(&mut self, share: &NodeShare) -> bool {
        let is_spent = if self.prefetched >= 1.0 {
            self.prefetched -= 1.0;
            true
        } else {
            self.base_bucket.as_mut().is_some_and(TokenBucket::try_take_one)
        };
        self.sent += u64::from(is_spent);
        self.wanted = (share.prefetch_limit - self.prefetched).max(0.0);
        is_spent
    }

    /// Returns whether fewer than two further requests could be forwarded without a grant.
    pub(crate) fn is_low(&self) -> bool {
        self.prefetched < 1.0 && self.base_bucket.as_ref().is_none_or(|bucket| bucket.tokens() < 2.0)
    }

    /// Records a rejection and returns the retry delay for the client, in milliseconds.
    pub(crate) fn reject(&mut self, now: Millis, share: &NodeShare, contact: CoordinatorContact) -> Millis {
        let bucket = self.base_bucket.as_ref();
        let until_token_ms = bucket.map_or(0.0, |bucket| bucket.until_one_ms(share.base_rate_per_s));
        self.retry_delays.reject(now, until_token_ms, share, contact)
    }

    /// Returns the time of the last rejection.
    pub(crate) fn last_rejection(&self) -> Option<Millis> {
        self.retry_delays.last_rejection()
    }

    /// Returns the requests forwarded by all nodes in the last complete meter period; `None` if the reading
    /// is two periods old or older.
    pub(crate) fn meter_reading(&self, now: Millis) -> Option<u32> {
        let reading = self.meter_reading.as_ref()?;
        (now < reading.received_at + 2 * METER_PERIOD_MS).then_some(reading.sent_by_all)
    }

    /// Returns the report for the coordinator; `None` if it equals the last one and asks for no requests.
    pub(crate) fn next_report(&mut self, tenant: TenantId) -> Option<UsageReport> {
        let report =
            UsageReport { tenant, offered: self.offered, sent: self.sent, wanted: self.wanted as u16 };
        if self.last_reported == Some(report) && report.wanted == 0 {
            return None;
        }
        self.last_reported = Some(report);
        Some(report)
    }

    /// Adds the requests that the coordinator granted.
    pub(crate) fn apply_grant(&mut self, now: Millis, grant: &QuotaGrant) {
        let requests = f64::from(grant.requests);
        self.prefetched += requests;
        self.wanted = (self.wanted - requests).max(0.0);
        self.meter_reading = Some(MeterReading { sent_by_all: grant.sent_by_all, received_at: now });
    }
}
