//! A host for the tests: passes events to a gateway and records the actions.
#![allow(dead_code)]

pub mod instance;

use brassport_policy::*;

/// A host of one gateway, with a simulated clock.
pub struct Host {
    pub gateway: Gateway,
    pub now: Millis,
    /// All actions so far, without the timers that expired.
    pub actions: Vec<Action>,
    next_id: RequestId,
    /// Number of gateways through which the customers' requests come.
    pub customer_gateways: u32,
}

/// Indexes 0 to 3: with a quota, with a quota and a hard limit, with a limit on attempts in flight, without
/// limits.
fn plans() -> Vec<Plan> {
    vec![
        Plan { rate: 10.0, burst: 20.0, value_factor: 1.0, over_quota_cost_fraction: 1.0, ..Plan::default() },
        Plan {
            rate: 10.0,
            burst: 20.0,
            value_factor: 1.0,
            hard_limit_rate: 20.0,
            hard_limit_burst: 40.0,
            hard_limit_slack: 4.0,
            ..Plan::default()
        },
        Plan { rate: 1000.0, burst: 2000.0, value_factor: 1.0, max_in_flight: 2, ..Plan::default() },
        Plan { value_factor: 1.0, ..Plan::default() },
    ]
}

/// Two gateways. Classes 0 to 2: idempotent, non-idempotent, and with an idempotency key. Plans: see
/// [`plans`].
pub fn settings() -> Settings {
    let class = |value, retry_safety| Class {
        value,
        latency_target: 1000.0,
        deadline: 4000.0,
        late_value_fraction: 0.0,
        retry_safety,
    };
    Settings {
        gateways: 2,
        classes: vec![
            class(3.0, RetrySafety::Idempotent),
            class(1.0, RetrySafety::NonIdempotent),
            class(2.0, RetrySafety::Keyed { scope: Scope::Zone, window: 1500.0 }),
        ],
        plans: plans(),
        meter_period: 500.0,
        max_attempts: 4,
        allow_cancel: true,
        max_retry_after: 500.0,
        drain_grace: 500.0,
        warm_up_start_fraction: 0.25,
        warm_up_duration: 10_000.0,
        collapse_load: 2.0,
        collapse_after: 3000.0,
        tick: 4.0,
        ..Settings::default()
    }
}

/// A ready, warm server.
pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, capacity: 1.0, lifecycle: Lifecycle::Ready, launched_at: None }
}

impl Host {
    pub fn new(settings: Settings, servers: &[ServerEntry]) -> Host {
        Host::with_seed(settings, servers, 7)
    }

    /// A host whose gateway draws from this seed.
    pub fn with_seed(settings: Settings, servers: &[ServerEntry], seed: u64) -> Host {
        let gateway = Gateway::new(settings, seed, 0.0).expect("the settings are valid");
        let mut host = Host { gateway, now: 0.0, actions: Vec::new(), next_id: 1, customer_gateways: 2 };
        host.event(Event::Servers { kind: ListKind::Full, entries: servers.to_vec() });
        host
    }

    /// Passes one event to the gateway, and returns the resulting actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub fn submit(&mut self, customer: CustomerId, plan: usize, class: usize) -> (RequestId, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1;
        (id, self.request(customer, plan, class, 4000.0, false, id))
    }

    /// Submits a client's retry whose client waits for another `expires_in` milliseconds.
    pub fn submit_retry(&mut self, customer: CustomerId, class: usize, expires_in: Millis) -> Vec<Action> {
        let id = self.next_id;
        self.next_id += 1;
        self.request(customer, 0, class, expires_in, true, id)
    }

    fn request(
        &mut self,
        customer: CustomerId,
        plan: usize,
        class: usize,
        expires_in: Millis,
        is_client_retry: bool,
        id: RequestId,
    ) -> Vec<Action> {
        let request = Request {
            id,
            customer,
            plan,
            class,
            units: 1.0,
            customer_gateways: self.customer_gateways,
            first_gateway: 0,
            expires_in,
            is_client_retry,
        };
        self.event(Event::Request(request))
    }

    pub fn end(
        &mut self,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        used: Option<f64>,
    ) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        self.event(Event::AttemptEnd(AttemptEnd { request, attempt, outcome, elapsed: 50.0, finished, used }))
    }

    /// Expires all timers that are due by `until`, in order, and advances the clock to `until`.
    pub fn run_timers(&mut self, until: Millis) -> Vec<Action> {
        let mut all = Vec::new();
        loop {
            let due = self
                .actions
                .iter()
                .enumerate()
                .filter_map(|(i, action)| match action {
                    Action::SetTimer { at, token } if *at <= until => Some((i, *at, *token)),
                    _ => None,
                })
                .min_by(|a, b| a.1.total_cmp(&b.1));
            let Some((index, at, token)) = due else { break };
            self.actions.remove(index);
            self.now = self.now.max(at);
            all.extend(self.event(Event::Timer(token)));
        }
        self.now = self.now.max(until);
        all
    }
}

/// The servers that requests are sent to.
pub fn sends(actions: &[Action]) -> Vec<ServerId> {
    let target = |action: &Action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(target).collect()
}

/// Whether a request is rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether a request fails.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
