//! What a document says, item by item, as the gateway reads it.

use super::Version;
use schematic::ConfigEnum;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A configuration as the gateway reads it. It has passed every check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// What a client may send, and how long it may take.
    pub limits: Limits,
    /// The tenants (`customers`) by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// The routes in the document's order.
    pub routes: Vec<Route>,
    /// Whether a route that is not public requires a key: true if there is a tenant (`customers` is not empty).
    pub requires_key: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, ConfigEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may run more than once.
    Safe,
    /// It runs at most once per attempt. The default where `kind` is omitted.
    #[default]
    Unsafe,
}

/// A route: the requests of one host under one prefix of the path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, which no other route has.
    pub name: String,
    /// The host in lower case and without a port.
    pub host: String,
    /// The prefix of the path. It begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// The time-out of a request, in seconds: above 0, at most 600.
    pub timeout_s: f64,
    /// The latency target, in seconds: a response within it has its full value. Left out: `timeout_s`.
    pub latency_target_s: f64,
    /// Its rank; 0 is the highest.
    pub rank: u32,
    /// The services and their weights. Every weight is above 0, and there is at least one. A
    /// split's services of weight 0 are left out; a route with a plain `service` has the weight 1.
    pub targets: Vec<(String, u32)>,
    /// The largest number of backends that a request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
}

/// A tenant: the holder of keys. `Debug` shows how many keys there are, never the keys.
#[derive(Clone, PartialEq)]
pub struct Tenant {
    /// Its name, shown to the backends.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, which comes before the route's; 0 is the highest.
    pub rank: u32,
    /// How many requests a second it may make over all gateway instances; 0: no limit.
    pub rate_per_s: f64,
    /// How many requests it may make at once beyond that rate.
    pub burst: f64,
}

impl fmt::Debug for Tenant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Tenant")
            .field("name", &self.name)
            .field("keys", &format_args!("{} hidden", self.keys.len()))
            .field("rank", &self.rank)
            .field("rate_per_s", &self.rate_per_s)
            .field("burst", &self.burst)
            .finish()
    }
}

/// A service: a set of backends that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of the health check. Left out: `/health`.
    pub health_path: String,
    /// How many connections a backend takes from all callers. Left out or 0: 100.
    pub max_connections: u32,
    /// The protocol its backends speak. Left out: `h1`.
    pub protocol: String,
    /// Whether its backends speak TLS.
    pub tls: bool,
}

/// What a client may send, and how long it may take. A limit of 0 is read as left out.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The largest head of a request, in bytes. Left out: 16384.
    pub max_header_bytes: u64,
    /// The largest body of a request, in bytes. Left out: 67108864.
    pub max_body_bytes: u64,
    /// How long a head may take, in seconds. Left out: 3.
    pub header_timeout_s: f64,
    /// How long a connection may be idle, in seconds. Left out: 15.
    pub idle_timeout_s: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 67_108_864,
            header_timeout_s: 3.0,
            idle_timeout_s: 15.0,
        }
    }
}
