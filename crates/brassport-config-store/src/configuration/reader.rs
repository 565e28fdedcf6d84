//! Reads items of the document: each by itself, so that all errors are reported together.

use super::ValidationError;
use schematic::{Config, ConfigError, PartialConfig, ValidateError};
use serde_json::{Map, Value};

/// What `schematic` says of a field that must be there.
const REQUIRED: &str = "this setting is required";

/// The type of a value, for people.
fn describe(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number out of range or of another kind",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Notes that a value is of the wrong type.
pub fn wrong_type(at: &str, found: &Value, wanted: &str) -> ValidationError {
    ValidationError::WrongType { at: at.to_owned(), found: describe(found), wanted: wanted.to_owned() }
}

/// Joins a path and a field.
pub fn join(at: &str, field: &str) -> String {
    if at.is_empty() {
        field.to_owned()
    } else {
        format!("{at}.{field}")
    }
}

/// The items of a list; none where it is left out.
pub fn list<'a>(
    raw: &'a Map<String, Value>,
    at: &str,
    field: &str,
    errors: &mut Vec<ValidationError>,
) -> &'a [Value] {
    match raw.get(field) {
        None | Some(Value::Null) => &[],
        Some(Value::Array(items)) => items,
        Some(other) => {
            errors.push(wrong_type(&join(at, field), other, "a list"));
            &[]
        }
    }
}

/// A value, or its default where it is 0 or left out.
pub fn or_default_if_0<T: Default + PartialOrd>(value: T, default: T) -> T {
    if value > T::default() {
        value
    } else {
        default
    }
}

/// Reads an item as its layout and checks its fields, noting all errors. What can't be read is
/// left out of the layout, as if the document didn't have it.
pub fn read<L>(item: &Value, at: &str, errors: &mut Vec<ValidationError>) -> L
where
    L: Config,
    L::Partial: PartialConfig<Context = ()>,
{
    let Value::Object(fields) = item else {
        errors.push(wrong_type(at, item, "an object"));
        return L::from_partial(L::Partial::default());
    };
    let read: L::Partial = match serde::Deserialize::deserialize(item) {
        Ok(read) => read,
        Err(_) => readable_fields(fields, at, errors),
    };
    note_invalid_fields(&read, fields, at, errors);
    // The defaults are constants: they can always be put in.
    L::from_partial(read.finalize(&()).unwrap_or_default())
}

/// Runs the checks of single fields, and notes what they find.
fn note_invalid_fields<P: PartialConfig<Context = ()>>(
    read: &P,
    fields: &Map<String, Value>,
    at: &str,
    errors: &mut Vec<ValidationError>,
) {
    let Err(ConfigError::Validator { error, .. }) = read.validate(&(), true) else { return };
    for ValidateError { message, path } in error.errors {
        let field = path.to_string();
        let is_given = fields.get(&field).is_some_and(|value| !value.is_null());
        if message != REQUIRED {
            errors.push(ValidationError::BadValue { at: join(at, &field), what: message });
        } else if !is_given {
            // A field of the wrong type has its error already.
            errors.push(ValidationError::Missing { at: join(at, &field) });
        }
    }
}

/// Reads the fields that can be read, and notes those that can't. The values themselves are not
/// repeated: they may be keys.
fn readable_fields<P: PartialConfig>(
    fields: &Map<String, Value>,
    at: &str,
    errors: &mut Vec<ValidationError>,
) -> P {
    let mut readable = Map::new();
    for (name, value) in fields {
        let alone = Value::Object(Map::from_iter([(name.clone(), value.clone())]));
        match <P as serde::Deserialize>::deserialize(&alone) {
            Ok(_) => {
                readable.insert(name.clone(), value.clone());
            }
            Err(error) => {
                let text = error.to_string();
                let wanted = text.rsplit_once("expected ").map_or("another value", |(_, wanted)| wanted);
                errors.push(wrong_type(&join(at, name), value, wanted));
            }
        }
    }
    serde::Deserialize::deserialize(&Value::Object(readable)).unwrap_or_default()
}
