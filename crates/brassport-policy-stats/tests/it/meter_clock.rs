use brassport_policy_stats::{MeterClock, Millis, SendLog};
use proptest::prelude::*;
use serde::Deserialize;

// The private constants of the module.
const PARTS_PER_PERIOD: usize = 10;
const DELAY_CANDIDATES: usize = 40;
const MISFIT_RETENTION: f64 = 0.999;
const MAX_READING_MISFIT: f64 = 2.0;
const MAX_WEIGHT: f64 = 1e9;

/// The state of the estimator, read from its serialized form.
#[derive(Deserialize)]
struct State {
    misfit: Vec<f64>,
    weight: f64,
    best: usize,
}

fn state(clock: &MeterClock) -> State {
    serde_json::from_value(serde_json::to_value(clock).unwrap()).unwrap()
}

/// Reference implementation: compares every candidate with every reading and decays the misfits at each
/// reading.
struct ReferenceModel {
    misfit: Vec<f64>,
}

impl ReferenceModel {
    fn observe(&mut self, period: Millis, now: Millis, units: f64, sends: &[(Millis, f64)]) {
        let part = period / PARTS_PER_PERIOD as f64;
        for candidate in 0..PARTS_PER_PERIOD * DELAY_CANDIDATES {
            // The end of the last period that has been reported by `now` with this delay.
            let (end, delay) = ((candidate / DELAY_CANDIDATES) as f64, (candidate % DELAY_CANDIDATES) as f64);
            let parts = (now / part).floor() - delay;
            let reported = parts - (parts - end).rem_euclid(PARTS_PER_PERIOD as f64);
            let is_covered =
                |at: Millis| at > (reported - PARTS_PER_PERIOD as f64) * part && at <= reported * part;
            let local_sent: f64 =
                sends.iter().filter(|(at, _)| is_covered(*at)).map(|(_, units)| units).sum();
            let misfit = &mut self.misfit[candidate];
            *misfit = *misfit * MISFIT_RETENTION + (units - local_sent).abs().min(MAX_READING_MISFIT);
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
        let mut reference = ReferenceModel { misfit: state(&clock).misfit };
        let (mut sends, mut all_sends, mut now) = (SendLog::default(), Vec::new(), 0.0);
        for (gap, sent, read, is_read) in steps {
            now += f64::from(gap);
            sends.record(now, f64::from(sent));
            all_sends.push((now, f64::from(sent)));
            if is_read {
                clock.observe(now, f64::from(read), &sends);
                reference.observe(period, now, f64::from(read), &all_sends);
            }
        }
        let estimated = state(&clock);
        for (candidate, (actual, expected)) in estimated.misfit.iter().zip(&reference.misfit).enumerate() {
            let actual = actual / estimated.weight;
            prop_assert!((actual - expected).abs() < 1e-9, "candidate {candidate}: {actual} instead of {expected}");
        }
        prop_assert!(estimated.misfit.iter().all(|misfit| estimated.misfit[estimated.best] <= *misfit));
    }
}

/// Observes readings of a meter with this period end and delay, in parts of a period, for one customer whose
/// requests this gateway and another one send. Returns the estimated candidate.
fn estimate(end: usize, delay: usize, readings: usize) -> usize {
    let (period, part) = (500.0, 50.0);
    let mut clock = MeterClock::new(period);
    let (mut sends, mut remote_sends) = (SendLog::default(), SendLog::default());
    let (mut seed, mut last) = (7u64, f64::NEG_INFINITY);
    for step in 0..readings {
        let now = 25.0 + step as f64 * part;
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        sends.record(now, f64::from((seed >> 60) as u32 % 4));
        remote_sends.record(now, f64::from(u8::from((seed >> 50) % 16 == 0)));
        let covered_until =
            ((now / part).floor() - delay as f64 - end as f64).div_euclid(10.0) * period + end as f64 * part;
        if covered_until > last {
            last = covered_until;
        }
        let units =
            sends.units_between(last - period, last) + remote_sends.units_between(last - period, last);
        clock.observe(now, units, &sends);
    }
    state(&clock).best
}

#[test]
fn period_end_and_delay_are_estimated() {
    for (end, delay) in [(0, 0), (3, 10), (9, 17), (5, 39)] {
        let best = estimate(end, delay, 600);
        assert_eq!((best / DELAY_CANDIDATES, best % DELAY_CANDIDATES), (end, delay));
    }
}

#[test]
fn a_changed_delay_is_detected_after_the_weight_was_rescaled() {
    // Three times as many readings as it takes the weight to reach its maximum, then a longer reporting
    // delay.
    let mut clock = MeterClock::new(500.0);
    let mut sends = SendLog::default();
    let mut estimate = |clock: &mut MeterClock, steps: std::ops::Range<u32>, delay: f64| {
        for step in steps {
            let now = 20.0 + f64::from(step) * 50.0;
            if step % 7 < 3 {
                sends.record(now, 1.0);
            }
            sends.discard_before(now - 4000.0);
            let covered_until = ((now / 50.0).floor() - delay).div_euclid(10.0) * 500.0;
            clock.observe(now, sends.units_between(covered_until - 500.0, covered_until), &sends);
        }
        state(clock).best
    };
    assert_eq!(estimate(&mut clock, 0..62_000, 3.0), 3);
    assert!(state(&clock).weight < MAX_WEIGHT);
    assert_eq!(estimate(&mut clock, 62_000..66_000, 17.0), 17);
}
