//! A task of the fleet over real processes: whoever holds it is killed, frozen, cut off, asked to hand over, restarted.
//!
//! A campaign: BRASSPORT_SCHEDULES=200 BRASSPORT_FIRST=1 cargo test --release -p brassport-peers --test tasks -- --nocapture

use brassport_process_harness::fleet::{Acts, Fleet};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_brassport-fleet");

fn told(name: &str, usual: u32) -> u32 {
    std::env::var(name).map_or(usual, |text| text.parse().expect("a number"))
}

#[test]
fn no_two_runs_of_a_task_overlap_whatever_happens_to_its_holder() {
    let (first, count, rounds) = (told("BRASSPORT_FIRST", 1), told("BRASSPORT_SCHEDULES", 4), 3);
    let next = AtomicU32::new(first);
    let all: Mutex<Vec<(u32, Acts)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..told("BRASSPORT_WIDTH", 4) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + count {
                    return;
                }
                let acts = Fleet::with_task(Path::new(PROGRAM), seed).play_task(seed, rounds);
                println!("seed {seed}: {acts:?}");
                all.lock().expect("no holder panics").push((seed, acts));
            });
        }
    });
    let all = all.into_inner().expect("no holder panics");
    let sum = |of: fn(&Acts) -> usize| all.iter().map(|(_, acts)| of(acts)).sum::<usize>();
    let (steps, runs, tokens) = (sum(|acts| acts.steps), sum(|acts| acts.runs), sum(|acts| acts.tokens));
    println!(
        "{count} schedules: {steps} steps, {runs} runs, {tokens} tokens, {} due times missed",
        sum(|acts| acts.missed)
    );
    let mut without: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    all.iter().flat_map(|(_, acts)| &acts.without).for_each(|(fault, time)| {
        without.entry(fault).or_default().push(*time);
    });
    for (fault, mut times) in without {
        times.sort();
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
        println!("{fault}: {} times, p50 {:?}, p99 {:?}, most {:?}", times.len(), at(0.5), at(0.99), at(1.0));
    }
    let broken: Vec<_> = all.iter().filter(|(_, acts)| !acts.broken.is_empty()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(all.len(), count as usize);
    assert!(tokens as u32 > count * rounds, "each fault brought another holder");
}
