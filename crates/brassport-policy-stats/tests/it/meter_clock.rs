use brassport_policy_stats::{MeterClock, Millis, SendLog};
use proptest::prelude::*;
use serde::Deserialize;

// As in the module: candidates in a period, delays, decay, cap and rescaling.
const PARTS: usize = 10;
const DELAYS: usize = 40;
const RETAINED: f64 = 0.999;
const MAX_READING_MISFIT: f64 = 2.0;
const MAX_WEIGHT: f64 = 1e9;

/// What the clock has learned, as its serialized form shows it.
#[derive(Deserialize)]
struct State {
    misfit: Vec<f64>,
    weight: f64,
    best: usize,
}

fn state(clock: &MeterClock) -> State {
    serde_json::from_value(serde_json::to_value(clock).unwrap()).unwrap()
}

/// The definition: every candidate is compared with every reading, and its misfit decays.
struct Plain {
    misfit: Vec<f64>,
}

impl Plain {
    fn learn(&mut self, period: Millis, now: Millis, units: f64, sends: &[(Millis, f64)]) {
        let part = period / PARTS as f64;
        for candidate in 0..PARTS * DELAYS {
            // The last end of a period that was reported by then, with this delay.
            let (end, delay) = ((candidate / DELAYS) as f64, (candidate % DELAYS) as f64);
            let parts = (now / part).floor() - delay;
            let reported = parts - (parts - end).rem_euclid(PARTS as f64);
            let within = |at: Millis| at > (reported - PARTS as f64) * part && at <= reported * part;
            let own: f64 = sends.iter().filter(|(at, _)| within(*at)).map(|(_, units)| units).sum();
            let misfit = &mut self.misfit[candidate];
            *misfit = *misfit * RETAINED + (units - own).abs().min(MAX_READING_MISFIT);
        }
    }
}

proptest! {
    #[test]
    fn misfits_match_the_definition_for_every_candidate(
        steps in prop::collection::vec((0u16..300, 0u8..4, 0u8..6, any::<bool>()), 1..200),
    ) {
        let period = 500.0;
        let mut clock = MeterClock::new(period);
        let mut plain = Plain { misfit: state(&clock).misfit };
        let (mut sends, mut all, mut now) = (SendLog::default(), Vec::new(), 0.0);
        for (gap, sent, read, is_read) in steps {
            now += f64::from(gap);
            sends.record(now, f64::from(sent));
            all.push((now, f64::from(sent)));
            if is_read {
                clock.observe(now, f64::from(read), &sends);
                plain.learn(period, now, f64::from(read), &all);
            }
        }
        let learned = state(&clock);
        for (candidate, (one, other)) in learned.misfit.iter().zip(&plain.misfit).enumerate() {
            let one = one / learned.weight;
            prop_assert!((one - other).abs() < 1e-9, "candidate {candidate}: {one} instead of {other}");
        }
        prop_assert!(learned.misfit.iter().all(|misfit| learned.misfit[learned.best] <= *misfit));
    }
}

/// Readings of a meter with this end and delay (in parts of a period), of one customer whom this gateway and
/// another send to.
fn found(end: usize, delay: usize, readings: usize) -> usize {
    let (period, part) = (500.0, 50.0);
    let mut clock = MeterClock::new(period);
    let (mut sends, mut others) = (SendLog::default(), SendLog::default());
    let (mut seed, mut last) = (7u64, f64::NEG_INFINITY);
    for step in 0..readings {
        let now = 25.0 + step as f64 * part;
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        sends.record(now, f64::from((seed >> 60) as u32 % 4));
        others.record(now, f64::from(u8::from((seed >> 50) % 16 == 0)));
        let over =
            ((now / part).floor() - delay as f64 - end as f64).div_euclid(10.0) * period + end as f64 * part;
        if over > last {
            last = over;
        }
        let units = sends.units_between(last - period, last) + others.units_between(last - period, last);
        clock.observe(now, units, &sends);
    }
    state(&clock).best
}

#[test]
fn period_end_and_delay_are_found() {
    for (end, delay) in [(0, 0), (3, 10), (9, 17), (5, 39)] {
        let best = found(end, delay, 600);
        assert_eq!((best / DELAYS, best % DELAYS), (end, delay));
    }
}

#[test]
fn a_changed_delay_is_learned_after_the_weight_was_rescaled() {
    // Three times as many readings as the weight of one may grow over, then a meter that is told later.
    let mut clock = MeterClock::new(500.0);
    let mut sends = SendLog::default();
    let mut learned = |clock: &mut MeterClock, steps: std::ops::Range<u32>, delay: f64| {
        for step in steps {
            let now = 20.0 + f64::from(step) * 50.0;
            if step % 7 < 3 {
                sends.record(now, 1.0);
            }
            sends.discard_before(now - 4000.0);
            let over = ((now / 50.0).floor() - delay).div_euclid(10.0) * 500.0;
            clock.observe(now, sends.units_between(over - 500.0, over), &sends);
        }
        state(clock).best
    };
    assert_eq!(learned(&mut clock, 0..62_000, 3.0), 3);
    assert!(state(&clock).weight < MAX_WEIGHT);
    assert_eq!(learned(&mut clock, 62_000..66_000, 17.0), 17);
}
