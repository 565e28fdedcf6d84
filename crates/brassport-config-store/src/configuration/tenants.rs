//! The tenants of a document.

use super::duplicates::FirstOccurrences;
use super::reader::{list, read};
use super::{validators, Tenant, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The fields of an item of `customers`.
#[derive(Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct TenantLayout {
    #[setting(required, validate = validators::name)]
    name: Option<String>,
    #[setting(validate = validators::keys)]
    keys: Vec<String>,
    rank: u32,
    #[setting(validate = validators::not_negative)]
    rate_per_s: f64,
    #[setting(validate = validators::not_negative)]
    burst: f64,
}

/// Reads the tenants (`customers`) of a document, keyed by name.
pub fn tenants(raw: &Map<String, Value>, errors: &mut Vec<ValidationError>) -> BTreeMap<String, Tenant> {
    let mut names = FirstOccurrences::default();
    let mut key_paths = FirstOccurrences::default();
    let mut tenants = BTreeMap::new();
    for (position, item) in list(raw, "", "customers", errors).iter().enumerate() {
        let path = format!("customers[{position}]");
        let read: TenantLayout = read(item, &path, errors);
        let keys = read.keys;
        for (position, key) in keys.iter().enumerate() {
            let path = format!("{path}.keys[{position}]");
            if let Some(first) = key_paths.insert(key.clone(), &path) {
                errors.push(ValidationError::DuplicateKey { path, first });
            }
        }
        let Some(name) = read.name else { continue };
        names.check_name(&name, &path, errors);
        let tenant = Tenant {
            name: name.clone(),
            keys,
            rank: read.rank,
            rate_per_s: read.rate_per_s,
            burst: read.burst,
        };
        tenants.insert(name, tenant);
    }
    tenants
}
