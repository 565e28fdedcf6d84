//! What came of a play.

use crate::history::{AttemptOutcome, History, RequestOutcome};
use crate::rules::{Violation, ALL};
use std::collections::BTreeMap;
use std::fmt;

/// The least share of what was due that is to be served.
pub const LEAST_SERVED: f64 = 0.9;

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// What was due, by how it ended.
    pub due: BTreeMap<RequestOutcome, usize>,
    /// All else, by how it ended: beyond a quota, without a key, sent directly to one node.
    pub others: BTreeMap<RequestOutcome, usize>,
    /// Attempts of each tenant, by what they were answered with.
    pub attempts: BTreeMap<String, BTreeMap<String, usize>>,
    /// Versions that were sent, and those that were acknowledged.
    pub versions: (usize, usize),
    /// What was done to nodes, and when.
    pub faults: Vec<(f64, String)>,
    /// The rules, and how they were broken.
    pub rules: Vec<(&'static str, Result<(), Violation>)>,
}

impl Report {
    /// Judges a history.
    pub fn of(history: &History, faults: Vec<(f64, String)>) -> Report {
        let count = |is_due| {
            let mut counts = BTreeMap::new();
            for request in history.requests.iter().filter(|request| request.is_due == is_due) {
                *counts.entry(request.outcome.clone()).or_default() += 1;
            }
            counts
        };
        let mut attempts: BTreeMap<String, BTreeMap<String, usize>> = BTreeMap::new();
        for it in &history.attempts {
            let how = match &it.ended {
                Some((_, AttemptOutcome::Answer { status, .. })) => status.to_string(),
                Some((_, AttemptOutcome::Failed(failure))) => failure.to_string(),
                None => "open".to_owned(),
            };
            let tenant = it.tenant.clone().unwrap_or_else(|| "nobody".into());
            *attempts.entry(tenant).or_default().entry(how).or_default() += 1;
        }
        let acknowledged = history.sent.iter().filter(|sent| sent.acknowledged.is_some()).count();
        Report {
            due: count(true),
            others: count(false),
            attempts,
            versions: (history.sent.len(), acknowledged),
            faults,
            rules: ALL.iter().map(|(name, rule)| (*name, rule(history))).collect(),
        }
    }

    /// The share of what was due that was served; none of nothing.
    pub fn served(&self) -> f64 {
        let all: usize = self.due.values().sum();
        let served = self.due.get(&RequestOutcome::Served).copied().unwrap_or_default();
        served as f64 / all.max(1) as f64
    }

    /// Whether all rules were kept.
    pub fn is_kept(&self) -> bool {
        self.rules.iter().all(|(_, rule)| rule.is_ok())
    }

    /// Whether all rules were kept and enough was served.
    pub fn is_good(&self) -> bool {
        self.is_kept() && self.served() >= LEAST_SERVED
    }
}

fn line(f: &mut fmt::Formatter<'_>, name: &str, counts: &BTreeMap<RequestOutcome, usize>) -> fmt::Result {
    write!(f, "{name}: {}", counts.values().sum::<usize>())?;
    for (outcome, count) in counts {
        match outcome {
            RequestOutcome::Served => write!(f, ", served {count}"),
            RequestOutcome::Refused(status) => write!(f, ", refused with {status} {count}"),
            RequestOutcome::Failed(kind) => write!(f, ", failed ({kind}) {count}"),
        }?;
    }
    writeln!(f)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, what) in &self.faults {
            writeln!(f, "{at:6.2} s  {what}")?;
        }
        line(f, "requests that were due", &self.due)?;
        line(f, "others (beyond a quota, without a key, at one door)", &self.others)?;
        for (tenant, attempts) in &self.attempts {
            let attempts: Vec<String> =
                attempts.iter().map(|(how, count)| format!("{how} {count}")).collect();
            writeln!(f, "tries of {tenant}: {}", attempts.join(", "))?;
        }
        writeln!(f, "served of what was due: {:.1} %", self.served() * 100.0)?;
        writeln!(f, "versions: {} sent, {} acknowledged", self.versions.0, self.versions.1)?;
        for (name, rule) in &self.rules {
            match rule {
                Ok(()) => writeln!(f, "kept    {name}")?,
                Err(how) => writeln!(f, "BROKEN  {name}: {how}")?,
            }
        }
        Ok(())
    }
}
