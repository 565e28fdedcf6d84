//! Schedules drawn from a seed, over 3, 4 and 8 machines with disks, some replaced, with what must always hold. `CONTROL_PLANE_SEEDS` sets how many. A
//! schedule that fails is printed as a scenario: saved as a file of `scenarios/` it plays the same.

mod world;

use oorandom::Rand64;
use std::fmt::Write;
use world::script;

/// Machines that may take the place of others.
const SPARES: u64 = 4;

fn schedule(seed: u64) -> String {
    let mut rng = Rand64::new(u128::from(seed) << 1 | 1);
    let mut draw = |below: u64| rng.rand_range(0..below.max(1));
    let members_at_first = [3, 4, 8][draw(3) as usize];
    let disks = members_at_first + SPARES;
    let plain = draw(4);
    let all = disks + plain;
    let apart = 1 + draw(15);
    let up: Vec<String> =
        (0..members_at_first).chain(disks..all).map(|machine| machine.to_string()).collect();
    let mut text = format!(
        "machines {disks} disks, {plain} plain, zones a b c\nseed {seed}\napart {apart}ms\nsurvive {}\nup {}\n",
        (members_at_first - 1) / 2,
        up.join(" ")
    );
    // The machines of the core, and the next one that may take the place of another.
    let mut members: Vec<u64> = (0..members_at_first).collect();
    let mut spare = members_at_first;
    let mut asks = 0;
    let mut at = 4_000;
    let mut line = |at: u64, what: String| {
        let _ = writeln!(text, "at {}.{:03} {what}", at / 1000, at % 1000);
    };
    line(at, "operator next as first".to_owned());
    line(at, "backend b1 of svc beats".to_owned());
    line(at, "backend b2 of svc beats".to_owned());
    at += 1_000;
    for round in 0..6 {
        // Words come all the while, sent to any machine; two at once are a race.
        let end = at + 2_000 + draw(2_000);
        let mut next = at;
        while next < end {
            asks += 1;
            line(next, format!("operator next via {} as p{asks}", draw(all)));
            next += [2, 40, 150, 400][draw(4) as usize];
        }
        if round == 3 {
            line(at + draw(500), "backend b1 empties as e1".to_owned());
        }
        if round == 5 {
            line(at + draw(500), "backend b2 signs off as s2".to_owned());
        }
        for _ in 0..1 + draw(4) {
            let one = members[draw(members.len() as u64) as usize];
            let (when, long) = (at + draw(1_500), 100 + draw(2_500));
            match draw(11) {
                0 | 1 => {
                    line(when, format!("kill {one}"));
                    line(when + long, format!("start {one}"));
                }
                2 | 3 => line(when, format!("freeze {one} for {long}ms")),
                4 => line(when, format!("cut {one} off")),
                5 => {
                    // In two parts.
                    let others: Vec<String> = (0..all)
                        .filter(|other| other % 2 != one % 2)
                        .map(|other| other.to_string())
                        .collect();
                    for same in (0..all).filter(|same| same % 2 == one % 2) {
                        line(when, format!("cut {same} from {}", others.join(" ")));
                    }
                }
                6 => line(when, format!("cut {one} {}", ["deaf", "mute"][draw(2) as usize])),
                7 => {
                    line(when, format!("loss {}%", 1 + draw(25)));
                    line(when, "repeats 10% within 2s".to_owned());
                    line(when + long, "loss 0%".to_owned());
                }
                8 => {
                    line(when, "kill core".to_owned());
                    line(when + 100 + draw(800), "start core".to_owned());
                }
                9 => {
                    line(when, format!("disk of {one} full"));
                    line(when + long, format!("disk of {one} well"));
                }
                _ => line(when, format!("disk of {one} hangs for {long}ms")),
            }
        }
        if plain > 0 && draw(4) == 0 {
            line(at + draw(300), format!("cut {} off", disks + draw(plain)));
        }
        at = end + 1_500;
        line(at, "join".to_owned());
        // All have room, and run, and hear one another.
        line(at, "loss 0%".to_owned());
        line(at, "disk of core well".to_owned());
        line(at, "start core".to_owned());
        at += 1_000 + draw(3_500);
        if draw(2) == 0 {
            // A disk is lost, or a machine goes for good, while all others are there; the new one is let in before the next
            // fault: `catchUpS` (4 s) behind its start.
            at += 4_000;
            // The newest list of the operator's.
            let seeds: Vec<String> = members.iter().rev().take(3).map(u64::to_string).collect();
            if spare < disks {
                line(at, format!("seeds of {spare} are {}", seeds.join(" ")));
            }
            let place = draw(members.len() as u64) as usize;
            let one = members[place];
            match draw(3) {
                0 => {
                    line(at, format!("lose disk of {one}"));
                    line(at + 500, format!("start {one}"));
                }
                1 if spare < disks => {
                    line(at, format!("retire {one}"));
                    line(at + draw(1_500), format!("start {spare}"));
                    (members[place], spare) = (spare, spare + 1);
                }
                _ if spare < disks => {
                    line(at, format!("start {spare}"));
                    line(at + 1_000, format!("stop {one} after {}s", draw(3)));
                    // Gone by then: `graceS`.
                    line(at + 7_100, format!("retire {one}"));
                    (members[place], spare) = (spare, spare + 1);
                    at += 1_600;
                }
                _ => {}
            }
            at += 5_500;
        }
    }
    text + "lasts " + &format!("{}s\n", at / 1000 + 6)
}

#[test]
fn schedules_from_seeds_keep_what_must_hold() {
    let seeds: u64 =
        std::env::var("CONTROL_PLANE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(200);
    let first: u64 =
        std::env::var("CONTROL_PLANE_FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let threads = std::thread::available_parallelism().map_or(2, std::num::NonZero::get).min(4) as u64;
    let lane = |lane: u64| {
        let mut broken = Vec::new();
        for seed in (first + lane..first + seeds).step_by(threads as usize) {
            let text = schedule(seed);
            let script = script::parse(&text).unwrap_or_else(|fault| panic!("seed {seed}: {fault}\n{text}"));
            let faults = world::play(script);
            if !faults.is_empty() {
                broken.push((seed, faults, text));
            }
        }
        broken
    };
    let mut broken: Vec<_> = std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..threads).map(|number| scope.spawn(move || lane(number))).collect();
        lanes.into_iter().flat_map(|lane| lane.join().expect("a schedule ended")).collect()
    });
    broken.sort_by_key(|(seed, ..)| *seed);
    for (seed, faults, _) in &broken {
        println!("seed {seed}:\n  {}", faults.join("\n  "));
    }
    for (seed, _, text) in broken.iter().take(3) {
        println!("seed {seed} as a scenario:\n{text}");
    }
    let seeds: Vec<u64> = broken.iter().map(|(seed, ..)| *seed).collect();
    assert!(seeds.is_empty(), "these seeds broke something: {seeds:?}");
}
