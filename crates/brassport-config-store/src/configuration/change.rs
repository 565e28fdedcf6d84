//! `Config.Change`: named items go, come and are replaced.

use super::check::{list, Seen};
use super::layout::{join, wrong_type};
use super::{normalize_host, ValidationError};
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

/// Applies a change to a document, noting what the change itself gets wrong.
pub fn apply(raw: &mut Map<String, Value>, change: &Map<String, Value>, faults: &mut Vec<ValidationError>) {
    let none = Map::new();
    let put = object(change, "put", faults).unwrap_or(&none);
    let remove = object(change, "remove", faults).unwrap_or(&none);
    // Hosts that lost a route. Those left without any go in the end.
    let mut touched = HashSet::new();
    for field in remove.keys() {
        let names = names(remove, field, faults);
        match field.as_str() {
            "hosts" => {
                let gone: HashSet<_> = names.iter().map(|name| normalize_host(name)).collect();
                entries(raw).retain(|entry| !host_of(entry).is_some_and(|host| gone.contains(&*host)));
            }
            "routes" => {
                for entry in entries(raw) {
                    take(entry, |name| names.contains(name), &mut touched);
                }
            }
            _ => {
                if let Some(Value::Array(items)) = raw.get_mut(field) {
                    items.retain(|item| !name_of(item).is_some_and(|name| names.contains(name)));
                }
            }
        }
    }
    for (field, value) in put {
        let at = join("put", field);
        match (field.as_str(), value) {
            ("version", _) => faults.push(misplaced(&at, "the version stands beside `put`")),
            ("routes", _) => faults.push(misplaced(&at, "routes stand under `hosts`")),
            ("hosts", _) => put_hosts(raw, list(put, "put", field, faults), &mut touched, faults),
            ("services" | "customers", _) => {
                put_items(raw, field, list(put, "put", field, faults), faults);
            }
            (_, Value::Array(items)) => put_items(raw, field, items, faults),
            (_, whole) => {
                raw.insert(field.clone(), whole.clone());
            }
        }
    }
    if !touched.is_empty() {
        entries(raw).retain(|entry| {
            let left = paths_of(entry).is_some_and(|paths| !paths.is_empty());
            left || !host_of(entry).is_some_and(|host| touched.contains(&host))
        });
    }
}

fn misplaced(at: &str, what: &str) -> ValidationError {
    ValidationError::BadValue { at: at.to_owned(), what: format!("is out of place: {what}") }
}

fn object<'a>(
    raw: &'a Map<String, Value>,
    field: &str,
    faults: &mut Vec<ValidationError>,
) -> Option<&'a Map<String, Value>> {
    match raw.get(field) {
        None | Some(Value::Null) => None,
        Some(Value::Object(object)) => Some(object),
        Some(other) => {
            faults.push(wrong_type(field, other, "an object"));
            None
        }
    }
}

/// The names in a list of `remove`.
fn names<'a>(
    remove: &'a Map<String, Value>,
    field: &str,
    faults: &mut Vec<ValidationError>,
) -> HashSet<&'a str> {
    let mut names = HashSet::new();
    for (place, name) in list(remove, "remove", field, faults).iter().enumerate() {
        match name {
            Value::String(name) => {
                names.insert(name.as_str());
            }
            other => faults.push(wrong_type(&format!("remove.{field}[{place}]"), other, "a name")),
        }
    }
    names
}

fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

fn host_of(entry: &Value) -> Option<String> {
    entry.get("host").and_then(Value::as_str).map(|host| normalize_host(host).into_owned())
}

fn paths_of(entry: &Value) -> Option<&Vec<Value>> {
    entry.get("paths").and_then(Value::as_array)
}

/// A list of the document. It is made if it isn't there, or is null.
fn items<'a>(raw: &'a mut Map<String, Value>, field: &str) -> &'a mut Vec<Value> {
    let value = raw.entry(field).or_insert(Value::Null);
    if !value.is_array() {
        *value = Value::Array(Vec::new());
    }
    match value {
        Value::Array(items) => items,
        _ => unreachable!("it was made a list just above"),
    }
}

fn entries(raw: &mut Map<String, Value>) -> &mut Vec<Value> {
    items(raw, "hosts")
}

/// Takes routes out of a host's entry by their names, and notes the host if it lost one.
fn take(entry: &mut Value, goes: impl Fn(&str) -> bool, touched: &mut HashSet<String>) {
    let host = host_of(entry);
    let Some(Value::Array(paths)) = entry.get_mut("paths") else { return };
    let before = paths.len();
    paths.retain(|route| !name_of(route).is_some_and(&goes));
    if paths.len() < before {
        touched.extend(host);
    }
}

/// The name of a put item, which must have one that no other has.
fn put_name<'a>(
    item: &'a Value,
    at: &str,
    seen: &mut Seen,
    faults: &mut Vec<ValidationError>,
) -> Option<&'a str> {
    match item.get("name") {
        Some(Value::String(name)) => {
            seen.name(name, at, faults);
            Some(name)
        }
        _ if !item.is_object() => {
            faults.push(wrong_type(at, item, "an object"));
            None
        }
        None | Some(Value::Null) => {
            faults.push(ValidationError::Missing { at: join(at, "name") });
            None
        }
        Some(other) => {
            faults.push(wrong_type(&join(at, "name"), other, "a name"));
            None
        }
    }
}

/// Adds items to a list, or replaces those of the same name in their places.
fn put_items(raw: &mut Map<String, Value>, field: &str, put: &[Value], faults: &mut Vec<ValidationError>) {
    let mut seen = Seen::default();
    for (place, item) in put.iter().enumerate() {
        put_name(item, &format!("put.{field}[{place}]"), &mut seen, faults);
    }
    merge(items(raw, field), put);
}

/// Merges named items into a list. An item without a name, and the second of a name, have their
/// faults already.
fn merge(there: &mut Vec<Value>, put: &[Value]) {
    let mut places = HashMap::new();
    for (place, item) in there.iter().enumerate() {
        places.extend(name_of(item).map(|name| (name.to_owned(), place)));
    }
    for item in put {
        let Some(name) = name_of(item) else { continue };
        match places.get(name).and_then(|&place| there.get_mut(place)) {
            Some(old) => *old = item.clone(),
            None => {
                places.insert(name.to_owned(), there.len());
                there.push(item.clone());
            }
        }
    }
}

/// Adds routes under their hosts, or replaces those of the same name.
fn put_hosts(
    raw: &mut Map<String, Value>,
    put: &[Value],
    touched: &mut HashSet<String>,
    faults: &mut Vec<ValidationError>,
) {
    let entries = entries(raw);
    let mut places = HashMap::new();
    for (place, entry) in entries.iter().enumerate() {
        if let Some(host) = host_of(entry) {
            places.entry(host).or_insert(place);
        }
    }
    let mut seen = Seen::default();
    // Where the routes that are put stand afterwards, by name.
    let mut homes = HashMap::new();
    let mut merges = Vec::new();
    for (place, entry) in put.iter().enumerate() {
        let at = format!("put.hosts[{place}]");
        let Some((host, fields)) = put_host(entry, &at, faults) else { continue };
        let home = *places.entry(host).or_insert_with(|| {
            entries.push(Value::Object(Map::new()));
            entries.len() - 1
        });
        let routes = list(fields, &at, "paths", faults);
        for (place, route) in routes.iter().enumerate() {
            if let Some(name) = put_name(route, &format!("{at}.paths[{place}]"), &mut seen, faults) {
                homes.insert(name, home);
            }
        }
        merges.push((home, fields, routes));
    }
    for (place, entry) in entries.iter_mut().enumerate() {
        take(entry, |name| homes.get(name).is_some_and(|&home| home != place), touched);
    }
    for (home, fields, routes) in merges {
        let Some(Value::Object(entry)) = entries.get_mut(home) else { continue };
        for (name, value) in fields.iter().filter(|(name, _)| *name != "paths") {
            entry.insert(name.clone(), value.clone());
        }
        merge(items(entry, "paths"), routes);
    }
}

/// The host and the fields of an entry that is put.
fn put_host<'a>(
    entry: &'a Value,
    at: &str,
    faults: &mut Vec<ValidationError>,
) -> Option<(String, &'a Map<String, Value>)> {
    let Value::Object(fields) = entry else {
        faults.push(wrong_type(at, entry, "an object"));
        return None;
    };
    match fields.get("host") {
        Some(Value::String(host)) => return Some((normalize_host(host).into_owned(), fields)),
        None | Some(Value::Null) => faults.push(ValidationError::Missing { at: join(at, "host") }),
        Some(other) => faults.push(wrong_type(&join(at, "host"), other, "a text")),
    }
    None
}
