//! Every file in `scenarios/` is played on simulated time; the sim checks what must always hold besides.

use crate::sim::{self, script, Sim};
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios")
}

fn play(name: &str) {
    let file = folder().join(format!("{name}.txt"));
    let text = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let script = script::parse(&text).unwrap_or_else(|fault| panic!("{}: {fault}", file.display()));
    let broken = sim::play(script);
    assert!(broken.is_empty(), "{}:\n  {}", file.display(), broken.join("\n  "));
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(#[test]
        fn $name() {
            play(stringify!($name));
        })*

        const NAMES: &[&str] = &[$(stringify!($name)),*];
    };
}

scenarios! {
    a_backend_dies_and_is_known_as_unresponsive,
    a_big_configuration,
    a_big_configuration_over_narrow_links,
    a_configuration_is_truncated,
    a_disk_is_full,
    a_node_follows_a_node,
    a_node_is_partitioned_for_20_s,
    a_node_joins_in_a_storm_of_changes,
    a_node_starts_with_no_other_up,
    a_drain_is_acknowledged_by_a_machine_partitioned_a_moment_later,
    a_frozen_node_does_not_mark_backends_unresponsive,
    a_key_stands_twice,
    a_late_heartbeat_comes_after_draining,
    a_leader_partitioned_for_20_s,
    a_leader_partitioned_from_other_zones,
    a_leader_is_frozen_for_20_s_and_called_as_it_resumes,
    a_machine_partitioned_responds_503_to_draining,
    a_machine_partitioned_sends_no_old_configuration,
    a_message_of_an_old_leader_is_delayed,
    a_planned_replacement_then_a_wiped_disk_then_another,
    a_prefix_stands_twice,
    a_service_is_unknown,
    a_deregistration_at_a_node_partitioned_that_knows_nothing,
    a_deregistration_reaches_a_node_that_never_heard_of_the_backend,
    a_deregistration_that_only_a_killed_core_knew,
    a_successor_is_lost_at_once,
    a_successor_is_lost_within_a_second,
    a_version_is_not_above,
    a_voter_restarts_while_it_is_partitioned,
    a_voter_sends_and_does_not_receive,
    all_control_is_restarted_at_once,
    all_lose_power_and_one_disk_is_lost,
    eight_voters_and_the_first_three_are_gone,
    eight_voters_tolerate_three_losses,
    eight_voters_lose_power_and_three_disks,
    every_disk_is_full,
    every_process_of_the_core_is_killed_at_once,
    four_are_restarted_in_turn,
    four_voters_tolerate_one_loss,
    four_voters_in_two_halves_commit_nothing,
    late_repeats_undo_nothing,
    machines_are_restarted_in_turn,
    machines_of_four_are_replaced_one_after_another,
    machines_of_three_are_replaced_one_after_another,
    one_is_replaced_while_another_is_wiped,
    one_seed_is_down,
    one_that_flaps_does_not_churn_the_voters,
    requests_under_one_version_with_answers_lost,
    seeds_are_exchanged,
    the_disk_of_the_leader_hangs,
    the_disk_of_the_leader_is_full,
    the_first_disk_starts_alone_and_others_follow,
    the_first_seed_is_down_at_a_restart,
    the_last_heartbeat_is_overtaken_by_the_first_deregistration,
    the_leader_receives_and_is_not_received,
    the_leader_is_frozen_after_the_majority_synced,
    the_leader_is_frozen_with_a_configuration_nobody_else_has,
    the_leader_is_killed_before_anybody_else_has_the_configuration,
    the_leader_is_killed_with_a_race_of_two_configurations_pending,
    the_leader_is_replaced_as_planned,
    the_leader_sends_and_does_not_receive,
    the_only_other_voter_with_the_configuration_is_wiped,
    the_same_body_is_sent_to_two_nodes,
    the_same_request_in_every_later_incarnation,
    the_whole_core_is_gone_for_two_seconds,
    two_operators_write_at_once,
    voters_change_while_the_leader_changes,
}

/// Whoever draws whom must not decide it.
#[test]
fn a_node_follows_a_node_under_every_seed() {
    let text = std::fs::read_to_string(folder().join("a_node_follows_a_node.txt")).expect("the scenario");
    let broken: Vec<_> = (0..60)
        .filter_map(|seed| {
            let script = script::parse(&format!("{text}seed {seed}\n")).expect("it makes sense");
            Some((seed, sim::play(script))).filter(|(_, broken)| !broken.is_empty())
        })
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn every_file_is_played() {
    let mut files: Vec<String> = std::fs::read_dir(folder())
        .expect("the folder of scenarios")
        .map(|file| file.expect("a file").path())
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

/// A judge that never complains would prove nothing: what is wrong on purpose is found.
#[test]
fn an_expectation_that_does_not_hold_fails() {
    let text =
        "machines 3 disks\nat 4 operator put v5 on 0 as x\nat 6 expect x 412\nexpect every in force v6";
    let broken = sim::play(script::parse(text).expect("it makes sense"));
    assert_eq!(broken.len(), 2, "{broken:?}");
}

#[test]
fn a_run_is_deterministic() {
    let run = || {
        let text =
            "machines 3 disks, 2 plain, zones a b c\nseed 9\nat 3 loss 20%\nat 4 operator put v5 on 0 as x";
        let mut sim = Sim::new(script::parse(text).expect("it makes sense"));
        sim.run();
        (sim.now, sim.draw(u64::MAX))
    };
    assert_eq!(run(), run());
}
