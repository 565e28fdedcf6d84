//! Model test of load balancing: compares each choice with an exhaustive search, over random fleets and
//! histories.
//!
//! The model implements the intended rules in a simple way: which servers are ready, warm, ejected or were
//! tried, and the expected wait at each. `PROPTEST_CASES=10000` runs more cases than the default.

use brassport_policy::{
    Action, AttemptEnd, Class, Event, Gateway, Lifecycle, ListKind, Millis, Outcome, Plan, Request,
    RetrySafety, Scope, ServerEntry, ServerId, Settings,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LATENCY_TARGET: Millis = 500.0;
const WARM_UP_DURATION: Millis = 3000.0;
/// Maximum fraction of the fleet's capacity at servers that are better than the chosen one. In a fleet of
/// more than 32 servers, 24 are sampled by capacity; all samples are worse than half of the capacity once in
/// 16 million choices.
const MAX_BETTER_FRACTION: f64 = 0.5;

#[derive(Debug, Clone)]
struct ModelServer {
    entry: ServerEntry,
    in_flight: Vec<Millis>,
    latency_ratio: f64,
    updated_at: Millis,
    responded_at: Millis,
    failures: u32,
    ejected_until: Millis,
}

impl ModelServer {
    fn capacity(&self) -> f64 {
        if self.entry.capacity > 0.0 {
            self.entry.capacity
        } else {
            1.0
        }
    }

    fn latency_ratio(&self, now: Millis, mean: Millis) -> f64 {
        1.0 + (self.latency_ratio - 1.0) * (-(now - self.updated_at) / (20.0 * mean.max(1.0))).exp()
    }

    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until || self.failures >= 3 && !self.in_flight.is_empty()
    }

    fn is_warming_up(&self, now: Millis) -> bool {
        self.entry.launched_at.is_some_and(|at| now < at + WARM_UP_DURATION)
    }

    fn record_outcome(&mut self, now: Millis, mean: Millis, outcome: Outcome, elapsed: Millis) {
        (self.latency_ratio, self.updated_at) = (self.latency_ratio(now, mean), now);
        let sample = if outcome == Outcome::Ok { (elapsed / mean.max(1.0)).min(8.0) } else { 8.0 };
        self.latency_ratio += 0.1 * (sample - self.latency_ratio);
        if outcome == Outcome::Ok {
            (self.failures, self.ejected_until) = (0, 0.0);
        } else {
            self.failures += 1;
        }
        if matches!(outcome, Outcome::Ok | Outcome::Overloaded | Outcome::Error) {
            self.responded_at = now;
        }
        if self.failures >= 3 {
            let doublings = (self.failures - 3).min(4);
            self.ejected_until = now + 3.0 * mean.max(1.0) * f64::from(1u32 << doublings);
        }
    }

    /// The expected wait, without the random tie break.
    fn wait(&self, now: Millis, mean: Millis) -> f64 {
        let silence = self
            .in_flight
            .first()
            .map_or(0.0, |oldest| (now - oldest.max(self.responded_at)) / mean.max(1.0));
        let latency_ratio = self.latency_ratio(now, mean).max(silence / 2.0).max(0.2);
        let zone_factor = if self.entry.zone == 0 { 1.0 } else { 1.1 };
        (self.in_flight.len() as f64 + 1.0) * latency_ratio * zone_factor / self.capacity()
    }
}

/// The model, and the gateway that is compared with it.
struct Model {
    gateway: Gateway,
    retry_safety: RetrySafety,
    now: Millis,
    servers: BTreeMap<ServerId, ModelServer>,
    /// Mean response time.
    mean: Millis,
    /// Attempts of each request: server, send time, whether it is in flight, and whether it may have run.
    open: BTreeMap<u64, Vec<(ServerEntry, Millis, bool, bool)>>,
    last_id: u64,
    sends: u32,
}

impl Model {
    fn new(seed: u64, retry_safety: RetrySafety) -> Model {
        let settings = Settings {
            classes: vec![Class {
                value: 1.0,
                latency_target: LATENCY_TARGET,
                deadline: 2000.0,
                late_value_fraction: 0.0,
                retry_safety,
            }],
            plans: vec![Plan::default()],
            max_attempts: 4,
            warm_up_start_fraction: 0.3,
            warm_up_duration: WARM_UP_DURATION,
            collapse_load: 2.0,
            collapse_after: 3000.0,
            max_retry_after: 500.0,
            ..Settings::default()
        };
        let gateway = Gateway::new(settings, seed, 0.0).expect("the settings are valid");
        let (servers, open) = (BTreeMap::new(), BTreeMap::new());
        Model {
            gateway,
            retry_safety,
            now: 0.0,
            servers,
            mean: LATENCY_TARGET / 6.0,
            open,
            last_id: 0,
            sends: 0,
        }
    }

    fn apply_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        if kind == ListKind::Full {
            self.servers.values_mut().for_each(|server| server.entry.lifecycle = Lifecycle::Removed);
        }
        for &entry in &entries {
            let now = self.now;
            let server = self.servers.entry(entry.id).or_insert_with(|| ModelServer {
                entry,
                in_flight: Vec::new(),
                latency_ratio: 1.0,
                updated_at: now,
                responded_at: now,
                failures: 0,
                ejected_until: 0.0,
            });
            if entry.launched_at.is_some() && entry.launched_at != server.entry.launched_at {
                (server.failures, server.ejected_until, server.latency_ratio) = (0, 0.0, 1.0);
            }
            server.entry = entry;
        }
        self.servers
            .retain(|_, server| server.entry.lifecycle != Lifecycle::Removed || !server.in_flight.is_empty());
        self.handle(Event::Servers { kind, entries });
    }

    fn submit(&mut self) {
        self.last_id += 1;
        let request = Request {
            id: self.last_id,
            customer: 1,
            plan: 0,
            class: 0,
            units: 1.0,
            customer_gateways: 1,
            first_gateway: 0,
            expires_in: 2000.0,
            is_client_retry: false,
        };
        self.handle(Event::Request(request));
    }

    fn end(&mut self, which: usize, outcome: Outcome, elapsed: Millis) {
        let in_flight: Vec<(u64, usize)> = self
            .open
            .iter()
            .flat_map(|(&id, attempts)| attempts.iter().enumerate().map(move |(n, a)| (id, n, a.2)))
            .filter_map(|(id, n, in_flight)| in_flight.then_some((id, n)))
            .collect();
        let Some(&(request, attempt)) = in_flight.get(which % in_flight.len().max(1)) else { return };
        let state = &mut self.open.get_mut(&request).expect("the request is open")[attempt];
        (state.2, state.3) = (false, !outcome.never_ran());
        let (entry, sent, ..) = *state;
        let (now, mean) = (self.now, self.mean);
        if let Some(server) = self.servers.get_mut(&entry.id) {
            let index = server.in_flight.iter().position(|at| *at == sent).expect("the send was recorded");
            server.in_flight.remove(index);
            if server.in_flight.is_empty() && server.entry.lifecycle == Lifecycle::Removed {
                self.servers.remove(&entry.id);
            } else {
                server.record_outcome(now, mean, outcome, elapsed);
            }
        }
        if outcome == Outcome::Ok {
            self.mean += 0.02 * (elapsed - self.mean);
        }
        let finished = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: attempt as u8, outcome, elapsed, finished, used: None };
        self.handle(Event::AttemptEnd(end));
    }

    /// Passes an event to the gateway, and checks its sends against the model.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Send { request, server, .. } = action {
                self.check(request, server);
                let server = self.servers.get_mut(&server).expect("the server is in the list");
                server.in_flight.push(self.now);
                let entry = server.entry;
                self.open.entry(request).or_default().push((entry, self.now, true, true));
                self.sends += 1;
            }
        }
    }

    fn check(&self, request: u64, chosen: ServerId) {
        let now = self.now;
        let attempts = self.open.get(&request).map_or(&[][..], Vec::as_slice);
        assert!(attempts.iter().all(|attempt| !attempt.2), "request {request} has two attempts in flight");
        let ran_at = attempts.iter().find(|attempt| attempt.3).map(|attempt| attempt.0);
        let may_serve = |server: &ModelServer| match (self.retry_safety, ran_at) {
            (RetrySafety::Keyed { scope: Scope::Zone, .. }, Some(ran_at)) => server.entry.zone == ran_at.zone,
            (RetrySafety::Keyed { scope: Scope::Cell, .. }, Some(ran_at)) => server.entry.cell == ran_at.cell,
            _ => true,
        };
        let is_avoided = |server: &ModelServer| {
            server.is_ejected(now) || attempts.iter().any(|attempt| attempt.0.id == server.entry.id)
        };
        let server =
            self.servers.get(&chosen).unwrap_or_else(|| panic!("server {chosen} is not in the list"));
        assert_eq!(server.entry.lifecycle, Lifecycle::Ready, "server {chosen} is not ready");
        assert!(may_serve(server), "server {chosen} does not deduplicate request {request}");
        if server.is_warming_up(now) {
            return;
        }
        let warm: Vec<&ModelServer> = self
            .servers
            .values()
            .filter(|server| server.entry.lifecycle == Lifecycle::Ready && !server.is_warming_up(now))
            .collect();
        let better: Vec<&&ModelServer> =
            warm.iter().filter(|server| may_serve(server) && !is_avoided(server)).collect();
        assert!(
            !is_avoided(server) || better.is_empty(),
            "server {chosen} is ejected or was tried, and others are not"
        );
        if is_avoided(server) {
            return;
        }
        self.check_wait(server, &warm, &better);
    }

    /// Checks that the chosen server's expected wait is near the minimum, or within the bound for sampling.
    fn check_wait(&self, server: &ModelServer, warm: &[&ModelServer], better: &[&&ModelServer]) {
        let (now, mean, chosen) = (self.now, self.mean, server.entry.id);
        let wait = server.wait(now, mean);
        let total: f64 = warm.iter().map(|server| server.capacity()).sum();
        // The tie break adds up to a tenth; the capacity sums have rounding errors.
        let least = better.iter().map(|server| server.wait(now, mean)).fold(f64::INFINITY, f64::min);
        if warm.len() <= 32 {
            assert!(
                wait <= least * 1.1 + 1e-6,
                "server {chosen} has expected wait {wait}, the minimum is {least}"
            );
        } else if wait > warm.len() as f64 / total * (1.0 + 1e-6) {
            let shorter = better.iter().filter(|other| other.wait(now, mean) * 1.1 < wait);
            let better_fraction = shorter.map(|server| server.capacity()).sum::<f64>() / total;
            assert!(
                better_fraction < MAX_BETTER_FRACTION,
                "{chosen} has expected wait {wait}, {better_fraction} of the fleet has less"
            );
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Submit(u8),
    End(usize, Outcome, u16),
    Wait(u16),
    Change(Vec<(u32, u8)>),
    List(u8),
}

const CAPACITIES: [f64; 6] = [0.0, 0.1, 1.0, 1.0, 10.0, 10_000.0];

fn entry(id: u32, kind: u8, now: Millis) -> ServerEntry {
    ServerEntry {
        id,
        zone: (id % 3 % 2) as u16,
        cell: (id % 5) as u16,
        capacity: CAPACITIES[usize::from(kind) / 16 % CAPACITIES.len()],
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
        4 => (0u16..300).prop_map(Step::Wait),
        1 => prop::collection::vec((0u32..400, any::<u8>()), 1..20).prop_map(Step::Change),
        1 => any::<u8>().prop_map(Step::List),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #[test]
    fn choices_keep_the_invariants_and_the_bound_on_the_expected_wait(
        servers in prop_oneof![1u32..8, 8u32..40, 40u32..400],
        seed in any::<u64>(),
        repeats in 0u8..3,
        steps in steps(),
    ) {
        let scope = if repeats == 1 { Scope::Zone } else { Scope::Cell };
        let retry_safety = if repeats == 0 { RetrySafety::Idempotent } else { RetrySafety::Keyed { scope, window: 10_000.0 } };
        let mut model = Model::new(seed, retry_safety);
        let warm = |id| ServerEntry { lifecycle: Lifecycle::Ready, launched_at: None, ..entry(id, (id * 16) as u8, 0.0) };
        model.apply_list(ListKind::Full, (0..servers).map(warm).collect());
        for step in steps {
            match step {
                Step::Submit(times) => (0..times).for_each(|_| model.submit()),
                Step::End(which, outcome, time) => model.end(which, outcome, f64::from(time)),
                Step::Wait(time) => model.now += f64::from(time),
                Step::Change(changes) => {
                    let now = model.now;
                    let changed: BTreeMap<u32, ServerEntry> =
                        changes.into_iter().map(|(id, kind)| (id % servers, entry(id % servers, kind, now))).collect();
                    model.apply_list(ListKind::Delta, changed.into_values().collect());
                }
                Step::List(left) => {
                    let left = (0..servers).filter(|id| id % 256 != u32::from(left)).map(warm);
                    model.apply_list(ListKind::Full, left.collect());
                }
            }
        }
    }
}

/// Guards against a property test that passes because hardly any choice is made.
#[test]
fn the_model_covers_choices_in_large_busy_fleets() {
    let mut model = Model::new(3, RetrySafety::Idempotent);
    let warm = |id| ServerEntry { lifecycle: Lifecycle::Ready, launched_at: None, ..entry(id, 32, 0.0) };
    model.apply_list(ListKind::Full, (0..200).map(warm).collect());
    for number in 0..4000 {
        model.submit();
        if number > 300 {
            model.end(number, Outcome::Ok, 40.0);
        }
        model.now += 2.0;
    }
    assert!(model.sends > 3000, "{} of 4,000 were sent", model.sends);
}
