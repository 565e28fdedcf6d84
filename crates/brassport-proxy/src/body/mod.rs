//! Request and response bodies: short ones are buffered in memory, longer ones are forwarded chunk by chunk.
//!
//! This layer provides one body type for both cases and enforces a minimum data rate on slow peers ([`data_rate`]).
//! It requires an [`hyper::body::Incoming`] whose connection is polled by its owner. It opens no sockets and spawns no
//! tasks.

mod buffered;
pub mod data_rate;
mod streamed;
pub mod upload;

pub use buffered::{read_body, ReadBody, ReadError};
pub use streamed::{BodySender, StreamedBody, MAX_PENDING_CHUNKS};

use http_body_util::Full;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum size of a body that is buffered completely, in either direction. Only a request whose body is buffered can
/// be retried, so this also limits the memory used by a retryable request.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum declared length of a body, in either direction. A request that declares more is rejected; a response that
/// declares more is treated as broken.
pub const MAX_BODY_BYTES: u64 = 256 << 20;

/// A body that ended before its last byte. The cause is on the sender's side: the client for a request, the backend
/// for a response. Not retryable by itself, as part of the body may already have been forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyError;

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body is incomplete")
    }
}

impl std::error::Error for BodyError {}

/// A body that is either buffered completely or streamed while it is being received.
pub enum ProxiedBody<B> {
    /// The complete body, in memory.
    Complete(Full<Bytes>),
    /// A body that is forwarded while it is being received.
    Streaming(B),
}

/// The body of a request to a backend.
pub type UpstreamBody = ProxiedBody<Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>>;
/// The body of a response to a client.
pub type ResponseBody = ProxiedBody<StreamedBody>;

impl<B> From<Full<Bytes>> for ProxiedBody<B> {
    fn from(body: Full<Bytes>) -> ProxiedBody<B> {
        ProxiedBody::Complete(body)
    }
}

impl<B: Body<Data = Bytes, Error = BodyError> + Unpin> Body for ProxiedBody<B> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ProxiedBody::Complete(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            ProxiedBody::Streaming(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ProxiedBody::Complete(body) => body.is_end_stream(),
            ProxiedBody::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ProxiedBody::Complete(body) => body.size_hint(),
            ProxiedBody::Streaming(body) => body.size_hint(),
        }
    }
}
