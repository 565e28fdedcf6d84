//! What a request reads of the operator's configuration, built once for each version.

use brassport_config_store::configuration::{Configuration, RouteTable};

/// A configuration, indexed for lookups.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    /// Routes by host and path, tenants by key.
    pub(crate) routes: RouteTable,
    /// The largest body of a request.
    pub(crate) max_body_bytes: u64,
    /// Whether a route that is not public needs a tenant's key.
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
