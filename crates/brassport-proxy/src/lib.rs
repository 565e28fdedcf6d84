//! The request path shared by both gateway programs of this workspace. It accepts client connections, reads requests,
//! passes them to the decision logic of `brassport-policy`, sends the attempts that the policy selects, and returns
//! exactly one response to each client.
//!
//! The life cycle of a request:
//!
//! 1. [`downstream`] accepts a connection and reads a request from it. The program's [`downstream::DownstreamService`]
//!    validates the request and reads its [`body`].
//! 2. [`dispatch`] admits the request to the policy, which responds with actions: send an attempt, reject the request,
//!    fail it, or cancel an attempt.
//! 3. [`upstream`] executes an attempt: it takes a connection from the pool, sends the request and reads the response.
//!    [`protocol`] defines the headers that the program adds for a backend and how it classifies a response.
//! 4. [`dispatch`] reports the end of the attempt to the policy and passes the response to the client's connection.
//!
//! [`hooks`] observe the phases of this life cycle, [`deadline`] limits its duration and [`shutdown`] stops it
//! gracefully. All access to time and to the network is through [`clock`] and [`network`], so that the same code also
//! runs in a simulation.
//!
//! Ownership of tasks and sockets: [`downstream::serve`] owns the task of each client connection and returns when all
//! of them have ended; each task owns its socket. [`dispatch`] spawns one task per attempt. The attempt owns its
//! upstream connection, which is closed or back in the pool before the end of the attempt is reported.
//! [`upstream::UpstreamPool`] owns the idle connections. Connections have no background tasks: dropping a connection
//! closes its socket immediately.
//!
//! This crate is not a general proxy library. It makes no policy decisions, it does not handle routes, tenants or
//! configuration files, and it does not discover backends: programs add them with [`upstream::UpstreamPool::upsert`].
//!
//! ```
//! use brassport_proxy::responses::{plain_text, retry_later};
//! use hyper::StatusCode;
//!
//! let response = retry_later(StatusCode::TOO_MANY_REQUESTS, 1500.0);
//! assert_eq!(response.headers()["retry-after"], "1.500");
//! let response = plain_text(StatusCode::BAD_REQUEST, "malformed request body");
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
