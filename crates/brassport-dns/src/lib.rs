//! A source of nodes that follows SRV records of DNS, as `brassport_membership::book` takes its reports.
//!
//! - [`agreement`] and [`follower`] decide, without I/O, what counts of the answers and what is reported.
//! - [`source`] runs a follower on a clock and a network: one socket for each query, closed behind its answer.
//!
//! It is a stub resolver's user: it asks recursive resolvers that the operator names, and is none itself.
#![forbid(unsafe_code)]

pub mod agreement;
pub mod follower;
pub mod mutants;
pub mod source;
