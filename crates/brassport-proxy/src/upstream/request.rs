//! A client's request in the form in which it is sent to backends.

use crate::body::upload::UploadProgress;
use crate::body::UpstreamBody;
use crate::clock::Clock;
use crate::protocol::UpstreamProtocol;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client's request as it is forwarded to backends. It is shared by all attempts of the request.
pub struct UpstreamRequest {
    /// The method of the client's request.
    pub method: Method,
    /// The request target in origin form.
    pub uri: Uri,
    /// The forwarded headers, without the headers that are added per attempt.
    pub headers: HeaderMap,
    /// The body of the request.
    pub body: RequestBody,
}

/// The body of a request.
pub enum RequestBody {
    /// The body is buffered completely, so the request can be retried.
    Complete(Bytes),
    /// The body is streamed while it is being received, so it can be sent only once.
    Streaming(StreamingUpload),
}

/// A body that is streamed to a backend while it is being received.
pub struct StreamingUpload {
    /// The body; `None` after an attempt has taken it.
    pub body: RefCell<Option<UpstreamBody>>,
    /// The progress of the upload.
    pub progress: Rc<UploadProgress>,
    /// How long the client waits for the response after the upload is complete.
    pub client_timeout: Duration,
}

impl UpstreamRequest {
    /// Whether the body is buffered or has been forwarded completely. A backend may begin to run the request before that.
    pub fn is_complete(&self) -> bool {
        match &self.body {
            RequestBody::Complete(_) => true,
            RequestBody::Streaming(upload) => upload.progress.completed_at().is_some(),
        }
    }

    /// When the last byte of a streamed body was forwarded; `None` for a buffered or incomplete body.
    pub fn upload_completed_at(&self) -> Option<Instant> {
        match &self.body {
            RequestBody::Complete(_) => None,
            RequestBody::Streaming(upload) => upload.progress.completed_at(),
        }
    }

    /// Completes when the upload has stalled; never for a buffered body.
    pub(super) async fn stalled(&self, clock: &impl Clock) {
        match &self.body {
            RequestBody::Complete(_) => std::future::pending().await,
            RequestBody::Streaming(upload) => upload.progress.stalled(clock).await,
        }
    }

    /// Builds the request for one attempt at this backend. `time_left` is the remaining time until the deadline; for a
    /// streamed body the client's full timeout is used instead, as it starts only when the upload is complete. Returns
    /// `None` if the body is streamed and an earlier attempt has taken it.
    pub fn for_attempt(
        &self,
        time_left: Duration,
        protocol: &dyn UpstreamProtocol,
        backend: &str,
    ) -> Option<Request<UpstreamBody>> {
        let (body, time_left) = match &self.body {
            RequestBody::Complete(bytes) => (Full::new(bytes.clone()).into(), time_left),
            RequestBody::Streaming(upload) => (upload.body.take()?, upload.client_timeout),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        protocol.add_attempt_headers(request.headers_mut(), time_left, backend);
        Some(request)
    }
}
