//! Lists of named items: services, tenants, and the routes of a host.

use crate::configuration::duplicates::FirstOccurrences;
use crate::configuration::reader::{join, wrong_type};
use crate::configuration::ValidationError;
use serde_json::{Map, Value};
use std::collections::HashMap;

/// The name of an item, if it has one.
pub fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

/// A list field of the document, which is replaced by an empty list if it is missing or not a list.
pub fn items<'a>(raw: &'a mut Map<String, Value>, field: &str) -> &'a mut Vec<Value> {
    let value = raw.entry(field).or_insert(Value::Null);
    if !value.is_array() {
        *value = Value::Array(Vec::new());
    }
    match value {
        Value::Array(items) => items,
        _ => unreachable!("the value was replaced by a list above"),
    }
}

/// The name of an item to put. Records an error if the item has no name, or the name of another item.
pub fn put_name<'a>(
    item: &'a Value,
    path: &str,
    names: &mut FirstOccurrences,
    errors: &mut Vec<ValidationError>,
) -> Option<&'a str> {
    match item.get("name") {
        Some(Value::String(name)) => {
            names.check_name(name, path, errors);
            Some(name)
        }
        _ if !item.is_object() => {
            errors.push(wrong_type(path, item, "an object"));
            None
        }
        None | Some(Value::Null) => {
            errors.push(ValidationError::MissingField { path: join(path, "name") });
            None
        }
        Some(other) => {
            errors.push(wrong_type(&join(path, "name"), other, "a name"));
            None
        }
    }
}

/// Adds items to a list field; an item replaces the one of the same name at its position.
pub fn put_items(
    raw: &mut Map<String, Value>,
    field: &str,
    put: &[Value],
    errors: &mut Vec<ValidationError>,
) {
    let mut names = FirstOccurrences::default();
    for (position, item) in put.iter().enumerate() {
        put_name(item, &format!("put.{field}[{position}]"), &mut names, errors);
    }
    merge(items(raw, field), put);
}

/// Merges named items into a list. For items without a name and for duplicate names, errors have been recorded already.
pub fn merge(existing: &mut Vec<Value>, put: &[Value]) {
    let mut positions = HashMap::new();
    for (position, item) in existing.iter().enumerate() {
        positions.extend(name_of(item).map(|name| (name.to_owned(), position)));
    }
    for item in put {
        let Some(name) = name_of(item) else { continue };
        match positions.get(name).and_then(|&position| existing.get_mut(position)) {
            Some(old) => *old = item.clone(),
            None => {
                positions.insert(name.to_owned(), existing.len());
                existing.push(item.clone());
            }
        }
    }
}
