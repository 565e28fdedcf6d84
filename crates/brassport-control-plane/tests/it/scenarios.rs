//! Runs every file in `scenarios/` on simulated time. The simulation also checks the invariants.

use crate::sim::{self, script, Sim};
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn run(name: &str) {
    let file = folder().join(format!("{name}.txt"));
    let text = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let script = script::parse(&text).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let violations = sim::run_script(script);
    assert!(violations.is_empty(), "{}:\n  {}", file.display(), violations.join("\n  "));
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(#[test]
        fn $name() {
            run(stringify!($name));
        })*

        const NAMES: &[&str] = &[$(stringify!($name)),*];
    };
}

scenarios! {
    a_dead_backend_is_marked_as_unresponsive,
    a_big_configuration,
    a_big_configuration_over_narrow_links,
    a_truncated_configuration_is_rejected,
    a_disk_is_full,
    a_node_catches_up_through_a_node_without_a_disk,
    a_node_is_partitioned_for_20_s,
    a_node_joins_in_a_storm_of_changes,
    a_node_starts_with_no_other_up,
    a_drain_is_acknowledged_by_a_node_that_is_then_partitioned,
    a_frozen_node_does_not_mark_backends_unresponsive,
    a_configuration_with_a_duplicate_key_is_rejected,
    a_late_heartbeat_comes_after_draining,
    a_leader_partitioned_for_20_s,
    a_leader_partitioned_from_other_zones,
    a_leader_is_frozen_for_20_s_and_called_as_it_resumes,
    a_partitioned_node_responds_503_to_a_drain,
    a_partitioned_node_sends_no_outdated_configuration,
    a_message_of_an_old_leader_is_delayed,
    a_planned_replacement_then_a_wiped_disk_then_another,
    a_configuration_with_a_duplicate_prefix_is_rejected,
    a_configuration_with_an_unknown_service_is_rejected,
    a_deregistration_at_a_partitioned_node_without_the_record,
    a_deregistration_reaches_a_node_without_the_record,
    a_deregistration_that_only_a_killed_core_knew,
    a_successor_is_lost_at_once,
    a_successor_is_lost_within_a_second,
    a_version_that_is_not_higher_is_rejected,
    a_voter_restarts_while_it_is_partitioned,
    a_voter_sends_and_does_not_receive,
    all_nodes_are_restarted_at_once,
    all_lose_power_and_one_disk_is_lost,
    eight_voters_lose_the_first_three,
    eight_voters_tolerate_three_losses,
    eight_voters_lose_power_and_three_disks,
    every_disk_is_full,
    every_process_of_the_core_is_killed_at_once,
    four_voters_are_restarted_in_turn,
    four_voters_tolerate_one_loss,
    four_voters_in_two_halves_commit_nothing,
    late_duplicates_have_no_effect,
    machines_are_restarted_in_turn,
    machines_of_four_are_replaced_one_after_another,
    machines_of_three_are_replaced_one_after_another,
    one_voter_is_replaced_while_another_loses_its_disk,
    one_seed_is_down,
    a_flapping_voter_does_not_churn_the_set_of_voters,
    requests_with_one_version_while_replies_are_lost,
    all_seeds_are_replaced,
    the_disk_of_the_leader_hangs,
    the_disk_of_the_leader_is_full,
    the_first_seed_starts_alone_and_the_others_join,
    the_first_seed_is_down_at_a_restart,
    the_last_heartbeat_is_overtaken_by_the_first_deregistration,
    the_leader_receives_but_its_messages_are_lost,
    the_leader_is_frozen_after_the_majority_synced,
    the_leader_is_frozen_with_a_configuration_that_no_other_voter_has,
    the_leader_is_killed_before_any_other_voter_has_the_configuration,
    the_leader_is_killed_with_a_race_of_two_configurations_pending,
    the_leader_is_replaced_as_planned,
    the_leader_sends_and_does_not_receive,
    the_only_other_voter_with_the_configuration_is_wiped,
    the_same_body_is_sent_to_two_nodes,
    a_request_is_repeated_after_restarts_of_all,
    the_whole_core_is_down_for_two_seconds,
    two_operators_write_at_once,
    voters_change_while_the_leader_changes,
}

/// The result must not depend on the peers that nodes draw at random.
#[test]
fn a_node_catches_up_through_a_node_without_a_disk_under_every_seed() {
    let text = std::fs::read_to_string(folder().join("a_node_catches_up_through_a_node_without_a_disk.txt"))
        .expect("the scenario can be read");
    let violations: Vec<_> = (0..60)
        .filter_map(|seed| {
            let script = script::parse(&format!("{text}seed {seed}\n")).expect("a valid scenario");
            Some((seed, sim::run_script(script))).filter(|(_, violations)| !violations.is_empty())
        })
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn every_scenario_file_has_a_test() {
    let mut files: Vec<String> = std::fs::read_dir(folder())
        .expect("the scenarios folder can be read")
        .map(|file| file.expect("a directory entry").path())
        .filter_map(|path| Some(path.file_stem()?.to_str()?.to_owned()))
        .collect();
    files.sort();
    let mut names: Vec<&str> = NAMES.to_vec();
    names.sort_unstable();
    assert_eq!(files, names);
}

#[test]
fn a_malformed_line_is_reported_with_its_number_and_what_was_expected() {
    let report = |text: &str| script::parse(text).err().map(|fault| fault.to_string()).unwrap_or_default();
    let cases = [
        ("machines 3 disks\n\nat 1.0 explode 2", "line 3: expected a statement such as"),
        (
            "machines 3 disks\nat soon kill 2",
            "line 2: expected a time in seconds such as 1.5, found \"soon\"",
        ),
        (
            "machines 3 disks\nat 1 operator put 5 on 0 as x",
            "line 2: expected a version such as v5, found \"5\"",
        ),
        ("machines 3 disks\nat 1 join us", "line 2: expected the end of the line, found \"us\""),
        (
            "machines 3 disks\nat 1 freeze 0 for",
            "line 2: expected a span such as 3s or 300ms, found \"the end",
        ),
        ("at 1 join", "line 1: expected a line `machines N disks`"),
    ];
    for (text, expected) in cases {
        let found = report(text);
        assert!(found.starts_with(expected), "{text:?} gave {found:?}");
    }
}

/// Guards against a simulation that accepts everything: two expectations that do not hold must be reported.
#[test]
fn an_expectation_that_does_not_hold_fails() {
    let text =
        "machines 3 disks\nat 4 operator put v5 on 0 as x\nat 6 expect x 412\nexpect every in force v6";
    let failures = sim::run_script(script::parse(text).expect("a valid scenario"));
    assert_eq!(failures.len(), 2, "{failures:?}");
}

#[test]
fn a_run_is_deterministic() {
    let run = || {
        let text =
            "machines 3 disks, 2 plain, zones a b c\nseed 9\nat 3 loss 20%\nat 4 operator put v5 on 0 as x";
        let mut sim = Sim::new(script::parse(text).expect("a valid scenario"));
        sim.run();
        (sim.now, sim.draw(u64::MAX))
    };
    assert_eq!(run(), run());
}
