//! Reads the whole document as a [`Configuration`], with the checks across items.

use super::layout::{join, read, wrong_type, LimitsLayout, RouteLayout, ServiceLayout, TenantLayout};
use super::{
    normalize_host, Configuration, Limits, Route, Service, Tenant, ValidationError, ValidationErrors, Version,
};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, HashMap};

/// How many connections a service's backend takes where the document doesn't say.
const USUAL_CONNECTIONS: u32 = 100;

/// Reads a document. With `above`, the version must be above it.
pub fn configuration(
    raw: &Map<String, Value>,
    above: Option<Version>,
) -> Result<Configuration, ValidationErrors> {
    let mut faults = Vec::new();
    let version = version(raw, above, &mut faults);
    let services = services(raw, &mut faults);
    let limits = limits(raw, &mut faults);
    let tenants = tenants(raw, &mut faults);
    let routes = routes(raw, &services, &mut faults);
    if !faults.is_empty() {
        return Err(ValidationErrors(faults));
    }
    let has_keys = !tenants.is_empty();
    Ok(Configuration { version: version.unwrap_or_default(), services, limits, tenants, routes, has_keys })
}

/// Reads `version`, and holds it against the current one.
pub fn version(
    raw: &Map<String, Value>,
    above: Option<Version>,
    faults: &mut Vec<ValidationError>,
) -> Option<Version> {
    let text = match raw.get("version") {
        None | Some(Value::Null) => {
            faults.push(ValidationError::Missing { at: "version".to_owned() });
            return None;
        }
        Some(Value::String(text)) => text,
        Some(other) => {
            faults.push(wrong_type("version", other, "a text of eight hexadecimal digits"));
            return None;
        }
    };
    match (text.parse::<Version>(), above) {
        (Ok(sent), Some(current)) if sent <= current => {
            faults.push(ValidationError::OldVersion { sent, current });
            None
        }
        (Ok(sent), _) => Some(sent),
        (Err(bad), _) => {
            faults.push(ValidationError::BadValue { at: "version".to_owned(), what: bad.to_string() });
            None
        }
    }
}

/// The items of a list; none where it is left out.
pub fn list<'a>(
    raw: &'a Map<String, Value>,
    at: &str,
    field: &str,
    faults: &mut Vec<ValidationError>,
) -> &'a [Value] {
    match raw.get(field) {
        None | Some(Value::Null) => &[],
        Some(Value::Array(items)) => items,
        Some(other) => {
            faults.push(wrong_type(&join(at, field), other, "a list"));
            &[]
        }
    }
}

/// Finds what was seen before.
#[derive(Default)]
pub struct Seen(HashMap<String, String>);

impl Seen {
    /// Notes `what` at a place. Returns the earlier place if there is one.
    pub fn note(&mut self, what: String, at: &str) -> Option<String> {
        match self.0.get(&what) {
            Some(earlier) => Some(earlier.clone()),
            None => {
                self.0.insert(what, at.to_owned());
                None
            }
        }
    }

    /// Notes a name, and a fault if it was there before.
    pub fn name(&mut self, name: &str, at: &str, faults: &mut Vec<ValidationError>) {
        if let Some(other) = self.note(name.to_owned(), at) {
            faults.push(ValidationError::SameName { at: at.to_owned(), other, name: name.to_owned() });
        }
    }
}

/// What is told, or the usual where 0 is told or nothing.
fn usual_if_0<T: Default + PartialOrd>(told: T, usual: T) -> T {
    if told > T::default() {
        told
    } else {
        usual
    }
}

fn services(raw: &Map<String, Value>, faults: &mut Vec<ValidationError>) -> BTreeMap<String, Service> {
    let mut seen = Seen::default();
    let mut services = BTreeMap::new();
    for (place, item) in list(raw, "", "services", faults).iter().enumerate() {
        let at = format!("services[{place}]");
        let read: ServiceLayout = read(item, &at, faults);
        let Some(name) = read.name else { continue };
        seen.name(&name, &at, faults);
        let service = Service {
            health_path: read.health_path,
            max_connections: usual_if_0(read.max_connections, USUAL_CONNECTIONS),
            protocol: read.protocol,
            tls: read.tls,
        };
        services.insert(name, service);
    }
    services
}

fn limits(raw: &Map<String, Value>, faults: &mut Vec<ValidationError>) -> Limits {
    let usual = Limits::default();
    let item = match raw.get("limits") {
        None | Some(Value::Null) => return usual,
        Some(item) => item,
    };
    let read: LimitsLayout = read(item, "limits", faults);
    Limits {
        max_header_bytes: usual_if_0(read.max_header_bytes, usual.max_header_bytes),
        max_body_bytes: usual_if_0(read.max_body_bytes, usual.max_body_bytes),
        header_wait_s: usual_if_0(read.header_wait_s, usual.header_wait_s),
        idle_wait_s: usual_if_0(read.idle_wait_s, usual.idle_wait_s),
    }
}

fn tenants(raw: &Map<String, Value>, faults: &mut Vec<ValidationError>) -> BTreeMap<String, Tenant> {
    let mut seen = Seen::default();
    let mut seen_keys = Seen::default();
    let mut tenants = BTreeMap::new();
    for (place, item) in list(raw, "", "customers", faults).iter().enumerate() {
        let at = format!("customers[{place}]");
        let read: TenantLayout = read(item, &at, faults);
        let keys = read.keys;
        for (place, key) in keys.iter().enumerate() {
            let at = format!("{at}.keys[{place}]");
            if let Some(other) = seen_keys.note(key.clone(), &at) {
                faults.push(ValidationError::SharedKey { at, other });
            }
        }
        let Some(name) = read.name else { continue };
        seen.name(&name, &at, faults);
        let tenant = Tenant {
            name: name.clone(),
            keys,
            rank: read.rank,
            rate_per_s: read.rate_per_s,
            burst: read.burst,
        };
        tenants.insert(name, tenant);
    }
    tenants
}

fn routes(
    raw: &Map<String, Value>,
    services: &BTreeMap<String, Service>,
    faults: &mut Vec<ValidationError>,
) -> Vec<Route> {
    let mut names = Seen::default();
    let mut places = Seen::default();
    let mut routes = Vec::new();
    for (place, entry) in list(raw, "", "hosts", faults).iter().enumerate() {
        let at = format!("hosts[{place}]");
        let Value::Object(entry) = entry else {
            faults.push(wrong_type(&at, entry, "an object"));
            continue;
        };
        let host = host(entry, &at, faults);
        for (place, item) in list(entry, &at, "paths", faults).iter().enumerate() {
            let at = format!("{at}.paths[{place}]");
            let read: RouteLayout = read(item, &at, faults);
            if let Some(name) = &read.name {
                names.name(name, &at, faults);
            }
            if let (Some(host), Some(path_prefix)) = (&host, &read.path_start) {
                let place = format!("{host}{path_prefix}");
                if let Some(other) = places.note(place.clone(), &at) {
                    faults.push(ValidationError::SamePlace { at: at.clone(), other, place });
                }
            }
            let targets = targets(&read, item, &at, services, faults);
            // What is missing here has its fault already.
            let (Some(name), Some(host), Some(path_prefix), Some(timeout_s)) =
                (read.name, host.clone(), read.path_start, read.give_up_s)
            else {
                continue;
            };
            routes.push(Route {
                name,
                host,
                path_prefix,
                kind: read.kind,
                timeout_s,
                latency_target_s: read.goal_s.unwrap_or(timeout_s),
                rank: read.rank,
                targets,
                max_attempts: read.tries,
                public: read.public,
            });
        }
    }
    routes
}

/// The host of an entry in the form in which it is looked up.
fn host(entry: &Map<String, Value>, at: &str, faults: &mut Vec<ValidationError>) -> Option<String> {
    let at = join(at, "host");
    match entry.get("host") {
        None | Some(Value::Null) => faults.push(ValidationError::Missing { at }),
        Some(Value::String(host)) => {
            let host = normalize_host(host);
            if !host.is_empty() {
                return Some(host.into_owned());
            }
            faults.push(ValidationError::BadValue { at, what: "is empty".to_owned() });
        }
        Some(other) => faults.push(wrong_type(&at, other, "a text")),
    }
    None
}

/// The services a route goes to. A split that isn't empty goes before a plain service.
fn targets(
    read: &RouteLayout,
    item: &Value,
    at: &str,
    services: &BTreeMap<String, Service>,
    faults: &mut Vec<ValidationError>,
) -> Vec<(String, u32)> {
    let plain = read.service.as_deref().filter(|service| !service.is_empty());
    let split = read.split.as_deref().unwrap_or_default();
    let mut known = |service: &str, at: String| {
        if !services.contains_key(service) {
            faults.push(ValidationError::UnknownService { at, service: service.to_owned() });
        }
    };
    if let Some(service) = plain {
        known(service, join(at, "service"));
    }
    let mut targets = Vec::new();
    let mut whole = true;
    for (place, part) in split.iter().enumerate() {
        // A part without a service or a weight has its fault already.
        if let Some(service) = part.service.as_deref().filter(|service| !service.is_empty()) {
            known(service, format!("{at}.split[{place}].service"));
        }
        match (&part.service, part.weight) {
            (Some(service), Some(weight)) if weight > 0 => targets.push((service.clone(), weight)),
            (Some(_), Some(_)) => {}
            _ => whole = false,
        }
    }
    if let (Some(service), true) = (plain, split.is_empty()) {
        targets.push((service.to_owned(), 1));
    }
    // Where a field can't be read, that is the fault.
    let unread = |field: &str, read: bool| !read && item.get(field).is_some_and(|value| !value.is_null());
    let unread = unread("service", read.service.is_some()) || unread("split", read.split.is_some());
    if targets.is_empty() && whole && !unread && item.is_object() {
        faults.push(ValidationError::NoTarget { at: at.to_owned() });
    }
    targets
}
