//! Hosts and their routes: a route that is put under another host moves there.

use super::items::{items, merge, name_of, put_name};
use crate::configuration::duplicates::FirstPositions;
use crate::configuration::reader::{join, list, wrong_type};
use crate::configuration::{normalize_host, ValidationError};
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// The entries of the hosts.
pub fn entries(raw: &mut Map<String, Value>) -> &mut Vec<Value> {
    items(raw, "hosts")
}

/// The host of an entry, as it is looked up.
pub fn host_of(entry: &Value) -> Option<String> {
    entry.get("host").and_then(Value::as_str).map(|host| normalize_host(host).into_owned())
}

/// The routes of an entry.
pub fn paths_of(entry: &Value) -> Option<&Vec<Value>> {
    entry.get("paths").and_then(Value::as_array)
}

/// Removes routes of a host by their names, and notes the host if it lost one.
pub fn remove_routes(
    entry: &mut Value,
    is_removed: impl Fn(&str) -> bool,
    hosts_with_losses: &mut HashSet<String>,
) {
    let host = host_of(entry);
    let Some(Value::Array(paths)) = entry.get_mut("paths") else { return };
    let before = paths.len();
    paths.retain(|route| !name_of(route).is_some_and(&is_removed));
    if paths.len() < before {
        hosts_with_losses.extend(host);
    }
}

/// Adds routes under their hosts, or replaces those of the same name.
pub fn put_hosts(
    raw: &mut Map<String, Value>,
    put: &[Value],
    hosts_with_losses: &mut HashSet<String>,
    errors: &mut Vec<ValidationError>,
) {
    let entries = entries(raw);
    let PutRoutes { positions, entries: put } = PutRoutes::read(entries, put, errors);
    for (position, entry) in entries.iter_mut().enumerate() {
        // What is put under another host is no longer here.
        let moves_away = |name: &str| positions.get(name).is_some_and(|&target| target != position);
        remove_routes(entry, moves_away, hosts_with_losses);
    }
    for PutEntry { position, fields, routes } in put {
        let Some(Value::Object(entry)) = entries.get_mut(position) else { continue };
        for (name, value) in fields.iter().filter(|(name, _)| *name != "paths") {
            entry.insert(name.clone(), value.clone());
        }
        merge(items(entry, "paths"), routes);
    }
}

/// An entry of a host that is put.
struct PutEntry<'a> {
    /// Where the host stands in the document.
    position: usize,
    fields: &'a Map<String, Value>,
    routes: &'a [Value],
}

/// All that is put under hosts.
struct PutRoutes<'a> {
    /// The position of the host under which each route stands afterwards, by the route's name.
    positions: HashMap<&'a str, usize>,
    entries: Vec<PutEntry<'a>>,
}

impl<'a> PutRoutes<'a> {
    /// Reads what is put; a host that is new gets an empty entry.
    fn read(entries: &mut Vec<Value>, put: &'a [Value], errors: &mut Vec<ValidationError>) -> PutRoutes<'a> {
        let mut hosts = host_positions(entries);
        let mut names = FirstPositions::default();
        let mut read = PutRoutes { positions: HashMap::new(), entries: Vec::new() };
        for (number, entry) in put.iter().enumerate() {
            let at = format!("put.hosts[{number}]");
            let Some((host, fields)) = put_host(entry, &at, errors) else { continue };
            let position = *hosts.entry(host).or_insert_with(|| {
                entries.push(Value::Object(Map::new()));
                entries.len() - 1
            });
            let routes = list(fields, &at, "paths", errors);
            for (number, route) in routes.iter().enumerate() {
                let at = format!("{at}.paths[{number}]");
                if let Some(name) = put_name(route, &at, &mut names, errors) {
                    read.positions.insert(name, position);
                }
            }
            read.entries.push(PutEntry { position, fields, routes });
        }
        read
    }
}

/// Where each host stands first.
fn host_positions(entries: &[Value]) -> HashMap<String, usize> {
    let mut positions = HashMap::new();
    for (position, entry) in entries.iter().enumerate() {
        if let Some(host) = host_of(entry) {
            positions.entry(host).or_insert(position);
        }
    }
    positions
}

/// The host and the fields of an entry that is put.
fn put_host<'a>(
    entry: &'a Value,
    at: &str,
    errors: &mut Vec<ValidationError>,
) -> Option<(String, &'a Map<String, Value>)> {
    let Value::Object(fields) = entry else {
        errors.push(wrong_type(at, entry, "an object"));
        return None;
    };
    match fields.get("host") {
        Some(Value::String(host)) => return Some((normalize_host(host).into_owned(), fields)),
        None | Some(Value::Null) => errors.push(ValidationError::Missing { at: join(at, "host") }),
        Some(other) => errors.push(wrong_type(&join(at, "host"), other, "a text")),
    }
    None
}
