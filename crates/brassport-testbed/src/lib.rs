//! A whole small site on loopback, for trying the gateway and for its tests.
//!
//! - [`site`] lays out the settings files and runs each [`door`] as a real process.
//! - [`backend`] stands in for backends, [`operator`] for the operator, [`clients`] for clients and the platform.
//! - [`history`] is what all of them saw; [`rules`] judges it.
//! - [`play`] puts them together; the program `brassport-testbed` plays once and says which rules were kept.
//!
//! Everything listens on 127.x.y.z addresses. Nothing here is part of the gateway.
#![forbid(unsafe_code)]

pub mod backend;
pub mod clients;
pub mod configuration;
pub mod door;
pub mod history;
pub mod http;
pub mod operator;
pub mod play;
pub mod relays;
pub mod report;
pub mod rules;
pub mod site;

/// Names of the headers that the protocol gives a meaning to.
pub mod header {
    /// The client's name for a try.
    pub const TRY_ID: &str = "x-try-id";
    /// How long the client will wait, in milliseconds.
    pub const TIME_LEFT: &str = "x-time-left-ms";
    /// The one backend that may run the request.
    pub const EXPECT_SERVER: &str = "x-expect-server";
    /// The backend that answers.
    pub const SERVER_ID: &str = "x-server-id";
    /// The backend's proof that it ran the request.
    pub const SERVER_SEAL: &str = "x-server-seal";
    /// The backend's word that it did not run the request.
    pub const NOT_RUN: &str = "x-not-run";
    /// The tenant whose key came with the request.
    pub const CUSTOMER: &str = "x-customer";
    /// How long the backend is to work, in milliseconds: the stand-ins' own.
    pub const WORK: &str = "x-work-ms";
    /// The version that a configuration builds on.
    pub const BUILT_ON: &str = "x-built-on";
}
