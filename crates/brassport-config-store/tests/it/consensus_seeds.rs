//! Simulations of consensus under faults, one per seed: lost, delayed and duplicated messages, killed and frozen
//! processes, one-way partitions, full disks, lost disks, and voter changes. `CONFIG_STORE_SEEDS` sets the number of
//! seeds (500 by default, 100,000 for a long run), `CONFIG_STORE_FIRST` the first seed.

use crate::harness::simulation::{Simulation, Sizes};
use test_case::test_case;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test_case(Sizes { machines: 3, voters: 3, wipes: 1, fault_phase_ms: 12_000 }; "three voters of which one may lose its disk")]
#[test_case(Sizes { machines: 4, voters: 4, wipes: 1, fault_phase_ms: 12_000 }; "four voters, an even number")]
#[test_case(Sizes { machines: 5, voters: 2, wipes: 0, fault_phase_ms: 12_000 }; "two voters and three that are added")]
#[test_case(Sizes { machines: 8, voters: 8, wipes: 1, fault_phase_ms: 8_000 }; "eight voters")]
fn acknowledged_writes_are_durable_and_rejected_ones_never_applied(sizes: Sizes) {
    let first = env_number("CONFIG_STORE_FIRST", 0);
    let last = first + env_number("CONFIG_STORE_SEEDS", 500);
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let run_share = |thread: u64| {
        let (mut acknowledged, mut violations) = (0, Vec::new());
        for seed in (first + thread..last).step_by(threads) {
            let mut simulation = Simulation::new(seed, sizes, None);
            simulation.run();
            acknowledged += simulation.acknowledged;
            if !simulation.violations.is_empty() {
                violations.push((seed, simulation.violations));
            }
        }
        (acknowledged, violations)
    };
    let shares: Vec<_> = std::thread::scope(|scope| {
        let running: Vec<_> =
            (0..threads as u64).map(|thread| scope.spawn(move || run_share(thread))).collect();
        running.into_iter().map(|thread| thread.join().expect("the thread does not panic")).collect()
    });
    let acknowledged: usize = shares.iter().map(|(acknowledged, _)| acknowledged).sum();
    let violations: Vec<_> = shares.into_iter().flat_map(|(_, violations)| violations).collect();
    println!("{acknowledged} writes acknowledged");
    assert!(violations.is_empty(), "{sizes:?}: {violations:?}");
    assert!(acknowledged > 0);
}
