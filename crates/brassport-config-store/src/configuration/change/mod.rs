//! `Config.Change`: named items are removed, added and replaced.

mod hosts;
mod items;

use super::reader::{join, list, wrong_type};
use super::{normalize_host, ValidationError};
use items::{name_of, put_items};
use serde_json::{Map, Value};
use std::collections::HashSet;

/// Applies a change to a document, noting what the change itself gets wrong.
pub fn apply(raw: &mut Map<String, Value>, change: &Map<String, Value>, errors: &mut Vec<ValidationError>) {
    let none = Map::new();
    let put = object(change, "put", errors).unwrap_or(&none);
    let remove = object(change, "remove", errors).unwrap_or(&none);
    let mut changed = ChangedDocument { raw, hosts_with_losses: HashSet::new(), errors };
    for field in remove.keys() {
        changed.remove(remove, field);
    }
    for (field, value) in put {
        changed.put(put, field, value);
    }
    changed.remove_empty_hosts();
}

/// A document while a change is applied to it.
struct ChangedDocument<'a> {
    raw: &'a mut Map<String, Value>,
    /// Hosts that lost a route. Those without any are removed in the end.
    hosts_with_losses: HashSet<String>,
    errors: &'a mut Vec<ValidationError>,
}

impl ChangedDocument<'_> {
    /// Removes the items that a field of `remove` names.
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
                    hosts::remove_routes(entry, |name| names.contains(name), &mut self.hosts_with_losses);
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
        let at = join("put", field);
        match (field, value) {
            ("version", _) => self.errors.push(misplaced(&at, "the version stands beside `put`")),
            ("routes", _) => self.errors.push(misplaced(&at, "routes stand under `hosts`")),
            ("hosts", _) => {
                let entries = list(put, "put", field, self.errors);
                hosts::put_hosts(self.raw, entries, &mut self.hosts_with_losses, self.errors);
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

    /// Removes hosts that lost their last route.
    fn remove_empty_hosts(&mut self) {
        if self.hosts_with_losses.is_empty() {
            return;
        }
        hosts::entries(self.raw).retain(|entry| {
            let has_routes = hosts::paths_of(entry).is_some_and(|paths| !paths.is_empty());
            has_routes || !hosts::host_of(entry).is_some_and(|host| self.hosts_with_losses.contains(&host))
        });
    }
}

fn misplaced(at: &str, what: &str) -> ValidationError {
    ValidationError::BadValue { at: at.to_owned(), what: format!("is out of place: {what}") }
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

/// The names in a list of `remove`.
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
