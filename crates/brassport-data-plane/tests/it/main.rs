//! Integration tests of the data plane: the backend protocol, the endpoint list, the metrics page, and requests over
//! sockets.
#![forbid(unsafe_code)]

mod backend_protocol;
mod downstream;
mod endpoints;
mod metrics;
mod sockets;

use brassport_golden::Fixtures;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
