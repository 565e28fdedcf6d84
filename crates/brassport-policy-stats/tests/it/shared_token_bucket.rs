use brassport_policy_stats::{BucketFlow, SharedTokenBucket};
use proptest::prelude::*;

const FLOW: BucketFlow = BucketFlow { rate_per_s: 2.0, remote_per_s: 0.5, capacity: 10.0 };

#[test]
fn the_level_follows_refill_local_sends_and_remote_usage() {
    let mut bucket = SharedTokenBucket::new(4.0, 0.0);
    assert_eq!(bucket.level_at(2000.0, FLOW), 7.0);
    bucket.record_send(1000.0, 3.0);
    assert_eq!(bucket.level_at(2000.0, FLOW), 4.0);
    assert_eq!(bucket.sent_above_rate(2000.0, 0.5), 2.0);
    assert_eq!(bucket.level_at(60_000.0, FLOW), 10.0, "the level is at most the capacity");
    // All instances together used as much as was refilled, which includes the sends of this instance.
    bucket.apply_reading(2000.0, 1.0, FLOW);
    assert_eq!((bucket.level_at(2000.0, FLOW), bucket.settled_until()), (4.0, 2000.0));
    bucket.apply_reading(1000.0, 0.0, FLOW);
    assert_eq!(bucket.settled_until(), 2000.0, "an earlier reading does not change the settled time");
}

proptest! {
    #[test]
    fn settling_in_steps_equals_settling_at_once_while_neither_full_nor_empty(
        sends in prop::collection::vec((1u16..900, 0u8..3), 0..20),
        cuts in prop::collection::vec(0u32..10_000, 0..6),
    ) {
        let flow = BucketFlow { rate_per_s: 2.0, remote_per_s: 0.5, capacity: 1e6 };
        let (mut at_once, mut in_steps, mut now) = (SharedTokenBucket::new(1e5, 0.0), SharedTokenBucket::new(1e5, 0.0), 0.0);
        for (gap, units) in sends {
            now += f64::from(gap);
            at_once.record_send(now, f64::from(units));
            in_steps.record_send(now, f64::from(units));
        }
        let mut cuts = cuts;
        cuts.sort_unstable();
        cuts.into_iter().for_each(|cut| in_steps.discard_before(f64::from(cut).min(now), flow));
        let (expected, actual) = (at_once.level_at(20_000.0, flow), in_steps.level_at(20_000.0, flow));
        prop_assert!((expected - actual).abs() < 1e-6, "{actual} instead of {expected}");
    }
}
