//! Differences between two configurations, in readable form.

use super::{Configuration, Limits, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;

/// A difference between two configurations. `Display` writes one line; keys are counted, never printed.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Difference {
    /// A route was added.
    RouteAdded {
        /// The name of the route.
        name: String,
        /// The host, followed by the prefix.
        location: String,
    },
    /// A route was removed.
    RouteRemoved {
        /// The name of the route.
        name: String,
        /// The host, followed by the prefix.
        location: String,
    },
    /// A route has another host or prefix.
    RouteMoved {
        /// The name of the route.
        name: String,
        /// The old host and prefix.
        from: String,
        /// The new host and prefix.
        to: String,
    },
    /// A route has other target services, or other weights.
    RouteRetargeted {
        /// The name of the route.
        name: String,
        /// The old services and weights.
        from: String,
        /// The new services and weights.
        to: String,
    },
    /// Other fields of a route have changed.
    RouteChanged {
        /// The name of the route.
        name: String,
        /// The changed fields, each with its old and new value.
        changes: String,
    },
    /// A service was added.
    ServiceAdded {
        /// The name of the service.
        name: String,
    },
    /// A service was removed.
    ServiceRemoved {
        /// The name of the service.
        name: String,
    },
    /// Fields of a service have changed.
    ServiceChanged {
        /// The name of the service.
        name: String,
        /// The changed fields, each with its old and new value.
        changes: String,
    },
    /// A tenant was added.
    TenantAdded {
        /// The name of the tenant.
        name: String,
        /// The number of the tenant's keys.
        keys: usize,
    },
    /// A tenant was removed.
    TenantRemoved {
        /// The name of the tenant.
        name: String,
        /// The number of the tenant's keys.
        keys: usize,
    },
    /// Keys of a tenant were added or removed.
    KeysChanged {
        /// The name of the tenant.
        name: String,
        /// The number of added keys.
        added: usize,
        /// The number of removed keys.
        removed: usize,
    },
    /// The rate limit, burst or rank of a tenant has changed.
    TenantChanged {
        /// The name of the tenant.
        name: String,
        /// The changed fields, each with its old and new value.
        changes: String,
    },
    /// Limits have changed.
    LimitsChanged {
        /// The changed fields, each with its old and new value.
        changes: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::RouteAdded { name, location } => {
                write!(formatter, "route {name}: added at {location}")
            }
            Difference::RouteRemoved { name, location } => {
                write!(formatter, "route {name}: removed from {location}")
            }
            Difference::RouteMoved { name, from, to } => {
                write!(formatter, "route {name}: moved from {from} to {to}")
            }
            Difference::RouteRetargeted { name, from, to } => {
                write!(formatter, "route {name}: goes to {to} instead of {from}")
            }
            Difference::RouteChanged { name, changes } => write!(formatter, "route {name}: {changes}"),
            Difference::ServiceAdded { name } => write!(formatter, "service {name}: added"),
            Difference::ServiceRemoved { name } => write!(formatter, "service {name}: removed"),
            Difference::ServiceChanged { name, changes } => write!(formatter, "service {name}: {changes}"),
            Difference::TenantAdded { name, keys } => {
                write!(formatter, "tenant {name}: added, keys: {keys}")
            }
            Difference::TenantRemoved { name, keys } => {
                write!(formatter, "tenant {name}: removed, keys: {keys}")
            }
            Difference::KeysChanged { name, added, removed } => {
                write!(formatter, "tenant {name}: keys added: {added}, removed: {removed}")
            }
            Difference::TenantChanged { name, changes } => write!(formatter, "tenant {name}: {changes}"),
            Difference::LimitsChanged { changes } => write!(formatter, "limits: {changes}"),
        }
    }
}

/// The differences between two configurations: routes, services and tenants, each sorted by name, then limits. The
/// version is not compared.
pub fn difference(from: &Configuration, to: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    routes(from, to, &mut found);
    services(from, to, &mut found);
    tenants(from, to, &mut found);
    limits(&from.limits, &to.limits, &mut found);
    found
}

/// The fields that differ, each with its old and new value.
#[derive(Default)]
struct FieldChanges(Vec<String>);

impl FieldChanges {
    fn compare<T: PartialEq + fmt::Debug>(mut self, field: &str, from: &T, to: &T) -> FieldChanges {
        if from != to {
            self.0.push(format!("{field} {from:?} -> {to:?}"));
        }
        self
    }

    fn joined(self) -> Option<String> {
        (!self.0.is_empty()).then(|| self.0.join(", "))
    }
}

/// The items of one name in two maps.
enum Pair<'a, V> {
    Added(&'a V),
    Removed(&'a V),
    Both { from: &'a V, to: &'a V },
}

/// All names of two maps, sorted, with the items that they refer to.
fn pairs<'a, V>(
    from: &'a BTreeMap<String, V>,
    to: &'a BTreeMap<String, V>,
) -> impl Iterator<Item = (String, Pair<'a, V>)> {
    let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    names.into_iter().filter_map(|name| {
        let pair = match (from.get(name), to.get(name)) {
            (Some(from), Some(to)) => Pair::Both { from, to },
            (None, Some(to)) => Pair::Added(to),
            (Some(from), None) => Pair::Removed(from),
            (None, None) => return None,
        };
        Some((name.clone(), pair))
    })
}

fn routes(from: &Configuration, to: &Configuration, found: &mut Vec<Difference>) {
    let by_name = |configuration: &Configuration| -> BTreeMap<String, Route> {
        configuration.routes.iter().map(|route| (route.name.clone(), route.clone())).collect()
    };
    let (from, to) = (by_name(from), by_name(to));
    for (name, pair) in pairs(&from, &to) {
        match pair {
            Pair::Added(to) => found.push(Difference::RouteAdded { name, location: location(to) }),
            Pair::Removed(from) => found.push(Difference::RouteRemoved { name, location: location(from) }),
            Pair::Both { from, to } => route(from, to, found),
        }
    }
}

/// The host of a route, followed by its prefix.
fn location(route: &Route) -> String {
    format!("{}{}", route.host, route.path_prefix)
}

fn route(from: &Route, to: &Route, found: &mut Vec<Difference>) {
    let name = to.name.clone();
    if location(from) != location(to) {
        found.push(Difference::RouteMoved { name: name.clone(), from: location(from), to: location(to) });
    }
    if from.targets != to.targets {
        let (from, to) = (targets(from), targets(to));
        found.push(Difference::RouteRetargeted { name: name.clone(), from, to });
    }
    let fields = FieldChanges::default()
        .compare("kind", &from.idempotency, &to.idempotency)
        .compare("giveUpS", &from.timeout_s, &to.timeout_s)
        .compare("goalS", &from.latency_target_s, &to.latency_target_s)
        .compare("rank", &from.rank, &to.rank)
        .compare("tries", &from.max_attempts, &to.max_attempts)
        .compare("public", &from.public, &to.public);
    found.extend(fields.joined().map(|changes| Difference::RouteChanged { name, changes }));
}

fn targets(route: &Route) -> String {
    let parts: Vec<String> =
        route.targets.iter().map(|(service, weight)| format!("{service} ({weight})")).collect();
    parts.join(" + ")
}

fn services(from: &Configuration, to: &Configuration, found: &mut Vec<Difference>) {
    for (name, pair) in pairs(&from.services, &to.services) {
        match pair {
            Pair::Both { from, to } => {
                let fields = FieldChanges::default()
                    .compare("healthPath", &from.health_path, &to.health_path)
                    .compare("maxConnections", &from.max_connections, &to.max_connections)
                    .compare("protocol", &from.protocol, &to.protocol)
                    .compare("tls", &from.tls, &to.tls);
                found.extend(fields.joined().map(|changes| Difference::ServiceChanged { name, changes }));
            }
            Pair::Added(_) => found.push(Difference::ServiceAdded { name }),
            Pair::Removed(_) => found.push(Difference::ServiceRemoved { name }),
        }
    }
}

fn tenants(from: &Configuration, to: &Configuration, found: &mut Vec<Difference>) {
    for (name, pair) in pairs(&from.tenants, &to.tenants) {
        match pair {
            Pair::Both { from, to } => tenant(from, to, found),
            Pair::Added(to) => found.push(Difference::TenantAdded { name, keys: to.keys.len() }),
            Pair::Removed(from) => found.push(Difference::TenantRemoved { name, keys: from.keys.len() }),
        }
    }
}

fn tenant(from: &Tenant, to: &Tenant, found: &mut Vec<Difference>) {
    let before: HashSet<&String> = from.keys.iter().collect();
    let now: HashSet<&String> = to.keys.iter().collect();
    let (added, removed) = (now.difference(&before).count(), before.difference(&now).count());
    if added + removed > 0 {
        found.push(Difference::KeysChanged { name: to.name.clone(), added, removed });
    }
    let fields = FieldChanges::default()
        .compare("rank", &from.rank, &to.rank)
        .compare("ratePerS", &from.rate_per_s, &to.rate_per_s)
        .compare("burst", &from.burst, &to.burst);
    found.extend(fields.joined().map(|changes| Difference::TenantChanged { name: to.name.clone(), changes }));
}

fn limits(from: &Limits, to: &Limits, found: &mut Vec<Difference>) {
    let fields = FieldChanges::default()
        .compare("maxHeaderBytes", &from.max_header_bytes, &to.max_header_bytes)
        .compare("maxBodyBytes", &from.max_body_bytes, &to.max_body_bytes)
        .compare("headerWaitS", &from.header_timeout_s, &to.header_timeout_s)
        .compare("idleWaitS", &from.idle_timeout_s, &to.idle_timeout_s);
    found.extend(fields.joined().map(|changes| Difference::LimitsChanged { changes }));
}
