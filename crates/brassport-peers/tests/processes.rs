//! Five real processes under schedules of faults: three voters, two doors, clients before them and nodes behind them.
//!
//! A campaign: BRASSPORT_SCHEDULES=100 BRASSPORT_FIRST=1 cargo test --release -p brassport-peers --test processes

use brassport_process_harness::fleet::{Fleet, Outcome};
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_brassport-fleet");
/// Schedules side by side: each has eight processes that do little.
const SIDE_BY_SIDE: u32 = 3;

fn told(name: &str, usual: u32) -> u32 {
    std::env::var(name).map_or(usual, |text| text.parse().expect("a number"))
}

#[test]
fn no_door_acts_on_an_older_ban_behind_a_fence_whatever_fails() {
    let (first, count, rounds) = (told("BRASSPORT_FIRST", 1), told("BRASSPORT_SCHEDULES", 6), 3);
    let next = AtomicU32::new(first);
    let all: Mutex<Vec<(u32, Outcome)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..told("BRASSPORT_WIDTH", SIDE_BY_SIDE) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return;
                }
                let outcome = Fleet::start(Path::new(PROGRAM)).play(seed, rounds);
                println!("seed {seed}: {outcome:?}");
                all.lock().expect("no holder panics").push((seed, outcome));
            });
        }
    });
    let all = all.into_inner().expect("no holder panics");
    let mut times: Vec<Duration> = all.iter().flat_map(|(_, outcome)| outcome.times.clone()).collect();
    times.sort();
    let sum = |of: fn(&Outcome) -> usize| all.iter().map(|(_, outcome)| of(outcome)).sum::<usize>();
    let (fenced, not_fenced, arrived) =
        (sum(|one| one.fenced), sum(|one| one.not_fenced), sum(|one| one.arrived));
    println!("{count} schedules: {fenced} fences held, {not_fenced} were not waited for, {arrived} requests reached nodes");
    if let (Some(middle), Some(most)) = (times.get(times.len() / 2), times.last()) {
        println!("from publish to in force everywhere: median {middle:?}, most {most:?}");
    }
    let broken: Vec<_> = all.iter().filter(|(_, outcome)| !outcome.broken.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(all.len(), count as usize);
    assert!(fenced as u32 >= count && arrived as u32 > 50 * count, "little was tried");
}

#[test]
fn behind_a_majority_that_is_lost_for_good_one_voter_goes_on() {
    assert_eq!(Fleet::start(Path::new(PROGRAM)).recover(), [true, false, true]);
}

#[test]
fn a_door_that_is_cut_off_says_that_it_is_out_and_comes_back() {
    let gone = Fleet::start(Path::new(PROGRAM)).cut_off();
    println!("{gone:?}");
    assert_eq!(gone.said, [Some(503); 3]);
    assert!(gone.out >= Fleet::valid() / 2, "it goes on for as long as its right lasts: {gone:?}");
    assert!(gone.out < 10 * Fleet::valid(), "{gone:?}");
}

#[test]
#[ignore = "a minute"]
fn a_link_that_flaps_for_a_minute_breaks_nothing() {
    let outcome = Fleet::start(Path::new(PROGRAM)).flap(Duration::from_secs(60));
    println!("{} fences held, {} were not waited for", outcome.fenced, outcome.not_fenced);
    assert!(outcome.broken.is_empty(), "{outcome:?}");
    assert!(outcome.fenced > 5, "changes get through while the link flaps: {outcome:?}");
}

fn tell(what: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    println!("{what}: p50 {:?}, p99 {:?}, most {:?}", at(0.5), at(0.99), at(1.0));
}

/// BRASSPORT_VOTERS=5 BRASSPORT_DOORS=50 cargo test --release -p brassport-peers --test processes -- --ignored --nocapture
#[test]
#[ignore = "a measurement: it asserts only that every change holds in the end"]
fn from_publish_to_in_force_everywhere() {
    let (voters, doors) = (told("BRASSPORT_VOTERS", 3), told("BRASSPORT_DOORS", 5));
    for dead in 0..=(voters - 1) / 2 {
        let fleet = Fleet::with(Path::new(PROGRAM), u64::from(voters), u64::from(doors));
        let times = fleet.measure(told("BRASSPORT_CHANGES", 100), dead as usize);
        tell(&format!("{doors} doors, {dead} of {voters} voters dead"), times);
    }
}

#[test]
#[ignore = "a measurement: it asserts only that each comes back"]
fn out_and_back_and_without_a_leader() {
    let mut fleet = Fleet::start(Path::new(PROGRAM));
    let gone: Vec<_> = (0..20).map(|_| fleet.cut_off()).collect();
    tell("a door that is cut off, until it is out", gone.iter().map(|gone| gone.out).collect());
    tell("until it is back", gone.iter().map(|gone| gone.back).collect());
    tell("without a leader", (0..20).map(|_| fleet.lose_leader()).collect());
}

#[test]
#[ignore = "a measurement: it asserts only that all come back"]
fn all_doors_come_back_at_once() {
    let doors = told("BRASSPORT_DOORS", 300);
    let mut fleet = Fleet::with(Path::new(PROGRAM), 3, u64::from(doors));
    tell(&format!("{doors} doors that start at once"), (0..3).map(|_| fleet.all_doors_back()).collect());
}

/// BRASSPORT_ALONE: the program `brassport`, built alike.
#[test]
#[ignore = "a measurement, in pairs"]
fn what_a_request_costs_with_and_without_a_record() {
    let alone = std::env::var("BRASSPORT_ALONE").unwrap_or("../../target/release/brassport".into());
    let fleet = Fleet::start(Path::new(PROGRAM));
    for _ in 0..told("BRASSPORT_PAIRS", 4) {
        let (with, without) = (fleet.cost(4), fleet.cost_alone(Path::new(&alone), 4));
        println!("with a record {with:?}, in no fleet {without:?}");
    }
}
