//! The typed items of a configuration.

use super::Version;
use schematic::ConfigEnum;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A validated configuration, as the gateway uses it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version of the configuration.
    pub version: Version,
    /// The services, by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on the size and the duration of clients' requests.
    pub limits: Limits,
    /// The tenants (`customers`), by name.
    pub tenants: BTreeMap<String, Tenant>,
    /// The routes, in document order.
    pub routes: Vec<Route>,
    /// Whether a route that is not public requires a key: true if there is a tenant (`customers` is not empty).
    pub requires_key: bool,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, ConfigEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The request may be executed more than once.
    Safe,
    /// Each attempt executes the request at most once. The default if `kind` is omitted.
    #[default]
    Unsafe,
}

/// A route: the requests to one host whose path has a given prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The unique name of the route.
    pub name: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the route's requests may be executed more than once (`kind`).
    pub idempotency: Idempotency,
    /// The time-out of a request in seconds (`giveUpS`): above 0, at most 600.
    pub timeout_s: f64,
    /// The latency target in seconds (`goalS`): a response within it has its full value. Default: `timeout_s`.
    pub latency_target_s: f64,
    /// The rank of the route's requests; 0 is the highest.
    pub rank: u32,
    /// The target services and their weights: at least one, each with a weight above 0. Services of weight 0 in a split
    /// are omitted; the service of a route without a split has weight 1.
    pub targets: Vec<(String, u32)>,
    /// The maximum number of backends that a request may be sent to (`tries`); at least 1.
    pub max_attempts: u32,
    /// Whether the route's requests need no key.
    pub public: bool,
}

/// A tenant, which is identified by its keys. `Debug` prints the number of keys, never the keys.
#[derive(Clone, PartialEq)]
pub struct Tenant {
    /// The unique name of the tenant, which is passed to the backends.
    pub name: String,
    /// The keys of the tenant, none of them empty.
    pub keys: Vec<String>,
    /// The rank of the tenant's requests, which takes precedence over the route's; 0 is the highest.
    pub rank: u32,
    /// Rate limit in requests per second over all gateway instances; 0: no limit.
    pub rate_per_s: f64,
    /// How many requests beyond the rate limit the tenant may send in one burst.
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

/// A service: a set of interchangeable backends.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of the health check. Default: `/health`.
    pub health_path: String,
    /// The maximum number of connections that a backend accepts from all callers together. Default, also for 0: 100.
    pub max_connections: u32,
    /// The protocol of the backends. Default: `h1`.
    pub protocol: String,
    /// Whether connections to the backends use TLS.
    pub tls: bool,
}

/// Limits on the size and the duration of clients' requests. A limit of 0 means the default.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a request's header section, in bytes. Default: 16384.
    pub max_header_bytes: u64,
    /// The maximum size of a request's body, in bytes. Default: 67108864.
    pub max_body_bytes: u64,
    /// The time-out for receiving a request's header section, in seconds (`headerWaitS`). Default: 3.
    pub header_timeout_s: f64,
    /// The time-out of an idle connection, in seconds (`idleWaitS`). Default: 15.
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
