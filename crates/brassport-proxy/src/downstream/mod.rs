//! The downstream side: accepts client connections and serves each to its end. The program generates the responses by
//! implementing [`DownstreamService`].
//!
//! This layer enforces timeouts on receiving requests and on idle connections, adds the `Date` and `Connection` headers
//! of responses, and selects the connections to close when file descriptors run short. It requires from the layer
//! below, [`crate::network`], a listener, and streams that are closed when they are dropped.
//!
//! Ownership: [`serve`] owns the tasks of all connections and waits for them at the end. Each task owns its socket and
//! its descriptor permit; only the task closes the socket or hands it over to another process, in `connection.rs`.
//! [`ConnectionRegistry`] tracks the phase of each connection and requests tasks to close; it owns no sockets.

mod accept;
mod connection;
mod phase;
mod registry;
mod service;
mod stream;

pub use accept::{serve, AdoptedConnection};
pub use phase::ConnectionPhase;
pub use registry::{ConnectionRegistry, DownstreamConnection};
pub use service::DownstreamService;
pub use stream::MeteredStream;
