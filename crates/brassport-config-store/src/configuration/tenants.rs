//! The tenants of a document.

use super::duplicates::FirstPositions;
use super::reader::{list, read};
use super::{validators, Tenant, ValidationError};
use schematic::Config;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// An item of `customers`.
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

/// Reads the tenants (`customers`) of a document, by name.
pub fn tenants(raw: &Map<String, Value>, errors: &mut Vec<ValidationError>) -> BTreeMap<String, Tenant> {
    let mut names = FirstPositions::default();
    let mut keys_so_far = FirstPositions::default();
    let mut tenants = BTreeMap::new();
    for (position, item) in list(raw, "", "customers", errors).iter().enumerate() {
        let at = format!("customers[{position}]");
        let read: TenantLayout = read(item, &at, errors);
        let keys = read.keys;
        for (position, key) in keys.iter().enumerate() {
            let at = format!("{at}.keys[{position}]");
            if let Some(other) = keys_so_far.note(key.clone(), &at) {
                errors.push(ValidationError::DuplicateKey { at, other });
            }
        }
        let Some(name) = read.name else { continue };
        names.name(&name, &at, errors);
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
