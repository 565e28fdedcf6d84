//! A gateway for tests of load balancing.

use brassport_policy::*;

/// Duration of a warm-up.
pub const WARM_UP_DURATION: Millis = 10_000.0;
/// Fraction of its capacity that a server has at the start of its warm-up.
pub const WARM_UP_START_FRACTION: f64 = 0.3;

pub fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            value: 1.0,
            latency_target: 500.0,
            deadline: 2000.0,
            late_value_fraction: 0.0,
            retry_safety: RetrySafety::Idempotent,
        }],
        plans: vec![Plan::default()],
        max_attempts: 3,
        warm_up_start_fraction: WARM_UP_START_FRACTION,
        warm_up_duration: WARM_UP_DURATION,
        collapse_load: 2.0,
        collapse_after: 3000.0,
        max_retry_after: 500.0,
        ..Settings::default()
    }
}

/// A ready, warm server.
pub fn server(id: ServerId) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, capacity: 1.0, lifecycle: Lifecycle::Ready, launched_at: None }
}

/// A gateway with one class, and one plan without a quota.
pub struct Instance {
    pub gateway: Gateway,
    last_id: u64,
    pub actions: Vec<Action>,
}

impl Instance {
    pub fn new(seed: u64, entries: Vec<ServerEntry>) -> Instance {
        Instance::with_settings(settings(), seed, entries)
    }

    pub fn with_settings(settings: Settings, seed: u64, entries: Vec<ServerEntry>) -> Instance {
        let gateway = Gateway::new(settings, seed, 0.0).expect("the settings are valid");
        let mut instance = Instance { gateway, last_id: 0, actions: Vec::new() };
        instance.apply_list(0.0, ListKind::Full, entries);
        instance
    }

    pub fn apply_list(&mut self, now: Millis, kind: ListKind, entries: Vec<ServerEntry>) {
        self.gateway.handle(now, Event::Servers { kind, entries }, &mut self.actions);
        self.actions.clear();
    }

    /// Submits a new request. Returns it with the server that it is sent to; `None` if it is rejected.
    pub fn submit(&mut self, now: Millis) -> Option<(u64, ServerId)> {
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
        self.gateway.handle(now, Event::Request(request), &mut self.actions);
        let sent = self.actions.drain(..).find_map(|action| match action {
            Action::Send { request, server, .. } => Some((request, server)),
            _ => None,
        });
        sent
    }

    /// Ends the first attempt of a request, 20 ms after its send. Returns the resulting actions.
    pub fn end(&mut self, now: Millis, request: u64, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: 0, outcome, elapsed: 20.0, finished, used: None };
        self.gateway.handle(now, Event::AttemptEnd(end), &mut self.actions);
        self.actions.drain(..).collect()
    }
}
