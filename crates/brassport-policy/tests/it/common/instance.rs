//! A gateway for tests of the choice of a server.

use brassport_policy::*;

pub const COLD_FOR: Millis = 10_000.0;
pub const COLD_FROM: f64 = 0.3;

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
        warm_up_start_fraction: COLD_FROM,
        warm_up_duration: COLD_FOR,
        collapse_load: 2.0,
        collapse_after: 3000.0,
        max_retry_after: 500.0,
        ..Settings::default()
    }
}

pub fn line(id: ServerId) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, capacity: 1.0, lifecycle: Lifecycle::Ready, launched_at: None }
}

/// A gateway with a class and a plan without a quota, and how many requests were submitted to it.
pub struct Instance {
    pub gateway: Gateway,
    next: u64,
    pub actions: Vec<Action>,
}

impl Instance {
    pub fn new(seed: u64, entries: Vec<ServerEntry>) -> Instance {
        Instance::of(settings(), seed, entries)
    }

    pub fn of(settings: Settings, seed: u64, entries: Vec<ServerEntry>) -> Instance {
        let gateway = Gateway::new(settings, seed, 0.0).expect("the settings make sense");
        let mut instance = Instance { gateway, next: 0, actions: Vec::new() };
        instance.list(0.0, ListKind::Full, entries);
        instance
    }

    pub fn list(&mut self, now: Millis, kind: ListKind, entries: Vec<ServerEntry>) {
        self.gateway.handle(now, Event::Servers { kind, entries }, &mut self.actions);
        self.actions.clear();
    }

    /// Where a new request goes; `None` if it is refused.
    pub fn submit(&mut self, now: Millis) -> Option<(u64, ServerId)> {
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
        self.gateway.handle(now, Event::Request(request), &mut self.actions);
        let sent = self.actions.drain(..).find_map(|action| match action {
            Action::Send { request, server, .. } => Some((request, server)),
            _ => None,
        });
        sent
    }

    pub fn end(&mut self, now: Millis, request: u64, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: 0, outcome, elapsed: 20.0, finished, used: None };
        self.gateway.handle(now, Event::AttemptEnd(end), &mut self.actions);
        self.actions.drain(..).collect()
    }
}
