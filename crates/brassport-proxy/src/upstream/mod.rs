//! The upstream side: the pool of connections to backends, and the attempts that are sent on them.
//!
//! What this layer adds to a request: the attempt's own headers (by [`crate::protocol`]), a connection that has proved
//! alive, time-outs on connecting, on a stalled transfer and at the request's deadline, and the response's classification.
//! What it requires of the layer below, [`crate::network`]: a stream that is closed when it is dropped.
//!
//! Ownership: [`UpstreamPool`] owns idle connections. An attempt takes one out, or opens one, and owns it until it
//! returns it or drops it, both before [`UpstreamPool::attempt`] is ready. There are no tasks here; the program runs
//! [`UpstreamPool::sweep`].
//!
//! Errors: a [`ConnectionError`] has its source upstream; [`ConnectionError::is_retryable`] says whether the request
//! may be sent again. An attempt itself reports an [`brassport_policy::Outcome`], by which the policy decides.

mod attempt;
mod connection;
mod pool;
mod request;
mod response;

pub use attempt::{AttemptOwner, AttemptResult, AttemptTarget};
pub use connection::{ConnectionError, UpstreamConnection};
pub use pool::UpstreamPool;
pub use request::{RequestBody, StreamingUpload, UpstreamRequest};
