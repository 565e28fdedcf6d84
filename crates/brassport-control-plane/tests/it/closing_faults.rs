//! Random schedules that end with the worst loss at once: right behind an acknowledgement, or soon after a change was
//! sent, as many disks are lost as the cluster tolerates, and every other machine loses power in the same moment, also
//! those without a disk. The machines return in random order, and some fail again meanwhile. Checked against the
//! invariants; besides, a change must be acknowledged within 15 s (`recoverS`).
//!
//! `CONTROL_PLANE_CLOSING_SEEDS` sets the number of schedules, and `CONTROL_PLANE_FIRST` the first seed. A schedule that
//! fails is printed as a scenario; saved as a file in `scenarios/`, it reproduces the run.

use crate::sim::{self, script};
use oorandom::Rand64;
use std::fmt::Write;

/// Default number of schedules.
const SEEDS: u64 = 300;
/// When the last change before the loss is sent, in ms.
const LAST_CHANGE_MS: u64 = 14_000;
/// When the disks are lost and no machine runs any more, in ms.
const LOSS_MS: u64 = 16_000;
/// From the return of the last machine until the next change must be acknowledged, in ms (`recoverS`).
const RECOVERY_MS: u64 = 15_000;

/// A schedule that is being drawn.
struct Schedule {
    rng: Rand64,
    text: String,
    /// Number of machines with a disk.
    disks: u64,
    /// Number of all machines.
    all: u64,
    /// Number of disks that may be lost at once.
    tolerated_losses: u64,
}

impl Schedule {
    fn begin(seed: u64) -> Schedule {
        let mut rng = Rand64::new(u128::from(seed) << 1 | 1);
        let mut draw = |below: u64| rng.rand_range(0..below);
        let (disks, tolerated_losses) = [(3, 1), (4, 1), (8, 2), (8, 3)][draw(4) as usize];
        let (diskless, zone_latency, sync_latency) = (draw(5), 1 + draw(10), 1 + draw(6));
        let text = format!(
            "machines {disks} disks, {diskless} plain, zones a b c\nseed {seed}\napart {zone_latency}ms\n\
             sync {sync_latency}ms\nsurvive {tolerated_losses}\n"
        );
        Schedule { rng, text, disks, all: disks + diskless, tolerated_losses }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }

    fn line(&mut self, at: u64, what: &str) {
        let _ = writeln!(self.text, "at {}.{:03} {what}", at / 1000, at % 1000);
    }

    /// Changes from the start until shortly before the loss; some of them while a machine is down, frozen or cut off.
    fn changes(&mut self) {
        for change in 0..1 + self.draw(8) {
            let (at, via) = (3_000 + self.draw(4_500), self.draw(self.all));
            self.line(at, &format!("operator appends via {via} as p{change}"));
        }
        let (machine, at) = (self.draw(self.disks), 3_500 + self.draw(4_000));
        let duration = 100 + self.draw(3_000);
        match self.draw(5) {
            0 => {
                self.line(at, &format!("kill {machine}"));
                self.line(at + duration, &format!("start {machine}"));
            }
            1 => self.line(at, &format!("freeze {machine} for {duration}ms")),
            2 => {
                self.line(at, &format!("cut {machine} off"));
                self.line(at + duration, "join");
            }
            3 => self.line(at, &format!("disk of {machine} hangs for {duration}ms")),
            _ => {}
        }
    }

    /// The last change, the loss of power, and the loss of disks.
    fn loss(&mut self) {
        let via = self.draw(self.all);
        self.line(LAST_CHANGE_MS, "join");
        self.line(LAST_CHANGE_MS, "name leader as old");
        self.line(LAST_CHANGE_MS, &format!("operator appends via {via} as last"));
        let is_acknowledged = self.draw(3) > 0;
        if is_acknowledged {
            let _ = writeln!(self.text, "when last is 200 kill every");
        } else {
            let at = LAST_CHANGE_MS + 1 + self.draw(400);
            self.line(at, "kill every");
        }
        self.line(LOSS_MS - 10, "kill every");
        let mut lost: Vec<String> = Vec::new();
        if self.draw(2) == 0 {
            lost.push("old".into());
        }
        let first = self.draw(self.disks);
        for number in 0..self.tolerated_losses - lost.len() as u64 {
            lost.push(((first + number) % self.disks).to_string());
        }
        for machine in lost {
            self.line(LOSS_MS, &format!("lose disk of {machine}"));
        }
    }

    /// The return of all machines. Returns when the last one is back.
    fn recovery(&mut self) -> u64 {
        let begin = LOSS_MS + 200;
        let spread = [50, 500, 3_000][self.draw(3) as usize];
        for machine in 0..self.all {
            let at = begin + self.draw(spread);
            self.line(at, &format!("start {machine}"));
        }
        let mut end = begin + spread;
        if self.draw(3) == 0 {
            let (machine, at) = (self.draw(self.all), end + 10 + self.draw(1_500));
            self.line(at, &format!("kill {machine}"));
            end = at + 100 + self.draw(1_000);
            self.line(end, &format!("start {machine}"));
        }
        end
    }
}

/// The scenario for a seed.
fn schedule(seed: u64) -> String {
    let mut schedule = Schedule::begin(seed);
    schedule.changes();
    schedule.loss();
    let due = schedule.recovery() + RECOVERY_MS;
    let via = schedule.draw(schedule.all);
    schedule.line(due - 4_000, &format!("operator appends via {via} as after"));
    schedule.line(due, "expect after 200");
    schedule.text + &format!("lasts {}s\n", due / 1000 + 3)
}

fn number_from(variable: &str, otherwise: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

#[test]
fn an_acknowledged_configuration_survives_lost_disks_while_all_others_lose_power() {
    let (first, count) =
        (number_from("CONTROL_PLANE_FIRST", 0), number_from("CONTROL_PLANE_CLOSING_SEEDS", SEEDS));
    let mut failed = Vec::new();
    for seed in first..first + count {
        let text = schedule(seed);
        let script = script::parse(&text).unwrap_or_else(|error| panic!("seed {seed}: {error}\n{text}"));
        let broken = sim::run_script(script);
        if !broken.is_empty() {
            println!("seed {seed}:\n  {}\n{text}", broken.join("\n  "));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{} of {count} schedules failed: {failed:?}", failed.len());
}
