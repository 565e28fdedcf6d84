//! Phases 4 and 5: admission by the service's policy, which makes the attempts, and the response.

use super::authorize::AuthorizedRequest;
use super::body::OutgoingBody;
use super::rejection::Rejection;
use super::route::RoutedRequest;
use super::{GATEWAY_HEADERS, PROTECTED_HEADERS};
use crate::backend_protocol::TENANT;
use crate::data_plane::DataPlane;
use brassport_policy::Request;
use brassport_proxy::answers::pass_on;
use brassport_proxy::backends::{Carried, Message};
use brassport_proxy::bodies::Answer;
use brassport_proxy::clock::Clock;
use brassport_proxy::door::{Answer as Outcome, Ticket};
use brassport_proxy::network::Network;
use brassport_types::TenantId;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::Response;

/// A node that started so lately learns of more backends from one moment to the next: while it has no capacity, it advises
/// to wait for so long at most.
const STARTING_UP_MS: brassport_quota::Millis = 1_500;
const STARTING_UP_RETRY_AFTER_MS: f64 = 300.0;

/// A request that the policy has admitted.
pub(super) struct AdmittedRequest<C: Clock, N: Network> {
    ticket: Ticket<C, N>,
    tenant: TenantId,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Routes a request and hands it to its service's policy.
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
        let id = request.id.unwrap_or_else(|| service.policy.unnamed());
        let ticket = service
            .policy
            .admit(policy_request, id, message, request.timeout)
            .ok_or(Rejection::DuplicateRequest)?;
        if let Some(progress) = &body.progress {
            progress.at_whole(ticket.at_whole());
        }
        Ok(AdmittedRequest { ticket, tenant })
    }

    fn policy_request(&self, routed: &RoutedRequest<C, N>) -> Request {
        Request {
            // The policy's host fills in the id and the deadline.
            id: 0,
            expires_in: 0.0,
            customer: u64::from(routed.tenant.0),
            plan: routed.plan,
            class: routed.class,
            units: 1.0,
            // A tenant's requests come through every node.
            spread: self.resources.quotas.shares(),
            first: 0,
            repeat: false,
        }
    }

    /// The response to an admitted request, once the policy has one.
    pub(super) async fn response(&self, admitted: AdmittedRequest<C, N>) -> Response<Answer> {
        match admitted.ticket.answer().await {
            Outcome::Served(response) => forward(response),
            Outcome::Refused(retry_after_ms) => {
                self.rejected(admitted.tenant, retry_after_ms).into_response()
            }
            Outcome::Failed => Rejection::NoResponse.into_response(),
        }
    }

    /// Beyond the tenant's limit, or without capacity: neither has run.
    fn rejected(&self, tenant: TenantId, retry_after_ms: f64) -> Rejection {
        let quotas = &self.resources.quotas;
        let is_starting_up = quotas.now() < STARTING_UP_MS;
        let retry_after_ms =
            if is_starting_up { retry_after_ms.min(STARTING_UP_RETRY_AFTER_MS) } else { retry_after_ms };
        if quotas.is_exhausted(tenant) {
            Rejection::QuotaExhausted { retry_after_ms }
        } else {
            Rejection::NoCapacity { retry_after_ms }
        }
    }
}

/// The request as it goes on to a backend.
fn message(head: Parts, tenant: Option<&str>, body: Carried) -> Message {
    let mut headers = pass_on(head.headers, &GATEWAY_HEADERS, &PROTECTED_HEADERS);
    if let Some(tenant) = tenant.and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(TENANT, tenant);
    }
    let uri = head.uri.path_and_query().and_then(|target| target.as_str().parse().ok());
    Message { method: head.method, uri: uri.unwrap_or_default(), headers, body }
}

/// A backend's response as it goes on to the client.
fn forward(response: Response<Answer>) -> Response<Answer> {
    let (head, body) = response.into_parts();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = pass_on(head.headers, &GATEWAY_HEADERS, &PROTECTED_HEADERS);
    response
}
