//! What differs between two configurations, for people.

use super::{Configuration, Limits, Route, Tenant};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::fmt;

/// One difference. `Display` gives one line; keys are counted, never named.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum Difference {
    /// A route was added.
    RouteAdded {
        /// Its name.
        name: String,
        /// Host and prefix.
        location: String,
    },
    /// A route was removed.
    RouteRemoved {
        /// Its name.
        name: String,
        /// Host and prefix.
        location: String,
    },
    /// A route has another host or prefix.
    RouteMoved {
        /// Its name.
        name: String,
        /// Host and prefix before.
        from: String,
        /// Host and prefix now.
        to: String,
    },
    /// A route goes to other services, or to the same with other weights.
    RouteRedirected {
        /// Its name.
        name: String,
        /// Services and weights before.
        from: String,
        /// Services and weights now.
        to: String,
    },
    /// Another field of a route differs.
    RouteChanged {
        /// Its name.
        name: String,
        /// The fields, each with its values before and now.
        what: String,
    },
    /// A service was added.
    ServiceAdded {
        /// Its name.
        name: String,
    },
    /// A service was removed.
    ServiceRemoved {
        /// Its name.
        name: String,
    },
    /// A field of a service differs.
    ServiceChanged {
        /// Its name.
        name: String,
        /// The fields, each with its values before and now.
        what: String,
    },
    /// A tenant was added.
    TenantAdded {
        /// Its name.
        name: String,
        /// How many keys it has.
        keys: usize,
    },
    /// A tenant was removed.
    TenantRemoved {
        /// Its name.
        name: String,
        /// How many keys it had.
        keys: usize,
    },
    /// Keys of a tenant were added or removed.
    Keys {
        /// The tenant's name.
        name: String,
        /// How many were added.
        added: usize,
        /// How many were removed.
        removed: usize,
    },
    /// A tenant's quota or rank differs.
    TenantChanged {
        /// Its name.
        name: String,
        /// The fields, each with its values before and now.
        what: String,
    },
    /// Limits differ.
    Limits {
        /// The fields, each with its values before and now.
        what: String,
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
            Difference::RouteRedirected { name, from, to } => {
                write!(formatter, "route {name}: goes to {to} instead of {from}")
            }
            Difference::RouteChanged { name, what } => write!(formatter, "route {name}: {what}"),
            Difference::ServiceAdded { name } => write!(formatter, "service {name}: added"),
            Difference::ServiceRemoved { name } => write!(formatter, "service {name}: removed"),
            Difference::ServiceChanged { name, what } => write!(formatter, "service {name}: {what}"),
            Difference::TenantAdded { name, keys } => {
                write!(formatter, "tenant {name}: added, keys: {keys}")
            }
            Difference::TenantRemoved { name, keys } => {
                write!(formatter, "tenant {name}: removed, keys: {keys}")
            }
            Difference::Keys { name, added, removed } => {
                write!(formatter, "tenant {name}: keys added: {added}, removed: {removed}")
            }
            Difference::TenantChanged { name, what } => write!(formatter, "tenant {name}: {what}"),
            Difference::Limits { what } => write!(formatter, "limits: {what}"),
        }
    }
}

/// What differs between two configurations: routes, services, tenants and limits, each sorted by
/// name. The version isn't one of the differences.
pub fn difference(from: &Configuration, to: &Configuration) -> Vec<Difference> {
    let mut found = Vec::new();
    routes(from, to, &mut found);
    services(from, to, &mut found);
    tenants(from, to, &mut found);
    limits(&from.limits, &to.limits, &mut found);
    found
}

/// Lists fields that differ, each with its values before and now.
#[derive(Default)]
struct Fields(Vec<String>);

impl Fields {
    fn note<T: PartialEq + fmt::Debug>(mut self, field: &str, from: &T, to: &T) -> Fields {
        if from != to {
            self.0.push(format!("{field} {from:?} -> {to:?}"));
        }
        self
    }

    fn what(self) -> Option<String> {
        (!self.0.is_empty()).then(|| self.0.join(", "))
    }
}

/// What a name stands for in two maps.
enum Pair<'a, V> {
    Added(&'a V),
    Removed(&'a V),
    Both { from: &'a V, to: &'a V },
}

/// All names of two maps, sorted, with what they stand for.
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

/// Host and prefix of a route.
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
        found.push(Difference::RouteRedirected { name: name.clone(), from, to });
    }
    let what = Fields::default()
        .note("kind", &from.idempotency, &to.idempotency)
        .note("giveUpS", &from.timeout_s, &to.timeout_s)
        .note("goalS", &from.latency_target_s, &to.latency_target_s)
        .note("rank", &from.rank, &to.rank)
        .note("tries", &from.max_attempts, &to.max_attempts)
        .note("public", &from.public, &to.public);
    found.extend(what.what().map(|what| Difference::RouteChanged { name, what }));
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
                let what = Fields::default()
                    .note("healthPath", &from.health_path, &to.health_path)
                    .note("maxConnections", &from.max_connections, &to.max_connections)
                    .note("protocol", &from.protocol, &to.protocol)
                    .note("tls", &from.tls, &to.tls);
                found.extend(what.what().map(|what| Difference::ServiceChanged { name, what }));
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
        found.push(Difference::Keys { name: to.name.clone(), added, removed });
    }
    let what = Fields::default()
        .note("rank", &from.rank, &to.rank)
        .note("ratePerS", &from.rate_per_s, &to.rate_per_s)
        .note("burst", &from.burst, &to.burst);
    found.extend(what.what().map(|what| Difference::TenantChanged { name: to.name.clone(), what }));
}

fn limits(from: &Limits, to: &Limits, found: &mut Vec<Difference>) {
    let what = Fields::default()
        .note("maxHeaderBytes", &from.max_header_bytes, &to.max_header_bytes)
        .note("maxBodyBytes", &from.max_body_bytes, &to.max_body_bytes)
        .note("headerWaitS", &from.header_timeout_s, &to.header_timeout_s)
        .note("idleWaitS", &from.idle_timeout_s, &to.idle_timeout_s);
    found.extend(what.what().map(|what| Difference::Limits { what }));
}
