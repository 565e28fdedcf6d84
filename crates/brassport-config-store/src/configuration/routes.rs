//! The routes of a document, which are listed under their hosts.

use super::duplicates::FirstOccurrences;
use super::reader::{join, list, read, wrong_type};
use super::{normalize_host, validators, Idempotency, Route, Service, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The fields of an item of a route's `split`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct SplitLayout {
    #[setting(required, validate = validators::name)]
    service: Option<String>,
    #[setting(required)]
    weight: Option<u32>,
}

/// The fields of an item of a host's `paths`.
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

/// Reads the routes of a document, in document order.
pub fn routes(
    raw: &Map<String, Value>,
    services: &BTreeMap<String, Service>,
    errors: &mut Vec<ValidationError>,
) -> Vec<Route> {
    let mut reader = RouteReader {
        services,
        names: FirstOccurrences::default(),
        locations: FirstOccurrences::default(),
        routes: Vec::new(),
    };
    for (position, entry) in list(raw, "", "hosts", errors).iter().enumerate() {
        let path = format!("hosts[{position}]");
        match entry {
            Value::Object(entry) => reader.read_host(entry, &path, errors),
            other => errors.push(wrong_type(&path, other, "an object")),
        }
    }
    reader.routes
}

/// Reads routes one by one, and detects duplicates of earlier ones.
struct RouteReader<'a> {
    services: &'a BTreeMap<String, Service>,
    names: FirstOccurrences,
    /// Concatenations of host and prefix.
    locations: FirstOccurrences,
    routes: Vec<Route>,
}

impl RouteReader<'_> {
    fn read_host(&mut self, entry: &Map<String, Value>, path: &str, errors: &mut Vec<ValidationError>) {
        let host = host(entry, path, errors);
        for (position, item) in list(entry, path, "paths", errors).iter().enumerate() {
            self.read_route(host.as_deref(), item, &format!("{path}.paths[{position}]"), errors);
        }
    }

    fn read_route(
        &mut self,
        host: Option<&str>,
        item: &Value,
        path: &str,
        errors: &mut Vec<ValidationError>,
    ) {
        let read: RouteLayout = read(item, path, errors);
        if let Some(name) = &read.name {
            self.names.check_name(name, path, errors);
        }
        if let (Some(host), Some(path_prefix)) = (host, &read.path_start) {
            let location = format!("{host}{path_prefix}");
            if let Some(first) = self.locations.insert(location.clone(), path) {
                errors.push(ValidationError::DuplicateLocation { path: path.to_owned(), first, location });
            }
        }
        let targets = targets(&read, item, path, self.services, errors);
        // For a missing value an error has been recorded already.
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

/// The normalized host of an entry.
fn host(entry: &Map<String, Value>, path: &str, errors: &mut Vec<ValidationError>) -> Option<String> {
    let path = join(path, "host");
    match entry.get("host") {
        None | Some(Value::Null) => errors.push(ValidationError::MissingField { path }),
        Some(Value::String(host)) => {
            let host = normalize_host(host);
            if !host.is_empty() {
                return Some(host.into_owned());
            }
            errors.push(ValidationError::InvalidValue { path, reason: "is empty".to_owned() });
        }
        Some(other) => errors.push(wrong_type(&path, other, "a text")),
    }
    None
}

/// The target services of a route with their weights. A split that is not empty takes precedence over a plain
/// `service`.
fn targets(
    read: &RouteLayout,
    item: &Value,
    path: &str,
    services: &BTreeMap<String, Service>,
    errors: &mut Vec<ValidationError>,
) -> Vec<(String, u32)> {
    let plain = read.service.as_deref().filter(|service| !service.is_empty());
    let split = read.split.as_deref().unwrap_or_default();
    if let Some(service) = plain {
        check_service(service, || join(path, "service"), services, errors);
    }
    for (position, part) in split.iter().enumerate() {
        // For an item without a service an error has been recorded already.
        if let Some(service) = part.service.as_deref().filter(|service| !service.is_empty()) {
            check_service(service, || format!("{path}.split[{position}].service"), services, errors);
        }
    }
    let mut targets: Vec<(String, u32)> = split.iter().filter_map(SplitLayout::target).collect();
    if let (Some(service), true) = (plain, split.is_empty()) {
        targets.push((service.to_owned(), 1));
    }
    // An error for an invalid field has been recorded already, so no other error is added for it.
    let is_invalid =
        |field: &str, is_valid: bool| !is_valid && item.get(field).is_some_and(|value| !value.is_null());
    let has_invalid =
        is_invalid("service", read.service.is_some()) || is_invalid("split", read.split.is_some());
    let has_complete_split = split.iter().all(|part| part.service.is_some() && part.weight.is_some());
    if targets.is_empty() && has_complete_split && !has_invalid && item.is_object() {
        errors.push(ValidationError::NoTarget { path: path.to_owned() });
    }
    targets
}

impl SplitLayout {
    /// Service and weight; `None` if the weight is 0 or one of the two is missing.
    fn target(&self) -> Option<(String, u32)> {
        let weight = self.weight.filter(|weight| *weight > 0)?;
        Some((self.service.clone()?, weight))
    }
}

fn check_service(
    service: &str,
    path: impl FnOnce() -> String,
    services: &BTreeMap<String, Service>,
    errors: &mut Vec<ValidationError>,
) {
    if !services.contains_key(service) {
        errors.push(ValidationError::UnknownService { path: path(), service: service.to_owned() });
    }
}
