//! The control listener: calls of backends and operators, decoded here and handed to the owner of the control plane.

use super::{serve, text, Handler};
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

/// Most bytes of a call's body: a configuration of 35,000 routes has some 10 MB.
const MAX_BODY_BYTES: usize = 24 << 20;
/// For a call's body, and again for its reply: a proposal that a majority does not confirm by then is not going to be.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The version that a configuration builds on.
const BASE_VERSION: &str = "x-built-on";
/// Advice to callers of a node that can't answer now, in seconds: about the time of an election.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("0.2");

/// A call that awaits its reply.
#[derive(Debug)]
pub struct PendingCall {
    /// What is called.
    pub call: Call,
    /// Where the reply goes; closed once the caller's time is up.
    pub reply_to: oneshot::Sender<Reply>,
}

/// Serves the calls of backends and operators; each goes to `calls`.
pub async fn control(listener: TcpListener, calls: mpsc::UnboundedSender<PendingCall>) {
    let port = listener.local_addr().map_or(0, |at| at.port());
    serve(listener, Control { calls, port }).await;
}

#[derive(Clone)]
struct Control {
    calls: mpsc::UnboundedSender<PendingCall>,
    /// The same on all nodes: redirects go to it.
    port: u16,
}

impl Handler for Control {
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        match self.call(&head, body).await {
            Ok(reply) => self.respond(&head, reply),
            Err(rejection) => rejection.into_response(),
        }
    }
}

impl Control {
    async fn call(&self, head: &Parts, body: Incoming) -> Result<Reply, Rejection> {
        let body = read(body).await?;
        let base_version = head.headers.get(BASE_VERSION).and_then(|value| value.to_str().ok());
        let call = Call::decode(head.method.as_str(), head.uri.path(), base_version, body)
            .map_err(Rejection::Decode)?;
        let (reply_to, reply) = oneshot::channel();
        self.calls.send(PendingCall { call, reply_to }).map_err(|_| Rejection::Stopped)?;
        match timeout(CALL_TIMEOUT, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(Rejection::NoReply),
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
                let mut response = text(StatusCode::TEMPORARY_REDIRECT, "another machine does this");
                let location = format!("http://{ip}:{}{}", self.port, head.uri.path());
                if let Ok(location) = HeaderValue::from_str(&location) {
                    response.headers_mut().insert(LOCATION, location);
                }
                response
            }
            Reply::Invalid(why) => text(StatusCode::BAD_REQUEST, &why),
            Reply::VersionConflict => text(StatusCode::PRECONDITION_FAILED, "another version is in place"),
            Reply::Unavailable(why) => unavailable(why),
        }
    }
}

async fn read(body: Incoming) -> Result<Vec<u8>, Rejection> {
    match timeout(CALL_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes().to_vec()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Rejection::TooLong),
        // The part that came may decode as another call than the caller meant.
        Ok(Err(_)) => Err(Rejection::Incomplete),
        Err(_) => Err(Rejection::TooSlow),
    }
}

/// Why a request did not become a call with a reply.
enum Rejection {
    TooLong,
    Incomplete,
    TooSlow,
    Decode(DecodeError),
    /// The owner of the control plane has stopped.
    Stopped,
    NoReply,
}

impl Rejection {
    fn into_response(self) -> Response<Full<Bytes>> {
        match self {
            Rejection::TooLong => text(StatusCode::PAYLOAD_TOO_LARGE, "more than 24 MiB"),
            Rejection::Incomplete => text(StatusCode::BAD_REQUEST, "the body did not come whole"),
            Rejection::TooSlow => text(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
            Rejection::Decode(error @ DecodeError::UnknownCall) => {
                text(StatusCode::NOT_FOUND, &error.to_string())
            }
            Rejection::Decode(error) => text(StatusCode::BAD_REQUEST, &error.to_string()),
            Rejection::Stopped => unavailable("it ends"),
            Rejection::NoReply => unavailable("no answer in time"),
        }
    }
}

fn unavailable(why: &str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, why);
    response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    response
}
