//! Changes of hosts and their routes. A route put under another host moves to that host.

use super::items::{items, merge, name_of, put_name};
use crate::configuration::duplicates::FirstOccurrences;
use crate::configuration::reader::{join, list, wrong_type};
use crate::configuration::{normalize_host, ValidationError};
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// The entries of `hosts`.
pub fn entries(raw: &mut Map<String, Value>) -> &mut Vec<Value> {
    items(raw, "hosts")
}

/// The normalized host of an entry.
pub fn host_of(entry: &Value) -> Option<String> {
    entry.get("host").and_then(Value::as_str).map(|host| normalize_host(host).into_owned())
}

/// The routes of an entry.
pub fn paths_of(entry: &Value) -> Option<&Vec<Value>> {
    entry.get("paths").and_then(Value::as_array)
}

/// Removes routes of a host entry by their names, and records the host if it has lost one.
pub fn remove_routes(
    entry: &mut Value,
    is_removed: impl Fn(&str) -> bool,
    hosts_losing_routes: &mut HashSet<String>,
) {
    let host = host_of(entry);
    let Some(Value::Array(paths)) = entry.get_mut("paths") else { return };
    let before = paths.len();
    paths.retain(|route| !name_of(route).is_some_and(&is_removed));
    if paths.len() < before {
        hosts_losing_routes.extend(host);
    }
}

/// Adds routes to their hosts; a route replaces the one of the same name.
pub fn put_hosts(
    raw: &mut Map<String, Value>,
    put: &[Value],
    hosts_losing_routes: &mut HashSet<String>,
    errors: &mut Vec<ValidationError>,
) {
    let entries = entries(raw);
    let PutRoutes { positions, entries: put } = PutRoutes::read(entries, put, errors);
    for (position, entry) in entries.iter_mut().enumerate() {
        // Routes that are put under another host are removed from this one.
        let moves_away = |name: &str| positions.get(name).is_some_and(|&target| target != position);
        remove_routes(entry, moves_away, hosts_losing_routes);
    }
    for PutEntry { position, fields, routes } in put {
        let Some(Value::Object(entry)) = entries.get_mut(position) else { continue };
        for (name, value) in fields.iter().filter(|(name, _)| *name != "paths") {
            entry.insert(name.clone(), value.clone());
        }
        merge(items(entry, "paths"), routes);
    }
}

/// A host entry to put.
struct PutEntry<'a> {
    /// The position of the host's entry in the document.
    position: usize,
    fields: &'a Map<String, Value>,
    routes: &'a [Value],
}

/// All host entries to put, with their routes.
struct PutRoutes<'a> {
    /// The position of the host entry that each route is put under, by the route's name.
    positions: HashMap<&'a str, usize>,
    entries: Vec<PutEntry<'a>>,
}

impl<'a> PutRoutes<'a> {
    /// Reads the entries to put. For a new host, adds an empty entry to the document.
    fn read(entries: &mut Vec<Value>, put: &'a [Value], errors: &mut Vec<ValidationError>) -> PutRoutes<'a> {
        let mut hosts = host_positions(entries);
        let mut names = FirstOccurrences::default();
        let mut read = PutRoutes { positions: HashMap::new(), entries: Vec::new() };
        for (index, entry) in put.iter().enumerate() {
            let path = format!("put.hosts[{index}]");
            let Some((host, fields)) = put_host(entry, &path, errors) else { continue };
            let position = *hosts.entry(host).or_insert_with(|| {
                entries.push(Value::Object(Map::new()));
                entries.len() - 1
            });
            let routes = list(fields, &path, "paths", errors);
            for (index, route) in routes.iter().enumerate() {
                let path = format!("{path}.paths[{index}]");
                if let Some(name) = put_name(route, &path, &mut names, errors) {
                    read.positions.insert(name, position);
                }
            }
            read.entries.push(PutEntry { position, fields, routes });
        }
        read
    }
}

/// The position of the first entry of each host.
fn host_positions(entries: &[Value]) -> HashMap<String, usize> {
    let mut positions = HashMap::new();
    for (position, entry) in entries.iter().enumerate() {
        if let Some(host) = host_of(entry) {
            positions.entry(host).or_insert(position);
        }
    }
    positions
}

/// The normalized host and the fields of an entry to put.
fn put_host<'a>(
    entry: &'a Value,
    path: &str,
    errors: &mut Vec<ValidationError>,
) -> Option<(String, &'a Map<String, Value>)> {
    let Value::Object(fields) = entry else {
        errors.push(wrong_type(path, entry, "an object"));
        return None;
    };
    match fields.get("host") {
        Some(Value::String(host)) => return Some((normalize_host(host).into_owned(), fields)),
        None | Some(Value::Null) => errors.push(ValidationError::MissingField { path: join(path, "host") }),
        Some(other) => errors.push(wrong_type(&join(path, "host"), other, "a text")),
    }
    None
}
