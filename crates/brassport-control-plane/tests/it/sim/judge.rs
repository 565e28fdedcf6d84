//! What must hold in every run, whatever the scenario says. The bounds are stricter than the operators' pages: a configuration or
//! an end that was acknowledged is known within 1 s at each machine in touch (the pages: `applyS`, `drainS` of 2 s).
//!
//! A machine is in touch once its own fault_until is over for 1 s (it ran, was not frozen, and had a path both ways to each
//! machine of the core that reaches more than half of it), and that of the core for `inTouchS` = 3 s.

use super::script::Millis;
use brassport_config_store::consensus::{CommittedEntry, Entry, LogIndex, ReplicatedState, RequestDigest};
use brassport_control_plane::backends::{Backend, BackendState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const KNOWN_WITHIN: Millis = 1_000;
const RECOVERY: Millis = 1_000;
const CORE_RECOVERY: Millis = 3_000;

/// What one machine goes by.
#[derive(Default)]
struct Seen {
    runs: bool,
    state: Option<Arc<ReplicatedState>>,
    backends: BTreeMap<String, BackendState>,
    /// When its own fault_until was over.
    fault_until: Millis,
    /// What was complained of already.
    reported: BTreeSet<String>,
}

pub struct Judge {
    seen: Vec<Seen>,
    states: BTreeMap<LogIndex, Arc<ReplicatedState>>,
    entries: BTreeMap<LogIndex, Entry>,
    core_fault: Millis,
    /// Acknowledged: version, digest, the version below, when.
    pub acknowledged: Vec<(u32, RequestDigest, u32, Millis)>,
    refused: BTreeMap<RequestDigest, String>,
    in_force: BTreeSet<RequestDigest>,
    ends: Vec<(String, Millis)>,
    /// When each machine first went by a version, or one above it.
    first_applied: BTreeMap<(usize, u32), Millis>,
    /// Who votes, as each set was first gone by: when, and the machines.
    pub voters: Vec<(Millis, Vec<usize>)>,
    pub broken: Vec<String>,
}

impl Judge {
    pub fn new(machines: usize) -> Judge {
        Judge {
            seen: (0..machines).map(|_| Seen::default()).collect(),
            states: BTreeMap::new(),
            entries: BTreeMap::new(),
            core_fault: 0,
            acknowledged: Vec::new(),
            refused: BTreeMap::new(),
            in_force: BTreeSet::new(),
            ends: Vec::new(),
            first_applied: BTreeMap::new(),
            voters: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn violation(&mut self, now: Millis, what: String) {
        self.broken.push(format!("{:.3} s: {what}", now as f64 / 1000.0));
    }

    pub fn begins(&mut self, one: usize, is_core: bool, now: Millis) {
        self.seen[one] = Seen { runs: true, ..Seen::default() };
        self.fault_until(one, is_core, now);
    }

    pub fn ends(&mut self, one: usize, is_core: bool, now: Millis) {
        self.seen[one].runs = false;
        self.fault_until(one, is_core, now);
    }

    /// Trouble that lasts up to this time.
    pub fn fault_until(&mut self, one: usize, of_core: bool, until: Millis) {
        self.seen[one].fault_until = self.seen[one].fault_until.max(until);
        if of_core {
            self.core_fault(until);
        }
    }

    pub fn core_fault(&mut self, until: Millis) {
        self.core_fault = self.core_fault.max(until);
    }

    pub fn version(&self, one: usize) -> u32 {
        self.seen[one].state.as_ref().map_or(0, |state| state.version())
    }

    /// The newest state that any machine went by.
    pub fn newest(&self) -> Option<Arc<ReplicatedState>> {
        self.states.values().next_back().cloned()
    }

    /// When a machine first went by a version.
    pub fn applied_at(&self, one: usize, version: u32) -> Option<Millis> {
        self.first_applied.get(&(one, version)).copied()
    }

    /// For each acknowledged configuration and each machine: how long after it the machine applied it, or by a
    /// newer one. A machine that never did is left out.
    pub fn delays(&self) -> Vec<Millis> {
        let mut delays = Vec::new();
        for (version, .., at) in &self.acknowledged {
            for one in 0..self.seen.len() {
                let known =
                    self.first_applied.range((one, *version)..=(one, u32::MAX)).map(|(_, when)| *when).min();
                delays.extend(known.map(|when| when.saturating_sub(*at)));
            }
        }
        delays.sort_unstable();
        delays
    }

    pub fn state(&self, one: usize, id: &str) -> Option<BackendState> {
        self.seen[one].backends.get(id).copied()
    }

    /// A machine goes by this state from now on.
    pub fn applied(&mut self, one: usize, state: &Arc<ReplicatedState>, now: Millis) {
        if let Some(before) = &self.seen[one].state {
            if before.version() > state.version() || before.index > state.index {
                let (from, to) = ((before.index, before.version()), (state.index, state.version()));
                self.violation(
                    now,
                    format!("machine {one} goes back from (index, version) {from:?} to {to:?}"),
                );
            }
        }
        self.seen[one].state = Some(state.clone());
        self.first_applied.entry((one, state.version())).or_insert(now);
        let is_newest = self.states.last_key_value().is_none_or(|(index, _)| *index < state.index);
        if is_newest {
            let voters = state.voters.iter().map(|voter| super::machine(voter.ip)).collect();
            if self.voters.last().is_none_or(|(_, before)| *before != voters) {
                self.voters.push((now, voters));
            }
        }
        let known = self.states.entry(state.index).or_insert_with(|| state.clone()).clone();
        if !Arc::ptr_eq(&known, state) && *known != **state {
            let index = state.index;
            let text = format!("machine {one} has another state at index {index}: {}", differ(&known, state));
            self.violation(now, text);
        }
        for digest in state.applied_requests.values() {
            if self.in_force.insert(*digest) {
                if let Some(name) = self.refused.get(digest).cloned() {
                    self.violation(now, format!("{name} was refused and is in force at machine {one}"));
                }
            }
        }
    }

    /// A machine tells that these entries are chosen.
    pub fn committed(&mut self, one: usize, entries: &[CommittedEntry], now: Millis) {
        for CommittedEntry { index, entry } in entries {
            let known = self.entries.entry(*index).or_insert_with(|| entry.clone());
            if known != entry {
                let text = format!("machine {one} tells another entry at index {index}");
                self.violation(now, text);
            }
        }
    }

    pub fn backend(&mut self, one: usize, backend: Backend) {
        self.seen[one].backends.insert(backend.id, backend.state);
    }

    pub fn dropped(&mut self, one: usize, id: &str) {
        self.seen[one].backends.remove(id);
    }

    pub fn acknowledge(
        &mut self,
        name: &str,
        (version, digest, base_version): (u32, RequestDigest, u32),
        now: Millis,
    ) {
        let other =
            self.acknowledged.iter().find(|(_, other, on, _)| *on == base_version && *other != digest);
        if let Some((other, ..)) = other {
            let text =
                format!("{name} (v{version}) and v{other} on top of v{base_version} are both acknowledged");
            self.violation(now, text);
        }
        if let Some(refused) = self.refused.get(&digest).cloned() {
            self.violation(now, format!("{name} is acknowledged and was refused as {refused}"));
        }
        self.acknowledged.push((version, digest, base_version, now));
    }

    pub fn refuse(&mut self, name: &str, digest: RequestDigest, now: Millis) {
        if self.in_force.contains(&digest) {
            self.violation(now, format!("{name} is refused and was in force"));
        }
        if self.acknowledged.iter().any(|(_, other, ..)| *other == digest) {
            self.violation(now, format!("{name} is refused and was acknowledged"));
        }
        self.refused.insert(digest, name.to_owned());
    }

    /// A backend's end was acknowledged.
    pub fn end_known(&mut self, id: &str, now: Millis) {
        self.ends.push((id.to_owned(), now));
    }

    pub fn is_in_contact(&self, one: usize, now: Millis) -> bool {
        let seen = &self.seen[one];
        seen.runs && now >= seen.fault_until + RECOVERY && now >= self.core_fault + CORE_RECOVERY
    }

    pub fn check(&mut self, now: Millis) {
        let due = |at: Millis| now >= at + KNOWN_WITHIN;
        let newest = self.acknowledged.iter().filter(|(.., at)| due(*at)).map(|(version, ..)| *version).max();
        let newest = newest.unwrap_or_default();
        let ends: Vec<String> =
            self.ends.iter().filter(|(_, at)| due(*at)).map(|(id, _)| id.clone()).collect();
        for one in 0..self.seen.len() {
            if !self.is_in_contact(one, now) {
                continue;
            }
            let mut faults = Vec::new();
            if self.version(one) < newest {
                faults.push(format!("machine {one} is in touch and does not have v{newest}"));
            }
            for id in &ends {
                let state = self.state(one, id);
                if matches!(state, Some(BackendState::Ready | BackendState::Unresponsive)) {
                    faults.push(format!("machine {one} is in touch and takes {id} for {state:?}"));
                }
            }
            for fault in faults {
                if self.seen[one].reported.insert(fault.clone()) {
                    self.violation(now, fault);
                }
            }
        }
    }

    /// At the end: nothing acknowledged is lost.
    pub fn at_end(&mut self, newest: &ReplicatedState, now: Millis) {
        for (version, digest, ..) in self.acknowledged.clone() {
            let is_there = newest.applied_requests.get(&version) == Some(&digest);
            // Of old versions nothing is remembered.
            if !is_there && newest.applied_requests.len() < 500 {
                self.violation(now, format!("v{version} was acknowledged and is lost at the end"));
            }
        }
    }
}

fn differ(one: &ReplicatedState, other: &ReplicatedState) -> String {
    let text = |state: &ReplicatedState| format!("v{} voters {:?}", state.version(), state.voters);
    format!("{} and {}", text(one), text(other))
}
