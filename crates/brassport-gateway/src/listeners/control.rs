//! The control listener: decodes the calls of backends and operators, and passes them to the owner of the control plane
//! through a channel.

use super::{serve, text_response, Handler};
use brassport_control_plane::call::{Call, DecodeError, Reply};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The size limit of a request body. A configuration with 35,000 routes has about 10 MB. It is proposed to the other voters
/// in one frame, so the limit is below [`MAX_FRAME_BYTES`](brassport_transport::frame::MAX_FRAME_BYTES): a proposal that no
/// voter receives would block all later ones.
pub const MAX_BODY_BYTES: usize = 15 << 20;
/// The time limit for receiving the body of a call, and separately for its reply. A proposal that a majority has not
/// confirmed by then is not expected to be confirmed.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The request header with the version that a new configuration is based on.
const BASE_VERSION_HEADER: &str = "x-built-on";
/// The `Retry-After` value of a node that is temporarily unable to answer, in seconds: about the duration of an election.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.2");

/// A call that awaits its reply.
#[derive(Debug)]
pub struct PendingCall {
    /// The decoded call.
    pub call: Call,
    /// The channel for the reply. It is closed once the call has timed out or the caller has disconnected.
    pub reply_to: oneshot::Sender<Reply>,
}

/// Serves the calls of backends and operators, and sends each decoded call to `calls`.
pub async fn serve_control(listener: TcpListener, calls: mpsc::UnboundedSender<PendingCall>) {
    let port = listener.local_addr().map_or(0, |address| address.port());
    serve(listener, ControlHandler { calls, port }).await;
}

#[derive(Clone)]
struct ControlHandler {
    calls: mpsc::UnboundedSender<PendingCall>,
    /// The port of this listener. All nodes use the same one, so it is also the port of a redirect to another node.
    port: u16,
}

impl Handler for ControlHandler {
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        match self.execute_call(&head, body).await {
            Ok(reply) => self.respond(&head, reply),
            Err(rejection) => rejection.into_response(),
        }
    }
}

impl ControlHandler {
    async fn execute_call(&self, head: &Parts, body: Incoming) -> Result<Reply, Rejection> {
        let body = read_body(body).await?;
        let base_version = head.headers.get(BASE_VERSION_HEADER).and_then(|value| value.to_str().ok());
        let call = Call::decode(head.method.as_str(), head.uri.path(), base_version, body)
            .map_err(Rejection::Decode)?;
        let (reply_to, reply) = oneshot::channel();
        self.calls.send(PendingCall { call, reply_to }).map_err(|_| Rejection::Stopped)?;
        match timeout(CALL_TIMEOUT, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(Rejection::ReplyTimeout),
        }
    }

    fn respond(&self, head: &Parts, reply: Reply) -> Response<Full<Bytes>> {
        match reply {
            Reply::Done(body) => {
                let mut response = Response::new(Full::new(Bytes::from(Arc::unwrap_or_clone(body))));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
            Reply::Redirect(ip) => {
                let mut response = text_response(StatusCode::TEMPORARY_REDIRECT, "another machine does this");
                let location = format!("http://{ip}:{}{}", self.port, head.uri.path());
                if let Ok(location) = HeaderValue::from_str(&location) {
                    response.headers_mut().insert(LOCATION, location);
                }
                response
            }
            Reply::Invalid(reason) => text_response(StatusCode::BAD_REQUEST, &reason),
            Reply::VersionConflict => {
                text_response(StatusCode::PRECONDITION_FAILED, "another version is in place")
            }
            Reply::Unavailable(reason) => unavailable(reason),
        }
    }
}

async fn read_body(body: Incoming) -> Result<Vec<u8>, Rejection> {
    match timeout(CALL_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes().to_vec()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::BodyTooLarge),
        // A truncated body must not be decoded: it could be valid as a call that the caller did not make.
        Ok(Err(_)) => Err(Rejection::BodyIncomplete),
        Err(_) => Err(Rejection::BodyTimeout),
    }
}

/// The reason why a request was not answered with a reply of the control plane.
enum Rejection {
    /// The body exceeds [`MAX_BODY_BYTES`].
    BodyTooLarge,
    /// Reading the body failed before its end.
    BodyIncomplete,
    /// The body did not arrive within [`CALL_TIMEOUT`].
    BodyTimeout,
    Decode(DecodeError),
    /// The owner of the control plane has stopped.
    Stopped,
    /// The control plane did not reply within [`CALL_TIMEOUT`].
    ReplyTimeout,
}

impl Rejection {
    fn into_response(self) -> Response<Full<Bytes>> {
        match self {
            Rejection::BodyTooLarge => text_response(StatusCode::PAYLOAD_TOO_LARGE, "more than 15 MiB"),
            Rejection::BodyIncomplete => {
                text_response(StatusCode::BAD_REQUEST, "the body did not come whole")
            }
            Rejection::BodyTimeout => text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
            Rejection::Decode(error @ DecodeError::UnknownCall) => {
                text_response(StatusCode::NOT_FOUND, &error.to_string())
            }
            Rejection::Decode(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
            Rejection::Stopped => unavailable("it ends"),
            Rejection::ReplyTimeout => unavailable("no answer in time"),
        }
    }
}

fn unavailable(reason: &str) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    response
}
