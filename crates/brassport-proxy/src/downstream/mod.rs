//! The downstream side: accepts client connections and serves each to its end. What is answered is a program's own,
//! behind [`DownstreamService`].
//!
//! What this layer adds to a request: a bound on how long its head and the idle time around it may take, the `Date` and
//! `Connection` headers of its response, and the choice of which connection is closed when descriptors run short. What
//! it requires of the layer below, [`crate::network`]: a listener, and streams that are closed when they are dropped.
//!
//! Ownership: [`serve`] owns the task of each connection, in one set that it waits for at the end. The task owns the
//! socket and the descriptor's permit; it alone closes the socket, in `connection.rs`, or passes it to another process.
//! [`ConnectionRegistry`] keeps each connection's phase and requests tasks to close; it owns no socket.

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
