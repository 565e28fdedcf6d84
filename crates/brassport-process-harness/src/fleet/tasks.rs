//! A task of the fleet under faults of whoever holds it: its command writes a line at every step into one file, whose order is
//! that of the steps.

use super::{wait_for, Fleet};
use crate::relay::Link;
use oorandom::Rand32;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

/// Between two due times.
const EVERY_MS: u64 = 300;
/// How many steps of 20 ms a run takes: less than a period, or more than a lease, so that it has to be stopped.
const STEPS: [u32; 2] = [12, 150];

/// What happens to the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Killed,
    Frozen,
    /// Cut off from the other instances.
    Cut,
    HandedOver,
    /// All instances start anew, one behind the other.
    AllRestarted,
    /// It is killed in the same moment in which its successor-to-be is frozen for a while.
    KilledAndOtherFrozen,
}

const FAULTS: [Fault; 6] = [
    Fault::Killed,
    Fault::Frozen,
    Fault::Cut,
    Fault::HandedOver,
    Fault::AllRestarted,
    Fault::KilledAndOtherFrozen,
];

/// A step as the command wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    pub token: u64,
    pub due_ms: u64,
    pub process: u64,
}

/// What came of a schedule.
#[derive(Debug, Default)]
pub struct Acts {
    pub broken: Vec<String>,
    pub steps: usize,
    pub runs: usize,
    pub tokens: usize,
    /// Due times between the first and the last run for which nobody began.
    pub missed: usize,
    /// From a fault, by its name, to the first step of the next holder.
    pub without: Vec<(String, Duration)>,
}

/// No two runs overlap, no token goes back, no due time is begun twice.
pub fn judge(steps: &[Step]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut over: BTreeSet<u64> = BTreeSet::new();
    let mut dues: BTreeMap<u64, u64> = BTreeMap::new();
    for pair in steps.windows(2) {
        let [before, now] = pair else { continue };
        if now.token < before.token {
            broken.push(format!("token {} acts behind {}: {now:?}", now.token, before.token));
        }
        if now.process != before.process {
            over.insert(before.process);
        }
        if over.contains(&now.process) {
            broken.push(format!("two runs overlap: {now:?} goes on behind {before:?}"));
        }
    }
    for step in steps {
        let first = *dues.entry(step.due_ms).or_insert(step.process);
        if first != step.process {
            broken.push(format!("due time {} was begun by two runs: {step:?}", step.due_ms));
        }
    }
    broken.dedup();
    broken
}

impl Fleet {
    /// Has the instances hold a task whose command writes its steps; short runs or long ones, by the seed.
    ///
    /// # Panics
    /// It does not come up.
    pub fn with_task(program: &Path, seed: u32) -> Fleet {
        let count = STEPS[seed as usize % STEPS.len()];
        let mut fleet = Fleet::on_clocks(program, 3, 0, 0);
        let steps = fleet.dir("steps");
        let script = format!(
            "i=0; while [ $i -lt {count} ]; do \
             echo \"$BRASSPORT_TASK_TOKEN $BRASSPORT_TASK_DUE_MS $$\" >> {steps}; i=$((i+1)); sleep 0.02; done"
        );
        let tasks = json!([{ "name": "export", "every_ms": EVERY_MS, "command": ["sh", "-c", script] }]);
        for v in 0..3 {
            std::fs::write(fleet.dir(&format!("i{v}/tasks.json")), tasks.to_string()).expect("a file");
            fleet.voters[v].kill();
            fleet.voters[v].start();
        }
        fleet.leader();
        fleet
    }

    fn steps(&self) -> Vec<Step> {
        let text = std::fs::read_to_string(self.dir("steps")).unwrap_or_default();
        let step = |line: &str| {
            let mut words = line.split(' ').map(|word| word.parse().ok());
            Some(Step { token: words.next()??, due_ms: words.next()??, process: words.next()?? })
        };
        text.split_inclusive('\n')
            .filter(|line| line.ends_with('\n'))
            .filter_map(|line| step(line.trim()))
            .collect()
    }

    /// Which instance the fleet's state says holds the task, and its token.
    fn holder(&self) -> Option<(usize, u64)> {
        let (_, lines, _) = self.command(&["tasks", &self.dir("staff"), "--json"]);
        let lease: Value = lines.first()?.get("export")?.get("lease")?.clone();
        let name = lease["holder"].as_str()?.strip_prefix('i')?.parse::<usize>().ok()?;
        Some((name - 1, lease["token"].as_u64()?))
    }

    /// Plays a schedule of so many faults of the holder, and judges the steps.
    pub fn play_task(mut self, seed: u32, rounds: u32) -> Acts {
        let mut random = Rand32::new(u64::from(seed));
        let mut acts = Acts::default();
        for _ in 0..rounds {
            let fault = FAULTS[random.rand_range(0..FAULTS.len() as u32) as usize];
            let steps = |fleet: &Fleet| fleet.steps().len();
            // In the middle of its work, or of its rest.
            let seen = steps(&self) + random.rand_range(1..2 * STEPS[0]) as usize;
            wait_for("the holder to act", || (steps(&self) >= seen).then_some(()));
            let (holder, token) = wait_for("a holder", || self.holder());
            let token = token.max(self.steps().last().map_or(0, |step| step.token));
            println!("seed {seed}: {fault:?}, i{}, token {token}", holder + 1);
            let other = (holder + 1 + random.rand_range(0..2) as usize) % 3;
            let since = Instant::now();
            match fault {
                Fault::Killed => self.voters[holder].kill(),
                Fault::Frozen => self.voters[holder].freeze(),
                Fault::Cut => self.part(holder as u64, true),
                Fault::HandedOver => {
                    let to = format!("i{}", other + 1);
                    self.must(&["hand-over", &self.dir("staff"), "export", "--to", &to, "--reason", "drawn"]);
                }
                Fault::AllRestarted => {
                    for voter in 0..3 {
                        self.voters[voter].kill();
                        self.voters[voter].start();
                    }
                }
                Fault::KilledAndOtherFrozen => {
                    self.voters[other].freeze();
                    self.voters[holder].kill();
                    std::thread::sleep(Duration::from_millis(u64::from(random.rand_range(100..1500))));
                    self.voters[other].thaw();
                }
            }
            wait_for("another holder to act", || {
                self.steps().last().is_some_and(|step| step.token > token).then_some(())
            });
            acts.without.push((format!("{fault:?}"), since.elapsed()));
            // The one before it comes back while the next one acts.
            (0..3).for_each(|voter| self.part(voter, false));
            self.down.values().for_each(|relay| relay.set(Link::default()));
            for voter in &mut self.voters {
                if voter.is_frozen() {
                    voter.thaw();
                }
                if !voter.runs() {
                    voter.start();
                }
            }
            let seen = steps(&self) + STEPS[0] as usize;
            wait_for("it to go on", || (steps(&self) >= seen).then_some(()));
        }
        let steps = self.steps();
        acts.broken = judge(&steps);
        acts.steps = steps.len();
        let dues: BTreeSet<u64> = steps.iter().map(|step| step.due_ms).collect();
        acts.runs = dues.len();
        acts.tokens = steps.iter().map(|step| step.token).collect::<BTreeSet<_>>().len();
        if let (Some(first), Some(last)) = (dues.first(), dues.last()) {
            acts.missed = ((last - first) / EVERY_MS + 1) as usize - dues.len();
        }
        if !acts.broken.is_empty() {
            for process in &self.voters {
                println!("--- {}\n{}", process.name, process.said());
            }
            steps.iter().for_each(|step| println!("{step:?}"));
        }
        acts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn steps(all: &[(u64, u64, u64)]) -> Vec<Step> {
        all.iter()
            .map(|(token, due_ms, process)| Step { token: *token, due_ms: *due_ms, process: *process })
            .collect()
    }

    #[test]
    fn runs_that_overlap_tokens_that_go_back_and_due_times_begun_twice_are_seen() {
        assert_eq!(
            judge(&steps(&[(1, 300, 7), (1, 300, 7), (1, 600, 8), (2, 900, 9)])),
            Vec::<String>::new()
        );
        assert_eq!(judge(&steps(&[(1, 300, 7), (1, 600, 8), (1, 300, 7)])).len(), 1, "overlap");
        assert_eq!(judge(&steps(&[(2, 300, 7), (1, 600, 8)])).len(), 1, "token");
        assert_eq!(judge(&steps(&[(1, 300, 7), (2, 300, 8)])).len(), 1, "twice");
    }
}
