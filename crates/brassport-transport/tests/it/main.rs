//! Tests of frames, links and peer sampling, and of their wire formats.

mod golden;
mod harness;
mod links;
mod peer_sampling;
