//! The lookup table for the route of a request and the tenant of a key.

use super::{Configuration, Route, Tenant};
use std::borrow::Cow;
use std::collections::HashMap;
use std::fmt;

/// Normalizes a host for lookups: lower case, without the port and without surrounding white space.
pub fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = host.trim();
    let port = match host.rfind(']') {
        // A bracketed IPv6 address contains colons itself.
        Some(end) => host[end..].find(':').map(|colon| end + colon),
        None => host.rfind(':'),
    };
    let host = port.map_or(host, |colon| &host[..colon]);
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(host.to_ascii_lowercase())
    } else {
        Cow::Borrowed(host)
    }
}

/// The routes of one host.
#[derive(Default)]
struct Host {
    /// Positions in the table's list of routes, by path prefix.
    routes: HashMap<String, usize>,
    /// The length of the longest prefix, in bytes.
    longest_prefix: usize,
}

/// Looks up routes and tenants. `Debug` prints only their numbers, since keys are secret.
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
    /// Builds the table for a configuration.
    pub fn new(configuration: &Configuration) -> RouteTable {
        let mut hosts: HashMap<String, Host> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            let host = hosts.entry(route.host.clone()).or_default();
            host.longest_prefix = host.longest_prefix.max(route.path_prefix.len());
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

    /// The route of a request: the route of the host with the longest prefix that matches the path, which is given
    /// without the query. Since prefixes end with a slash, only the parts of the path up to a slash are looked up,
    /// longest first.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = self.hosts.get(&*normalize_host(host))?;
        let ends = path.bytes().take(host.longest_prefix).enumerate().filter(|(_, byte)| *byte == b'/');
        let ends: Vec<usize> = ends.map(|(slash, _)| slash + 1).collect();
        let position = ends.iter().rev().find_map(|&end| host.routes.get(&path[..end]))?;
        self.routes.get(*position)
    }

    /// The tenant that a key belongs to.
    pub fn tenant(&self, key: &str) -> Option<&Tenant> {
        self.tenants.get(*self.keys.get(key)?)
    }
}
