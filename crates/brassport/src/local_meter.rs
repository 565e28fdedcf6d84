//! The meter of a site with one front door: what the platform's meter tells on the nodes' answers, this one tells
//! from the door's own attempts, in the same terms and no sooner. No I/O.

use brassport_policy::{CustomerId, Millis, Settings};
use brassport_proxy::dispatch::UsageMeter;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct Use {
    period: u64,
    units: f64,
    /// Units of the period before that one.
    before: f64,
}

/// Units that each customer used, by whole periods.
#[derive(Debug)]
pub struct LocalMeter {
    period: Millis,
    /// Of each plan, units a second; 0: no quota.
    rates: Vec<f64>,
    customers: BTreeMap<CustomerId, Use>,
    swept: u64,
}

impl LocalMeter {
    /// A meter over periods of this many milliseconds, with the quota of each plan in units a second.
    pub fn new(period: Millis, rates: Vec<f64>) -> LocalMeter {
        LocalMeter { period: period.max(1.0), rates, customers: BTreeMap::new(), swept: 0 }
    }

    fn index(&self, now: Millis) -> u64 {
        (now / self.period).max(0.0) as u64
    }

    fn current(&mut self, now: Millis, customer: CustomerId) -> &mut Use {
        let index = self.index(now);
        // Guards the memory: who has used nothing for two periods reads as nought either way.
        if index > self.swept {
            self.swept = index;
            self.customers.retain(|_, used| used.period + 2 > index);
        }
        let used = self.customers.entry(customer).or_default();
        if used.period != index {
            used.before = if used.period + 1 == index { used.units } else { 0.0 };
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
        let before = self.current(now, customer).before;
        (quota > 0.0).then(|| before / quota)
    }

    fn apply_settings(&mut self, settings: &Settings) {
        let period = settings.meter_period.max(1.0);
        if period != self.period {
            // Its periods are counted in another measure from here on.
            (self.period, self.swept) = (period, 0);
            self.customers.clear();
        }
        self.rates = settings.plans.iter().map(|plan| plan.rate).collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reading_tells_of_the_last_finished_period_alone() {
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
        assert_eq!(meter.reading(3000.0, 7, 1), None, "no quota, no share of it");
    }

    #[test]
    fn customers_that_stay_away_are_forgotten() {
        let mut meter = LocalMeter::new(1000.0, vec![10.0, 0.0]);
        for customer in 0..1000 {
            meter.record(10.0, customer, 1.0);
        }
        meter.record(5000.0, 1, 1.0);
        assert_eq!(meter.customers.len(), 1);
    }
}
