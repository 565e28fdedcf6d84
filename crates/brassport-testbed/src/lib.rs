//! A complete small site on loopback, for trying the gateway and for its tests.
//!
//! - [`site`] lays out the settings files and runs each [`node`] as a real process; [`relays`] can partition their links.
//! - [`backend`] fakes backends, [`faulty_backend`] one that misbehaves as the protocol allows, [`operator`] the operator,
//!   [`clients`] the clients and the platform, [`load`] their load.
//! - [`history`] records what all of them saw; [`rules`] judges it, [`report`] presents it.
//! - [`play`] puts them together; the program `brassport-testbed` plays once and prints which rules were kept.
//!
//! Everything listens on 127.x.y.z addresses. Nothing here is part of the gateway, and nothing here measures it: one
//! machine runs the site and its load, so figures of speed or capacity mean nothing.
//!
//! ```
//! use brassport_testbed::history::{History, Run};
//! use brassport_testbed::rules::unsafe_runs_once;
//!
//! let mut history = History::default();
//! assert!(unsafe_runs_once(&history).is_ok());
//! // A run that no client sent violates the rule.
//! history.runs.push(Run {
//!     at: 1.0,
//!     id: "attempt-1".into(),
//!     service: "alder".into(),
//!     customer: None,
//!     has_key: false,
//!     seal: "seal-1".into(),
//!     work_s: 0.01,
//!     ended: Some(1.01),
//! });
//! assert!(unsafe_runs_once(&history).is_err());
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backend;
pub mod clients;
pub mod configuration;
pub mod faulty_backend;
pub mod heartbeat;
pub mod history;
pub mod http;
pub mod load;
pub mod node;
pub mod operator;
pub mod play;
pub mod relays;
pub mod report;
pub mod rules;
pub mod site;

/// Names of the headers that the protocol gives a meaning to.
pub mod header {
    /// The client's identifier of an attempt.
    pub const TRY_ID: &str = "x-try-id";
    /// How long the client will wait, in milliseconds.
    pub const TIME_LEFT: &str = "x-time-left-ms";
    /// The one backend that may run the request.
    pub const EXPECT_SERVER: &str = "x-expect-server";
    /// The backend that answers.
    pub const SERVER_ID: &str = "x-server-id";
    /// The backend's proof that it ran the request.
    pub const SERVER_SEAL: &str = "x-server-seal";
    /// The backend's statement that it did not run the request.
    pub const NOT_RUN: &str = "x-not-run";
    /// The tenant whose key came with the request.
    pub const CUSTOMER: &str = "x-customer";
    /// How long the backend is to work, in milliseconds: the stand-ins' own.
    pub const WORK_MS: &str = "x-work-ms";
    /// The fault that the backend is to show: the stand-ins' own.
    pub const FAULT: &str = "x-fault";
    /// The version that a configuration builds on.
    pub const BUILT_ON: &str = "x-built-on";
}
