use brassport_policy_stats::{Millis, SendLog};
use proptest::prelude::*;

proptest! {
    #[test]
    fn units_between_two_times_match_a_linear_sum(
        sends in prop::collection::vec((0u16..200, 1u8..20), 0..80),
        discarded_until in 0u32..8000,
        queries in prop::collection::vec((0u32..9000, 0u32..9000), 1..20),
    ) {
        let (mut log, mut model, mut now) = (SendLog::default(), Vec::new(), 0.0);
        for (gap, units) in sends {
            now += f64::from(gap);
            log.record(now, f64::from(units));
            model.push((now, f64::from(units)));
        }
        log.discard_before(f64::from(discarded_until));
        model.retain(|(at, _)| *at >= f64::from(discarded_until));
        prop_assert_eq!(log.is_empty(), model.is_empty());
        let times: Vec<Millis> = (0..40).rev().map(|step| f64::from(step) * 230.0).collect();
        let mut totals = vec![0.0; times.len()];
        log.totals_up_to(times.iter().copied(), &mut totals);
        for (time, total) in times.into_iter().zip(totals) {
            prop_assert!((total - log.total_up_to(time)).abs() < 1e-9);
        }
        for (from, to) in queries {
            let (from, to) = (f64::from(from), f64::from(to));
            let sum: f64 = model.iter().filter(|(at, _)| *at > from && *at <= to).map(|(_, units)| units).sum();
            prop_assert!((log.units_between(from, to) - sum).abs() < 1e-9);
        }
    }
}
