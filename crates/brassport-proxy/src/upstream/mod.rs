//! The upstream side: the pool of connections to backends, and the attempts that are sent on them.
//!
//! This layer adds the headers of an attempt (see [`crate::protocol`]), checks that a pooled connection is alive,
//! applies timeouts to connecting, to stalled transfers and to the request's deadline, and classifies the response. It
//! requires from the layer below, [`crate::network`], streams that are closed when they are dropped.
//!
//! Ownership: [`UpstreamPool`] owns the idle connections. An attempt takes one from the pool or opens a new one, and
//! returns or closes it before [`UpstreamPool::attempt`] completes. This module spawns no tasks; the program runs
//! [`UpstreamPool::sweep`].
//!
//! Errors: a [`ConnectionError`] has its cause upstream, and says whether part of the request may have been written. An
//! attempt reports a [`brassport_policy::Outcome`], on which the policy bases its decisions.

mod attempt;
mod connection;
mod pool;
mod request;
mod response;

pub use attempt::{AttemptOwner, AttemptResult, AttemptTarget};
pub use connection::{ConnectionError, UpstreamConnection};
pub use pool::{ConnectionId, UpstreamPool, UsedConnections};
pub use request::{RequestBody, StreamingUpload, UpstreamRequest};
