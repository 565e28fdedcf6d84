//! Phase 2: the body. A short body is buffered, a longer one is streamed to the backend.

use super::rejection::{BodyFault, Rejection};
use crate::data_plane::DataPlane;
use brassport_proxy::body::data_rate::DataRateMonitor;
use brassport_proxy::body::upload::{Upload, UploadProgress};
use brassport_proxy::body::{read_body, ReadBody, UpstreamBody};
use brassport_proxy::clock::Clock;
use brassport_proxy::downstream::DownstreamConnection;
use brassport_proxy::network::Network;
use brassport_proxy::upstream::{RequestBody, StreamingUpload};
use hyper::body::{Body, Bytes, Incoming};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// The part of a body that has been received.
pub(super) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of a long body, and the unread remainder.
    Partial { first: Bytes, rest: Incoming, data_rate: DataRateMonitor },
}

/// A body in the form in which it is forwarded to a backend.
pub(super) struct OutgoingBody {
    pub(super) body: RequestBody,
    /// The progress of a streamed body; `None` if the body is buffered.
    pub(super) progress: Option<Rc<UploadProgress>>,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Reads a body up to the buffer limit. Rejects it if its declared length exceeds `max_bytes`.
    pub(super) async fn receive_body(
        &self,
        mut body: Incoming,
        max_bytes: Option<u64>,
        client: &DownstreamConnection<C>,
    ) -> Result<ReceivedBody, Rejection> {
        if max_bytes.is_some_and(|max_bytes| body.size_hint().lower() > max_bytes) {
            return Err(Rejection::LengthBeyondLimit);
        }
        let mut data_rate = DataRateMonitor::new(client.request_age());
        match read_body(&self.resources.clock, &mut body, &mut data_rate).await {
            Ok(ReadBody::Complete(bytes)) => Ok(ReceivedBody::Complete(bytes)),
            Ok(ReadBody::Partial(first)) => Ok(ReceivedBody::Partial { first, rest: body, data_rate }),
            Err(error) => Err(Rejection::Body(BodyFault::from(error))),
        }
    }
}

impl ReceivedBody {
    pub(super) fn is_complete(&self) -> bool {
        matches!(self, ReceivedBody::Complete(_))
    }

    /// Converts the body for forwarding. For a streamed body, the client's `timeout` starts when the upload is
    /// complete.
    pub(super) fn into_upload(self, clock: &impl Clock, timeout: Duration) -> OutgoingBody {
        match self {
            ReceivedBody::Complete(bytes) => {
                OutgoingBody { body: RequestBody::Complete(bytes), progress: None }
            }
            ReceivedBody::Partial { first, rest, data_rate } => {
                let (upload, progress) = Upload::new(clock.clone(), first, rest, data_rate);
                let body = RefCell::new(Some(UpstreamBody::Streaming(Box::pin(upload))));
                let upload = StreamingUpload { body, progress: progress.clone(), client_timeout: timeout };
                OutgoingBody { body: RequestBody::Streaming(upload), progress: Some(progress) }
            }
        }
    }
}
