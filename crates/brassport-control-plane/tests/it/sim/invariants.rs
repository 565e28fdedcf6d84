//! The invariants that are checked in every run. An acknowledged configuration, drain or deregistration must reach each
//! machine in contact within 1 s, which is stricter than the documented bounds of 2 s (`applyS`, `drainS`).
//!
//! A machine is in contact if it has had no fault for 1 s, and the core has had none for 3 s (`inTouchS`). It has no
//! fault while its process runs, is not frozen, and is connected in both directions to each core machine that is itself
//! connected to a majority of the core.

use super::script::Millis;
use brassport_config_store::consensus::{CommittedEntry, Entry, LogIndex, ReplicatedState, RequestDigest};
use brassport_control_plane::backends::{Backend, BackendState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Bound for an acknowledged change to reach each machine in contact.
const PROPAGATION_BOUND_MS: Millis = 1_000;
/// Time after its last fault until a machine is in contact.
const RECOVERY_MS: Millis = 1_000;
/// Time after the core's last fault until any machine is in contact.
const CORE_RECOVERY_MS: Millis = 3_000;

/// The way by which a machine learns of a change of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateWay {
    /// The backend's own call to the machine.
    Call,
    /// A request to confirm the record, sent to the core.
    Confirmation,
    /// The first send of a change, or its forwarding.
    Push,
    /// The answer to a comparison of tables.
    Repair,
    /// A timer of the machine itself.
    Timer,
}

/// The observed state of one machine.
#[derive(Default)]
struct ObservedNode {
    is_running: bool,
    state: Option<Arc<ReplicatedState>>,
    backends: BTreeMap<String, BackendState>,
    /// Backends that this machine still lists as live, although their departure was acknowledged.
    lagging: BTreeSet<String>,
    /// How long this machine listed each backend as live after the acknowledgement of its departure, and how it learned
    /// of the departure.
    departures_learned: BTreeMap<String, (Millis, UpdateWay)>,
    /// When this machine learned that the heartbeats of a backend have stopped.
    silences_learned: BTreeMap<String, Millis>,
    /// When its last fault ended or will end.
    fault_until: Millis,
    /// Violations that were reported already.
    reported: BTreeSet<String>,
}

pub struct InvariantChecker {
    nodes: Vec<ObservedNode>,
    states: BTreeMap<LogIndex, Arc<ReplicatedState>>,
    entries: BTreeMap<LogIndex, Entry>,
    /// When the core's last fault ended or will end.
    core_fault_until: Millis,
    /// Acknowledged configurations: version, request digest, base version, and time of the acknowledgement.
    pub acknowledged: Vec<(u32, RequestDigest, u32, Millis)>,
    rejected: BTreeMap<RequestDigest, String>,
    applied_requests: BTreeSet<RequestDigest>,
    /// The time of the first acknowledgement that a backend drains or has terminated.
    acknowledged_departures: BTreeMap<String, Millis>,
    /// When a machine first noticed that the heartbeats of a backend have stopped.
    noticed_silences: BTreeMap<String, Millis>,
    /// When each machine first applied each version.
    first_applied: BTreeMap<(usize, u32), Millis>,
    /// The sets of voters, each with the time at which it was first applied.
    pub voters: Vec<(Millis, Vec<usize>)>,
    pub violations: Vec<String>,
}

impl InvariantChecker {
    pub fn new(machines: usize) -> InvariantChecker {
        InvariantChecker {
            nodes: (0..machines).map(|_| ObservedNode::default()).collect(),
            states: BTreeMap::new(),
            entries: BTreeMap::new(),
            core_fault_until: 0,
            acknowledged: Vec::new(),
            rejected: BTreeMap::new(),
            applied_requests: BTreeSet::new(),
            acknowledged_departures: BTreeMap::new(),
            noticed_silences: BTreeMap::new(),
            first_applied: BTreeMap::new(),
            voters: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn violation(&mut self, now: Millis, what: String) {
        self.violations.push(format!("{:.3} s: {what}", now as f64 / 1000.0));
    }

    pub fn on_process_started(&mut self, node: usize, is_core: bool, now: Millis) {
        self.nodes[node] = ObservedNode { is_running: true, ..ObservedNode::default() };
        self.fault_until(node, is_core, now);
    }

    pub fn on_process_ended(&mut self, node: usize, is_core: bool, now: Millis) {
        self.nodes[node].is_running = false;
        self.fault_until(node, is_core, now);
    }

    /// Records a fault of a machine that lasts until this time. A fault of a core machine is also one of the core.
    pub fn fault_until(&mut self, node: usize, of_core: bool, until: Millis) {
        self.nodes[node].fault_until = self.nodes[node].fault_until.max(until);
        if of_core {
            self.core_fault(until);
        }
    }

    pub fn core_fault(&mut self, until: Millis) {
        self.core_fault_until = self.core_fault_until.max(until);
    }

    pub fn version(&self, node: usize) -> u32 {
        self.nodes[node].state.as_ref().map_or(0, |state| state.version())
    }

    /// The state with the highest index that any machine has applied.
    pub fn newest_state(&self) -> Option<Arc<ReplicatedState>> {
        self.states.values().next_back().cloned()
    }

    /// When a machine first applied a version.
    pub fn applied_at(&self, node: usize, version: u32) -> Option<Millis> {
        self.first_applied.get(&(node, version)).copied()
    }

    /// For each acknowledged configuration and each machine: the time from the acknowledgement until the machine
    /// applied that version or a later one. Omits machines that never did.
    pub fn apply_delays(&self) -> Vec<Millis> {
        let mut delays = Vec::new();
        for (version, .., at) in &self.acknowledged {
            for node in 0..self.nodes.len() {
                let known = self
                    .first_applied
                    .range((node, *version)..=(node, u32::MAX))
                    .map(|(_, when)| *when)
                    .min();
                delays.extend(known.map(|when| when.saturating_sub(*at)));
            }
        }
        delays.sort_unstable();
        delays
    }

    pub fn backend_state(&self, node: usize, id: &str) -> Option<BackendState> {
        self.nodes[node].backends.get(id).copied()
    }

    /// Records that a machine has applied a state. Checks that indexes and versions never decrease, that all machines
    /// have the same state at an index, and that no rejected request is applied.
    pub fn on_state_applied(&mut self, node: usize, state: &Arc<ReplicatedState>, now: Millis) {
        if let Some(before) = &self.nodes[node].state {
            if before.version() > state.version() || before.index > state.index {
                let (from, to) = ((before.index, before.version()), (state.index, state.version()));
                self.violation(
                    now,
                    format!("machine {node} goes back from (index, version) {from:?} to {to:?}"),
                );
            }
        }
        self.nodes[node].state = Some(state.clone());
        self.first_applied.entry((node, state.version())).or_insert(now);
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
            let text = format!(
                "machine {node} has a different state at index {index}: {}",
                describe_difference(&known, state)
            );
            self.violation(now, text);
        }
        for digest in state.applied_requests.values() {
            if self.applied_requests.insert(*digest) {
                if let Some(name) = self.rejected.get(digest).cloned() {
                    self.violation(now, format!("{name} was rejected, but machine {node} has applied it"));
                }
            }
        }
    }

    /// Checks that all machines send the same committed entry for an index.
    pub fn on_entries_sent(&mut self, node: usize, entries: &[CommittedEntry], now: Millis) {
        for CommittedEntry { index, entry } in entries {
            let known = self.entries.entry(*index).or_insert_with(|| entry.clone());
            if known != entry {
                let text = format!("machine {node} sends a different entry at index {index}");
                self.violation(now, text);
            }
        }
    }

    pub fn on_backend_changed(&mut self, node: usize, backend: Backend, way: UpdateWay, now: Millis) {
        if backend.state == BackendState::Unresponsive {
            self.noticed_silences.entry(backend.id.clone()).or_insert(now);
            self.nodes[node].silences_learned.entry(backend.id.clone()).or_insert(now);
        }
        let acknowledged_at = self.acknowledged_departures.get(&backend.id).copied();
        let observed = &mut self.nodes[node];
        let was_live = observed.backends.insert(backend.id.clone(), backend.state).is_some_and(is_live);
        if is_live(backend.state) {
            if acknowledged_at.is_some() {
                observed.lagging.insert(backend.id);
            }
        } else if was_live {
            observed.lagging.remove(&backend.id);
            let delay = acknowledged_at.map_or(0, |at| now.saturating_sub(at));
            observed.departures_learned.insert(backend.id, (delay, way));
        }
    }

    pub fn on_backend_expired(&mut self, node: usize, id: &str) {
        self.nodes[node].backends.remove(id);
        self.nodes[node].lagging.remove(id);
    }

    /// How long each machine listed each leaving backend as live after the acknowledgement, and how it learned of the
    /// departure. `None`: it still lists the backend.
    pub fn departure_delays(&self) -> Vec<Option<(Millis, UpdateWay)>> {
        let learned = |observed: &ObservedNode| {
            let lagging = observed.lagging.iter().map(|_| None);
            let learned = observed.departures_learned.values().map(|learned| Some(*learned));
            lagging.chain(learned).collect::<Vec<_>>()
        };
        self.nodes.iter().flat_map(learned).collect()
    }

    /// For each backend whose heartbeats have stopped and each running machine: the time until the machine learned of
    /// it after the first machine noticed. `None`: it never did.
    pub fn silence_delays(&self) -> Vec<Option<Millis>> {
        let learned = |observed: &ObservedNode| {
            let since =
                |(id, at): (&String, &Millis)| observed.silences_learned.get(id).map(|learned| learned - at);
            self.noticed_silences.iter().map(since).collect::<Vec<_>>()
        };
        self.nodes.iter().filter(|observed| observed.is_running).flat_map(learned).collect()
    }

    pub fn on_request_acknowledged(
        &mut self,
        name: &str,
        (version, digest, base_version): (u32, RequestDigest, u32),
        now: Millis,
    ) {
        let other =
            self.acknowledged.iter().find(|(_, other, on, _)| *on == base_version && *other != digest);
        if let Some((other, ..)) = other {
            let text = format!(
                "{name} (v{version}) and v{other} are both acknowledged for base version v{base_version}"
            );
            self.violation(now, text);
        }
        if let Some(rejected) = self.rejected.get(&digest).cloned() {
            self.violation(now, format!("{name} is acknowledged, but was rejected as {rejected}"));
        }
        self.acknowledged.push((version, digest, base_version, now));
    }

    pub fn on_request_rejected(&mut self, name: &str, digest: RequestDigest, now: Millis) {
        if self.applied_requests.contains(&digest) {
            self.violation(now, format!("{name} is rejected, but was applied"));
        }
        if self.acknowledged.iter().any(|(_, other, ..)| *other == digest) {
            self.violation(now, format!("{name} is rejected, but was acknowledged"));
        }
        self.rejected.insert(digest, name.to_owned());
    }

    /// Records that a backend's drain or deregistration was acknowledged.
    pub fn on_departure_acknowledged(&mut self, id: &str, now: Millis) {
        self.acknowledged_departures.entry(id.to_owned()).or_insert(now);
        for observed in &mut self.nodes {
            if observed.backends.get(id).copied().is_some_and(is_live) {
                observed.lagging.insert(id.to_owned());
            }
        }
    }

    pub fn is_in_contact(&self, node: usize, now: Millis) -> bool {
        let observed = &self.nodes[node];
        observed.is_running
            && now >= observed.fault_until + RECOVERY_MS
            && now >= self.core_fault_until + CORE_RECOVERY_MS
    }

    pub fn check(&mut self, now: Millis) {
        let due = |at: Millis| now >= at + PROPAGATION_BOUND_MS;
        let newest = self.acknowledged.iter().filter(|(.., at)| due(*at)).map(|(version, ..)| *version).max();
        let newest = newest.unwrap_or_default();
        for node in 0..self.nodes.len() {
            if !self.is_in_contact(node, now) {
                continue;
            }
            let mut violations = Vec::new();
            if self.version(node) < newest {
                violations.push(format!("machine {node} is in contact and has not applied v{newest}"));
            }
            let is_due = |id: &&String| self.acknowledged_departures.get(*id).is_some_and(|at| due(*at));
            for id in self.nodes[node].lagging.iter().filter(is_due) {
                let state = self.backend_state(node, id);
                violations.push(format!("machine {node} is in contact and has backend {id} as {state:?}"));
            }
            for violation in violations {
                if self.nodes[node].reported.insert(violation.clone()) {
                    self.violation(now, violation);
                }
            }
        }
    }

    /// Checks at the end of a run that no acknowledged configuration is lost.
    pub fn check_final_state(&mut self, newest: &ReplicatedState, now: Millis) {
        for (version, digest, ..) in self.acknowledged.clone() {
            let is_there = newest.applied_requests.get(&version) == Some(&digest);
            // The state remembers only the most recent requests.
            if !is_there && newest.applied_requests.len() < 500 {
                self.violation(now, format!("v{version} was acknowledged, but is lost at the end"));
            }
        }
    }
}

/// Whether requests may be sent to a backend in this state.
fn is_live(state: BackendState) -> bool {
    matches!(state, BackendState::Ready | BackendState::Unresponsive)
}

fn describe_difference(one: &ReplicatedState, other: &ReplicatedState) -> String {
    let text = |state: &ReplicatedState| format!("v{} voters {:?}", state.version(), state.voters);
    format!("{} and {}", text(one), text(other))
}
