//! The operators' other bounds on a configuration, each kept with half to spare: `confirmS` (4 s) from sending to the
//! acknowledgement, over the loss of the leader; `catchUpS` (4 s) until a machine that comes back applies the newest configuration;
//! `recoverS` (15 s) until a configuration is committed after a restart of all.

use crate::sim::{script, Sim};
use test_case::test_case;

/// Plays a scenario over so many seeds; for each, the milliseconds that `measure` finds.
fn times(seeds: u64, text: &str, measure: impl Fn(&Sim) -> u64) -> Vec<u64> {
    let mut times: Vec<u64> = (0..seeds)
        .map(|seed| {
            let moment = format!("8.{:03}", seed * 97 % 1000);
            let text = format!("{}seed {seed}\n", text.replace("MOMENT", &moment));
            let mut sim = Sim::new(script::parse(&text).expect("it makes sense"));
            sim.run();
            assert!(sim.judge.broken.is_empty(), "seed {seed}: {:?}\n{text}", sim.judge.broken);
            measure(&sim)
        })
        .collect();
    times.sort_unstable();
    times
}

fn report(what: &str, times: &[u64], most: u64) {
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{what}: half {} ms, 99 in 100 {} ms, most {} ms of {}",
        at(0.5),
        at(0.99),
        at(1.0),
        times.len()
    );
    assert!(at(1.0) <= most, "{what}: {} ms, and {most} are half of what is allowed", at(1.0));
}

/// When the `nth` configuration was acknowledged.
fn acknowledged(sim: &Sim, nth: usize) -> u64 {
    sim.judge.acknowledged.get(nth).map_or(u64::MAX, |(.., at)| *at)
}

#[test_case("kill leader"; "the leader is killed")]
#[test_case("freeze leader for 5s"; "the leader is frozen")]
#[test_case("cut leader off"; "the leader is cut off")]
fn a_configuration_is_acknowledged_in_time_over_the_loss_of_the_leader(loss: &str) {
    let text = format!(
        "machines 4 disks, 7 plain, zones a b c\nsync 5ms\nat 4.0 operator next as first\nat MOMENT {loss}\n\
         at 9.0 operator next as second\nat 14 join\nlasts 22s\n"
    );
    // Sent 1 to 1,000 ms behind the loss.
    let times = times(100, &text, |sim| acknowledged(sim, 1).saturating_sub(9_000));
    report(&format!("confirmed, {loss}"), &times, 2_000);
}

#[test_case("3"; "a machine with a disk")]
#[test_case("10"; "a node without one")]
fn a_node_that_returns_applies_the_newest_configuration_in_time(machine: &str) {
    let text = format!(
        "machines 4 disks, 7 plain, zones a b c\nat 4.0 operator next as first\nat MOMENT kill {machine}\n\
         at 10.0 operator next as second\nat 13.0 start {machine}\nlasts 20s\n"
    );
    let one: usize = machine.parse().expect("a number");
    let times = times(100, &text, |sim| {
        let version = sim.judge.acknowledged.iter().map(|(version, ..)| *version).max().unwrap_or_default();
        sim.judge.applied_at(one, version).map_or(u64::MAX, |at| at.saturating_sub(13_000))
    });
    report(&format!("caught up, machine {machine}"), &times, 2_000);
}

#[test]
fn a_configuration_is_committed_in_time_after_a_restart_of_all() {
    let text =
        "machines 4 disks, 7 plain, zones a b c\nat 4.0 operator put v5 on 0 as first\nat MOMENT kill every\n\
                at 10.0 start every\nat 10.0 operator put v7 on 5 as second\nlasts 24s\n";
    let times = times(100, text, |sim| acknowledged(sim, 1).saturating_sub(10_000));
    report("taken behind a restart of all", &times, 7_500);
}
