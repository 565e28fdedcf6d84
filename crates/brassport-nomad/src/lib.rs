//! Follows one service of Nomad and reports its nodes.
//!
//! What follows from the answers is decided by [`brassport_membership::nomad::follower`]; here is what asks: one
//! blocking query for the registrations, one for the clients, and the event stream with a list of allocations at each
//! of its beginnings. Whatever the API does, what it told last stays in force.
//!
//! Source: Nomad's API documentation, *HTTP API* (blocking queries, consistency modes, ACLs), *Services*, *Nodes*,
//! *Allocations* and *Events*, version 1.6 and later.
#![forbid(unsafe_code)]

mod http;
mod source;
#[cfg(feature = "tls")]
pub mod tls;

pub use source::{Host, Problem, Server, Settings, Source, Token};
