//! Random schedules of calls and faults over 3, 4 and 8 machines with disks, some of which are replaced, checked
//! against the invariants. `CONTROL_PLANE_SEEDS` sets the number of schedules, and `CONTROL_PLANE_FIRST` the first
//! seed. A schedule that fails is printed as a scenario; saved as a file in `scenarios/`, it reproduces the run.

use crate::sim::{self, script};
use oorandom::Rand64;
use std::fmt::Write;

/// Number of machines that may replace others.
const SPARES: u64 = 4;

/// A schedule that is being drawn. The order of the draws determines the schedule of a seed.
struct Schedule {
    rng: Rand64,
    text: String,
    /// Number of machines with a disk.
    disks: u64,
    /// Number of all machines.
    all: u64,
    /// Number of machines without a disk.
    diskless: u64,
    /// The machines of the core.
    members: Vec<u64>,
    /// The next machine that may replace another.
    spare: u64,
    calls: u64,
    /// Start of the next round, in ms.
    at: u64,
}

impl Schedule {
    fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }

    fn line(&mut self, at: u64, what: &str) {
        let _ = writeln!(self.text, "at {}.{:03} {what}", at / 1000, at % 1000);
    }

    fn begin(seed: u64) -> Schedule {
        let rng = Rand64::new(u128::from(seed) << 1 | 1);
        let (text, members) = (String::new(), Vec::new());
        let mut schedule =
            Schedule { rng, text, disks: 0, all: 0, diskless: 0, members, spare: 0, calls: 0, at: 4_000 };
        let members = [3, 4, 8][schedule.draw(3) as usize];
        let disks = members + SPARES;
        let plain = schedule.draw(4);
        let all = disks + plain;
        let zone_latency = 1 + schedule.draw(15);
        let up: Vec<String> = (0..members).chain(disks..all).map(|machine| machine.to_string()).collect();
        schedule.text = format!(
            "machines {disks} disks, {plain} plain, zones a b c\nseed {seed}\napart {zone_latency}ms\nsurvive {}\nup {}\n",
            (members - 1) / 2,
            up.join(" ")
        );
        (schedule.disks, schedule.all, schedule.diskless) = (disks, all, plain);
        (schedule.members, schedule.spare) = ((0..members).collect(), members);
        for what in ["operator next as first", "backend b1 of svc beats", "backend b2 of svc beats"] {
            schedule.line(4_000, what);
        }
        schedule.at += 1_000;
        schedule
    }

    /// Draws a round: calls of operators with faults among them, then recovery from all faults, and possibly the
    /// replacement of one machine.
    fn round(&mut self, round: u64) {
        let end = self.at + 2_000 + self.draw(2_000);
        self.operators(end);
        if round == 3 {
            let at = self.at + self.draw(500);
            self.line(at, "backend b1 empties as e1");
        }
        if round == 5 {
            let at = self.at + self.draw(500);
            self.line(at, "backend b2 signs off as s2");
        }
        for _ in 0..1 + self.draw(4) {
            self.fault();
        }
        if self.diskless > 0 && self.draw(4) == 0 {
            let at = self.at + self.draw(300);
            let machine = self.disks + self.draw(self.diskless);
            self.line(at, &format!("cut {machine} off"));
        }
        self.at = end + 1_500;
        // Ends all partitions, losses and disk faults, and starts the whole core.
        for what in ["join", "loss 0%", "disk of core well", "start core"] {
            self.line(self.at, what);
        }
        self.at += 1_000 + self.draw(3_500);
        if self.draw(2) == 0 {
            self.replacement();
        }
    }

    /// Sends configurations to random machines, some of them concurrently.
    fn operators(&mut self, end: u64) {
        let mut next = self.at;
        while next < end {
            self.calls += 1;
            let via = self.draw(self.all);
            self.line(next, &format!("operator next via {via} as p{}", self.calls));
            next += [2, 40, 150, 400][self.draw(4) as usize];
        }
    }

    fn fault(&mut self) {
        let index = self.draw(self.members.len() as u64) as usize;
        let machine = self.members[index];
        let when = self.at + self.draw(1_500);
        let duration = 100 + self.draw(2_500);
        match self.draw(11) {
            0 | 1 => {
                self.line(when, &format!("kill {machine}"));
                self.line(when + duration, &format!("start {machine}"));
            }
            2 | 3 => self.line(when, &format!("freeze {machine} for {duration}ms")),
            4 => self.line(when, &format!("cut {machine} off")),
            5 => self.two_partitions(when, machine),
            6 => {
                let how = ["deaf", "mute"][self.draw(2) as usize];
                self.line(when, &format!("cut {machine} {how}"));
            }
            7 => {
                let percent = 1 + self.draw(25);
                self.line(when, &format!("loss {percent}%"));
                self.line(when, "repeats 10% within 2s");
                self.line(when + duration, "loss 0%");
            }
            8 => {
                self.line(when, "kill core");
                let at = when + 100 + self.draw(800);
                self.line(at, "start core");
            }
            9 => {
                self.line(when, &format!("disk of {machine} full"));
                self.line(when + duration, &format!("disk of {machine} well"));
            }
            _ => self.line(when, &format!("disk of {machine} hangs for {duration}ms")),
        }
    }

    /// Partitions the machines with even numbers from those with odd numbers.
    fn two_partitions(&mut self, when: u64, machine: u64) {
        let is_same = |other: &u64| other % 2 == machine % 2;
        let others: Vec<String> =
            (0..self.all).filter(|other| !is_same(other)).map(|other| other.to_string()).collect();
        for same in (0..self.all).filter(is_same) {
            self.line(when, &format!("cut {same} from {}", others.join(" ")));
        }
    }

    /// Loses a disk, or replaces a machine, while all others run. The new voter is added before the next fault, which
    /// comes at least `catchUpS` (4 s) after its start.
    fn replacement(&mut self) {
        self.at += 4_000;
        // The most recent members, as in an up-to-date seed list.
        let seeds: Vec<String> = self.members.iter().rev().take(3).map(u64::to_string).collect();
        let has_spare = self.spare < self.disks;
        let (at, spare) = (self.at, self.spare);
        if has_spare {
            self.line(at, &format!("seeds of {spare} are {}", seeds.join(" ")));
        }
        let index = self.draw(self.members.len() as u64) as usize;
        let machine = self.members[index];
        match self.draw(3) {
            0 => {
                self.line(at, &format!("lose disk of {machine}"));
                self.line(at + 500, &format!("start {machine}"));
            }
            1 if has_spare => {
                self.line(at, &format!("retire {machine}"));
                let start = at + self.draw(1_500);
                self.line(start, &format!("start {spare}"));
                (self.members[index], self.spare) = (spare, spare + 1);
            }
            _ if has_spare => {
                self.line(at, &format!("start {spare}"));
                let after = self.draw(3);
                self.line(at + 1_000, &format!("stop {machine} after {after}s"));
                // The machine has exited by then (`graceS`).
                self.line(at + 7_100, &format!("retire {machine}"));
                (self.members[index], self.spare) = (spare, spare + 1);
                self.at += 1_600;
            }
            _ => {}
        }
        self.at += 5_500;
    }
}

/// The scenario for a seed.
fn schedule(seed: u64) -> String {
    let mut schedule = Schedule::begin(seed);
    for round in 0..6 {
        schedule.round(round);
    }
    schedule.text + &format!("lasts {}s\n", schedule.at / 1000 + 6)
}

#[test]
fn random_schedules_keep_the_invariants() {
    let seeds: u64 =
        std::env::var("CONTROL_PLANE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(200);
    let first: u64 =
        std::env::var("CONTROL_PLANE_FIRST").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let threads = std::thread::available_parallelism().map_or(2, std::num::NonZero::get).min(4) as u64;
    let run_seeds = |thread: u64| {
        let mut failed = Vec::new();
        for seed in (first + thread..first + seeds).step_by(threads as usize) {
            let text = schedule(seed);
            let script = script::parse(&text).unwrap_or_else(|error| panic!("seed {seed}: {error}\n{text}"));
            let violations = sim::run_script(script);
            if !violations.is_empty() {
                failed.push((seed, violations, text));
            }
        }
        failed
    };
    let mut failed: Vec<_> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|thread| scope.spawn(move || run_seeds(thread))).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("the thread ends")).collect()
    });
    failed.sort_by_key(|(seed, ..)| *seed);
    for (seed, violations, _) in &failed {
        println!("seed {seed}:\n  {}", violations.join("\n  "));
    }
    for (seed, _, text) in failed.iter().take(3) {
        println!("seed {seed} as a scenario:\n{text}");
    }
    let seeds: Vec<u64> = failed.iter().map(|(seed, ..)| *seed).collect();
    assert!(seeds.is_empty(), "failed seeds: {seeds:?}");
}
