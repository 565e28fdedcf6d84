//! The downstream side. The phases of a request, in order:
//!
//! 1. authorization by the head: configuration, duplicate headers, route, key and deadline;
//! 2. body: buffered completely, or up to the point from which it is streamed;
//! 3. routing: the service, the class and the plan, looked up in the configuration that is active at that time;
//! 4. admission to the policy of the service, which schedules the attempts;
//! 5. response: that of a backend, or a rejection.
//!
//! A request that is rejected in one phase skips the following ones. A rejection in phase 1 is sent after phase 2, so
//! that the connection is reusable if the body is short.

mod admission;
mod authorize;
mod body;
mod rejection;
mod response;
mod route;
mod server;

pub use server::serve;

use crate::backend_protocol::{EXPECTED_BACKEND, REQUEST_ID, TENANT, TIME_LEFT_MS};
use crate::data_plane::DataPlane;
use brassport_proxy::body::ResponseBody;
use brassport_proxy::clock::Clock;
use brassport_proxy::downstream::DownstreamConnection;
use brassport_proxy::network::Network;
use brassport_proxy::responses::has_ambiguous_length;
use hyper::body::Incoming;
use hyper::header::{HeaderName, AUTHORIZATION};
use hyper::{Request, Response};
use rejection::Rejection;
use std::rc::Rc;

/// Headers that only the gateway may set or read. They are removed from forwarded requests and responses.
const GATEWAY_HEADERS: [HeaderName; 3] = [AUTHORIZATION, TENANT, EXPECTED_BACKEND];
/// Headers that are forwarded even if a client names them in `Connection`.
const PROTECTED_HEADERS: [HeaderName; 2] = [REQUEST_ID, TIME_LEFT_MS];

/// A response. An `Err` is the last response on its connection, because the rest of the request may still arrive or the
/// received bytes cannot be trusted.
type ResponseOrLast = Result<Response<ResponseBody>, Response<ResponseBody>>;

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Processes a request through all phases.
    pub(crate) async fn respond(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &DownstreamConnection<C>,
    ) -> ResponseOrLast {
        if has_ambiguous_length(request.headers(), client) {
            return Err(Rejection::AmbiguousFraming.into_response());
        }
        let (head, body) = request.into_parts();
        let authorized = self.authorize(&head);
        let limit = authorized.as_ref().ok().map(|authorized| authorized.max_body_bytes);
        let body = self.receive_body(body, limit, client).await.map_err(Rejection::into_response)?;
        let authorized = match authorized {
            Ok(authorized) => authorized,
            Err(rejection) if body.is_complete() => return Ok(rejection.into_response()),
            Err(rejection) => return Err(rejection.into_response()),
        };
        let body = body.into_upload(&self.resources.clock, authorized.timeout);
        let progress = body.progress.clone();
        let admitted = self.admit(head, authorized, body);
        let response = match admitted {
            Ok(admitted) => self.response(admitted).await,
            Err(rejection) => rejection.into_response(),
        };
        // After a response to an incomplete upload, the rest of the request's body could not be distinguished from a
        // new request.
        if progress.is_none_or(|progress| progress.completed_at().is_some()) {
            Ok(response)
        } else {
            Err(response)
        }
    }
}
