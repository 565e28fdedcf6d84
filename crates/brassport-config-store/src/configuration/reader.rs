//! Deserializes the items of a document, each separately, so that all errors are reported together.

use super::ValidationError;
use schematic::{Config, ConfigError, PartialConfig, ValidateError};
use serde_json::{Map, Value};

/// The message of `schematic` for a missing required field.
const REQUIRED: &str = "this setting is required";

/// The type of a value as named in error messages.
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

/// The error for a value of the wrong type.
pub fn wrong_type(path: &str, found: &Value, expected: &str) -> ValidationError {
    ValidationError::WrongType {
        path: path.to_owned(),
        found: describe(found),
        expected: expected.to_owned(),
    }
}

/// The path of a field of the object at `path`.
pub fn join(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_owned()
    } else {
        format!("{path}.{field}")
    }
}

/// The items of a list field; empty if the field is omitted or null.
pub fn list<'a>(
    raw: &'a Map<String, Value>,
    path: &str,
    field: &str,
    errors: &mut Vec<ValidationError>,
) -> &'a [Value] {
    match raw.get(field) {
        None | Some(Value::Null) => &[],
        Some(Value::Array(items)) => items,
        Some(other) => {
            errors.push(wrong_type(&join(path, field), other, "a list"));
            &[]
        }
    }
}

/// The value if it is above 0, otherwise the default: a field that is omitted or 0 has its default value.
pub fn or_default_if_0<T: Default + PartialOrd>(value: T, default: T) -> T {
    if value > T::default() {
        value
    } else {
        default
    }
}

/// Deserializes an item as its layout and validates its fields, recording all errors. A field that can't be
/// deserialized is treated as omitted.
pub fn read<L>(item: &Value, path: &str, errors: &mut Vec<ValidationError>) -> L
where
    L: Config,
    L::Partial: PartialConfig<Context = ()>,
{
    let Value::Object(fields) = item else {
        errors.push(wrong_type(path, item, "an object"));
        return L::from_partial(L::Partial::default());
    };
    let read: L::Partial = match serde::Deserialize::deserialize(item) {
        Ok(read) => read,
        Err(_) => readable_fields(fields, path, errors),
    };
    record_invalid_fields(&read, fields, path, errors);
    // Filling in the defaults can't fail, since they are constants.
    L::from_partial(read.finalize(&()).unwrap_or_default())
}

/// Validates the single fields and records the errors.
fn record_invalid_fields<P: PartialConfig<Context = ()>>(
    read: &P,
    fields: &Map<String, Value>,
    path: &str,
    errors: &mut Vec<ValidationError>,
) {
    let Err(ConfigError::Validator { error, .. }) = read.validate(&(), true) else { return };
    for ValidateError { message, path: field } in error.errors {
        let field = field.to_string();
        let is_given = fields.get(&field).is_some_and(|value| !value.is_null());
        if message != REQUIRED {
            errors.push(ValidationError::InvalidValue { path: join(path, &field), reason: message });
        } else if !is_given {
            // For a field of the wrong type an error has been recorded already.
            errors.push(ValidationError::MissingField { path: join(path, &field) });
        }
    }
}

/// Deserializes the fields that are valid and records an error for each other one. Error messages don't contain the
/// values, as these may be keys.
fn readable_fields<P: PartialConfig>(
    fields: &Map<String, Value>,
    path: &str,
    errors: &mut Vec<ValidationError>,
) -> P {
    let mut readable = Map::new();
    for (name, value) in fields {
        let single = Value::Object(Map::from_iter([(name.clone(), value.clone())]));
        match <P as serde::Deserialize>::deserialize(&single) {
            Ok(_) => {
                readable.insert(name.clone(), value.clone());
            }
            Err(error) => {
                let text = error.to_string();
                let expected =
                    text.rsplit_once("expected ").map_or("another value", |(_, expected)| expected);
                errors.push(wrong_type(&join(path, name), value, expected));
            }
        }
    }
    serde::Deserialize::deserialize(&Value::Object(readable)).unwrap_or_default()
}
