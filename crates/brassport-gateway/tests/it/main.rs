//! The gateway's tests, one binary: settings, listeners, verbs, the log's level and the graceful shutdown.
#![forbid(unsafe_code)]

mod common;
#[path = "../../../brassport-transport/tests/common/fixture.rs"]
mod fixture;
mod listeners;
mod logging;
mod settings;
mod shutdown;
mod status;
mod verbs;
