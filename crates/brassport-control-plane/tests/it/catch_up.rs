//! A machine that missed many changes applies the latest configuration within half of `catchUpS` (4 s) after its
//! return, as long as its link can transfer the missing bytes in that time.

use crate::sim::{self, script, Sim};
use test_case::test_case;

/// Half of `catchUpS`.
const BOUND_MS: u64 = 2_000;

/// Statements that send `changes` changes, one every 28 ms from 6 s on.
fn storm(changes: u64) -> String {
    (0..changes)
        .map(|number| {
            let at = 6_000 + number * 28;
            format!("at {}.{:03} operator appends via leader as c{number}\n", at / 1000, at % 1000)
        })
        .collect()
}

/// Runs a scenario, and checks that more than `changes` changes were acknowledged. Returns the milliseconds from
/// `since` until the machine applied the latest acknowledged version.
fn catch_up_ms(text: &str, machine: usize, since: u64, changes: usize) -> u64 {
    let mut sim = Sim::new(script::parse(text).expect("a valid scenario"));
    sim.run();
    assert!(sim.invariants.violations.is_empty(), "{:?}", sim.invariants.violations);
    assert!(sim.unmet_expectations.is_empty(), "{:?}", sim.unmet_expectations);
    let newest = sim.invariants.acknowledged.iter().map(|(version, ..)| *version).max().unwrap_or_default();
    let acknowledged = sim.invariants.acknowledged.len();
    println!("{acknowledged} changes, the latest is v{newest}");
    assert!(acknowledged > changes, "only {acknowledged} changes were acknowledged");
    let at = sim.invariants.applied_at(machine, newest);
    at.map_or(u64::MAX, |at| at.saturating_sub(since))
}

const KILLED: &str = "at 5.5 kill 2\nat 36 start 2\n";
const WIPED: &str = "at 5.5 lose disk of 2\nat 36 start 2\n";
const PARTITIONED: &str = "at 5.5 cut 2 off\nat 36 join\n";
const DISKLESS_KILLED: &str = "at 5.5 kill 4\nat 36 start 4\n";
const DISK_FULL: &str =
    "at 5.5 disk of 2 full\nat 35.8 disk of 2 well\nat 35.8 kill 2\nat 35.9 operator appends via leader as late\nat 36 start 2\n";

#[test_case(KILLED, 2; "a machine with a disk that was killed")]
#[test_case(WIPED, 2; "a machine whose disk was lost")]
#[test_case(PARTITIONED, 2; "a machine that was partitioned")]
#[test_case(DISKLESS_KILLED, 4; "a node without a disk that was killed")]
#[test_case(DISK_FULL, 2; "a machine whose disk was full")]
fn a_node_catches_up_over_a_thousand_changes(loss: &str, machine: usize) {
    let text = format!(
        "machines 3 disks, 2 plain, zones a b c\nat 4 operator put v1 on 0 as first\n{}{loss}lasts 42s\n",
        storm(1_030)
    );
    let took = catch_up_ms(&text, machine, 36_000, 1_000);
    println!("{loss:?}: {took} ms");
    assert!(took <= BOUND_MS, "{took} ms");
}

#[test]
fn a_node_restarted_every_2_s_during_a_burst_of_changes_catches_up() {
    let restarts: String =
        (0..14).map(|n| format!("at {}.5 kill 2\nat {}.7 start 2\n", 6 + 2 * n, 6 + 2 * n)).collect();
    let text = format!(
        "machines 3 disks, 2 plain, zones a b c\nat 4 operator put v1 on 0 as first\n{}{restarts}lasts 42s\n",
        storm(1_030)
    );
    // The last start is at 32.7 s, the last change at 34.8 s.
    let took = catch_up_ms(&text, 2, 34_900, 1_000);
    println!("{took} ms");
    assert!(took <= BOUND_MS, "{took} ms");
}

/// At 2 Mbit/s, a configuration of 500 routes (about 80 KB) is applied within the bound. One of 35,000 routes takes as
/// long as the transfer of its bytes, and the status reports the progress meanwhile.
#[test]
fn a_node_behind_a_slow_link_catches_up() {
    let text = |routes: usize| {
        format!(
            "machines 1 disks, 2 plain, zones a\nlink 2mbit\nsurvive 0\nup 0 1\n\
             at 3 operator put v1 on 0 with {routes} routes as first\nat 24 start 2\nlasts 70s\n"
        )
    };
    let took = catch_up_ms(&text(500), 2, 24_000, 0);
    println!("500 routes: {took} ms");
    assert!(took <= BOUND_MS, "{took} ms");

    let mut sim = Sim::new(script::parse(&text(35_000)).expect("a valid scenario"));
    sim.run_until(34_000);
    let status = sim.status(2);
    let (bytes, of) = (&status["snapshot"]["bytes"], &status["snapshot"]["of"]);
    println!("35,000 routes, 10 s after the start: {bytes} of {of} bytes");
    let (bytes, of) = (bytes.as_u64().expect("a number"), of.as_u64().expect("a number"));
    assert!(bytes > 1_500_000 && bytes < of, "{status}");
    sim.run();
    let at = sim.invariants.applied_at(2, 1).expect("the configuration is applied") - 24_000;
    println!("35,000 routes: {at} ms for {of} bytes");
    assert!(at <= of * 8 / 2_000 * 11 / 10 + BOUND_MS, "{at} ms");
}

/// The source of a snapshot becomes unreachable during the download: the download continues at the same offset from
/// another source.
#[test]
fn a_download_continues_from_another_source() {
    let text = "machines 1 disks, 3 plain, zones a\nlink 2mbit\nsurvive 0\nup 0 1 2\n\
                at 3 operator put v1 on 0 with 9000 routes as first\nat 24 start 3\nlasts 50s\n";
    let mut sim = Sim::new(script::parse(text).expect("a valid scenario"));
    sim.run_until(25_500);
    let before = sim.status(3)["snapshot"].clone();
    let source: std::net::Ipv4Addr =
        serde_json::from_value(before["from"].clone()).expect("a download in progress");
    sim.set_blocked(sim::machine(source), 3, true);
    sim.set_blocked(3, sim::machine(source), true);
    sim.run_until(27_500);
    let after = sim.status(3)["snapshot"].clone();
    println!("{before} before the source became unreachable, {after} afterwards");
    assert_ne!(before["from"], after["from"]);
    assert!(after["bytes"].as_u64() > before["bytes"].as_u64(), "{after}");
    sim.run();
    assert!(sim.invariants.applied_at(3, 1).is_some(), "{}", sim.status(3));
}
