//! The client limits of a document.

use super::reader::{or_default_if_0, read};
use super::{validators, Limits, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};

/// The fields of `limits`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct LimitsLayout {
    max_header_bytes: u64,
    max_body_bytes: u64,
    #[setting(validate = validators::not_negative)]
    header_wait_s: f64,
    #[setting(validate = validators::not_negative)]
    idle_wait_s: f64,
}

/// Reads the limits of a document; omitted limits and limits of 0 have their defaults.
pub fn limits(raw: &Map<String, Value>, errors: &mut Vec<ValidationError>) -> Limits {
    let defaults = Limits::default();
    let item = match raw.get("limits") {
        None | Some(Value::Null) => return defaults,
        Some(item) => item,
    };
    let read: LimitsLayout = read(item, "limits", errors);
    Limits {
        max_header_bytes: or_default_if_0(read.max_header_bytes, defaults.max_header_bytes),
        max_body_bytes: or_default_if_0(read.max_body_bytes, defaults.max_body_bytes),
        header_timeout_s: or_default_if_0(read.header_wait_s, defaults.header_timeout_s),
        idle_timeout_s: or_default_if_0(read.idle_wait_s, defaults.idle_timeout_s),
    }
}
