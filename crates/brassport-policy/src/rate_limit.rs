//! Hard rate limit of a customer over all gateways, without communication between them.
//!
//! Rate and burst of the limit are divided among the gateways that may receive the customer's requests. Each
//! gateway has a token bucket for its share. The shares add up to the limit, so the gateways together stay
//! within it without exchanging messages.

use crate::interface::*;
use brassport_policy_stats::TokenBucket;
use serde::{Deserialize, Serialize};

/// A rejection by the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimited {
    /// How long the client should wait before it retries, in milliseconds; 0: do not say.
    pub retry_after: Millis,
}

/// This gateway's share of one customer's rate limit. The bucket is empty when the gateway starts, as an
/// earlier incarnation of the gateway may have spent the tokens.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "tuple struct Ceiling")]
pub struct RateLimitShare(TokenBucket);

impl RateLimitShare {
    /// Creates an empty share that fills from `started_at` on.
    pub fn new(started_at: Millis) -> RateLimitShare {
        RateLimitShare(TokenBucket::empty(started_at))
    }

    /// Takes the units of a request's first attempt from the share.
    ///
    /// If equal shares were smaller than the largest request, such a request could never pass. In this case
    /// only some of the customer's gateways have a share; the customer identifier determines which.
    pub fn try_take(
        &mut self,
        settings: &Settings,
        request: &Request,
        now: Millis,
    ) -> Result<(), RateLimited> {
        let (plan, gateways) = (&settings.plans[request.plan], settings.gateways);
        let customer_gateways = request.customer_gateways.max(1);
        if plan.hard_limit_rate <= 0.0 {
            return Ok(());
        }
        let burst = plan.hard_limit_burst + plan.hard_limit_slack;
        let shares = f64::from(customer_gateways).min((burst / settings.max_units).floor().max(1.0));
        let index = (settings.ordinal + gateways - request.first_gateway % gateways) % gateways;
        let rotation = (request.customer % u64::from(customer_gateways)) as u32;
        let rank = (index + rotation) % customer_gateways;
        let is_outside = index >= customer_gateways && shares < f64::from(customer_gateways);
        if f64::from(rank) >= shares || is_outside {
            return Err(RateLimited { retry_after: 0.0 });
        }
        self.0.refill(now, plan.hard_limit_rate / shares, burst / shares);
        let is_taken = self.0.try_take(request.units);
        is_taken.then_some(()).ok_or(RateLimited { retry_after: settings.max_retry_after })
    }
}
