//! The time until another voter leads after the leader is killed, frozen or partitioned, at 200 random moments each.

use crate::harness::simulation::{LeaderLoss, Simulation, Sizes};
use test_case::test_case;

#[test_case(3)]
#[test_case(4)]
#[test_case(8)]
fn a_lost_leader_is_replaced_within_2_s(voters: usize) {
    let sizes = Sizes { machines: voters, voters, wipes: 0, fault_phase_ms: 60_000 };
    for loss in [LeaderLoss::Kill, LeaderLoss::Freeze, LeaderLoss::Cut] {
        let mut times: Vec<u64> = (0..200)
            .map(|seed| {
                Simulation::new(seed, sizes, None)
                    .lose_leader(loss)
                    .expect("another voter becomes the leader")
            })
            .collect();
        times.sort_unstable();
        println!(
            "{voters} voters, {loss:?}: p50 {} ms, p99 {} ms, maximum {} ms",
            times[100], times[197], times[199]
        );
        assert!(times[199] < 2_000, "{voters} voters, {loss:?}: {} ms", times[199]);
    }
}
