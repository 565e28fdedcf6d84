//! The meter's clock: which period a reading tells of.
//!
//! A reading says what a customer used in the last period that the meter has added up, but not which one
//! that is. When periods end and how late they are told is the same for all customers and stays so, so it
//! can be learned: with the right period, what this gateway sent is a part of what the meter counted.

use crate::interface::Millis;
use springusher_counts::Sends;

/// Places within a period that its end is looked for at, and the same of the delay until it is told.
const PARTS: usize = 10;
/// Longest delay that is looked for, in periods.
const MOST_PERIODS: usize = 4;
const DELAYS: usize = PARTS * MOST_PERIODS;
/// Delay in periods that is assumed until readings tell, and how much a period more or less counts against
/// another, in units of misfit.
const USUAL_DELAY: f64 = 1.0;
const DOUBT: f64 = 1.0;
/// Most units of misfit that one reading counts for: what other gateways sent must not drown the rest.
const MOST_MISFIT: f64 = 2.0;
/// Part of the misfit that stays at each reading: the last thousand or so count, should the delay change.
const KEEP: f64 = 0.999;

/// Learns when the meter's periods end and how long after that they are told.
#[derive(Debug)]
pub struct MeterClock {
    period: Millis,
    /// Misfit of each place of the end, and for each of them of every delay.
    misfit: Vec<f64>,
    best: usize,
}

impl MeterClock {
    /// A clock for periods of that length, 0 if there is no meter.
    pub fn new(period: Millis) -> MeterClock {
        let doubt = |n: usize| DOUBT * ((n % DELAYS) as f64 / PARTS as f64 - USUAL_DELAY).abs();
        let misfit: Vec<f64> = (0..PARTS * DELAYS).map(doubt).collect();
        let best = least(&misfit);
        MeterClock { period, misfit, best }
    }

    /// End of the period that a reading which comes `now` tells of.
    pub fn told(&self, now: Millis) -> Millis {
        if self.period <= 0.0 {
            return now;
        }
        let part = self.period / PARTS as f64;
        let (end, delay) = ((self.best / DELAYS) as f64 * part, (self.best % DELAYS) as f64 * part);
        ((now - delay - end) / self.period).floor() * self.period + end
    }

    /// Delay from the end of a period until it is told, in periods.
    pub fn delay(&self) -> f64 {
        (self.best % DELAYS) as f64 / PARTS as f64
    }

    /// How far back sends matter: no reading tells of earlier ones.
    pub fn reach(&self) -> Millis {
        (MOST_PERIODS + 2) as f64 * self.period
    }

    /// Takes in a reading of so many units and the own sends to that customer, the oldest first.
    pub fn learn(&mut self, now: Millis, units: f64, sends: &Sends) {
        if self.period <= 0.0 || sends.is_empty() {
            return;
        }
        let part = self.period / PARTS as f64;
        for end in 0..PARTS {
            let phase = end as f64 * part;
            let periods = (now - phase) / self.period;
            let over = periods.floor() * self.period + phase;
            // A delay up to the part of the period that has passed since then tells of the one that was over;
            // each period more of delay tells of one before.
            let since = ((periods - periods.floor()) * PARTS as f64).floor() as usize + 1;
            let row = &mut self.misfit[end * DELAYS..][..DELAYS];
            let (mut first, mut last) = (0, since.min(DELAYS));
            let mut end = over;
            while first < DELAYS {
                let own = sends.between(end - self.period, end);
                let more = (units - own).abs().min(MOST_MISFIT);
                row[first..last].iter_mut().for_each(|misfit| *misfit = *misfit * KEEP + more);
                (first, last, end) = (last, (last + PARTS).min(DELAYS), end - self.period);
            }
        }
        self.best = least(&self.misfit);
    }
}

fn least(misfit: &[f64]) -> usize {
    (0..misfit.len()).min_by(|&a, &b| misfit[a].total_cmp(&misfit[b])).unwrap_or(0)
}
