//! Changes of a document (`Config.Change`), which remove, add and replace named items.

mod hosts;
mod items;

use super::reader::{join, list, wrong_type};
use super::{normalize_host, ValidationError};
use items::{name_of, put_items};
use serde_json::{Map, Value};
use std::collections::HashSet;

/// Applies a change to a document, and records the errors of the change itself.
pub fn apply(raw: &mut Map<String, Value>, change: &Map<String, Value>, errors: &mut Vec<ValidationError>) {
    let none = Map::new();
    let put = object(change, "put", errors).unwrap_or(&none);
    let remove = object(change, "remove", errors).unwrap_or(&none);
    let mut changed = ChangedDocument { raw, hosts_losing_routes: HashSet::new(), errors };
    for field in remove.keys() {
        changed.remove(remove, field);
    }
    for (field, value) in put {
        changed.put(put, field, value);
    }
    changed.remove_empty_hosts();
}

/// A document to which a change is being applied.
struct ChangedDocument<'a> {
    raw: &'a mut Map<String, Value>,
    /// Hosts that have lost a route. Those left without any route are removed at the end.
    hosts_losing_routes: HashSet<String>,
    errors: &'a mut Vec<ValidationError>,
}

impl ChangedDocument<'_> {
    /// Removes the items named by a field of `remove`.
    fn remove(&mut self, remove: &Map<String, Value>, field: &str) {
        let names = names(remove, field, self.errors);
        match field {
            "hosts" => {
                let removed: HashSet<_> = names.iter().map(|name| normalize_host(name)).collect();
                hosts::entries(self.raw)
                    .retain(|entry| !hosts::host_of(entry).is_some_and(|host| removed.contains(&*host)));
            }
            "routes" => {
                for entry in hosts::entries(self.raw) {
                    hosts::remove_routes(entry, |name| names.contains(name), &mut self.hosts_losing_routes);
                }
            }
            _ => {
                if let Some(Value::Array(items)) = self.raw.get_mut(field) {
                    items.retain(|item| !name_of(item).is_some_and(|name| names.contains(name)));
                }
            }
        }
    }

    /// Applies a field of `put`.
    fn put(&mut self, put: &Map<String, Value>, field: &str, value: &Value) {
        let path = join("put", field);
        match (field, value) {
            ("version", _) => self.errors.push(misplaced(&path, "the version stands beside `put`")),
            ("routes", _) => self.errors.push(misplaced(&path, "routes stand under `hosts`")),
            ("hosts", _) => {
                let entries = list(put, "put", field, self.errors);
                hosts::put_hosts(self.raw, entries, &mut self.hosts_losing_routes, self.errors);
            }
            ("services" | "customers", _) => {
                let items = list(put, "put", field, self.errors);
                put_items(self.raw, field, items, self.errors);
            }
            (_, Value::Array(items)) => put_items(self.raw, field, items, self.errors),
            (_, value) => {
                self.raw.insert(field.to_owned(), value.clone());
            }
        }
    }

    /// Removes the hosts that have lost their last route.
    fn remove_empty_hosts(&mut self) {
        if self.hosts_losing_routes.is_empty() {
            return;
        }
        hosts::entries(self.raw).retain(|entry| {
            let has_routes = hosts::paths_of(entry).is_some_and(|paths| !paths.is_empty());
            has_routes || !hosts::host_of(entry).is_some_and(|host| self.hosts_losing_routes.contains(&host))
        });
    }
}

fn misplaced(path: &str, hint: &str) -> ValidationError {
    ValidationError::InvalidValue { path: path.to_owned(), reason: format!("is out of place: {hint}") }
}

fn object<'a>(
    raw: &'a Map<String, Value>,
    field: &str,
    errors: &mut Vec<ValidationError>,
) -> Option<&'a Map<String, Value>> {
    match raw.get(field) {
        None | Some(Value::Null) => None,
        Some(Value::Object(object)) => Some(object),
        Some(other) => {
            errors.push(wrong_type(field, other, "an object"));
            None
        }
    }
}

/// The names listed in a field of `remove`.
fn names<'a>(
    remove: &'a Map<String, Value>,
    field: &str,
    errors: &mut Vec<ValidationError>,
) -> HashSet<&'a str> {
    let mut names = HashSet::new();
    for (position, name) in list(remove, "remove", field, errors).iter().enumerate() {
        match name {
            Value::String(name) => {
                names.insert(name.as_str());
            }
            other => errors.push(wrong_type(&format!("remove.{field}[{position}]"), other, "a name")),
        }
    }
    names
}
