//! A whole site under traffic.

use crate::common::{gateway_program, ALONE};
use brassport_testbed::play::{block_on, play, Terms};
use std::process::Command;
use std::time::Duration;

#[test]
fn five_doors_serve_and_keep_all_rules() {
    let terms = Terms {
        length: Duration::from_secs(6),
        has_faults: false,
        kill: None,
        program: gateway_program().into(),
        other_program: None,
    };
    let _alone = ALONE.blocking_lock();
    let report = block_on(play(&terms)).expect("a runtime").expect("the site comes up");
    println!("{report}");
    assert!(report.is_kept(), "{report}");
    assert!(report.served() >= 0.9, "{report}");
    assert!(report.due.values().sum::<usize>() > 200, "little was tried: {report}");
    assert!(report.versions.1 >= 3, "little was changed: {report}");
    assert!(
        report.tries["reed"].get("429").is_some_and(|count| *count > 10),
        "nobody was beyond a quota: {report}"
    );
}

#[test]
fn the_gateways_verb_plays_with_a_killed_and_a_rolled_door() {
    let mut command = Command::new(gateway_program());
    let _alone = ALONE.blocking_lock();
    let output = command.args(["try", "--for", "8s"]).output().expect("brassport-gateway runs");
    let said = String::from_utf8_lossy(&output.stdout);
    println!("{said}");
    assert!(output.status.success(), "{said}\n{}", String::from_utf8_lossy(&output.stderr));
    for word in ["is killed", "ended by itself", "end of the backend was acknowledged", "kept    "] {
        assert!(said.contains(word), "{word:?} is missing: {said}");
    }
}

#[test]
fn words_that_make_no_sense_are_refused() {
    for words in [&["--kill", "6"][..], &["--for", "soon"], &["--nothing"], &["--for", "0s"]] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-testbed"));
        let output = command.args(words).output().expect("it runs");
        assert_eq!(output.status.code(), Some(2), "{words:?}");
    }
}
