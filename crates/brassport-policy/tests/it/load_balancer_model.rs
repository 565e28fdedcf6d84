//! The choice of server beside a plain walk over all of them, over random fleets and histories.
//!
//! The walk knows what the module knows, by the rules as they are meant: who is ready, warm, ejected or was tried, and
//! how long each would make wait. `PROPTEST_CASES=10000` plays more histories than the usual run.

use brassport_policy::{
    Action, AttemptEnd, Class, Event, Gateway, Lifecycle, ListKind, Millis, Outcome, Plan, Request,
    RetrySafety, Scope, ServerEntry, ServerId, Settings,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const AIM: Millis = 500.0;
const COLD_FOR: Millis = 3000.0;
/// A choice among more than 32 draws 24 by size: that all of them are worse than this part of the fleet's size happens
/// once in 16 million.
const WORSE: f64 = 0.5;

#[derive(Debug, Clone)]
struct Node {
    entry: ServerEntry,
    out: Vec<Millis>,
    pace: f64,
    judged: Millis,
    answered: Millis,
    strikes: u32,
    ejected_until: Millis,
}

impl Node {
    fn size(&self) -> f64 {
        if self.entry.capacity > 0.0 {
            self.entry.capacity
        } else {
            1.0
        }
    }

    fn pace(&self, now: Millis, mean: Millis) -> f64 {
        1.0 + (self.pace - 1.0) * (-(now - self.judged) / (20.0 * mean.max(1.0))).exp()
    }

    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until || self.strikes >= 3 && !self.out.is_empty()
    }

    fn is_cold(&self, now: Millis) -> bool {
        self.entry.launched_at.is_some_and(|at| now < at + COLD_FOR)
    }

    /// The expected wait, without the random part that breaks ties.
    fn record_outcome(&mut self, now: Millis, mean: Millis, outcome: Outcome, elapsed: Millis) {
        (self.pace, self.judged) = (self.pace(now, mean), now);
        let sample = if outcome == Outcome::Ok { (elapsed / mean.max(1.0)).min(8.0) } else { 8.0 };
        self.pace += 0.1 * (sample - self.pace);
        if outcome == Outcome::Ok {
            (self.strikes, self.ejected_until) = (0, 0.0);
        } else {
            self.strikes += 1;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Error) {
            self.answered = now;
        }
        if self.strikes >= 3 {
            let doublings = (self.strikes - 3).min(4);
            self.ejected_until = now + 3.0 * mean.max(1.0) * f64::from(1u32 << doublings);
        }
    }

    fn wait(&self, now: Millis, mean: Millis) -> f64 {
        let silence =
            self.out.first().map_or(0.0, |oldest| (now - oldest.max(self.answered)) / mean.max(1.0));
        let pace = self.pace(now, mean).max(silence / 2.0).max(0.2);
        let far = if self.entry.zone == 0 { 1.0 } else { 1.1 };
        (self.out.len() as f64 + 1.0) * pace * far / self.size()
    }
}

/// A plain model, and the module that is compared with it.
struct Model {
    gateway: Gateway,
    retry_safety: RetrySafety,
    now: Millis,
    nodes: BTreeMap<ServerId, Node>,
    /// Mean time of an answer.
    mean: Millis,
    /// For each request its attempts: to whom, when, and whether it is out and may have run.
    open: BTreeMap<u64, Vec<(ServerEntry, Millis, bool, bool)>>,
    next: u64,
    sends: u32,
}

impl Model {
    fn new(seed: u64, retry_safety: RetrySafety) -> Model {
        let settings = Settings {
            classes: vec![Class {
                value: 1.0,
                latency_target: AIM,
                deadline: 2000.0,
                late_value_fraction: 0.0,
                retry_safety,
            }],
            plans: vec![Plan::default()],
            max_attempts: 4,
            warm_up_start_fraction: 0.3,
            warm_up_duration: COLD_FOR,
            collapse_load: 2.0,
            collapse_after: 3000.0,
            max_retry_after: 500.0,
            ..Settings::default()
        };
        let gateway = Gateway::new(settings, seed, 0.0).expect("the settings make sense");
        let (nodes, open) = (BTreeMap::new(), BTreeMap::new());
        Model { gateway, retry_safety, now: 0.0, nodes, mean: AIM / 6.0, open, next: 0, sends: 0 }
    }

    fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Full {
            self.nodes.values_mut().for_each(|node| node.entry.lifecycle = Lifecycle::Removed);
        }
        for &entry in &entries {
            let now = self.now;
            let node = self.nodes.entry(entry.id).or_insert_with(|| Node {
                entry,
                out: Vec::new(),
                pace: 1.0,
                judged: now,
                answered: now,
                strikes: 0,
                ejected_until: 0.0,
            });
            if entry.launched_at.is_some() && entry.launched_at != node.entry.launched_at {
                (node.strikes, node.ejected_until, node.pace) = (0, 0.0, 1.0);
            }
            node.entry = entry;
        }
        self.nodes.retain(|_, node| node.entry.lifecycle != Lifecycle::Removed || !node.out.is_empty());
        self.tell(Event::Servers { kind, entries });
    }

    fn submit(&mut self) {
        self.next += 1;
        let request = Request {
            id: self.next,
            customer: 1,
            plan: 0,
            class: 0,
            units: 1.0,
            customer_gateways: 1,
            first_gateway: 0,
            expires_in: 2000.0,
            is_client_retry: false,
        };
        self.tell(Event::Request(request));
    }

    fn end(&mut self, which: usize, outcome: Outcome, elapsed: Millis) {
        let out: Vec<(u64, usize)> = self
            .open
            .iter()
            .flat_map(|(&id, attempts)| attempts.iter().enumerate().map(move |(n, a)| (id, n, a.2)))
            .filter_map(|(id, n, out)| out.then_some((id, n)))
            .collect();
        let Some(&(request, attempt)) = out.get(which % out.len().max(1)) else { return };
        let known = &mut self.open.get_mut(&request).expect("it is open")[attempt];
        (known.2, known.3) = (false, !outcome.never_ran());
        let (entry, sent, ..) = *known;
        let (now, mean) = (self.now, self.mean);
        if let Some(node) = self.nodes.get_mut(&entry.id) {
            let place = node.out.iter().position(|at| *at == sent).expect("its send is known");
            node.out.remove(place);
            if node.out.is_empty() && node.entry.lifecycle == Lifecycle::Removed {
                self.nodes.remove(&entry.id);
            } else {
                node.record_outcome(now, mean, outcome, elapsed);
            }
        }
        if outcome == Outcome::Ok {
            self.mean += 0.02 * (elapsed - self.mean);
        }
        let finished = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: attempt as u8, outcome, elapsed, finished, used: None };
        self.tell(Event::AttemptEnd(end));
    }

    /// Tells the module, and holds its sends against the walk.
    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { request, server, .. } = action {
                self.check(request, server);
                let node = self.nodes.get_mut(&server).expect("checked");
                node.out.push(self.now);
                let entry = node.entry;
                self.open.entry(request).or_default().push((entry, self.now, true, true));
                self.sends += 1;
            }
        }
    }

    fn check(&self, request: u64, chosen: ServerId) {
        let now = self.now;
        let attempts = self.open.get(&request).map_or(&[][..], Vec::as_slice);
        assert!(attempts.iter().all(|attempt| !attempt.2), "request {request} has two attempts out");
        let home = attempts.iter().find(|attempt| attempt.3).map(|attempt| attempt.0);
        let may_have = |node: &Node| match (self.retry_safety, home) {
            (RetrySafety::Keyed { scope: Scope::Zone, .. }, Some(home)) => node.entry.zone == home.zone,
            (RetrySafety::Keyed { scope: Scope::Cell, .. }, Some(home)) => node.entry.cell == home.cell,
            _ => true,
        };
        let waits = |node: &Node| {
            node.is_ejected(now) || attempts.iter().any(|attempt| attempt.0.id == node.entry.id)
        };
        let node = self.nodes.get(&chosen).unwrap_or_else(|| panic!("{chosen} is not on the list"));
        assert_eq!(node.entry.lifecycle, Lifecycle::Ready, "{chosen} takes nothing new");
        assert!(may_have(node), "{chosen} would run a repeat of {request} again");
        if node.is_cold(now) {
            return;
        }
        let warm: Vec<&Node> = self
            .nodes
            .values()
            .filter(|node| node.entry.lifecycle == Lifecycle::Ready && !node.is_cold(now))
            .collect();
        let better: Vec<&&Node> = warm.iter().filter(|node| may_have(node) && !waits(node)).collect();
        assert!(!waits(node) || better.is_empty(), "{chosen} is ejected or was tried, and others will do");
        if waits(node) {
            return;
        }
        self.check_wait(node, &warm, &better);
    }

    /// The chosen server makes wait hardly longer than the best, or than a sample allows.
    fn check_wait(&self, node: &Node, warm: &[&Node], better: &[&&Node]) {
        let (now, mean, chosen) = (self.now, self.mean, node.entry.id);
        let wait = node.wait(now, mean);
        let total: f64 = warm.iter().map(|node| node.size()).sum();
        // A tenth is the random part; the sums of sizes are rounded.
        let least = better.iter().map(|node| node.wait(now, mean)).fold(f64::INFINITY, f64::min);
        if warm.len() <= 32 {
            assert!(wait <= least * 1.1 + 1e-6, "{chosen} makes wait {wait}, the least is {least}");
        } else if wait > warm.len() as f64 / total * (1.0 + 1e-6) {
            let shorter = better.iter().filter(|other| other.wait(now, mean) * 1.1 < wait);
            let part = shorter.map(|node| node.size()).sum::<f64>() / total;
            assert!(part < WORSE, "{chosen} makes wait {wait}, {part} of the fleet less");
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Submit(u8),
    End(usize, Outcome, u16),
    Pass(u16),
    Change(Vec<(u32, u8)>),
    List(u8),
}

const SIZES: [f64; 6] = [0.0, 0.1, 1.0, 1.0, 10.0, 10_000.0];

fn entry(id: u32, kind: u8, now: Millis) -> ServerEntry {
    ServerEntry {
        id,
        zone: (id % 3 % 2) as u16,
        cell: (id % 5) as u16,
        capacity: SIZES[usize::from(kind) / 16 % SIZES.len()],
        lifecycle: [Lifecycle::Ready, Lifecycle::Ready, Lifecycle::Draining, Lifecycle::Removed]
            [usize::from(kind) % 4],
        launched_at: (kind % 8 >= 5).then_some(now),
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcome = prop_oneof![
        6 => Just(Outcome::Ok),
        1 => Just(Outcome::Error),
        1 => Just(Outcome::Overloaded),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::NoConnection),
    ];
    let step = prop_oneof![
        8 => (1u8..12).prop_map(Step::Submit),
        8 => (any::<usize>(), outcome, 1u16..400).prop_map(|(which, outcome, time)| Step::End(which, outcome, time)),
        4 => (0u16..300).prop_map(Step::Pass),
        1 => prop::collection::vec((0u32..400, any::<u8>()), 1..20).prop_map(Step::Change),
        1 => any::<u8>().prop_map(Step::List),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #[test]
    fn choices_keep_the_invariants_and_the_bound_on_the_expected_wait(
        nodes in prop_oneof![1u32..8, 8u32..40, 40u32..400],
        seed in any::<u64>(),
        repeats in 0u8..3,
        steps in steps(),
    ) {
        let scope = if repeats == 1 { Scope::Zone } else { Scope::Cell };
        let retry_safety = if repeats == 0 { RetrySafety::Idempotent } else { RetrySafety::Keyed { scope, window: 10_000.0 } };
        let mut model = Model::new(seed, retry_safety);
        let warm = |id| ServerEntry { lifecycle: Lifecycle::Ready, launched_at: None, ..entry(id, (id * 16) as u8, 0.0) };
        model.list(ListKind::Full, (0..nodes).map(warm).collect());
        for step in steps {
            match step {
                Step::Submit(times) => (0..times).for_each(|_| model.submit()),
                Step::End(which, outcome, time) => model.end(which, outcome, f64::from(time)),
                Step::Pass(time) => model.now += f64::from(time),
                Step::Change(changes) => {
                    let now = model.now;
                    let changed: BTreeMap<u32, ServerEntry> =
                        changes.into_iter().map(|(id, kind)| (id % nodes, entry(id % nodes, kind, now))).collect();
                    model.list(ListKind::Delta, changed.into_values().collect());
                }
                Step::List(left) => {
                    let left = (0..nodes).filter(|id| id % 256 != u32::from(left)).map(warm);
                    model.list(ListKind::Full, left.collect());
                }
            }
        }
    }
}

/// Keeps the property from holding for want of choices.
#[test]
fn the_model_covers_choices_in_large_busy_fleets() {
    let mut model = Model::new(3, RetrySafety::Idempotent);
    let line = |id| ServerEntry { lifecycle: Lifecycle::Ready, launched_at: None, ..entry(id, 32, 0.0) };
    model.list(ListKind::Full, (0..200).map(line).collect());
    for number in 0..4000 {
        model.submit();
        if number > 300 {
            model.end(number, Outcome::Ok, 40.0);
        }
        model.now += 2.0;
    }
    assert!(model.sends > 3000, "{} of 4,000 were sent on", model.sends);
}
