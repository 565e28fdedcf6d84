//! How long it takes until another voter holds the role: 200 moments each of a kill, a freeze and a cut.

use crate::harness::simulation::{Loss, Simulation, Sizes};
use test_case::test_case;

#[test_case(3)]
#[test_case(4)]
#[test_case(8)]
fn a_lost_leader_is_replaced_within_2_s(voters: usize) {
    let sizes = Sizes { machines: voters, voters, wipes: 0, fault_phase_ms: 60_000 };
    for loss in [Loss::Kill, Loss::Freeze, Loss::Cut] {
        let mut times: Vec<u64> = (0..200)
            .map(|seed| Simulation::new(seed, sizes, None).lose_leader(loss).expect("another leads"))
            .collect();
        times.sort_unstable();
        println!(
            "{voters} voters, {loss:?}: half within {} ms, 99 in 100 within {}, most {}",
            times[100], times[197], times[199]
        );
        assert!(times[199] < 2_000, "{voters} voters, {loss:?}: {} ms", times[199]);
    }
}
