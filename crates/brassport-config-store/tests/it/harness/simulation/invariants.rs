//! Invariants, checked at the end of a simulation.

use super::Simulation;
use brassport_checkers::versions::{self, Operation};
use brassport_config_store::consensus::*;

impl Simulation {
    /// The committed entries, one line per index.
    pub(super) fn log_listing(&self) -> String {
        let line = |(index, entry): (&LogIndex, &Entry)| match entry {
            Entry::Replace { base_version, body } => {
                format!("{index}: {} on {base_version:08x}\n", String::from_utf8_lossy(&body[12..20]))
            }
            other => format!("{index}: {other:?}\n"),
        };
        self.committed.iter().map(line).collect()
    }

    pub(super) fn check_invariants(&mut self) {
        let newest = self.machines.iter().filter_map(|machine| machine.replica.as_ref());
        let Some(newest) = newest.max_by_key(|replica| replica.state().index) else { return };
        let state = newest.state().clone();
        if !self.machines.iter().any(|machine| machine.replica.as_ref().is_some_and(Replica::is_leader)) {
            self.violations.push("no voter leads after 8 s without faults".to_owned());
        }
        for (digest, version) in &self.acknowledged_writes {
            if state.applied_requests.len() < 500 && state.applied_requests.get(version) != Some(digest) {
                self.violations.push(format!("acknowledged version {version} is lost"));
            }
        }
        let history: Vec<Operation> = self.history.values().copied().collect();
        if let Err(violation) = versions::judge(&history) {
            self.violations.push(format!("{violation:?}"));
        }
        // Each version has to build on the previous version in the log.
        let mut base_version = 0;
        for entry in self.committed.values() {
            if let Entry::Replace { base_version: found, body } = entry {
                if *found != base_version {
                    println!("{}", self.log_listing());
                    self.violations
                        .push(format!("a version that builds on {found} follows version {base_version}"));
                }
                let text = String::from_utf8_lossy(body);
                base_version = u32::from_str_radix(&text[12..20], 16).unwrap_or_default();
            }
        }
    }
}
