//! The command line: what it prints, and one clear line for bad input.

use std::path::PathBuf;
use std::process::{Command, Output};

fn sim(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_brassport-sim")).args(arguments).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, content).expect("a file is written");
    path.display().to_string()
}

#[test]
fn a_run_ends_with_its_digest_which_does_not_depend_on_the_jobs() {
    let last = |jobs| {
        let output = sim(&["run", "--seeds", "40..60", "--jobs", jobs]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
        text(&output.stdout).lines().last().expect("a line").to_string()
    };
    let one = last("1");
    assert!(one.starts_with("seeds 20, failures 0, digest "), "{one}");
    assert_eq!(one, last("3"), "another process, another number of jobs");
}

#[test]
fn bad_input_is_one_clear_line_and_exit_code_2() {
    let unknown = file(
        "unknown.json",
        r#"{"seed":1,"ties":"first","doors":1,"nodes":2,"sockets":256,"small_window":0.0,"requests":[],"faults":[{"fault":"earthquake","at":3}]}"#,
    );
    let astray = file(
        "astray.json",
        r#"{"seed":1,"ties":"first","doors":1,"nodes":2,"sockets":256,"small_window":0.0,"requests":[],"faults":[{"fault":"close_idle","at":3,"node":9}]}"#,
    );
    let cut = file("cut.trace", "brassport-sim trace 1 seed 4\n");
    for (arguments, said) in [
        (vec!["run", "--seeds", "abc"], "FROM..TO"),
        (vec!["run", "--seeds", "9..9"], "holds no seed"),
        (vec!["run", "--seeds", "0..9", "--jobs", "0"], "--jobs"),
        (vec!["replay", "minus"], "minus"),
        (vec!["dance"], "dance"),
        (vec!["play", "/nowhere.json"], "/nowhere.json"),
        (vec!["play", &unknown], "earthquake"),
        (vec!["play", &astray], "faults[0].node"),
        (vec!["check", &cut], "line 2: cut short"),
    ] {
        let output = sim(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let problem = text(&output.stderr);
        assert_eq!(problem.lines().count(), 1, "{arguments:?}: {problem}");
        assert!(problem.contains(said), "{arguments:?}: {problem}");
    }
}

#[test]
fn a_trace_is_written_and_checked_and_an_edit_is_found() {
    let path = file("seed.trace", "");
    assert_eq!(sim(&["replay", "9", "--trace", &path]).status.code(), Some(0));
    assert_eq!(sim(&["check", &path]).status.code(), Some(0));
    let whole = std::fs::read_to_string(&path).expect("the trace");
    std::fs::write(&path, whole.replacen("200 OK", "201 OK", 1)).expect("the trace is edited");
    let output = sim(&["check", &path]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("edited"), "{}", text(&output.stderr));
}

#[test]
fn a_script_that_is_printed_can_be_played() {
    let script = file("script.json", &text(&sim(&["script", "9"]).stdout));
    let digest = |output: Output| text(&output.stdout).lines().last().expect("a line").to_string();
    assert_eq!(digest(sim(&["play", &script])), digest(sim(&["replay", "9"])));
}

#[test]
fn every_fault_is_listed() {
    let listed = text(&sim(&["list-faults"]).stdout);
    assert_eq!(listed.lines().count(), 28);
    assert!(listed.contains("discovery_stale") && listed.contains("staff take a node out"));
}
