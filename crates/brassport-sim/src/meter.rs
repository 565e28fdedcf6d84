//! Plans, and the meter that counts what their customers use.

use crate::kernel::{Nanos, MS};
use brassport_checkers::Figures;
use std::collections::{BTreeMap, BTreeSet};

/// A period of the meter.
pub const PERIOD: Nanos = 500 * MS;

/// Units a second of each plan's quota: starter, studio, practice.
pub const PLAN_RATES: [f64; 3] = [3.0, 4.0, 3.0];
/// What of a quota may be used at once, in seconds of it.
pub const BURST_S: f64 = 4.0;
/// The ceiling of the last plan: units a second, its store, and by how much that may be overdrawn.
pub const CEILING: [f64; 3] = [6.0, 12.0, 1.2];

/// The meter: what each customer used over all doors in the last period that was added up.
pub struct Meter {
    /// The site's figures.
    pub figures: Figures,
    period: Nanos,
    /// How long after its end a period is told.
    late: Nanos,
    seen: BTreeSet<String>,
    counts: BTreeMap<(u64, u64), u64>,
    /// Content of each customer's token bucket, and when it was that.
    stores: BTreeMap<u64, (f64, Nanos)>,
    /// Units beyond these.
    pub over_quota: f64,
}

impl Meter {
    /// A meter that has counted nothing.
    pub fn new(figures: Figures, late: Nanos) -> Meter {
        Meter {
            figures,
            period: PERIOD,
            late,
            seen: BTreeSet::new(),
            counts: BTreeMap::new(),
            stores: BTreeMap::new(),
            over_quota: 0.0,
        }
    }

    /// Counts a request when it first comes whole to a node.
    pub fn count(&mut self, id: &str, customer: u64, now: Nanos) {
        if self.seen.insert(id.to_string()) {
            *self.counts.entry((customer, now / self.period)).or_default() += 1;
            let rate = PLAN_RATES[(customer % 3) as usize];
            let burst = BURST_S * rate;
            let (store, since) = self.stores.entry(customer).or_insert((burst, now));
            *store = (*store + rate * (now - *since) as f64 / 1e9).min(burst) - 1.0;
            *since = now;
            self.over_quota -= store.min(0.0);
            *store = store.max(0.0);
        }
    }

    /// The customer's use that is told now, in percent of its quota.
    pub fn told(&self, customer: u64, now: Nanos) -> u64 {
        let period = self.period;
        let Some(last) = (now.saturating_sub(self.late) / period).checked_sub(1) else {
            return 0;
        };
        let units = self.counts.get(&(customer, last)).copied().unwrap_or(0);
        let quota = PLAN_RATES[(customer % 3) as usize] * period as f64 / 1e9;
        (100.0 * units as f64 / quota) as u64
    }
}
