//! The policy's settings of one service, derived from the operator's configuration.

use brassport_config_store::configuration::{Configuration, Idempotency, Route, Tenant};
use brassport_policy::{Class, Plan, RetrySafety, Settings, Tuning};
use std::collections::HashMap;

/// The longest slow start of a backend, in milliseconds; it begins at half of the capacity.
pub const MAX_SLOW_START_MS: f64 = 3_000.0;
const SLOW_START_FROM: f64 = 0.5;
/// Longest advice on waiting, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 1_000.0;
/// Value of a class of the highest rank; each rank below has half of the one above.
const HIGHEST_VALUE: f64 = 16.0;
/// Part of the value that a response behind the latency target still has.
const LATE_VALUE: f64 = 0.5;
/// Ranks below this one are all alike: halving that often leaves nothing to tell apart.
const LOWEST_RANK: u32 = 20;

/// A backend of another zone weighs so many times its wait: bytes between zones cost, and take time.
const CROSS_ZONE_WEIGHT: f64 = 3.0;
/// A request may take about its latency target on an idle backend: only what took longer tells of a queue.
const LATE_RESPONSE: f64 = 0.9;
/// Part of what the quotas admit that a node has room for at its start: it can tell how many nodes there are.
const INITIAL_CAPACITY: f64 = 0.85;
/// The gateway's classes cost one unit each, and tip over as the policy's documentation advises.
const UNITS: f64 = 1.0;
const TIP_MULTIPLE: f64 = 2.0;
const TIP_AFTER_MS: f64 = 1_000.0;
const TICK_MS: f64 = 1.0;

/// A priority that halves with each rank.
fn priority(rank: u32) -> f64 {
    0.5_f64.powi(rank.min(LOWEST_RANK) as i32)
}

/// What makes requests alike for the policy.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClassKey {
    idempotency: Idempotency,
    latency_target_ms: f64,
    timeout_ms: f64,
    rank: u32,
}

impl ClassKey {
    fn of(route: &Route) -> ClassKey {
        ClassKey {
            idempotency: route.idempotency,
            latency_target_ms: route.latency_target_s * 1000.0,
            timeout_ms: route.timeout_s * 1000.0,
            rank: route.rank,
        }
    }

    fn class(&self) -> Class {
        Class {
            value: HIGHEST_VALUE * priority(self.rank),
            latency_target: self.latency_target_ms,
            deadline: self.timeout_ms.max(self.latency_target_ms),
            late_value_fraction: LATE_VALUE,
            retry_safety: match self.idempotency {
                Idempotency::Safe => RetrySafety::Idempotent,
                Idempotency::Unsafe => RetrySafety::NonIdempotent,
            },
        }
    }
}

/// The classes of a service's requests. An index stays the same over all configurations of the process, as the policy
/// has requests of it in flight.
#[derive(Debug, Default)]
struct ClassTable(Vec<ClassKey>);

impl ClassTable {
    fn index(&self, route: &Route) -> Option<usize> {
        let key = ClassKey::of(route);
        self.0.iter().position(|class| *class == key)
    }

    fn add(&mut self, route: &Route) {
        if self.index(route).is_none() {
            self.0.push(ClassKey::of(route));
        }
    }
}

/// The plans of tenants by index, which stays the same as a class's does; 0 is that of requests without a tenant.
#[derive(Debug)]
struct PlanTable {
    indexes: HashMap<String, usize>,
    plans: Vec<Plan>,
}

impl Default for PlanTable {
    fn default() -> PlanTable {
        let no_tenant = Plan { value_factor: 1.0, ..Plan::default() };
        PlanTable { indexes: HashMap::new(), plans: vec![no_tenant] }
    }
}

impl PlanTable {
    /// A tenant that is removed keeps its index: none of its requests is authenticated any more.
    fn set(&mut self, tenant: &Tenant) {
        let index = *self.indexes.entry(tenant.name.clone()).or_insert(self.plans.len());
        self.plans.resize(self.plans.len().max(index + 1), Plan::default());
        self.plans[index] = Plan {
            rate: tenant.rate_per_s,
            // The policy requires a burst where there is a rate.
            burst: tenant.burst.max(1.0),
            value_factor: priority(tenant.rank),
            ..Plan::default()
        };
    }
}

/// What the settings take from the node.
#[derive(Debug, Clone, Copy)]
pub struct NodeContext {
    /// Nodes of the cluster.
    pub nodes: u32,
    /// Which of them this is, from 0 on.
    pub ordinal: u32,
    /// The index of its zone.
    pub zone: u16,
    /// How soon requests to a draining backend must stop, in milliseconds.
    pub drain_ms: f64,
    /// This node's part of the retry budget: retries for each request, and how many may be saved up. Together the nodes
    /// keep the budget without a message from one to another.
    pub retry_share: f64,
    /// See `retry_share`.
    pub retries: f64,
}

/// The tables behind one service's settings.
#[derive(Debug, Default)]
pub struct PolicySettings {
    classes: ClassTable,
    plans: PlanTable,
}

impl PolicySettings {
    /// The settings of a service that follow from a configuration; the tables grow by what is new in it.
    pub fn derive(&mut self, service: &str, configuration: &Configuration, node: NodeContext) -> Settings {
        let routes = || configuration.routes.iter().filter(|route| has_target(route, service));
        routes().for_each(|route| self.classes.add(route));
        configuration.tenants.values().for_each(|tenant| self.plans.set(tenant));
        // The policy has one limit a service: the smallest of its routes, which none may exceed.
        let max_attempts = routes().map(|route| route.max_attempts).min().unwrap_or(1);
        Settings {
            gateways: node.nodes.max(1),
            ordinal: node.ordinal.min(node.nodes.max(1) - 1),
            zone: node.zone,
            classes: self.classes.0.iter().map(ClassKey::class).collect(),
            plans: self.plans.plans.clone(),
            max_units: UNITS,
            meter_period: brassport_quota::METER_PERIOD_MS as f64,
            max_attempts,
            allow_hedging: false,
            allow_cancel: true,
            max_retry_after: MAX_RETRY_AFTER_MS,
            drain_grace: node.drain_ms,
            warm_up_start_fraction: SLOW_START_FROM,
            warm_up_duration: MAX_SLOW_START_MS,
            collapse_load: TIP_MULTIPLE,
            collapse_after: TIP_AFTER_MS,
            tick: TICK_MS,
            list_on_request: false,
            tuning: tuning(node),
        }
    }

    /// The index of a route's class, if a configuration with it has been derived from.
    pub fn class(&self, route: &Route) -> Option<usize> {
        self.classes.index(route)
    }

    /// The index of a tenant's plan; that of requests without a tenant for an unknown one.
    pub fn plan(&self, tenant: &str) -> usize {
        self.plans.indexes.get(tenant).copied().unwrap_or(0)
    }
}

fn has_target(route: &Route, service: &str) -> bool {
    route.targets.iter().any(|(name, _)| name == service)
}

fn tuning(node: NodeContext) -> Tuning {
    Tuning {
        remote_zone_factor: CROSS_ZONE_WEIGHT,
        late_after_fraction: LATE_RESPONSE,
        initial_admitted_fraction: INITIAL_CAPACITY,
        retry_ratio: node.retry_share,
        max_retry_budget: node.retries,
        replaces_hung: true,
    }
}

/// The settings of a node that is shutting down: an attempt that a backend works at is completed, not replaced.
pub(crate) fn during_shutdown(settings: Settings) -> Settings {
    let tuning = Tuning { replaces_hung: false, ..settings.tuning };
    Settings { tuning, ..settings }
}
