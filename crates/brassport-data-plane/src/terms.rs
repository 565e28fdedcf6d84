//! The decision module's settings for one service, from the operator's configuration.

use brassport_config_store::configuration::{Configuration, Idempotency, Route};
use brassport_policy::{Class, Effect, Plan, Settings, Tuning};
use std::collections::HashMap;

/// A backend that starts has at least this part of its capacity, and is warm after so many milliseconds at the latest.
const COLD_FROM: f64 = 0.5;
pub(crate) const COLD_FOR: f64 = 3_000.0;
/// Longest advice on waiting, in milliseconds.
const MOST_WAIT: f64 = 1_000.0;
/// Worth of the highest rank; each rank below has half of the one above.
const WORTH: f64 = 16.0;
/// Part of the worth that a late answer earns.
const LATE: f64 = 0.5;

/// A backend of another zone weighs so many times its wait: bytes between zones cost, and take time.
const FAR: f64 = 3.0;
/// Work may take about the wanted time on an idle backend: only what took longer tells of a queue.
const LATE_ANSWER: f64 = 0.9;

/// Part of what the quotas admit that a door has room for at its start: it knows how many doors there are.
const START: f64 = 0.85;

/// What makes requests alike for the module.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassKey {
    kind: Idempotency,
    goal_ms: f64,
    give_up_ms: f64,
    rank: u32,
}

impl ClassKey {
    /// That of a route.
    pub fn of(route: &Route) -> ClassKey {
        ClassKey {
            kind: route.kind,
            goal_ms: route.latency_target_s * 1000.0,
            give_up_ms: route.timeout_s * 1000.0,
            rank: route.rank,
        }
    }

    fn class(&self) -> Class {
        Class {
            worth: WORTH * 0.5_f64.powi(self.rank.min(20) as i32),
            aim: self.goal_ms,
            deadline: self.give_up_ms.max(self.goal_ms),
            late_share: LATE,
            effect: match self.kind {
                Idempotency::Safe => Effect::Free,
                Idempotency::Unsafe => Effect::Once,
            },
        }
    }
}

/// The classes and plans of one service, which keep their places over all configurations of a life.
#[derive(Debug, Default)]
pub struct Terms {
    classes: Vec<ClassKey>,
    /// Tenants by name, from 1 on; 0 is nobody.
    plans: HashMap<String, usize>,
    held: Vec<Plan>,
}

/// What the module is told of the machine.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// Doors.
    pub doors: u32,
    /// Which of them this is.
    pub ordinal: u32,
    /// Its zone's place in the list of zones.
    pub zone: u16,
    /// So soon sends to a backend that leaves must stop, in milliseconds.
    pub drain_ms: f64,
    /// Further attempts of this door for each request of its own, and how many it may save up: together all doors keep
    /// the budget without a word from one to another.
    pub retry_share: f64,
    /// See `retry_share`.
    pub retries: f64,
}

impl Terms {
    /// Takes a configuration in.
    pub fn settle(&mut self, service: &str, configuration: &Configuration, place: Place) -> Settings {
        // One route that wants fewer tries has them, and so have all others of its service.
        let of_it = |route: &&Route| route.targets.iter().any(|(name, _)| name == service);
        let tries = configuration.routes.iter().filter(of_it).map(|route| route.max_attempts).min();
        for route in &configuration.routes {
            if route.targets.iter().any(|(name, _)| name == service) {
                let key = ClassKey::of(route);
                if !self.classes.contains(&key) {
                    self.classes.push(key);
                }
            }
        }
        if self.held.is_empty() {
            self.held.push(Plan { price: 1.0, ..Plan::default() });
        }
        // A tenant that is gone keeps its place: none of its requests comes any more.
        for tenant in configuration.tenants.values() {
            let index = *self.plans.entry(tenant.name.clone()).or_insert(self.held.len());
            self.held.resize(self.held.len().max(index + 1), Plan::default());
            self.held[index] = Plan {
                rate: tenant.rate_per_s,
                // The module wants some burst where there is a rate.
                burst: tenant.burst.max(1.0),
                price: 0.5_f64.powi(tenant.rank.min(20) as i32),
                ..Plan::default()
            };
        }
        Settings {
            gateways: place.doors.max(1),
            ordinal: place.ordinal.min(place.doors.max(1) - 1),
            zone: place.zone,
            classes: self.classes.iter().map(ClassKey::class).collect(),
            plans: self.held.clone(),
            max_units: 1.0,
            meter_period: brassport_quota::PERIOD as f64,
            max_attempts: tries.unwrap_or(1),
            may_duplicate: false,
            may_cancel: true,
            max_retry_after: MOST_WAIT,
            drain_grace: place.drain_ms,
            cold_from: COLD_FROM,
            cold_for: COLD_FOR,
            tip_multiple: 2.0,
            tip_after: 1_000.0,
            tick: 1.0,
            list_on_request: false,
            tuning: Tuning {
                far: FAR,
                late: LATE_ANSWER,
                start: START,
                retry_share: place.retry_share,
                retries: place.retries,
                replaces_silent: true,
            },
        }
    }

    /// The place of a route's class.
    pub fn class(&self, route: &Route) -> Option<usize> {
        let key = ClassKey::of(route);
        self.classes.iter().position(|class| *class == key)
    }

    /// The place of a tenant's plan.
    pub fn plan(&self, tenant: &str) -> usize {
        self.plans.get(tenant).copied().unwrap_or(0)
    }
}
