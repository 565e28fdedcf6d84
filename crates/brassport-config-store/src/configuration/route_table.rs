//! The table that finds the route of a request and the tenant of a key.

use super::{Configuration, Route, Tenant};
use std::borrow::Cow;
use std::collections::HashMap;
use std::fmt;

/// A host as it is looked up: in lower case, without a port and without spaces around it.
pub fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let port = match host.rfind(']') {
        // An address of version 6 in brackets has colons of its own.
        Some(end) => host[end..].find(':').map(|at| end + at),
        None => host.rfind(':'),
    };
    let host = port.map_or(host, |at| &host[..at]);
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// The routes of one host.
#[derive(Default)]
struct Host {
    /// Positions in the list of routes, by prefix.
    routes: HashMap<String, usize>,
    /// The length of the longest prefix.
    longest: usize,
}

/// Finds routes and tenants. `Debug` shows only how many there are.
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: HashMap<String, Host>,
    tenants: Vec<Tenant>,
    keys: HashMap<String, usize>,
}

impl fmt::Debug for RouteTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RouteTable")
            .field("routes", &self.routes.len())
            .field("hosts", &self.hosts.len())
            .field("tenants", &self.tenants.len())
            .field("keys", &self.keys.len())
            .finish()
    }
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(configuration: &Configuration) -> RouteTable {
        let mut hosts: HashMap<String, Host> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            let host = hosts.entry(route.host.clone()).or_default();
            host.longest = host.longest.max(route.path_prefix.len());
            host.routes.insert(route.path_prefix.clone(), position);
        }
        let tenants: Vec<Tenant> = configuration.tenants.values().cloned().collect();
        let mut keys = HashMap::new();
        for (position, tenant) in tenants.iter().enumerate() {
            for key in &tenant.keys {
                keys.insert(key.clone(), position);
            }
        }
        RouteTable { routes: configuration.routes.clone(), hosts, tenants, keys }
    }

    /// The route of a request: of those of the host, the one with the longest prefix of the path.
    /// The path comes without the query. Prefixes end with a slash, so only what ends with one is
    /// looked up, longest first.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = self.hosts.get(&*normalize_host(host))?;
        let ends = path.bytes().take(host.longest).enumerate().filter(|(_, byte)| *byte == b'/');
        let ends: Vec<usize> = ends.map(|(at, _)| at + 1).collect();
        let position = ends.iter().rev().find_map(|&end| host.routes.get(&path[..end]))?;
        self.routes.get(*position)
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants.get(*self.keys.get(key)?)
    }
}
