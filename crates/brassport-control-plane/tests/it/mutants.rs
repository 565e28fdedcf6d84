//! Mutation tests: each deliberate fault in the control plane is detected by a scenario.

use crate::sim::{self, script};
use brassport_config_store::consensus::mutants::{activate, Mutant};
use std::path::Path;
use test_case::test_case;

fn scenario(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/scenarios/{name}.txt"));
    std::fs::read_to_string(file).expect("the scenario can be read")
}

/// The leader is killed, at a time that depends on the seed, right after another machine was asked to shut down whose
/// successor is already running.
fn leader_lost_while_another_leaves(seed: u64) -> String {
    format!(
        "machines 4 disks, 2 plain, zones a b c\nsurvive 1\nseed {seed}\nup 0 1 2 4 5\nat 3 operator put v5 on 0 as first\n\
         at 5 start 3\nat 9.9 name leader as old\nat 9.9 name last as ends\nat 10 stop ends\nat 10.{:03} kill old\n\
         at 11 operator put v6 on 5 as second\nat 16 expect second 200\n",
        1 + seed * 7 % 250
    )
}

fn violations(text: &str) -> Vec<String> {
    sim::run_script(script::parse(text).expect("a valid scenario"))
}

#[test_case(Mutant::SilentStays, "machines_of_three_are_replaced_one_after_another")]
#[test_case(Mutant::CutOffHandsOut, "a_partitioned_node_sends_no_outdated_configuration")]
#[test_case(Mutant::IsolationTrusted, "a_deregistration_that_only_a_killed_core_knew")]
#[test_case(Mutant::SuccessorFirst, "a_successor_is_lost_within_a_second")]
fn a_scenario_detects_the_mutant(mutant: Mutant, name: &str) {
    let text = scenario(name);
    assert_eq!(violations(&text), Vec::<String>::new(), "without the fault");
    activate(Some(mutant));
    let found = violations(&text);
    activate(None);
    println!("{mutant:?}: {found:?}");
    assert!(!found.is_empty(), "{mutant:?} was not found");
}

#[test_case(Mutant::ReleasedUnasked, leader_lost_while_another_leaves)]
fn a_seed_detects_the_mutant(mutant: Mutant, text: impl Fn(u64) -> String) {
    let failed: Vec<u64> = (0..120).filter(|seed| !violations(&text(*seed)).is_empty()).collect();
    assert_eq!(
        failed,
        Vec::<u64>::new(),
        "without the fault: {:?}",
        violations(&text(failed.first().copied().unwrap_or_default()))
    );
    activate(Some(mutant));
    let found: Vec<u64> = (0..120).filter(|seed| !violations(&text(*seed)).is_empty()).collect();
    activate(None);
    println!("{mutant:?}: seeds {found:?}");
    assert!(!found.is_empty(), "{mutant:?} was not found");
}

#[test]
fn a_corrupt_snapshot_detects_the_mutant() {
    let installed = sim::is_corrupt_snapshot_installed;
    assert!(!installed(), "without the fault");
    activate(Some(Mutant::SnapshotUnchecked));
    assert!(installed());
    activate(None);
}
