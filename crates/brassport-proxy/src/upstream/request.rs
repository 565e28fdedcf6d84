//! A client's request as it is sent to a backend.

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

/// A client's request as it is forwarded to a backend. All attempts of a request share it.
pub struct UpstreamRequest {
    /// The client's method.
    pub method: Method,
    /// The target, in origin form.
    pub uri: Uri,
    /// The headers that are forwarded, without those of an attempt.
    pub headers: HeaderMap,
    /// The body.
    pub body: RequestBody,
}

/// The body of a request.
pub enum RequestBody {
    /// All of it is in memory: it can be sent again.
    Complete(Bytes),
    /// It arrives while it is forwarded: it is sent once.
    Streaming(StreamingUpload),
}

/// A body that arrives while it is forwarded.
pub struct StreamingUpload {
    /// The body, until an attempt takes it.
    pub body: RefCell<Option<UpstreamBody>>,
    /// How far it has come.
    pub progress: Rc<UploadProgress>,
    /// How long its client waits once all of it has come.
    pub client_timeout: Duration,
}

impl UpstreamRequest {
    /// Whether all of it has been forwarded, or is in memory. Before that no backend can have run it.
    pub fn is_complete(&self) -> bool {
        match &self.body {
            RequestBody::Complete(_) => true,
            RequestBody::Streaming(upload) => upload.progress.completed_at().is_some(),
        }
    }

    /// When its last byte was forwarded, if it is one that is forwarded as it arrives.
    pub fn upload_completed_at(&self) -> Option<Instant> {
        match &self.body {
            RequestBody::Complete(_) => None,
            RequestBody::Streaming(upload) => upload.progress.completed_at(),
        }
    }

    /// Ready once its upload has stalled; never for a request that is in memory.
    pub(super) async fn stalled(&self, clock: &impl Clock) {
        match &self.body {
            RequestBody::Complete(_) => std::future::pending().await,
            RequestBody::Streaming(upload) => upload.progress.stalled(clock).await,
        }
    }

    /// The request for one attempt at this backend, with so much time left; `None` if its body has been taken by an
    /// earlier attempt and is not in memory. An upload's client waits for its own time-out, which begins later.
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
