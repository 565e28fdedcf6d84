//! Lists of named items: services, tenants, and a host's routes.

use crate::configuration::duplicates::FirstPositions;
use crate::configuration::reader::{join, wrong_type};
use crate::configuration::ValidationError;
use serde_json::{Map, Value};
use std::collections::HashMap;

/// The name of an item, if it has one.
pub fn name_of(item: &Value) -> Option<&str> {
    item.get("name").and_then(Value::as_str)
}

/// A list of the document. It is made if it isn't there, or is none.
pub fn items<'a>(raw: &'a mut Map<String, Value>, field: &str) -> &'a mut Vec<Value> {
    let value = raw.entry(field).or_insert(Value::Null);
    if !value.is_array() {
        *value = Value::Array(Vec::new());
    }
    match value {
        Value::Array(items) => items,
        _ => unreachable!("it was made a list just above"),
    }
}

/// The name of an item that is put, which must have one that no other has.
pub fn put_name<'a>(
    item: &'a Value,
    at: &str,
    names: &mut FirstPositions,
    errors: &mut Vec<ValidationError>,
) -> Option<&'a str> {
    match item.get("name") {
        Some(Value::String(name)) => {
            names.name(name, at, errors);
            Some(name)
        }
        _ if !item.is_object() => {
            errors.push(wrong_type(at, item, "an object"));
            None
        }
        None | Some(Value::Null) => {
            errors.push(ValidationError::Missing { at: join(at, "name") });
            None
        }
        Some(other) => {
            errors.push(wrong_type(&join(at, "name"), other, "a name"));
            None
        }
    }
}

/// Adds items to a list, or replaces those of the same name at their positions.
pub fn put_items(
    raw: &mut Map<String, Value>,
    field: &str,
    put: &[Value],
    errors: &mut Vec<ValidationError>,
) {
    let mut names = FirstPositions::default();
    for (position, item) in put.iter().enumerate() {
        put_name(item, &format!("put.{field}[{position}]"), &mut names, errors);
    }
    merge(items(raw, field), put);
}

/// Merges named items into a list. An item without a name, and the second of a name, have their errors already.
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
