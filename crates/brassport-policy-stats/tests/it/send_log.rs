use brassport_policy_stats::{Millis, SendLog};
use proptest::prelude::*;

proptest! {
    #[test]
    fn units_between_two_moments_match_a_linear_sum(
        sends in prop::collection::vec((0u16..200, 1u8..20), 0..80),
        drop in 0u32..8000,
        queries in prop::collection::vec((0u32..9000, 0u32..9000), 1..20),
    ) {
        let (mut log, mut plain, mut now) = (SendLog::default(), Vec::new(), 0.0);
        for (gap, units) in sends {
            now += f64::from(gap);
            log.record(now, f64::from(units));
            plain.push((now, f64::from(units)));
        }
        log.discard_before(f64::from(drop));
        plain.retain(|(at, _)| *at >= f64::from(drop));
        prop_assert_eq!(log.is_empty(), plain.is_empty());
        let moments: Vec<Millis> = (0..40).rev().map(|step| f64::from(step) * 230.0).collect();
        let mut totals = vec![0.0; moments.len()];
        log.totals_up_to(moments.iter().copied(), &mut totals);
        for (moment, total) in moments.into_iter().zip(totals) {
            prop_assert!((total - log.total_up_to(moment)).abs() < 1e-9);
        }
        for (from, to) in queries {
            let (from, to) = (f64::from(from), f64::from(to));
            let sum: f64 = plain.iter().filter(|(at, _)| *at > from && *at <= to).map(|(_, units)| units).sum();
            prop_assert!((log.units_between(from, to) - sum).abs() < 1e-9);
        }
    }
}
