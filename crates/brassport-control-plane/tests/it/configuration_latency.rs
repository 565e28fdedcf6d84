//! Other documented bounds on configurations; half of each must hold: `confirmS` (4 s) from sending to the
//! acknowledgement, while the leader is lost; `catchUpS` (4 s) until a machine that returns applies the latest
//! configuration; `recoverS` (15 s) until a configuration is committed after a restart of all machines.

use crate::sim::{script, Sim};
use test_case::test_case;

/// Runs a scenario with this many seeds. Returns the sorted results of `measure`, in milliseconds.
fn times(seeds: u64, text: &str, measure: impl Fn(&Sim) -> u64) -> Vec<u64> {
    let mut times: Vec<u64> = (0..seeds)
        .map(|seed| {
            let moment = format!("8.{:03}", seed * 97 % 1000);
            let text = format!("{}seed {seed}\n", text.replace("MOMENT", &moment));
            let mut sim = Sim::new(script::parse(&text).expect("a valid scenario"));
            sim.run();
            assert!(
                sim.invariants.violations.is_empty(),
                "seed {seed}: {:?}\n{text}",
                sim.invariants.violations
            );
            measure(&sim)
        })
        .collect();
    times.sort_unstable();
    times
}

/// Prints the percentiles and checks the maximum.
fn assert_within(what: &str, times: &[u64], bound: u64) {
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{what}: median {} ms, p99 {} ms, maximum {} ms of {} samples",
        at(0.5),
        at(0.99),
        at(1.0),
        times.len()
    );
    assert!(at(1.0) <= bound, "{what}: {} ms is above half of the bound, {bound} ms", at(1.0));
}

/// When the `nth` configuration was acknowledged.
fn acknowledged(sim: &Sim, nth: usize) -> u64 {
    sim.invariants.acknowledged.get(nth).map_or(u64::MAX, |(.., at)| *at)
}

#[test_case("kill leader"; "the leader is killed")]
#[test_case("freeze leader for 5s"; "the leader is frozen")]
#[test_case("cut leader off"; "the leader is partitioned")]
fn a_configuration_is_acknowledged_in_time_when_the_leader_is_lost(loss: &str) {
    let text = format!(
        "machines 4 disks, 7 plain, zones a b c\nsync 5ms\nat 4.0 operator next as first\nat MOMENT {loss}\n\
         at 9.0 operator next as second\nat 14 join\nlasts 22s\n"
    );
    // Sent 1 to 1,000 ms after the loss.
    let times = times(100, &text, |sim| acknowledged(sim, 1).saturating_sub(9_000));
    assert_within(&format!("acknowledged, {loss}"), &times, 2_000);
}

#[test_case("3"; "a machine with a disk")]
#[test_case("10"; "a node without a disk")]
fn a_node_that_returns_applies_the_newest_configuration_in_time(machine: &str) {
    let text = format!(
        "machines 4 disks, 7 plain, zones a b c\nat 4.0 operator next as first\nat MOMENT kill {machine}\n\
         at 10.0 operator next as second\nat 13.0 start {machine}\nlasts 20s\n"
    );
    let one: usize = machine.parse().expect("a number");
    let times = times(100, &text, |sim| {
        let version =
            sim.invariants.acknowledged.iter().map(|(version, ..)| *version).max().unwrap_or_default();
        sim.invariants.applied_at(one, version).map_or(u64::MAX, |at| at.saturating_sub(13_000))
    });
    assert_within(&format!("caught up, machine {machine}"), &times, 2_000);
}

#[test]
fn a_configuration_is_committed_in_time_after_a_restart_of_all() {
    let text =
        "machines 4 disks, 7 plain, zones a b c\nat 4.0 operator put v5 on 0 as first\nat MOMENT kill every\n\
                at 10.0 start every\nat 10.0 operator put v7 on 5 as second\nlasts 24s\n";
    let times = times(100, text, |sim| acknowledged(sim, 1).saturating_sub(10_000));
    assert_within("committed after a restart of all machines", &times, 7_500);
}
