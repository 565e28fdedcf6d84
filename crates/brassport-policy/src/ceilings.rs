//! Ceilings: what no customer's sends may pass, over all gateways and with no word from one to another.

use crate::interface::*;
use serde::{Deserialize, Serialize};

/// This gateway's share of one customer's ceiling. It fills from birth on: an earlier life may have spent it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ceiling(brassport_policy_stats::TokenBucket);

impl Ceiling {
    pub fn new(born: Millis) -> Ceiling {
        Ceiling(brassport_policy_stats::TokenBucket::empty(born))
    }

    /// Takes a first attempt's units from the share, or tells how long to wait. Guards against shares below
    /// the largest request, which would never pass: some of the set hold all then, others for each customer.
    pub fn take(&mut self, settings: &Settings, request: &Request, now: Millis) -> Result<(), Millis> {
        let (plan, set, all) = (&settings.plans[request.plan], request.spread.max(1), settings.gateways);
        if plan.ceiling_rate <= 0.0 {
            return Ok(());
        }
        let store = plan.ceiling_burst + plan.ceiling_slack;
        let holders = f64::from(set).min((store / settings.max_units).floor().max(1.0));
        let place = (settings.ordinal + all - request.first % all) % all;
        let turn = (place + (request.customer % u64::from(set)) as u32) % set;
        if f64::from(turn) >= holders || place >= set && holders < f64::from(set) {
            return Err(0.0);
        }
        self.0.refill(now, plan.ceiling_rate / holders, store / holders);
        self.0.try_take(request.units).then_some(()).ok_or(settings.max_retry_after)
    }
}
