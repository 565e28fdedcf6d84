//! The data plane's tests, one binary: the protocol of backends, the endpoint list, the metrics page, and requests over
//! sockets.
#![forbid(unsafe_code)]

mod backend_protocol;
mod downstream;
mod endpoints;
#[path = "../../../brassport-transport/tests/common/fixture.rs"]
mod fixture;
mod metrics;
mod sockets;

/// Where the fixtures lie.
const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
