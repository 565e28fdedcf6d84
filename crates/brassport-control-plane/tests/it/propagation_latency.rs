//! The time from the acknowledgement of a configuration until each node has applied it. The documented bound is
//! `applyS`, 2 s on small deployments. Half of it must hold at every node, with and without message loss.

use crate::sim::{script, Sim};
use std::fmt::Write;
use test_case::test_case;

/// A scenario that sends ten configurations, one per second.
fn configurations(disks: usize, plain: usize, seed: u64, more: &str) -> String {
    let mut text = format!("machines {disks} disks, {plain} plain, zones a b c\nseed {seed}\n{more}");
    for number in 0..10 {
        let (at, below) = (8 + number, if number == 0 { 0 } else { 9 + number });
        let ms = (seed * 37) % 1000;
        let _ = writeln!(text, "at {at}.{ms:03} operator put v{} on {below} as w{number}", 10 + number);
    }
    text + "lasts 22s\n"
}

#[test_case(3, 9, "", 20; "12 nodes")]
#[test_case(4, 7, "sync 5ms\n", 20; "11 nodes with slow disks")]
#[test_case(3, 9, "at 6 loss 5%\n", 20; "12 nodes with loss")]
#[test_case(8, 58, "link 2mbit\n", 4; "66 nodes with narrow links")]
#[test_case(8, 88, "link 2mbit\n", 4; "96 nodes with narrow links")]
#[test_case(8, 88, "link 2mbit\nat 6 loss 2%\n", 4; "96 nodes with narrow links and loss")]
fn every_node_applies_a_configuration_within_half_of_the_bound(
    disks: usize,
    plain: usize,
    more: &str,
    seeds: u64,
) {
    let mut delays = Vec::new();
    for seed in 0..seeds {
        let script = script::parse(&configurations(disks, plain, seed, more)).expect("a valid scenario");
        let mut sim = Sim::new(script);
        sim.run();
        assert!(sim.invariants.violations.is_empty(), "seed {seed}: {:?}", sim.invariants.violations);
        assert_eq!(sim.invariants.acknowledged.len(), 10, "seed {seed}");
        delays.extend(sim.invariants.apply_delays());
    }
    delays.sort_unstable();
    let all = delays.len();
    assert_eq!(all as u64, seeds * 10 * (disks + plain) as u64, "a node never applied a configuration");
    let at = |share: f64| delays[((all - 1) as f64 * share) as usize];
    println!(
        "{} nodes {more:?}: median {} ms, p99 {} ms, maximum {} ms of {all} samples",
        disks + plain,
        at(0.5),
        at(0.99),
        at(1.0)
    );
    assert!(at(1.0) <= 1_000, "a node applied a configuration only after {} ms", at(1.0));
}
