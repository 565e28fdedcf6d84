//! Ceilings: what no customer's sends may pass, over all gateways and with no word from one to another.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use springusher_counts::Store;

/// This gateway's share of one customer's ceiling. It fills from birth on: an earlier life may have spent it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ceiling(Store);

impl Ceiling {
    pub fn new(born: Millis) -> Ceiling {
        Ceiling(Store::empty(born))
    }

    /// Takes a first attempt's units from the share, or tells how long to wait. Guards against shares below a
    /// unit, of which nothing would pass: some gateways hold all then, others for each customer.
    pub fn take(&mut self, settings: &Settings, request: &Request, now: Millis) -> Result<(), Millis> {
        let (plan, spread) = (&settings.plans[request.plan], f64::from(request.spread.max(1)));
        if plan.ceiling_rate <= 0.0 {
            return Ok(());
        }
        let (store, all) = (plan.ceiling_burst + plan.ceiling_slack, u64::from(settings.gateways));
        let split = store < spread && spread >= all as f64;
        let holders = if split { store.floor().max(1.0) } else { spread };
        if split && (u64::from(settings.ordinal) + request.customer % all) % all >= holders as u64 {
            return Err(0.0);
        }
        self.0.fill(now, plan.ceiling_rate / holders, store / holders);
        self.0.take(request.units).then_some(()).ok_or(settings.max_retry_after)
    }
}
