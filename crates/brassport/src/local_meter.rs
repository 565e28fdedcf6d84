//! Usage meter for a site with a single gateway and no meter of the platform: counts the gateway's own attempts. It
//! reports usage as the platform's meter does in the backends' responses: as a fraction of the quota, for completed
//! periods only. No I/O.

use brassport_policy::{CustomerId, Millis, Settings};
use brassport_proxy::dispatch::UsageMeter;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct Usage {
    /// Index of the period, counted from time 0.
    period: u64,
    units: f64,
    /// Units of the period before `period`.
    previous_units: f64,
}

/// Counts the units that each customer uses in each period.
#[derive(Debug)]
pub struct LocalMeter {
    period: Millis,
    /// Quota of each plan, in units per second; 0: no quota.
    rates: Vec<f64>,
    customers: BTreeMap<CustomerId, Usage>,
    /// Period in which unused customers were removed last.
    last_sweep: u64,
}

impl LocalMeter {
    /// Creates a meter with periods of `period` milliseconds; `rates` are the plans' quotas in units per second.
    pub fn new(period: Millis, rates: Vec<f64>) -> LocalMeter {
        LocalMeter { period: period.max(1.0), rates, customers: BTreeMap::new(), last_sweep: 0 }
    }

    fn period_index(&self, now: Millis) -> u64 {
        (now / self.period).max(0.0) as u64
    }

    fn current(&mut self, now: Millis, customer: CustomerId) -> &mut Usage {
        let index = self.period_index(now);
        // Limits the memory: a customer without usage for two periods reads as 0 whether it is kept or not.
        if index > self.last_sweep {
            self.last_sweep = index;
            self.customers.retain(|_, used| used.period + 2 > index);
        }
        let used = self.customers.entry(customer).or_default();
        if used.period != index {
            used.previous_units = if used.period + 1 == index { used.units } else { 0.0 };
            (used.period, used.units) = (index, 0.0);
        }
        used
    }
}

impl UsageMeter for LocalMeter {
    fn record(&mut self, now: Millis, customer: CustomerId, units: f64) {
        self.current(now, customer).units += units;
    }

    fn reading(&mut self, now: Millis, customer: CustomerId, plan: usize) -> Option<f64> {
        let quota = self.rates.get(plan)? * self.period / 1000.0;
        let previous = self.current(now, customer).previous_units;
        (quota > 0.0).then(|| previous / quota)
    }

    fn apply_settings(&mut self, settings: &Settings) {
        let period = settings.meter_period.max(1.0);
        if period != self.period {
            // Indices of periods of different lengths are not comparable.
            (self.period, self.last_sweep) = (period, 0);
            self.customers.clear();
        }
        self.rates = settings.plans.iter().map(|plan| plan.rate).collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reading_covers_only_the_last_complete_period() {
        let mut meter = LocalMeter::new(1000.0, vec![10.0, 0.0]);
        meter.record(100.0, 7, 3.0);
        meter.record(900.0, 7, 2.0);
        assert_eq!(meter.reading(950.0, 7, 0), Some(0.0), "the period is not over");
        assert_eq!(meter.reading(1000.0, 7, 0), Some(0.5));
        meter.record(1500.0, 7, 20.0);
        assert_eq!(meter.reading(1999.0, 7, 0), Some(0.5));
        assert_eq!(meter.reading(2000.0, 7, 0), Some(2.0));
        assert_eq!(meter.reading(3000.0, 7, 0), Some(0.0), "a period without use");
        assert_eq!(meter.reading(3000.0, 8, 0), Some(0.0), "another customer");
        assert_eq!(meter.reading(3000.0, 7, 1), None, "a plan without a quota");
    }

    #[test]
    fn customers_without_recent_usage_are_removed() {
        let mut meter = LocalMeter::new(1000.0, vec![10.0, 0.0]);
        for customer in 0..1000 {
            meter.record(10.0, customer, 1.0);
        }
        meter.record(5000.0, 1, 1.0);
        assert_eq!(meter.customers.len(), 1);
    }
}
