//! Estimates which period of the meter a reading covers.
//!
//! A reading contains a customer's usage in the last period that the meter has summed, but does not identify
//! the period. The ends of the periods and the delay until they are reported are the same for all customers
//! and rarely change. They can be estimated, as the sends of this instance in the covered period are a part
//! of the usage that the meter counted. Each reading adds the difference between the two, its misfit, to
//! every candidate alignment. The estimate is the candidate with the lowest total.

use crate::{Millis, SendLog};
use serde::{Deserialize, Serialize};

/// Parts into which a period is divided: the resolution of the candidate period ends and reporting delays.
const PARTS_PER_PERIOD: usize = 10;
/// Exclusive upper bound of the candidate reporting delays, in periods.
const MAX_DELAY_PERIODS: usize = 4;
/// Number of candidate reporting delays for each candidate period end.
const DELAY_CANDIDATES: usize = PARTS_PER_PERIOD * MAX_DELAY_PERIODS;
/// Reporting delay that is assumed before the first reading, in periods.
const PRIOR_DELAY_PERIODS: f64 = 1.0;
/// Initial misfit of a candidate per period of difference from [`PRIOR_DELAY_PERIODS`], in units.
const PRIOR_MISFIT_PER_PERIOD: f64 = 1.0;
/// Upper bound of the misfit of one reading, in units. Limits the effect of the sends of other instances.
const MAX_READING_MISFIT: f64 = 2.0;
/// Fraction of the total misfit that is retained at each reading. About the last thousand readings count, so
/// that a changed delay is detected.
const MISFIT_RETENTION: f64 = 0.999;
/// Weight of a reading above which all misfits are scaled down, to preserve their precision.
const MAX_WEIGHT: f64 = 1e9;
/// Number of independent minima that are computed in parallel, so that the compiler can use vector
/// instructions.
const LANES: usize = 8;
/// Number of points in time, one part of a period apart, for which a reading needs the sum of the earlier
/// sends.
const PART_BOUNDARIES: usize = DELAY_CANDIDATES + 2 * PARTS_PER_PERIOD;

/// Estimates when the meter's periods end and how long after their end they are reported.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MeterClock {
    period: Millis,
    /// Total misfit of each candidate, scaled by `weight`. The index is the period end, in parts, times
    /// [`DELAY_CANDIDATES`] plus the delay, in parts.
    misfit: Vec<f64>,
    /// Weight of the last reading. It grows with each reading, which is equivalent to a decay of the previous
    /// misfits.
    weight: f64,
    /// Index of the candidate with the lowest misfit.
    best: usize,
}

impl MeterClock {
    /// Creates an estimator for periods of this length; 0 if there is no meter.
    pub fn new(period: Millis) -> MeterClock {
        let prior = |n: usize| {
            PRIOR_MISFIT_PER_PERIOD
                * ((n % DELAY_CANDIDATES) as f64 / PARTS_PER_PERIOD as f64 - PRIOR_DELAY_PERIODS).abs()
        };
        let misfit: Vec<f64> = (0..PARTS_PER_PERIOD * DELAY_CANDIDATES).map(prior).collect();
        let best = index_of_min(&misfit);
        MeterClock { period, misfit, weight: 1.0, best }
    }

    /// Returns the end of the period that a reading received at `now` covers, or `now` without a meter.
    pub fn covered_period_end(&self, now: Millis) -> Millis {
        if self.period <= 0.0 {
            return now;
        }
        let part = self.period / PARTS_PER_PERIOD as f64;
        let (end, delay) =
            ((self.best / DELAY_CANDIDATES) as f64 * part, (self.best % DELAY_CANDIDATES) as f64 * part);
        ((now - delay - end) / self.period).floor() * self.period + end
    }

    /// Returns the delay from the end of a period to its report, in periods.
    pub fn reporting_delay_periods(&self) -> f64 {
        (self.best % DELAY_CANDIDATES) as f64 / PARTS_PER_PERIOD as f64
    }

    /// Returns the age, in milliseconds, from which on a send is no longer covered by a reading.
    pub fn max_reading_age(&self) -> Millis {
        (MAX_DELAY_PERIODS + 2) as f64 * self.period
    }

    /// Compares a customer's reading, in units, with the sends of this instance for the same customer.
    pub fn observe(&mut self, now: Millis, units: f64, sends: &SendLog) {
        if self.period <= 0.0 || sends.is_empty() {
            return;
        }
        self.weight /= MISFIT_RETENTION;
        let part = self.period / PARTS_PER_PERIOD as f64;
        let parts = (now / part).floor();
        let mut sent_until = [0.0; PART_BOUNDARIES];
        sends.totals_up_to(
            (0..PART_BOUNDARIES).map(|parts_back| (parts - parts_back as f64) * part),
            &mut sent_until,
        );
        for end in 0..PARTS_PER_PERIOD {
            // Parts of a period since the last period end of this candidate. If the reporting delay is not
            // longer, the reading covers the period that ended then; with each further period of delay, it
            // covers one period earlier.
            let since = (parts - end as f64).rem_euclid(PARTS_PER_PERIOD as f64) as usize;
            let candidates = &mut self.misfit[end * DELAY_CANDIDATES..][..DELAY_CANDIDATES];
            let mut first = 0;
            for period in 0..=MAX_DELAY_PERIODS {
                let boundary = since + period * PARTS_PER_PERIOD;
                let local_sent = (sent_until[boundary] - sent_until[boundary + PARTS_PER_PERIOD]).max(0.0);
                let reading_misfit = (units - local_sent).abs().min(MAX_READING_MISFIT) * self.weight;
                let last = (boundary + 1).min(DELAY_CANDIDATES);
                candidates[first..last].iter_mut().for_each(|misfit| *misfit += reading_misfit);
                first = last;
            }
        }
        if self.weight > MAX_WEIGHT {
            self.misfit.iter_mut().for_each(|misfit| *misfit /= self.weight);
            self.weight = 1.0;
        }
        self.best = index_of_min(&self.misfit);
    }
}

/// Returns the index of the first minimum.
fn index_of_min(misfit: &[f64]) -> usize {
    let mut lanes = [f64::INFINITY; LANES];
    for chunk in misfit.chunks_exact(LANES) {
        for (lane, &misfit) in lanes.iter_mut().zip(chunk) {
            *lane = if misfit < *lane { misfit } else { *lane };
        }
    }
    let min = lanes.into_iter().fold(f64::INFINITY, f64::min);
    misfit.iter().position(|&misfit| misfit == min).unwrap_or(0)
}
