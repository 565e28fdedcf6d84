//! Bodies of requests and responses: buffered while they are short, proxied chunk by chunk beyond that.
//!
//! What this layer adds: one body type for both cases, and a bound on how long a slow peer is waited for
//! ([`data_rate`]). What it requires of the layer below: an [`hyper::body::Incoming`] whose connection is driven by its
//! owner. It opens no socket and starts no task.

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

/// Most bytes of a body that is buffered completely, in either direction. It bounds the memory of a request that can
/// be sent again.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most bytes of any body: a request that declares more is rejected, a response that does is not accepted.
pub const MAX_BODY_BYTES: u64 = 256 << 20;

/// A body that ended before all of it had come. Its source is the side that was sending it: downstream for a request,
/// upstream for a response. Never retryable as such: some of the body may have reached the other side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyError;

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body did not come whole")
    }
}

impl std::error::Error for BodyError {}

/// A body that is complete in memory, or one that arrives while it is forwarded.
pub enum ProxiedBody<B> {
    /// All of it is in memory.
    Complete(Full<Bytes>),
    /// More of it arrives.
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
