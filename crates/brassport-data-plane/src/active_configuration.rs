//! The operator's configuration in the form in which requests read it; built once per version.

use brassport_config_store::configuration::{Configuration, RouteTable};

/// A configuration, indexed for lookups.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    /// The index of routes by host and path and of tenants by key.
    pub(crate) routes: RouteTable,
    /// Maximum size of a request body, in bytes.
    pub(crate) max_body_bytes: u64,
    /// Whether requests to non-public routes need a tenant's key.
    pub(crate) requires_key: bool,
}

impl ActiveConfiguration {
    pub(crate) fn new(configuration: &Configuration) -> ActiveConfiguration {
        ActiveConfiguration {
            routes: RouteTable::new(configuration),
            max_body_bytes: configuration.limits.max_body_bytes,
            requires_key: configuration.requires_key,
        }
    }
}
