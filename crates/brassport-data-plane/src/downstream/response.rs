//! Phase 5: the response, which is a backend's, or the policy's rejection.

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

/// A node that started so lately learns of more backends from one moment to the next: while it has no capacity, it advises
/// to wait for so long at most.
const STARTING_UP_MS: brassport_quota::Millis = 1_500;
const STARTING_UP_RETRY_AFTER_MS: f64 = 300.0;

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// The response to an admitted request, once the policy has one.
    pub(super) async fn response(&self, admitted: AdmittedRequest<C, N>) -> Response<ResponseBody> {
        match admitted.pending.outcome().await {
            RequestOutcome::Served(response) => forward(response),
            RequestOutcome::Rejected(retry_after_ms) => {
                self.rejected(admitted.tenant, retry_after_ms).into_response()
            }
            RequestOutcome::Failed => Rejection::NoResponse.into_response(),
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

/// A backend's response as it goes on to the client.
fn forward(response: Response<ResponseBody>) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded_headers(head.headers, &GATEWAY_HEADERS, &PROTECTED_HEADERS);
    response
}
