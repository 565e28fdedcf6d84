//! Invariants of the gateway for generated sequences of events, with a fixed seed.

use crate::common::{sends, server, settings, Host};
use brassport_policy::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
enum Step {
    Submit { customer: u64, plan: usize, class: usize, units: f64, expires_in: f64 },
    End { pick: usize, outcome: usize, used: Option<f64> },
    Disconnect { pick: usize },
    List { kind: ListKind, servers: Vec<(ServerId, Lifecycle)> },
    Wait { time: f64 },
    Invalid { id: u64, attempt: u8, token: u64 },
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let used = prop_oneof![Just(None), Just(Some(f64::NAN)), (0.0..8.0).prop_map(Some)];
    let kinds = prop_oneof![
        Just(ListKind::Delta),
        Just(ListKind::Full),
        Just(ListKind::Cached),
        Just(ListKind::Failed)
    ];
    let state = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Removed)];
    let submit = (0..4u64, 0..5usize, 0..4usize, 0.0..2.0, prop_oneof![Just(4000.0), 0.0..4000.0]).prop_map(
        |(customer, plan, class, units, expires_in)| Step::Submit {
            customer,
            plan,
            class,
            units,
            expires_in,
        },
    );
    let step = prop_oneof![
        6 => submit,
        5 => (any::<usize>(), 0..OUTCOMES.len(), used).prop_map(|(pick, outcome, used)| Step::End { pick, outcome, used }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        1 => (kinds, prop::collection::vec((1..6u32, state), 0..5))
            .prop_map(|(kind, servers)| Step::List { kind, servers }),
        4 => (0.0..400.0).prop_map(|time| Step::Wait { time }),
        1 => (0..50u64, any::<u8>(), any::<u64>()).prop_map(|(id, attempt, token)| Step::Invalid { id, attempt, token }),
    ];
    prop::collection::vec(step, 1..250)
}

/// State of one request, as the host knows it.
struct RequestState {
    plan: usize,
    class: usize,
    customer: u64,
    units: f64,
    deadline: f64,
    answers: u32,
    is_complete: bool,
    /// Send time, outcome and zone of each attempt.
    attempts: Vec<(f64, Option<Outcome>, u16)>,
}

/// A host that checks each action of the gateway.
struct CheckingHost {
    gateway: Gateway,
    settings: Settings,
    now: f64,
    requests: BTreeMap<u64, RequestState>,
    listed: BTreeMap<ServerId, Lifecycle>,
    timers: Vec<(f64, u64)>,
    in_flight: Vec<(u64, u8)>,
    /// Units sent by each customer with a hard rate limit.
    limited_units: BTreeMap<u64, f64>,
    trace: Vec<Action>,
}

impl CheckingHost {
    fn new(hedging: bool) -> CheckingHost {
        let settings = Settings { allow_hedging: hedging, ..settings() };
        let gateway = Gateway::new(settings.clone(), 3, 0.0).expect("the settings are valid");
        let mut host = CheckingHost {
            gateway,
            settings,
            now: 0.0,
            requests: BTreeMap::new(),
            listed: BTreeMap::new(),
            timers: Vec::new(),
            in_flight: Vec::new(),
            limited_units: BTreeMap::new(),
            trace: Vec::new(),
        };
        host.apply_list(
            ListKind::Full,
            &[(1, Lifecycle::Ready), (2, Lifecycle::Ready), (3, Lifecycle::Ready)],
        );
        host
    }

    fn apply_list(&mut self, kind: ListKind, servers: &[(ServerId, Lifecycle)]) {
        if kind != ListKind::Failed {
            if kind != ListKind::Delta {
                self.listed.values_mut().for_each(|state| *state = Lifecycle::Removed);
            }
            self.listed.extend(servers.iter().copied());
        }
        let entry = |&(id, lifecycle): &(ServerId, Lifecycle)| ServerEntry {
            zone: id as u16 % 2,
            lifecycle,
            ..server(id)
        };
        self.event(Event::Servers { kind, entries: servers.iter().map(entry).collect() });
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.trace.extend(actions);
    }

    fn check_send(&mut self, request: RequestId, server: ServerId) {
        assert_eq!(self.listed.get(&server), Some(&Lifecycle::Ready), "sent to a server that is not ready");
        let state = self.requests.get_mut(&request).expect("a known request");
        assert!(!state.is_complete, "sent after the final answer");
        assert!(state.attempts.len() < self.settings.max_attempts as usize, "too many attempts");
        let has_in_flight = state.attempts.iter().any(|attempt| attempt.1.is_none());
        assert!(self.settings.allow_hedging || !has_in_flight, "two attempts in flight");
        let ran = state.attempts.iter().find(|attempt| attempt.1.is_none_or(|end| !end.never_ran()));
        match (self.settings.classes[state.class].retry_safety, ran) {
            (RetrySafety::NonIdempotent, Some(_)) => panic!("a non-idempotent request was sent again"),
            (RetrySafety::Keyed { window, .. }, Some(ran)) => {
                assert!(
                    self.now <= ran.0 + window,
                    "a request with a key was sent again after its deduplication window"
                );
                assert_eq!(ran.2, server as u16 % 2, "a request with a key was sent to another zone");
            }
            _ => {}
        }
        let plan = self.settings.plans[state.plan];
        if state.attempts.is_empty() && plan.hard_limit_rate > 0.0 {
            let sent = self.limited_units.entry(state.customer).or_insert(0.0);
            *sent += state.units;
            let share = plan.hard_limit_rate / 2.0 * self.now / 1000.0;
            assert!(*sent <= share + 1e-6, "the share of the rate limit is exceeded: {sent} of {share}");
        }
        self.in_flight.push((request, state.attempts.len() as u8));
        state.attempts.push((self.now, None, server as u16 % 2));
    }

    fn check(&mut self, action: &Action) {
        match *action {
            Action::Send { request, server, .. } => self.check_send(request, server),
            Action::Reject { request, .. } => {
                let state = self.requests.get(&request).expect("a known request");
                let may_have_run =
                    state.attempts.iter().any(|attempt| attempt.1.is_none_or(|end| !end.never_ran()));
                let idempotent = self
                    .settings
                    .classes
                    .get(state.class)
                    .is_none_or(|class| class.retry_safety == RetrySafety::Idempotent);
                assert!(idempotent || !may_have_run, "a request that may have run was rejected");
                self.check_answer(request);
            }
            Action::Fail(request) => self.check_answer(request),
            Action::SetTimer { at, token } => {
                assert!(at.is_finite());
                self.timers.push((at, token));
            }
            Action::Cancel { request, attempt } => {
                assert!(usize::from(attempt) < self.requests[&request].attempts.len());
            }
            Action::WatchServers | Action::Log(_) => {}
        }
    }

    fn check_answer(&mut self, request: u64) {
        let state = self.requests.get_mut(&request).expect("a known request");
        state.answers += 1;
        assert!(!state.is_complete && state.answers == 1, "two final answers");
        state.is_complete = true;
    }

    fn wait(&mut self, until: f64) {
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= until);
            let Some((index, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, token) = self.timers.swap_remove(index);
            self.now = self.now.max(at);
            self.event(Event::Timer(token));
        }
        self.now = self.now.max(until);
        for (id, state) in &self.requests {
            assert!(
                state.is_complete || self.now <= state.deadline + self.settings.tick,
                "request {id} has no final answer"
            );
        }
    }

    fn end(&mut self, pick: usize, outcome: Outcome, used: Option<f64>) {
        let (request, attempt) = self.in_flight.swap_remove(pick % self.in_flight.len());
        let state = self.requests.get_mut(&request).expect("a known request");
        let sent = &mut state.attempts[usize::from(attempt)];
        sent.1 = Some(outcome);
        let elapsed = self.now - sent.0;
        if outcome == Outcome::Ok && !state.is_complete {
            state.is_complete = true;
        }
        let finished = state.is_complete;
        self.event(Event::AttemptEnd(AttemptEnd { request, attempt, outcome, elapsed, finished, used }));
    }

    /// Passes events that a correct host never sends.
    fn handle_invalid(&mut self, id: RequestId, attempt: u8, token: u64) {
        self.event(Event::Timer(token));
        if !self.in_flight.contains(&(id, attempt)) {
            let end = AttemptEnd {
                request: id,
                attempt,
                outcome: Outcome::Error,
                elapsed: f64::NAN,
                finished: false,
                used: Some(f64::INFINITY),
            };
            self.event(Event::AttemptEnd(end));
        }
    }

    fn submit(&mut self, step: &Step) {
        let Step::Submit { customer, plan, class, units, expires_in } = *step else { return };
        let id = self.requests.len() as u64 + 1;
        let deadline = self.now + expires_in;
        let attempts = Vec::new();
        let state =
            RequestState { plan, class, customer, units, deadline, answers: 0, is_complete: false, attempts };
        self.requests.insert(id, state);
        let is_client_retry = id % 3 == 0;
        let request = Request {
            id,
            customer,
            plan,
            class,
            units,
            customer_gateways: 2,
            first_gateway: 0,
            expires_in,
            is_client_retry,
        };
        self.event(Event::Request(request));
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit { .. } => self.submit(step),
            Step::End { pick, outcome, used } if !self.in_flight.is_empty() => {
                self.end(pick, OUTCOMES[outcome], used);
            }
            Step::Disconnect { pick } if !self.requests.is_empty() => {
                let id = (pick % self.requests.len()) as u64 + 1;
                if let Some(state) = self.requests.get_mut(&id) {
                    state.is_complete = true;
                }
                self.event(Event::ClientDisconnected(id));
            }
            Step::List { kind, ref servers } => self.apply_list(kind, servers),
            Step::Wait { time } => self.wait(self.now + time),
            Step::Invalid { id, attempt, token } => self.handle_invalid(id, attempt, token),
            Step::End { .. } | Step::Disconnect { .. } => {}
        }
    }
}

/// Runs the steps, and returns all actions.
fn run(steps: &[Step], hedging: bool) -> Vec<Action> {
    let mut host = CheckingHost::new(hedging);
    for step in steps {
        host.step(step);
    }
    host.wait(host.now + 5000.0);
    host.trace
}

#[test]
fn the_invariants_hold_for_any_sequence_of_events() {
    let config =
        Config { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = (steps(), any::<bool>());
    let result = runner.run(&strategy, |(steps, hedging)| {
        let trace = run(&steps, hedging);
        prop_assert_eq!(trace, run(&steps, hedging));
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn customers_servers_and_requests_are_forgotten() {
    let mut gateway = Gateway::new(settings(), 3, 0.0).expect("the settings are valid");
    let mut actions = Vec::new();
    let mut largest = 0;
    for n in 1..=60_000u32 {
        let now = f64::from(n) * 100.0;
        let entries = vec![server(n)];
        gateway.handle(now, Event::Servers { kind: ListKind::Full, entries }, &mut actions);
        let (id, customer) = (u64::from(n), u64::from(n));
        let request = Request {
            id,
            customer,
            plan: 0,
            class: 0,
            units: 1.0,
            customer_gateways: 2,
            first_gateway: 0,
            expires_in: 4000.0,
            is_client_retry: false,
        };
        gateway.handle(now, Event::Request(request), &mut actions);
        let end = AttemptEnd {
            request: id,
            attempt: 0,
            outcome: Outcome::Ok,
            elapsed: 9.0,
            finished: true,
            used: None,
        };
        gateway.handle(now, Event::AttemptEnd(end), &mut actions);
        actions.clear();
        if n % 10_000 == 0 {
            let size = format!("{gateway:?}").len();
            assert!(
                n == 10_000 || size < largest * 11 / 10,
                "the state grows: {size} characters after {largest}"
            );
            largest = largest.max(size);
        }
    }
}

#[test]
fn memory_stays_bounded_with_a_long_uptime() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let size_after = |host: &mut Host, requests: usize| {
        for _ in 0..requests {
            host.now += 20.0;
            for plan in [0, 3] {
                let (id, actions) = host.submit(plan as u64, plan, 0);
                if !sends(&actions).is_empty() {
                    host.end(id, 0, Outcome::Ok, Some(0.5));
                }
            }
        }
        format!("{:?}", host.gateway).len()
    };
    let early = size_after(&mut host, 2000);
    let late = size_after(&mut host, 20_000);
    assert!(late < early * 3 / 2, "{early} characters of state grew to {late}");
}
