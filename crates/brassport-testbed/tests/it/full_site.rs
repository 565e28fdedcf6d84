//! A complete site under load.

use crate::common::{gateway_program, ONE_SITE_AT_A_TIME};
use brassport_testbed::play::{block_on, play, Scenario};
use std::process::Command;
use std::time::Duration;

#[test]
fn five_nodes_serve_and_keep_all_rules() {
    let scenario = Scenario {
        length: Duration::from_secs(6),
        has_faults: false,
        kill: None,
        program: gateway_program().into(),
        other_program: None,
    };
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    let report = block_on(play(&scenario)).expect("a runtime").expect("the site comes up");
    println!("{report}");
    assert!(report.is_kept(), "{report}");
    assert!(report.served() >= 0.9, "{report}");
    assert!(report.due.values().sum::<usize>() > 200, "little was tried: {report}");
    assert!(report.versions.1 >= 3, "little was changed: {report}");
    assert!(
        report.attempts["reed"].get("429").is_some_and(|count| *count > 10),
        "nobody was beyond a quota: {report}"
    );
}

#[test]
fn try_verb_plays_with_a_killed_and_a_rolled_node() {
    let mut command = Command::new(gateway_program());
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    let output = command.args(["try", "--for", "8s"]).output().expect("brassport-gateway runs");
    let printed = String::from_utf8_lossy(&output.stdout);
    println!("{printed}");
    assert!(output.status.success(), "{printed}\n{}", String::from_utf8_lossy(&output.stderr));
    for text in ["is killed", "ended by itself", "end of the backend was acknowledged", "kept    "] {
        assert!(printed.contains(text), "{text:?} is missing: {printed}");
    }
}

#[test]
fn invalid_arguments_are_rejected() {
    for arguments in [&["--kill", "6"][..], &["--for", "soon"], &["--nothing"], &["--for", "0s"]] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-testbed"));
        let output = command.args(arguments).output().expect("it runs");
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}
