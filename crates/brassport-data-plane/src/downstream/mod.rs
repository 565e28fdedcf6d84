//! The clients' side. The phases of a request, in their order:
//!
//! 1. authorization by the head alone: configuration, duplicate headers, route, key, deadline;
//! 2. body: read to its end, or to where it is streamed;
//! 3. route: the service, the class and the plan, looked up in the configuration that is in force by then;
//! 4. admission by the service's policy, which makes the attempts;
//! 5. response: the backend's, or the rejection's.
//!
//! A phase that rejects ends the request. A rejection by the head alone waits for a short body, so that the connection can
//! be used again.

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

/// Headers that only the gateway may set, or see: removed from requests and from responses.
const GATEWAY_HEADERS: [HeaderName; 3] = [AUTHORIZATION, TENANT, EXPECTED_BACKEND];
/// Headers that a client can't have removed by naming them in `Connection`.
const PROTECTED_HEADERS: [HeaderName; 2] = [REQUEST_ID, TIME_LEFT_MS];

/// A response; an error if it is the last on its connection, as more of the request may still come, or as what came can't
/// be trusted.
type ResponseOrLast = Result<Response<ResponseBody>, Response<ResponseBody>>;

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Takes a request through its phases.
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
        // The rest of the request may still come: what follows on the connection could not be distinguished from it.
        if progress.is_none_or(|progress| progress.completed_at().is_some()) {
            Ok(response)
        } else {
            Err(response)
        }
    }
}
