//! The hard rate limit: what no customer's sends may exceed, over all gateways and without messages between
//! them.
//!
//! The limit's rate and burst are divided among the gateways through which a customer comes, and each keeps a
//! token bucket for its share. The sum of the shares is the limit, so it holds without coordination.

use crate::interface::*;
use brassport_policy_stats::TokenBucket;
use serde::{Deserialize, Serialize};

/// A rejection by the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimited {
    /// What to advise the client to wait, in milliseconds; 0: no advice.
    pub retry_after: Millis,
}

/// This gateway's share of one customer's rate limit. The bucket starts empty and fills from the gateway's
/// start on, as an earlier incarnation may have spent it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "tuple struct Ceiling")]
pub struct RateLimitShare(TokenBucket);

impl RateLimitShare {
    /// An empty share that fills from `started_at` on.
    pub fn new(started_at: Millis) -> RateLimitShare {
        RateLimitShare(TokenBucket::empty(started_at))
    }

    /// Takes a first attempt's units from the share.
    ///
    /// Where equal shares would be smaller than the largest request, which could then never pass, only some
    /// of the customer's gateways hold a share; which ones is rotated by customer.
    pub fn try_take(
        &mut self,
        settings: &Settings,
        request: &Request,
        now: Millis,
    ) -> Result<(), RateLimited> {
        let (plan, set, all) =
            (&settings.plans[request.plan], request.customer_gateways.max(1), settings.gateways);
        if plan.hard_limit_rate <= 0.0 {
            return Ok(());
        }
        let burst = plan.hard_limit_burst + plan.hard_limit_slack;
        let holders = f64::from(set).min((burst / settings.max_units).floor().max(1.0));
        let index = (settings.ordinal + all - request.first_gateway % all) % all;
        let turn = (index + (request.customer % u64::from(set)) as u32) % set;
        if f64::from(turn) >= holders || index >= set && holders < f64::from(set) {
            return Err(RateLimited { retry_after: 0.0 });
        }
        self.0.refill(now, plan.hard_limit_rate / holders, burst / holders);
        let is_taken = self.0.try_take(request.units);
        is_taken.then_some(()).ok_or(RateLimited { retry_after: settings.max_retry_after })
    }
}
