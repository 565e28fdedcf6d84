//! The operator's configurations: their content and their form on the wire.

use crate::history::{ReadBack, ReadRoute};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The host of all routes.
pub const HOST: &str = "site.example";
/// The services.
pub const SERVICES: [&str; 3] = ["alder", "birch", "cedar"];

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host.
    pub host: String,
    /// The beginning of its paths.
    pub path_start: String,
    /// Whether a request may run more than once.
    pub is_safe: bool,
    /// Whether it needs no key.
    pub is_public: bool,
    /// Its services with their weights.
    pub services: Vec<(String, u32)>,
}

/// One tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its key.
    pub key: String,
    /// Requests a second, or 0 for no limit.
    pub rate_per_s: f64,
    /// How many more at once.
    pub burst: f64,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its version.
    pub version: u32,
    /// Its tenants.
    pub tenants: Vec<Tenant>,
    /// Its routes.
    pub routes: Vec<Route>,
}

fn route(name: &str, path_start: &str, is_safe: bool, is_public: bool, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: HOST.into(),
        path_start: path_start.into(),
        is_safe,
        is_public,
        services: services.iter().map(|(name, weight)| ((*name).to_owned(), *weight)).collect(),
    }
}

/// A version as it stands in bodies and headers.
pub fn digits(version: u32) -> String {
    format!("{version:08x}")
}

impl Plan {
    /// The first configuration of the site: a safe route, an unsafe one, a public one, and the newest (`fresh`).
    pub fn first(version: u32) -> Plan {
        let tenant = |name: &str, rate_per_s, burst| Tenant {
            name: name.into(),
            key: format!("key-of-{name}-7f3a91c2"),
            rate_per_s,
            burst,
        };
        Plan {
            version,
            tenants: vec![tenant("oak", 200.0, 100.0), tenant("elm", 0.0, 0.0), tenant("reed", 10.0, 5.0)],
            routes: vec![
                route("r-goods", "/goods/", true, false, &[("alder", 90), ("birch", 10)]),
                route("r-orders", "/orders/", false, false, &[("cedar", 100)]),
                route("r-open", "/open/", true, true, &[("alder", 100)]),
                Plan::fresh(version),
            ],
        }
    }

    fn fresh(version: u32) -> Route {
        route(&format!("r-fresh-{version}"), &format!("/fresh-{version}/"), true, false, &[("birch", 100)])
    }

    /// The next configuration: another newest route instead of the last, and orders and goods go to other services.
    pub fn next(&self, version: u32) -> Plan {
        let mut next = self.clone();
        next.version = version;
        next.routes.retain(|route| !route.name.starts_with("r-fresh-"));
        for route in &mut next.routes {
            if route.name == "r-orders" {
                let is_cedar = route.services[0].0 == "cedar";
                route.services = vec![(if is_cedar { "birch" } else { "cedar" }.into(), 100)];
            }
            if route.name == "r-goods" {
                route.services.reverse();
            }
        }
        next.routes.push(Plan::fresh(version));
        next
    }

    /// The route that came with this version.
    pub fn newest_route(&self) -> Option<&Route> {
        self.routes.iter().find(|route| route.name.starts_with("r-fresh-"))
    }

    /// The route of a request: the longest beginning.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let of_host = self.routes.iter().filter(|route| route.host == host);
        of_host.filter(|route| path.starts_with(&route.path_start)).max_by_key(|route| route.path_start.len())
    }

    /// A tenant's key.
    pub fn key(&self, tenant: &str) -> Option<&str> {
        self.tenants.iter().find(|it| it.name == tenant).map(|it| it.key.as_str())
    }

    /// The body of `Config.Replace`.
    pub fn replace_body(&self) -> Value {
        let services: Vec<Value> = SERVICES
            .iter()
            .map(|name| {
                json!({"name": name, "healthPath": "/health", "maxConnections": 130, "protocol": "h1",
                    "tls": false})
            })
            .collect();
        let customers: Vec<Value> = self
            .tenants
            .iter()
            .map(|it| {
                json!({"name": it.name, "keys": [it.key], "rank": 0, "ratePerS": it.rate_per_s,
                    "burst": it.burst})
            })
            .collect();
        json!({
            "version": digits(self.version),
            "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864, "headerWaitS": 3, "idleWaitS": 15},
            "customers": customers,
            "hosts": hosts(self.routes.iter()),
        })
    }

    /// The body of `Config.Change` that makes this one of an older one.
    pub fn change_body(&self, older: &Plan) -> Value {
        let put = self.routes.iter().filter(|route| !older.routes.contains(route));
        let gone = older.routes.iter().filter(|old| self.routes.iter().all(|new| new.name != old.name));
        let gone: Vec<&str> = gone.map(|route| route.name.as_str()).collect();
        json!({
            "version": digits(self.version),
            "put": {"hosts": hosts(put)},
            "remove": {"routes": gone},
        })
    }

    /// What a reader must find of it.
    pub fn as_read(&self) -> ReadBack {
        let routes = self.routes.iter().map(|route| {
            let services = route.services.iter().map(|(name, _)| name.clone()).collect();
            ReadRoute { host: route.host.clone(), path_prefix: route.path_start.clone(), services }
        });
        sorted(self.version, routes.collect())
    }
}

fn sorted(version: u32, mut routes: Vec<ReadRoute>) -> ReadBack {
    routes.iter_mut().for_each(|route| route.services.sort());
    routes.sort();
    ReadBack { version, routes }
}

fn hosts<'a>(routes: impl Iterator<Item = &'a Route>) -> Vec<Value> {
    let mut by_host: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
    for route in routes {
        by_host.entry(&route.host).or_default().push(path(route));
    }
    by_host.into_iter().map(|(host, paths)| json!({"host": host, "paths": paths})).collect()
}

fn path(route: &Route) -> Value {
    let mut value = json!({
        "name": route.name, "pathStart": route.path_start,
        "kind": if route.is_safe { "safe" } else { "unsafe" },
        "giveUpS": 2, "goalS": 0.3, "rank": 1, "tries": 2, "public": route.is_public,
    });
    if let [(service, _)] = &route.services[..] {
        value["service"] = json!(service);
    } else {
        let split = route.services.iter().map(|(name, weight)| json!({"service": name, "weight": weight}));
        value["split"] = split.collect();
    }
    value
}

/// Reads the answer of `Config.Read`; nothing if it makes no sense.
pub fn read(body: &[u8]) -> Option<ReadBack> {
    let value: Value = serde_json::from_slice(body).ok()?;
    let version = u32::from_str_radix(value["version"].as_str()?, 16).ok()?;
    let mut routes = Vec::new();
    for host in value["hosts"].as_array().into_iter().flatten() {
        for path in host["paths"].as_array().into_iter().flatten() {
            let split = path["split"].as_array().into_iter().flatten();
            let services = split.chain([path]).filter_map(|it| it["service"].as_str());
            routes.push(ReadRoute {
                host: host["host"].as_str()?.to_owned(),
                path_prefix: path["pathStart"].as_str()?.to_owned(),
                services: services.map(str::to_owned).collect(),
            });
        }
    }
    Some(sorted(version, routes))
}
