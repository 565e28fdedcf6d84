//! The services of a document.

use super::duplicates::FirstOccurrences;
use super::reader::{list, or_default_if_0, read};
use super::{validators, Service, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Default of `maxConnections`: how many connections a backend accepts from all callers together.
const DEFAULT_MAX_CONNECTIONS: u32 = 100;

/// The fields of an item of `services`.
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

/// Reads the services of a document, keyed by name.
pub fn services(raw: &Map<String, Value>, errors: &mut Vec<ValidationError>) -> BTreeMap<String, Service> {
    let mut names = FirstOccurrences::default();
    let mut services = BTreeMap::new();
    for (position, item) in list(raw, "", "services", errors).iter().enumerate() {
        let path = format!("services[{position}]");
        let read: ServiceLayout = read(item, &path, errors);
        let Some(name) = read.name else { continue };
        names.check_name(&name, &path, errors);
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
