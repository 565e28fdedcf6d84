//! The meter's clock: which period a reading tells of.
//!
//! A reading says what a customer used in the last period that the meter has added up, but not which one
//! that is. When periods end and how late they are told is the same for all customers and stays so, so it
//! can be learned: with the right period, what this gateway sent is a part of what the meter counted.
//! It decides nothing: it says what a reading is about.

use crate::{Millis, Sends};
use serde::{Deserialize, Serialize};

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
/// Above this weight of a reading all misfits are scaled down.
const HEAVY: f64 = 1e9;
/// Lanes in which the least is looked for.
const LANES: usize = 8;
/// Moments, a part of a period from one to the next, between which sends are summed up for a reading.
const EDGES: usize = DELAYS + 2 * PARTS;

/// Learns when the meter's periods end and how long after that they are told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MeterClock {
    period: Millis,
    /// Misfit of each place of the end, and for each of them of every delay, in units of what one that comes now
    /// counts for: that grows, instead of all others' fading.
    misfit: Vec<f64>,
    weight: f64,
    best: usize,
}

impl MeterClock {
    /// A clock for periods of that length, 0 if there is no meter.
    pub fn new(period: Millis) -> MeterClock {
        let doubt = |n: usize| DOUBT * ((n % DELAYS) as f64 / PARTS as f64 - USUAL_DELAY).abs();
        let misfit: Vec<f64> = (0..PARTS * DELAYS).map(doubt).collect();
        let best = least(&misfit);
        MeterClock { period, misfit, weight: 1.0, best }
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

    /// Takes in a reading of so many units and the own sends to that customer.
    pub fn learn(&mut self, now: Millis, units: f64, sends: &Sends) {
        if self.period <= 0.0 || sends.is_empty() {
            return;
        }
        self.weight /= KEEP;
        let part = self.period / PARTS as f64;
        let parts = (now / part).floor();
        let mut sent = [0.0; EDGES];
        sends.totals((0..EDGES).map(|back| (parts - back as f64) * part), &mut sent);
        for end in 0..PARTS {
            // Parts of a period since the last that ended there. A delay up to that tells of the one that was over;
            // each period more of delay tells of one before.
            let since = (parts - end as f64).rem_euclid(PARTS as f64) as usize;
            let row = &mut self.misfit[end * DELAYS..][..DELAYS];
            let mut first = 0;
            for period in 0..=MOST_PERIODS {
                let edge = since + period * PARTS;
                let own = (sent[edge] - sent[edge + PARTS]).max(0.0);
                let more = (units - own).abs().min(MOST_MISFIT) * self.weight;
                let last = (edge + 1).min(DELAYS);
                row[first..last].iter_mut().for_each(|misfit| *misfit += more);
                first = last;
            }
        }
        if self.weight > HEAVY {
            self.misfit.iter_mut().for_each(|misfit| *misfit /= self.weight);
            self.weight = 1.0;
        }
        self.best = least(&self.misfit);
    }
}

/// The first place of the least.
fn least(misfit: &[f64]) -> usize {
    let mut lanes = [f64::INFINITY; LANES];
    for some in misfit.chunks_exact(LANES) {
        for (lane, &misfit) in lanes.iter_mut().zip(some) {
            *lane = if misfit < *lane { misfit } else { *lane };
        }
    }
    let least = lanes.into_iter().fold(f64::INFINITY, f64::min);
    misfit.iter().position(|&misfit| misfit == least).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// The clock as it is meant: every reading is compared at every place by itself, and what was fades.
    struct Plain {
        misfit: Vec<f64>,
    }

    impl Plain {
        fn learn(&mut self, period: Millis, now: Millis, units: f64, sends: &[(Millis, f64)]) {
            let part = period / PARTS as f64;
            for place in 0..PARTS * DELAYS {
                // The last end of a period that was told by then, if it is told this late.
                let (end, delay) = ((place / DELAYS) as f64, (place % DELAYS) as f64);
                let parts = (now / part).floor() - delay;
                let told = parts - (parts - end).rem_euclid(PARTS as f64);
                let within = |at: Millis| at > (told - PARTS as f64) * part && at <= told * part;
                let own: f64 = sends.iter().filter(|(at, _)| within(*at)).map(|(_, units)| units).sum();
                let misfit = &mut self.misfit[place];
                *misfit = *misfit * KEEP + (units - own).abs().min(MOST_MISFIT);
            }
        }
    }

    proptest! {
        #[test]
        fn sums_of_parts_come_to_what_each_place_by_itself_comes_to(
            steps in prop::collection::vec((0u16..300, 0u8..4, 0u8..6, any::<bool>()), 1..200),
        ) {
            let period = 500.0;
            let mut clock = MeterClock::new(period);
            let mut plain = Plain { misfit: clock.misfit.clone() };
            let (mut sends, mut all, mut now) = (Sends::default(), Vec::new(), 0.0);
            for (gap, sent, read, is_read) in steps {
                now += f64::from(gap);
                sends.push(now, f64::from(sent));
                all.push((now, f64::from(sent)));
                if is_read {
                    clock.learn(now, f64::from(read), &sends);
                    plain.learn(period, now, f64::from(read), &all);
                }
            }
            for (place, (one, other)) in clock.misfit.iter().zip(&plain.misfit).enumerate() {
                let one = one / clock.weight;
                prop_assert!((one - other).abs() < 1e-9, "place {place}: {one} instead of {other}");
            }
            prop_assert!(clock.misfit.iter().all(|misfit| clock.misfit[clock.best] <= *misfit));
        }
    }

    /// Readings of a meter with this end and delay (in parts of a period), of one customer whom this gateway and
    /// another send to.
    fn found(end: usize, delay: usize, readings: usize) -> usize {
        let (period, part) = (500.0, 50.0);
        let mut clock = MeterClock::new(period);
        let (mut sends, mut others) = (Sends::default(), Sends::default());
        let (mut seed, mut last) = (7u64, f64::NEG_INFINITY);
        for step in 0..readings {
            let now = 25.0 + step as f64 * part;
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            sends.push(now, f64::from((seed >> 60) as u32 % 4));
            others.push(now, f64::from(u8::from((seed >> 50) % 16 == 0)));
            let over = ((now / part).floor() - delay as f64 - end as f64).div_euclid(10.0) * period
                + end as f64 * part;
            if over > last {
                last = over;
            }
            let units = sends.between(last - period, last) + others.between(last - period, last);
            clock.learn(now, units, &sends);
        }
        clock.best
    }

    #[test]
    fn the_end_and_the_delay_are_found() {
        for (end, delay) in [(0, 0), (3, 10), (9, 17), (5, 39)] {
            let best = found(end, delay, 600);
            assert_eq!((best / DELAYS, best % DELAYS), (end, delay));
        }
    }

    #[test]
    fn the_clock_goes_on_learning_for_good() {
        // Three times as many readings as the weight of one may grow over, then a meter that is told later.
        let mut clock = MeterClock::new(500.0);
        let mut sends = Sends::default();
        let mut told = |clock: &mut MeterClock, steps: std::ops::Range<u32>, delay: f64| {
            for step in steps {
                let now = 20.0 + f64::from(step) * 50.0;
                if step % 7 < 3 {
                    sends.push(now, 1.0);
                }
                sends.drop_before(now - 4000.0);
                let over = ((now / 50.0).floor() - delay).div_euclid(10.0) * 500.0;
                clock.learn(now, sends.between(over - 500.0, over), &sends);
            }
            clock.best
        };
        assert_eq!(told(&mut clock, 0..62_000, 3.0), 3);
        assert!(clock.weight < HEAVY);
        assert_eq!(told(&mut clock, 62_000..66_000, 17.0), 17);
    }
}
