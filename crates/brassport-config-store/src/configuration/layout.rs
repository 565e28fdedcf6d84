//! The layouts of the document's items, with the checks that concern one field.

use super::{Idempotency, ValidationError};
use schematic::{Config, ConfigError, PartialConfig, PathSegment, ValidateError, ValidateResult};
use serde_json::{Map, Value};

/// The longest `giveUpS`: ten minutes.
const LONGEST_GIVE_UP_S: f64 = 600.0;

/// An item of `services`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
pub struct ServiceLayout {
    #[setting(required, validate = named)]
    pub name: Option<String>,
    #[setting(default = "/health", validate = absolute_path)]
    pub health_path: String,
    pub max_connections: u32,
    #[setting(default = "h1")]
    pub protocol: String,
    pub tls: bool,
}

/// The `limits`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
pub struct LimitsLayout {
    pub max_header_bytes: u64,
    pub max_body_bytes: u64,
    #[setting(validate = not_negative)]
    pub header_wait_s: f64,
    #[setting(validate = not_negative)]
    pub idle_wait_s: f64,
}

/// An item of `customers`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
pub struct TenantLayout {
    #[setting(required, validate = named)]
    pub name: Option<String>,
    #[setting(validate = keys)]
    pub keys: Vec<String>,
    pub rank: u32,
    #[setting(validate = not_negative)]
    pub rate_per_s: f64,
    #[setting(validate = not_negative)]
    pub burst: f64,
}

/// A part of a route's `split`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
pub struct SplitLayout {
    #[setting(required, validate = named)]
    pub service: Option<String>,
    #[setting(required)]
    pub weight: Option<u32>,
}

/// An item of a host's `paths`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
pub struct RouteLayout {
    #[setting(required, validate = named)]
    pub name: Option<String>,
    #[setting(required, validate = prefix)]
    pub path_start: Option<String>,
    pub kind: Idempotency,
    #[setting(required, validate = give_up)]
    pub give_up_s: Option<f64>,
    #[setting(validate = above_0)]
    pub goal_s: Option<f64>,
    pub rank: u32,
    pub service: Option<String>,
    #[setting(nested)]
    pub split: Option<Vec<SplitLayout>>,
    #[setting(default = 1, validate = tries)]
    pub tries: u32,
    pub public: bool,
}

fn refuse_unless(fine: bool, why: &str) -> ValidateResult {
    if fine {
        Ok(())
    } else {
        Err(ValidateError::new(why))
    }
}

fn named<D, C>(value: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    refuse_unless(!value.is_empty(), "is empty")?;
    refuse_unless(!value.chars().any(char::is_control), "has a control character")
}

fn absolute_path<D, C>(value: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    refuse_unless(value.starts_with('/'), "does not begin with a slash")?;
    let plain = !value.chars().any(|letter| letter.is_control() || letter == ' ');
    refuse_unless(plain, "has a space or a control character")
}

fn prefix<D, C>(value: &str, data: &D, context: &C, finalizing: bool) -> ValidateResult {
    absolute_path(value, data, context, finalizing)?;
    refuse_unless(value.ends_with('/'), "does not end with a slash")
}

fn above_0<D, C>(value: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    refuse_unless(*value > 0.0, "is not above 0")
}

fn give_up<D, C>(value: &f64, data: &D, context: &C, finalizing: bool) -> ValidateResult {
    above_0(value, data, context, finalizing)?;
    refuse_unless(*value <= LONGEST_GIVE_UP_S, "is over ten minutes (600)")
}

fn not_negative<D, C>(value: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    refuse_unless(*value >= 0.0, "is negative")
}

fn tries<D, C>(value: &u32, _: &D, _: &C, _: bool) -> ValidateResult {
    refuse_unless(*value > 0, "is 0: a request is sent to one backend at least")
}

fn keys<D, C>(value: &[String], _: &D, _: &C, _: bool) -> ValidateResult {
    match value.iter().position(String::is_empty) {
        Some(place) => Err(ValidateError::with_segment("is empty", PathSegment::Index(place))),
        None => Ok(()),
    }
}

/// What kind of value this is, for people.
pub fn kind_of(value: &Value) -> &'static str {
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
    ValidationError::WrongType { at: at.to_owned(), found: kind_of(found), wanted: wanted.to_owned() }
}

/// Joins a path and a field.
pub fn join(at: &str, field: &str) -> String {
    if at.is_empty() {
        field.to_owned()
    } else {
        format!("{at}.{field}")
    }
}

/// Reads an item as its layout and checks its fields, noting all faults. What can't be read is
/// left out of the layout, as if the document didn't have it.
pub fn read<L>(item: &Value, at: &str, faults: &mut Vec<ValidationError>) -> L
where
    L: Config,
    L::Partial: PartialConfig<Context = ()>,
{
    let Value::Object(fields) = item else {
        faults.push(wrong_type(at, item, "an object"));
        return L::from_partial(L::Partial::default());
    };
    let read: L::Partial = match serde::Deserialize::deserialize(item) {
        Ok(read) => read,
        Err(_) => readable_fields(fields, at, faults),
    };
    if let Err(ConfigError::Validator { error, .. }) = read.validate(&(), true) {
        for ValidateError { message, path } in error.errors {
            let field = path.to_string();
            let known = fields.get(&field).is_some_and(|value| !value.is_null());
            if message == "this setting is required" {
                // A field of the wrong type has its fault already.
                if !known {
                    faults.push(ValidationError::Missing { at: join(at, &field) });
                }
            } else {
                faults.push(ValidationError::BadValue { at: join(at, &field), what: message });
            }
        }
    }
    // The defaults are constants: they can always be put in.
    L::from_partial(read.finalize(&()).unwrap_or_default())
}

/// Reads the fields that can be read, and notes those that can't. The values themselves are not
/// repeated: they may be keys.
fn readable_fields<P: PartialConfig>(
    fields: &Map<String, Value>,
    at: &str,
    faults: &mut Vec<ValidationError>,
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
                faults.push(wrong_type(&join(at, name), value, wanted));
            }
        }
    }
    serde::Deserialize::deserialize(&Value::Object(readable)).unwrap_or_default()
}
