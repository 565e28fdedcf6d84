//! Parses the complete document as a [`Configuration`], including the constraints across items.

use super::limits::limits;
use super::reader::wrong_type;
use super::routes::routes;
use super::services::services;
use super::tenants::tenants;
use super::{Configuration, ValidationError, ValidationErrors, Version};
use serde_json::{Map, Value};

/// Parses a document. If `current` is given, the document's version has to be above it.
pub fn configuration(
    raw: &Map<String, Value>,
    current: Option<Version>,
) -> Result<Configuration, ValidationErrors> {
    let mut errors = Vec::new();
    let version = version(raw, current, &mut errors);
    let services = services(raw, &mut errors);
    let limits = limits(raw, &mut errors);
    let tenants = tenants(raw, &mut errors);
    let routes = routes(raw, &services, &mut errors);
    if !errors.is_empty() {
        return Err(ValidationErrors(errors));
    }
    let requires_key = !tenants.is_empty();
    Ok(Configuration {
        version: version.unwrap_or_default(),
        services,
        limits,
        tenants,
        routes,
        requires_key,
    })
}

/// Parses the field `version`, and compares it with the current version, if that is given.
pub fn version(
    raw: &Map<String, Value>,
    current: Option<Version>,
    errors: &mut Vec<ValidationError>,
) -> Option<Version> {
    let text = match raw.get("version") {
        None | Some(Value::Null) => {
            errors.push(ValidationError::MissingField { path: "version".to_owned() });
            return None;
        }
        Some(Value::String(text)) => text,
        Some(other) => {
            errors.push(wrong_type("version", other, "a text of eight hexadecimal digits"));
            return None;
        }
    };
    match (text.parse::<Version>(), current) {
        (Ok(sent), Some(current)) if sent <= current => {
            errors.push(ValidationError::StaleVersion { sent, current });
            None
        }
        (Ok(sent), _) => Some(sent),
        (Err(error), _) => {
            errors.push(ValidationError::InvalidValue {
                path: "version".to_owned(),
                reason: error.to_string(),
            });
            None
        }
    }
}
