//! Many seeds, played by several threads. The result does not depend on how many.

use crate::scenario::Scenario;
use crate::site::Report;
use crate::trace::Digest;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;

/// Failures that are kept whole; of more, only their number.
const KEPT: usize = 20;

/// What came of a range of seeds.
#[derive(Debug, Default)]
pub struct Campaign {
    /// Seeds that broke a rule.
    pub failed: u64,
    /// The first of those, in the order of their seeds.
    pub failures: Vec<(u64, Report)>,
    /// Over every wire event of every seed.
    pub digest: u64,
    /// Virtual time of all runs, in nanoseconds.
    pub virtual_time: u64,
    /// Requests of all runs.
    pub requests: u64,
    /// How often Nomad told a door that a node is off.
    pub told_off: u64,
}

/// Plays the script that `draw` makes of every seed of a range on so many threads. `prepare` runs on each thread first; `progress` is told how many
/// seeds are done and how many of them failed.
pub fn run(
    seeds: Range<u64>,
    jobs: usize,
    draw: fn(u64) -> Scenario,
    prepare: &(dyn Fn() + Sync),
    mut progress: impl FnMut(u64, u64),
) -> Campaign {
    let total = seeds.end.saturating_sub(seeds.start);
    let next = AtomicU64::new(seeds.start);
    let (sender, reports) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (sender, next, end) = (sender.clone(), &next, seeds.end);
            scope.spawn(move || {
                prepare();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end || sender.send((seed, crate::play(&draw(seed)))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let mut campaign = Campaign::default();
        let mut digests = vec![0; total as usize];
        for (done, (seed, report)) in reports.into_iter().enumerate() {
            digests[(seed - seeds.start) as usize] = report.digest;
            campaign.virtual_time += report.virtual_time;
            campaign.requests += report.counts.requests;
            campaign.told_off += report.counts.told_off;
            if report.violation.is_some() {
                campaign.failed += 1;
                campaign.failures.push((seed, report));
                campaign.failures.sort_by_key(|(seed, _)| *seed);
                campaign.failures.truncate(KEPT);
            }
            progress(done as u64 + 1, campaign.failed);
        }
        let mut digest = Digest::default();
        digests.iter().for_each(|one| digest.add(&one.to_le_bytes()));
        campaign.digest = digest.value();
        campaign
    })
}
