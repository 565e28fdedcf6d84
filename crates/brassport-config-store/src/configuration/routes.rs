//! The routes of a document, which stand under their hosts.

use super::duplicates::FirstPositions;
use super::reader::{join, list, read, wrong_type};
use super::{normalize_host, validators, Idempotency, Route, Service, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// A part of a route's `split`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct SplitLayout {
    #[setting(required, validate = validators::name)]
    service: Option<String>,
    #[setting(required)]
    weight: Option<u32>,
}

/// An item of a host's `paths`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct RouteLayout {
    #[setting(required, validate = validators::name)]
    name: Option<String>,
    #[setting(required, validate = validators::prefix)]
    path_start: Option<String>,
    kind: Idempotency,
    #[setting(required, validate = validators::timeout)]
    give_up_s: Option<f64>,
    #[setting(validate = validators::above_0)]
    goal_s: Option<f64>,
    rank: u32,
    service: Option<String>,
    #[setting(nested)]
    split: Option<Vec<SplitLayout>>,
    #[setting(default = 1, validate = validators::attempts)]
    tries: u32,
    public: bool,
}

/// Reads the routes of a document, in its order.
pub fn routes(
    raw: &Map<String, Value>,
    services: &BTreeMap<String, Service>,
    errors: &mut Vec<ValidationError>,
) -> Vec<Route> {
    let mut reader = RouteReader {
        services,
        names: FirstPositions::default(),
        locations: FirstPositions::default(),
        routes: Vec::new(),
    };
    for (position, entry) in list(raw, "", "hosts", errors).iter().enumerate() {
        let at = format!("hosts[{position}]");
        match entry {
            Value::Object(entry) => reader.read_host(entry, &at, errors),
            other => errors.push(wrong_type(&at, other, "an object")),
        }
    }
    reader.routes
}

/// Reads routes, and knows what those before were.
struct RouteReader<'a> {
    services: &'a BTreeMap<String, Service>,
    names: FirstPositions,
    /// Hosts with prefixes.
    locations: FirstPositions,
    routes: Vec<Route>,
}

impl RouteReader<'_> {
    fn read_host(&mut self, entry: &Map<String, Value>, at: &str, errors: &mut Vec<ValidationError>) {
        let host = host(entry, at, errors);
        for (position, item) in list(entry, at, "paths", errors).iter().enumerate() {
            self.read_route(host.as_deref(), item, &format!("{at}.paths[{position}]"), errors);
        }
    }

    fn read_route(&mut self, host: Option<&str>, item: &Value, at: &str, errors: &mut Vec<ValidationError>) {
        let read: RouteLayout = read(item, at, errors);
        if let Some(name) = &read.name {
            self.names.name(name, at, errors);
        }
        if let (Some(host), Some(path_prefix)) = (host, &read.path_start) {
            let location = format!("{host}{path_prefix}");
            if let Some(other) = self.locations.note(location.clone(), at) {
                errors.push(ValidationError::DuplicateLocation { at: at.to_owned(), other, location });
            }
        }
        let targets = targets(&read, item, at, self.services, errors);
        // What is missing here has its error already.
        let (Some(name), Some(host), Some(path_prefix), Some(timeout_s)) =
            (read.name, host, read.path_start, read.give_up_s)
        else {
            return;
        };
        self.routes.push(Route {
            name,
            host: host.to_owned(),
            path_prefix,
            idempotency: read.kind,
            timeout_s,
            latency_target_s: read.goal_s.unwrap_or(timeout_s),
            rank: read.rank,
            targets,
            max_attempts: read.tries,
            public: read.public,
        });
    }
}

/// The host of an entry in the form in which it is looked up.
fn host(entry: &Map<String, Value>, at: &str, errors: &mut Vec<ValidationError>) -> Option<String> {
    let at = join(at, "host");
    match entry.get("host") {
        None | Some(Value::Null) => errors.push(ValidationError::Missing { at }),
        Some(Value::String(host)) => {
            let host = normalize_host(host);
            if !host.is_empty() {
                return Some(host.into_owned());
            }
            errors.push(ValidationError::BadValue { at, what: "is empty".to_owned() });
        }
        Some(other) => errors.push(wrong_type(&at, other, "a text")),
    }
    None
}

/// The services that a route goes to, with their weights. A split that isn't empty goes before a plain service.
fn targets(
    read: &RouteLayout,
    item: &Value,
    at: &str,
    services: &BTreeMap<String, Service>,
    errors: &mut Vec<ValidationError>,
) -> Vec<(String, u32)> {
    let plain = read.service.as_deref().filter(|service| !service.is_empty());
    let split = read.split.as_deref().unwrap_or_default();
    if let Some(service) = plain {
        check_service(service, || join(at, "service"), services, errors);
    }
    for (position, part) in split.iter().enumerate() {
        // A part without a service has its error already.
        if let Some(service) = part.service.as_deref().filter(|service| !service.is_empty()) {
            check_service(service, || format!("{at}.split[{position}].service"), services, errors);
        }
    }
    let mut targets: Vec<(String, u32)> = split.iter().filter_map(SplitLayout::target).collect();
    if let (Some(service), true) = (plain, split.is_empty()) {
        targets.push((service.to_owned(), 1));
    }
    // Where a field can't be read, that is the error.
    let is_unread =
        |field: &str, is_read: bool| !is_read && item.get(field).is_some_and(|value| !value.is_null());
    let has_unread = is_unread("service", read.service.is_some()) || is_unread("split", read.split.is_some());
    let has_complete_split = split.iter().all(|part| part.service.is_some() && part.weight.is_some());
    if targets.is_empty() && has_complete_split && !has_unread && item.is_object() {
        errors.push(ValidationError::NoTarget { at: at.to_owned() });
    }
    targets
}

impl SplitLayout {
    /// Service and weight, unless the weight is 0 or one of them is missing.
    fn target(&self) -> Option<(String, u32)> {
        let weight = self.weight.filter(|weight| *weight > 0)?;
        Some((self.service.clone()?, weight))
    }
}

fn check_service(
    service: &str,
    at: impl FnOnce() -> String,
    services: &BTreeMap<String, Service>,
    errors: &mut Vec<ValidationError>,
) {
    if !services.contains_key(service) {
        errors.push(ValidationError::UnknownService { at: at(), service: service.to_owned() });
    }
}
