//! Phase 5: the response, either that of a backend or a rejection by the policy.

use super::admission::AdmittedRequest;
use super::rejection::Rejection;
use super::{GATEWAY_HEADERS, PROTECTED_HEADERS};
use crate::data_plane::DataPlane;
use brassport_proxy::body::ResponseBody;
use brassport_proxy::clock::Clock;
use brassport_proxy::dispatch::RequestOutcome;
use brassport_proxy::network::Network;
use brassport_proxy::responses::forwarded_headers;
use brassport_types::TenantId;
use hyper::Response;

/// How long a node counts as starting up. During this time the control plane may not have reported all backends yet, so
/// a lack of capacity is likely to end soon.
const STARTING_UP_MS: brassport_quota::Millis = 1_500;
/// Maximum suggested retry delay of a node that is starting up.
const MAX_STARTING_UP_RETRY_AFTER_MS: f64 = 300.0;

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Waits for the outcome of an admitted request and returns the response.
    pub(super) async fn response(&self, admitted: AdmittedRequest<C, N>) -> Response<ResponseBody> {
        match admitted.pending.outcome().await {
            RequestOutcome::Served(response) => forward(response),
            RequestOutcome::Rejected(retry_after_ms) => {
                self.rejected(admitted.tenant, retry_after_ms).into_response()
            }
            RequestOutcome::Failed => Rejection::NoResponse.into_response(),
        }
    }

    /// The reason for a rejection by the policy: the tenant's quota or a lack of capacity. The request has not run.
    fn rejected(&self, tenant: TenantId, retry_after_ms: f64) -> Rejection {
        let quotas = &self.resources.quotas;
        let is_starting_up = quotas.now() < STARTING_UP_MS;
        let retry_after_ms =
            if is_starting_up { retry_after_ms.min(MAX_STARTING_UP_RETRY_AFTER_MS) } else { retry_after_ms };
        if quotas.is_exhausted(tenant) {
            Rejection::QuotaExhausted { retry_after_ms }
        } else {
            Rejection::NoCapacity { retry_after_ms }
        }
    }
}

/// Builds the client's response from that of a backend.
fn forward(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(head.headers, &GATEWAY_HEADERS, &PROTECTED_HEADERS);
    response
}
