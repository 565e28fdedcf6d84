//! A machine that was away over many changes applies the newest soon after it is back: half of `catchUpS` (4 s), where the
//! bytes that it lacks fit through the link by then.

use crate::sim::{self, script, Sim};
use test_case::test_case;

/// Half of `catchUpS`.
const BOUND: u64 = 2_000;

/// So many changes, one every 28 ms from 6 s on.
fn storm(changes: u64) -> String {
    (0..changes)
        .map(|number| {
            let at = 6_000 + number * 28;
            format!("at {}.{:03} operator appends via leader as c{number}\n", at / 1000, at % 1000)
        })
        .collect()
}

/// Plays it; the milliseconds from a time until the machine applies the newest version.
fn caught_up(text: &str, machine: usize, since: u64, changes: usize) -> u64 {
    let mut sim = Sim::new(script::parse(text).expect("it makes sense"));
    sim.run();
    assert!(sim.judge.broken.is_empty(), "{:?}", sim.judge.broken);
    assert!(sim.failed.is_empty(), "{:?}", sim.failed);
    let newest = sim.judge.acknowledged.iter().map(|(version, ..)| *version).max().unwrap_or_default();
    let acknowledged = sim.judge.acknowledged.len();
    println!("{acknowledged} changes, the newest v{newest}");
    assert!(acknowledged > changes, "only {acknowledged} changes were taken");
    let at = sim.judge.applied_at(machine, newest);
    at.map_or(u64::MAX, |at| at.saturating_sub(since))
}

const AWAY: &str = "at 5.5 kill 2\nat 36 start 2\n";
const WIPED: &str = "at 5.5 lose disk of 2\nat 36 start 2\n";
const CUT: &str = "at 5.5 cut 2 off\nat 36 join\n";
const PLAIN: &str = "at 5.5 kill 4\nat 36 start 4\n";
const FULL: &str =
    "at 5.5 disk of 2 full\nat 35.8 disk of 2 well\nat 35.8 kill 2\nat 35.9 operator appends via leader as late\nat 36 start 2\n";

#[test_case(AWAY, 2; "one with a disk that was away")]
#[test_case(WIPED, 2; "one whose disk was lost")]
#[test_case(CUT, 2; "one that was cut off")]
#[test_case(PLAIN, 4; "a node without a disk")]
#[test_case(FULL, 2; "one whose disk was full")]
fn a_node_catches_up_over_a_thousand_changes(loss: &str, machine: usize) {
    let text = format!(
        "machines 3 disks, 2 plain, zones a b c\nat 4 operator put v1 on 0 as first\n{}{loss}lasts 42s\n",
        storm(1_030)
    );
    let took = caught_up(&text, machine, 36_000, 1_000);
    println!("{loss:?}: {took} ms");
    assert!(took <= BOUND, "{took} ms");
}

/// One that is killed and started every 2 s through a storm of changes.
#[test]
fn a_node_restarted_throughout_a_storm_of_changes_catches_up() {
    let restarts: String =
        (0..14).map(|n| format!("at {}.5 kill 2\nat {}.7 start 2\n", 6 + 2 * n, 6 + 2 * n)).collect();
    let text = format!(
        "machines 3 disks, 2 plain, zones a b c\nat 4 operator put v1 on 0 as first\n{}{restarts}lasts 42s\n",
        storm(1_030)
    );
    // The last start is at 32.7 s, the last change at 34.8 s.
    let took = caught_up(&text, 2, 34_900, 1_000);
    println!("{took} ms");
    assert!(took <= BOUND, "{took} ms");
}

/// At 2 Mbit/s a configuration of 500 routes (some 80 KB) comes in time; one of 35,000 takes as long as its bytes do, and
/// the machine says meanwhile how much has come.
#[test]
fn a_node_behind_a_slow_link_catches_up() {
    let text = |routes: usize| {
        format!(
            "machines 1 disks, 2 plain, zones a\nlink 2mbit\nsurvive 0\nup 0 1\n\
             at 3 operator put v1 on 0 with {routes} routes as first\nat 24 start 2\nlasts 70s\n"
        )
    };
    let took = caught_up(&text(500), 2, 24_000, 0);
    println!("500 routes: {took} ms");
    assert!(took <= BOUND, "{took} ms");

    let mut sim = Sim::new(script::parse(&text(35_000)).expect("it makes sense"));
    sim.run_until(34_000);
    let status = sim.status(2);
    let (bytes, of) = (&status["snapshot"]["bytes"], &status["snapshot"]["of"]);
    println!("35,000 routes, 10 s behind the start: {bytes} of {of} bytes");
    let (bytes, of) = (bytes.as_u64().expect("it says so"), of.as_u64().expect("it says so"));
    assert!(bytes > 1_500_000 && bytes < of, "{status}");
    sim.run();
    let at = sim.judge.applied_at(2, 1).expect("it comes in the end") - 24_000;
    println!("35,000 routes: {at} ms for {of} bytes");
    assert!(at <= of * 8 / 2_000 * 11 / 10 + BOUND, "{at} ms");
}

/// The source of a snapshot falls silent when a part of it is there: another continues at that offset.
#[test]
fn a_download_continues_from_another_source() {
    let text = "machines 1 disks, 3 plain, zones a\nlink 2mbit\nsurvive 0\nup 0 1 2\n\
                at 3 operator put v1 on 0 with 9000 routes as first\nat 24 start 3\nlasts 50s\n";
    let mut sim = Sim::new(script::parse(text).expect("it makes sense"));
    sim.run_until(25_500);
    let before = sim.status(3)["snapshot"].clone();
    let source: std::net::Ipv4Addr = serde_json::from_value(before["from"].clone()).expect("some has come");
    sim.set_cut(sim::machine(source), 3, true);
    sim.set_cut(3, sim::machine(source), true);
    sim.run_until(27_500);
    let after = sim.status(3)["snapshot"].clone();
    println!("{before} before the source fell silent, {after} behind it");
    assert_ne!(before["from"], after["from"]);
    assert!(after["bytes"].as_u64() > before["bytes"].as_u64(), "{after}");
    sim.run();
    assert!(sim.judge.applied_at(3, 1).is_some(), "{}", sim.status(3));
}
