//! Derives the policy settings of a service from the operator's configuration.

use brassport_config_store::configuration::{Configuration, Idempotency, Route, Tenant};
use brassport_policy::{Class, Plan, RetrySafety, Settings, Tuning};
use std::collections::HashMap;

/// Maximum duration of a backend's slow start, in milliseconds.
pub const MAX_SLOW_START_MS: f64 = 3_000.0;
/// The fraction of its capacity with which a backend begins slow start.
const SLOW_START_FRACTION: f64 = 0.5;
/// Maximum suggested retry delay.
const MAX_RETRY_AFTER_MS: f64 = 1_000.0;
/// The value of a request of the highest rank (0). The value halves with each further rank.
const HIGHEST_VALUE: f64 = 16.0;
/// The fraction of its value that a response after the latency target still has.
const LATE_VALUE_FRACTION: f64 = 0.5;
/// Ranks beyond this one are treated alike, as the difference between their values is negligible.
const LOWEST_RANK: u32 = 20;

/// The factor on the expected wait at backends of other zones, for the cost and the latency of traffic between zones.
const REMOTE_ZONE_FACTOR: f64 = 3.0;
/// The fraction of the latency target above which a response counts as late. Requests may take about their latency
/// target on an idle backend, so only a longer time indicates queueing.
const LATE_AFTER_FRACTION: f64 = 0.9;
/// The fraction of the quota-admitted load that a node accepts at its start. It can be high because the number of nodes
/// is available to each node when it starts.
const INITIAL_ADMITTED_FRACTION: f64 = 0.85;
/// The cost of a request in units, for all classes.
const UNITS_PER_REQUEST: f64 = 1.0;
/// The load, as a multiple of its current capacity, at which a backend in slow start collapses.
const COLLAPSE_LOAD: f64 = 2.0;
/// How long a backend in slow start withstands `COLLAPSE_LOAD` before it collapses.
const COLLAPSE_AFTER_MS: f64 = 1_000.0;
/// The interval between two calls of the policy by the dispatcher.
const TICK_MS: f64 = 1.0;

/// A factor that is 1 for rank 0 and halves with each further rank.
fn rank_factor(rank: u32) -> f64 {
    0.5_f64.powi(rank.min(LOWEST_RANK) as i32)
}

/// The properties of a route that determine its class in the policy.
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
            value: HIGHEST_VALUE * rank_factor(self.rank),
            latency_target: self.latency_target_ms,
            deadline: self.timeout_ms.max(self.latency_target_ms),
            late_value_fraction: LATE_VALUE_FRACTION,
            retry_safety: match self.idempotency {
                Idempotency::Safe => RetrySafety::Idempotent,
                Idempotency::Unsafe => RetrySafety::NonIdempotent,
            },
        }
    }
}

/// The classes of a service. The index of a class never changes during the life of the process, as the policy may have
/// requests of the class in flight.
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

/// The plans of tenants. Like for classes, the index of a plan never changes. Index 0 is the plan of requests without a
/// tenant.
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
    /// Adds or updates the plan of a tenant. Plans of removed tenants are kept but unused, as their requests are no
    /// longer authenticated.
    fn set(&mut self, tenant: &Tenant) {
        let index = *self.indexes.entry(tenant.name.clone()).or_insert(self.plans.len());
        self.plans.resize(self.plans.len().max(index + 1), Plan::default());
        self.plans[index] = Plan {
            rate: tenant.rate_per_s,
            // The policy requires a positive burst if there is a rate.
            burst: tenant.burst.max(1.0),
            value_factor: rank_factor(tenant.rank),
            ..Plan::default()
        };
    }
}

/// The properties of the node on which the settings depend.
#[derive(Debug, Clone, Copy)]
pub struct NodeContext {
    /// The number of nodes in the cluster.
    pub nodes: u32,
    /// The index of this node among all nodes, from 0.
    pub ordinal: u32,
    /// The index of the node's zone.
    pub zone: u16,
    /// The time in milliseconds within which the node must stop sending requests to a draining backend.
    pub drain_ms: f64,
    /// Retries per request in this node's share of the retry budget. With these shares, all nodes together stay within
    /// the budget without communication.
    pub retry_ratio: f64,
    /// The maximum number of unused retries that accumulate in this node's share of the retry budget.
    pub max_retry_budget: f64,
}

/// The classes and plans of one service, from which its settings are derived.
#[derive(Debug, Default)]
pub struct PolicySettings {
    classes: ClassTable,
    plans: PlanTable,
}

impl PolicySettings {
    /// Derives the settings of a service from a configuration. New classes and plans are added to the tables.
    pub fn derive(&mut self, service: &str, configuration: &Configuration, node: NodeContext) -> Settings {
        let routes = || configuration.routes.iter().filter(|route| has_target(route, service));
        routes().for_each(|route| self.classes.add(route));
        configuration.tenants.values().for_each(|tenant| self.plans.set(tenant));
        // The policy has a single limit per service. The minimum over the routes never exceeds the limit of any route.
        let max_attempts = routes().map(|route| route.max_attempts).min().unwrap_or(1);
        Settings {
            gateways: node.nodes.max(1),
            ordinal: node.ordinal.min(node.nodes.max(1) - 1),
            zone: node.zone,
            classes: self.classes.0.iter().map(ClassKey::class).collect(),
            plans: self.plans.plans.clone(),
            max_units: UNITS_PER_REQUEST,
            meter_period: brassport_quota::METER_PERIOD_MS as f64,
            max_attempts,
            allow_hedging: false,
            allow_cancel: true,
            max_retry_after: MAX_RETRY_AFTER_MS,
            drain_grace: node.drain_ms,
            warm_up_start_fraction: SLOW_START_FRACTION,
            warm_up_duration: MAX_SLOW_START_MS,
            collapse_load: COLLAPSE_LOAD,
            collapse_after: COLLAPSE_AFTER_MS,
            tick: TICK_MS,
            list_on_request: false,
            tuning: tuning(node),
        }
    }

    /// The index of a route's class; `None` if no configuration with such a route has been processed.
    pub fn class(&self, route: &Route) -> Option<usize> {
        self.classes.index(route)
    }

    /// The index of a tenant's plan. For an unknown tenant, this is the plan of requests without a tenant.
    pub fn plan(&self, tenant: &str) -> usize {
        self.plans.indexes.get(tenant).copied().unwrap_or(0)
    }
}

fn has_target(route: &Route, service: &str) -> bool {
    route.targets.iter().any(|(name, _)| name == service)
}

fn tuning(node: NodeContext) -> Tuning {
    Tuning {
        remote_zone_factor: REMOTE_ZONE_FACTOR,
        late_after_fraction: LATE_AFTER_FRACTION,
        initial_admitted_fraction: INITIAL_ADMITTED_FRACTION,
        retry_ratio: node.retry_ratio,
        max_retry_budget: node.max_retry_budget,
        replaces_hung: true,
    }
}

/// The settings of a node that is shutting down: attempts in progress are not replaced by attempts at other backends.
pub(crate) fn during_shutdown(settings: Settings) -> Settings {
    let tuning = Tuning { replaces_hung: false, ..settings.tuning };
    Settings { tuning, ..settings }
}
