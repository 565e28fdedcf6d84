//! Seeds over the chain of the operator's words: loss, delay, repeats, kills, freezes, one-way cuts, full disks, lost
//! disks, changes of voters. `CONFIG_STORE_SEEDS=100000` plays more, `CONFIG_STORE_FIRST` others.

use crate::harness::simulation::{Simulation, Sizes};
use test_case::test_case;

fn number(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[test_case(Sizes { machines: 3, voters: 3, wipes: 1, fault_phase_ms: 12_000 }; "three voters of which one may lose its disk")]
#[test_case(Sizes { machines: 4, voters: 4, wipes: 1, fault_phase_ms: 12_000 }; "four voters, an even number")]
#[test_case(Sizes { machines: 5, voters: 2, wipes: 0, fault_phase_ms: 12_000 }; "two voters and three that are added")]
#[test_case(Sizes { machines: 8, voters: 8, wipes: 1, fault_phase_ms: 8_000 }; "eight voters")]
fn acknowledged_writes_are_durable_and_rejected_ones_never_applied(sizes: Sizes) {
    let first = number("CONFIG_STORE_FIRST", 0);
    let last = first + number("CONFIG_STORE_SEEDS", 500);
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let lane = |lane: u64| {
        let (mut acknowledged, mut violations) = (0, Vec::new());
        for seed in (first + lane..last).step_by(threads) {
            let mut simulation = Simulation::new(seed, sizes, None);
            simulation.run();
            acknowledged += simulation.acknowledged;
            if !simulation.violations.is_empty() {
                violations.push((seed, simulation.violations));
            }
        }
        (acknowledged, violations)
    };
    let lanes: Vec<_> = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads as u64).map(|number| scope.spawn(move || lane(number))).collect();
        running.into_iter().map(|lane| lane.join().expect("a lane ends")).collect()
    });
    let acknowledged: usize = lanes.iter().map(|(acknowledged, _)| acknowledged).sum();
    let violations: Vec<_> = lanes.into_iter().flat_map(|(_, violations)| violations).collect();
    println!("{acknowledged} writes acknowledged");
    assert!(violations.is_empty(), "{sizes:?}: {violations:?}");
    assert!(acknowledged > 0);
}
