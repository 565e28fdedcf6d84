//! Nomad's API, as documented for Nomad 1.6 and later: what its answers say, and what follows for the nodes.
//!
//! - [`api`] reads answers: `/v1/service/:name`, `/v1/nodes`, `/v1/allocations` and lines of `/v1/event/stream`.
//! - [`lines`] splits a stream into lines of a bounded length.
//! - [`follower`] owns the three tables, joins them to nodes, and says what is to be queried next.

pub mod api;
pub mod follower;
mod join;
pub mod lines;
mod links;
