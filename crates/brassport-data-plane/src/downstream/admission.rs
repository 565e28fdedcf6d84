//! Phase 4: admission to the policy of the service, which schedules the attempts.

use super::authorize::AuthorizedRequest;
use super::body::OutgoingBody;
use super::rejection::Rejection;
use super::route::RoutedRequest;
use super::{GATEWAY_HEADERS, PROTECTED_HEADERS};
use crate::backend_protocol::TENANT;
use crate::data_plane::DataPlane;
use brassport_policy::Request;
use brassport_proxy::clock::Clock;
use brassport_proxy::dispatch::PendingRequest;
use brassport_proxy::network::Network;
use brassport_proxy::responses::forwarded_headers;
use brassport_proxy::upstream::{RequestBody, UpstreamRequest};
use brassport_types::TenantId;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;

/// A request that the policy has admitted.
pub(super) struct AdmittedRequest<C: Clock, N: Network> {
    /// The client's handle. Dropping it before the outcome is available reports the client as disconnected, and the
    /// policy cancels the attempts where that is allowed.
    pub(super) pending: PendingRequest<C, N>,
    pub(super) tenant: TenantId,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Routes a request and admits it to the policy of its service.
    pub(super) fn admit(
        &self,
        head: Parts,
        request: AuthorizedRequest,
        body: OutgoingBody,
    ) -> Result<AdmittedRequest<C, N>, Rejection> {
        let routed = self.route(&head, &request)?;
        self.resources.quotas.record_offered(routed.tenant);
        let policy_request = self.policy_request(&routed);
        let message = message(head, request.tenant.as_deref(), body.body);
        let RoutedRequest { service, tenant, .. } = routed;
        let id = request.id.unwrap_or_else(|| service.policy.generate_id());
        let pending = service
            .policy
            .admit(policy_request, id, message, request.timeout)
            .ok_or(Rejection::DuplicateRequest)?;
        if let Some(progress) = &body.progress {
            progress.on_complete(pending.completion_callback());
        }
        Ok(AdmittedRequest { pending, tenant })
    }

    fn policy_request(&self, routed: &RoutedRequest<C, N>) -> Request {
        Request {
            // The dispatcher sets the id and the deadline.
            id: 0,
            expires_in: 0.0,
            customer: u64::from(routed.tenant.0),
            plan: routed.plan,
            class: routed.class,
            units: 1.0,
            // The requests of a tenant are spread over all nodes.
            customer_gateways: self.resources.quotas.shares(),
            first_gateway: 0,
            is_client_retry: false,
        }
    }
}

/// Builds the request that is forwarded to a backend.
fn message(head: Parts, tenant: Option<&str>, body: RequestBody) -> UpstreamRequest {
    let mut headers = forwarded_headers(head.headers, &GATEWAY_HEADERS, &PROTECTED_HEADERS);
    if let Some(tenant) = tenant.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(TENANT, tenant);
    }
    let uri = head.uri.path_and_query().and_then(|target| target.as_str().parse().ok());
    UpstreamRequest { method: head.method, uri: uri.unwrap_or_default(), headers, body }
}
