//! Phase 3: routing. Determines the service of a request, and its class and plan in the policy of the service.

use super::authorize::{header, AuthorizedRequest};
use super::rejection::Rejection;
use crate::active_configuration::ActiveConfiguration;
use crate::data_plane::DataPlane;
use crate::service::Service;
use crate::tenant_quotas::NO_TENANT;
use brassport_config_store::configuration::Route;
use brassport_proxy::clock::Clock;
use brassport_proxy::network::Network;
use brassport_types::{fnv1a_32, TenantId};
use hyper::header::HOST;
use hyper::http::request::Parts;
use std::rc::Rc;

/// The multiplier of Fibonacci hashing (2^64 divided by the golden ratio). It spreads the low bits of a hash, in which
/// similar ids differ, over the high bits.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The result of routing a request.
pub(super) struct RoutedRequest<C: Clock, N: Network> {
    pub(super) service: Rc<Service<C, N>>,
    pub(super) tenant: TenantId,
    /// The index of the class in the policy.
    pub(super) class: usize,
    /// The index of the plan in the policy.
    pub(super) plan: usize,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Routes a request by the active configuration. It may differ from the configuration by which the request was
    /// authorized, as the body was received in between.
    pub(super) fn route(
        &self,
        head: &Parts,
        request: &AuthorizedRequest,
    ) -> Result<RoutedRequest<C, N>, Rejection> {
        let configuration = self.configuration();
        let route = find(&configuration, head).ok_or(Rejection::NoRoute)?;
        let is_target = route.targets.iter().any(|(name, _)| *name == request.service);
        let name =
            if is_target { request.service.as_str() } else { service_of(route, request.id.as_deref()) };
        let service = self.service(name).ok_or(Rejection::NotConfigured)?;
        let (class, plan) = {
            let settings = service.policy_settings.borrow();
            (settings.class(route), request.tenant.as_deref().map_or(0, |name| settings.plan(name)))
        };
        let class = class.ok_or(Rejection::NotConfigured)?;
        let tenant = request.tenant.as_deref().map_or(NO_TENANT, TenantId::of_name);
        Ok(RoutedRequest { service, tenant, class, plan })
    }
}

/// The route that matches the host and the path of a request.
pub(super) fn find<'a>(configuration: &'a ActiveConfiguration, head: &Parts) -> Option<&'a Route> {
    let host = header(head, &HOST).or_else(|| head.uri.host()).unwrap_or_default();
    configuration.routes.route(host, head.uri.path())
}

/// Selects the target service of a route, by weight and by the hash of the request id, so that a client's retry goes to
/// the same service as the original request.
pub(super) fn service_of<'a>(route: &'a Route, id: Option<&str>) -> &'a str {
    let total: u64 = route.targets.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let hash = u64::from(fnv1a_32(id.unwrap_or_default())).wrapping_mul(HASH_MULTIPLIER) >> 32;
    let mut point = (hash * total.max(1)) >> 32;
    for (name, weight) in &route.targets {
        if point < u64::from(*weight) {
            return name;
        }
        point -= u64::from(*weight);
    }
    route.targets.first().map_or("", |(name, _)| name)
}
