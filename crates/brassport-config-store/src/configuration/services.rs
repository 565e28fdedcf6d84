//! The services of a document.

use super::duplicates::FirstPositions;
use super::reader::{list, or_default_if_0, read};
use super::{validators, Service, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// How many connections a service's backend takes where the document doesn't say.
const DEFAULT_MAX_CONNECTIONS: u32 = 100;

/// An item of `services`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct ServiceLayout {
    #[setting(required, validate = validators::name)]
    name: Option<String>,
    #[setting(default = "/health", validate = validators::absolute_path)]
    health_path: String,
    max_connections: u32,
    #[setting(default = "h1")]
    protocol: String,
    tls: bool,
}

/// Reads the services of a document, by name.
pub fn services(raw: &Map<String, Value>, errors: &mut Vec<ValidationError>) -> BTreeMap<String, Service> {
    let mut names = FirstPositions::default();
    let mut services = BTreeMap::new();
    for (position, item) in list(raw, "", "services", errors).iter().enumerate() {
        let at = format!("services[{position}]");
        let read: ServiceLayout = read(item, &at, errors);
        let Some(name) = read.name else { continue };
        names.name(&name, &at, errors);
        let service = Service {
            health_path: read.health_path,
            max_connections: or_default_if_0(read.max_connections, DEFAULT_MAX_CONNECTIONS),
            protocol: read.protocol,
            tls: read.tls,
        };
        services.insert(name, service);
    }
    services
}
