//! Which period of the meter a reading covers.
//!
//! A reading says what a customer used in the last period that the meter has summed, but not which period that is. When
//! periods end and how late they are reported is the same for all customers and rarely changes, so it can be learned:
//! with the right alignment, what this instance sent is a part of what the meter counted. Each reading adds its misfit
//! to every candidate alignment, and the candidate with the least misfit is taken.

use crate::{Millis, SendLog};
use serde::{Deserialize, Serialize};

/// Candidate ends within a period, and candidate reporting delays in each period of delay.
const PARTS: usize = 10;
/// Longest reporting delay among the candidates, in periods.
const MAX_DELAY_PERIODS: usize = 4;
const DELAYS: usize = PARTS * MAX_DELAY_PERIODS;
/// Reporting delay that is assumed before any reading, in periods.
const PRIOR_DELAY_PERIODS: f64 = 1.0;
/// Initial misfit of a candidate for each period that its delay differs from that, in units.
const PRIOR_MISFIT: f64 = 1.0;
/// Most units of misfit that one reading counts for: what other instances sent must not outweigh the rest.
const MAX_READING_MISFIT: f64 = 2.0;
/// Fraction of the misfit left after each reading: about the last thousand count, in case the delay changes.
const RETAINED: f64 = 0.999;
/// Weight of a reading above which all misfits are scaled down, so that they stay exact enough.
const MAX_WEIGHT: f64 = 1e9;
/// Lanes in which the minimum is computed, for vector instructions.
const LANES: usize = 8;
/// Moments, a part of a period apart, at which sends are summed for a reading.
const EDGES: usize = DELAYS + 2 * PARTS;

/// Learns when the meter's periods end and how long after that they are reported.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MeterClock {
    period: Millis,
    /// Misfit of each candidate: of each end, of every delay. Scaled by `weight`, which grows with each reading in place
    /// of a decay of all others.
    misfit: Vec<f64>,
    weight: f64,
    best: usize,
}

impl MeterClock {
    /// A clock for periods of this length; 0 if there is no meter.
    pub fn new(period: Millis) -> MeterClock {
        let prior =
            |n: usize| PRIOR_MISFIT * ((n % DELAYS) as f64 / PARTS as f64 - PRIOR_DELAY_PERIODS).abs();
        let misfit: Vec<f64> = (0..PARTS * DELAYS).map(prior).collect();
        let best = index_of_min(&misfit);
        MeterClock { period, misfit, weight: 1.0, best }
    }

    /// End of the period that a reading received at `now` covers.
    pub fn covered_period_end(&self, now: Millis) -> Millis {
        if self.period <= 0.0 {
            return now;
        }
        let part = self.period / PARTS as f64;
        let (end, delay) = ((self.best / DELAYS) as f64 * part, (self.best % DELAYS) as f64 * part);
        ((now - delay - end) / self.period).floor() * self.period + end
    }

    /// Delay from the end of a period until it is reported, in periods.
    pub fn reporting_delay_periods(&self) -> f64 {
        (self.best % DELAYS) as f64 / PARTS as f64
    }

    /// How far back sends matter: no reading covers earlier ones.
    pub fn max_reading_age(&self) -> Millis {
        (MAX_DELAY_PERIODS + 2) as f64 * self.period
    }

    /// Compares a reading of so many units with this instance's sends to the same customer.
    pub fn observe(&mut self, now: Millis, units: f64, sends: &SendLog) {
        if self.period <= 0.0 || sends.is_empty() {
            return;
        }
        self.weight /= RETAINED;
        let part = self.period / PARTS as f64;
        let parts = (now / part).floor();
        let mut sent = [0.0; EDGES];
        sends.totals_up_to((0..EDGES).map(|back| (parts - back as f64) * part), &mut sent);
        for end in 0..PARTS {
            // Parts of a period since the last one with this end. A delay up to that means the period that ended then;
            // each further period of delay means the one before.
            let since = (parts - end as f64).rem_euclid(PARTS as f64) as usize;
            let candidates = &mut self.misfit[end * DELAYS..][..DELAYS];
            let mut first = 0;
            for period in 0..=MAX_DELAY_PERIODS {
                let edge = since + period * PARTS;
                let sent_here = (sent[edge] - sent[edge + PARTS]).max(0.0);
                let more = (units - sent_here).abs().min(MAX_READING_MISFIT) * self.weight;
                let last = (edge + 1).min(DELAYS);
                candidates[first..last].iter_mut().for_each(|misfit| *misfit += more);
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

/// Index of the first minimum.
fn index_of_min(misfit: &[f64]) -> usize {
    let mut lanes = [f64::INFINITY; LANES];
    for some in misfit.chunks_exact(LANES) {
        for (lane, &misfit) in lanes.iter_mut().zip(some) {
            *lane = if misfit < *lane { misfit } else { *lane };
        }
    }
    let min = lanes.into_iter().fold(f64::INFINITY, f64::min);
    misfit.iter().position(|&misfit| misfit == min).unwrap_or(0)
}
