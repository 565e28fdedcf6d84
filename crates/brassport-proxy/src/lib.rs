//! The request path that both programs of this workspace share: it accepts client connections, reads requests, hands
//! them to the decisions of `brassport-policy`, sends the attempts that those choose, and returns one response to each
//! client.
//!
//! A request's way, from front to back:
//!
//! 1. [`downstream`] accepts a connection and reads a request from it; a program's [`downstream::DownstreamService`]
//!    checks it and reads its [`body`].
//! 2. [`dispatch`] admits it to the policy, which answers with actions: send an attempt, reject, fail, cancel.
//! 3. [`upstream`] executes an attempt: it takes a connection from its pool, sends the request, reads the response.
//!    [`protocol`] says what the program writes to a backend and how it classifies a response.
//! 4. [`dispatch`] reports the attempt's end to the policy and gives the one response to the client's connection.
//!
//! [`hooks`] are called at named points of that way, [`deadline`] bounds it and [`shutdown`] ends it in order. Time and
//! network are reached through [`clock`] and [`network`] alone, so that the same code runs in a simulation.
//!
//! Tasks and sockets: [`downstream::serve`] owns the task of each client connection and returns once all have ended;
//! the task owns the socket. [`dispatch`] starts one task for each attempt; the attempt owns its upstream connection,
//! which is back in the pool or closed before the attempt's end is reported. [`upstream::UpstreamPool`] owns idle
//! connections. No connection has a task of its own behind the scenes: dropping it has closed its socket.
//!
//! This crate is not a general proxy library. It decides nothing (the policy does), knows no routes, tenants or
//! settings files (the programs do), and finds no backends: they are given to [`upstream::UpstreamPool::upsert`].
//!
//! ```
//! use brassport_proxy::responses::{plain_text, retry_later};
//! use hyper::StatusCode;
//!
//! let response = retry_later(StatusCode::TOO_MANY_REQUESTS, 1500.0);
//! assert_eq!(response.headers()["retry-after"], "1.500");
//! let response = plain_text(StatusCode::BAD_REQUEST, "the body is broken");
//! assert!(!response.headers().contains_key("retry-after"));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod body;
pub mod clock;
pub mod date;
pub mod deadline;
pub mod dispatch;
pub mod downstream;
pub mod hooks;
pub mod log;
pub mod mutants;
pub mod network;
pub mod protocol;
pub mod responses;
pub mod shutdown;
pub mod upstream;
