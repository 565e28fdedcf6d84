//! Phase 2: the body, read to its end if it is short, or streamed to the backend as it comes.

use super::rejection::{BodyFault, Rejection};
use crate::data_plane::DataPlane;
use brassport_proxy::backends::{Carried, Uploading};
use brassport_proxy::bodies::pace::Pace;
use brassport_proxy::bodies::upload::{Progress, Upload};
use brassport_proxy::bodies::{read, Outgoing, Read};
use brassport_proxy::clock::Clock;
use brassport_proxy::connections::ClientConnection;
use brassport_proxy::network::Network;
use hyper::body::{Body, Bytes, Incoming};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// What has come of a body.
pub(super) enum ReceivedBody {
    /// All of it.
    Complete(Bytes),
    /// The first part; the rest is still coming.
    Partial { first: Bytes, rest: Incoming, pace: Pace },
}

/// A body on its way to a backend.
pub(super) struct OutgoingBody {
    pub(super) body: Carried,
    /// Of one that is still coming.
    pub(super) progress: Option<Rc<Progress>>,
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Reads a body, if its declared length is within the limit.
    pub(super) async fn receive_body(
        &self,
        mut body: Incoming,
        max_bytes: Option<u64>,
        client: &ClientConnection<C>,
    ) -> Result<ReceivedBody, Rejection> {
        if max_bytes.is_some_and(|max_bytes| body.size_hint().lower() > max_bytes) {
            return Err(Rejection::LengthBeyondLimit);
        }
        let mut pace = Pace::new(client.waited());
        match read(&self.resources.clock, &mut body, &mut pace).await {
            Ok(Read::Whole(bytes)) => Ok(ReceivedBody::Complete(bytes)),
            Ok(Read::Long(first)) => Ok(ReceivedBody::Partial { first, rest: body, pace }),
            Err(problem) => Err(Rejection::Body(BodyFault::from(problem))),
        }
    }
}

impl ReceivedBody {
    pub(super) fn is_complete(&self) -> bool {
        matches!(self, ReceivedBody::Complete(_))
    }

    /// As it goes on to a backend; `timeout` runs from when all of it has come.
    pub(super) fn into_upload(self, clock: &impl Clock, timeout: Duration) -> OutgoingBody {
        match self {
            ReceivedBody::Complete(bytes) => OutgoingBody { body: Carried::Whole(bytes), progress: None },
            ReceivedBody::Partial { first, rest, pace } => {
                let (upload, progress) = Upload::new(clock.clone(), first, rest, pace);
                let body = RefCell::new(Some(Outgoing::Coming(Box::pin(upload))));
                let upload = Uploading { body, progress: progress.clone(), patience: timeout };
                OutgoingBody { body: Carried::Coming(upload), progress: Some(progress) }
            }
        }
    }
}
