//! Conversion of times to one clock: the bounds contain the true time, and clocks that jumped are not used.

use brassport_fleet::clocks::{Clocks, Mark, Moment};
use proptest::prelude::*;

fn width(moment: Moment) -> i64 {
    moment.to_ms - moment.from_ms
}

/// The reading, at the true time `truth`, of a clock with this offset that runs fast by `permille` thousandths.
fn reading(truth: i64, offset: i64, permille: i64) -> u64 {
    (offset + truth + truth * permille / 1000) as u64
}

proptest! {
    /// Three processes, each with its own monotonic clock, read the clocks of two instances; the third process reads only the
    /// second instance. The bounds of any time that a process records must contain the true time.
    #[test]
    fn the_true_moment_lies_within_its_bounds(
        offsets in proptest::array::uniform3(0i64..1_000_000),
        paces in proptest::array::uniform3(-4i64..=4),
        walls in proptest::array::uniform2(1_000_000_000i64..2_000_000_000),
        exchanges in proptest::collection::vec((0i64..60_000, 0u8..3, 0u8..2, 1i64..400, 0.0..1.0f64), 3..20),
        when in 0i64..60_000,
    ) {
        let mut clocks = Clocks::default();
        for (at, process, instance, took, fraction) in exchanges {
            let (process, instance) = (usize::from(process), if process == 2 { 1 } else { usize::from(instance) });
            let steady = |truth| reading(truth, offsets[process], paces[process]);
            // The instance's wall clock is exact except for its offset; it is read at some time during the round trip.
            let said_ms = reading(at + (fraction * took as f64) as i64, walls[instance], 0);
            let mark = Mark { by: format!("i{instance}"), said_ms, took_ms: steady(at + took) - steady(at) };
            clocks.add(process as u64, steady(at + took), mark);
        }
        clocks.align();
        prop_assert_eq!(clocks.jumped(), &[] as &[String], "no clock jumped");
        let reference = clocks.reference().expect("at least one clock was read").to_string();
        for process in 0..3usize {
            if let Some(moment) = clocks.moment(process as u64, reading(when, offsets[process], paces[process])) {
                let truth = reading(when, walls[usize::from(reference == "i1")], 0) as i64;
                prop_assert!(moment.from_ms <= truth && truth <= moment.to_ms, "{truth} is outside {moment:?}");
                prop_assert!(width(moment) < 5_000, "the bounds are too wide to be useful: {moment:?}");
            }
        }
    }
}

#[test]
fn bounds_widen_with_the_distance_from_a_clock_reading() {
    let mut clocks = Clocks::default();
    clocks.add(1, 1_000, Mark { by: "i1".into(), said_ms: 50_000, took_ms: 10 });
    clocks.align();
    let width = |steady| width(clocks.moment(1, steady).expect("the process has a clock reading"));
    assert!(width(1_000) <= 16, "{}", width(1_000));
    assert!(width(101_000) >= 2_000, "1% of 100 s in both directions");
    assert_eq!(clocks.moment(2, 1_000), None, "a process without a reading is not related to any clock");
}

#[test]
fn a_clock_that_jumped_between_two_readings_is_not_linked() {
    let mut clocks = Clocks::default();
    for (at, wall_ms) in [(1_000, 90_000), (2_000, 190_000)] {
        clocks.add(1, at, Mark { by: "i1".into(), said_ms: 50_000 + at, took_ms: 10 });
        clocks.add(1, at, Mark { by: "i2".into(), said_ms: wall_ms, took_ms: 10 });
    }
    clocks.add(2, 7_000, Mark { by: "i2".into(), said_ms: 90_500, took_ms: 10 });
    clocks.align();
    assert_eq!((clocks.reference(), clocks.jumped()), (Some("i2"), &["i1".to_string()][..]));
    assert!(clocks.moment(2, 7_000).is_some());
}
