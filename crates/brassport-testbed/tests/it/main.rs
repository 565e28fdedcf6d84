//! Tests of the testbed and, by real processes on loopback, of the gateway.
#![forbid(unsafe_code)]

mod common;
mod full_site;
mod hangup;
mod losses;
mod metrics;
mod refused;
mod rolling;
mod rules;
mod schedules;
mod soak;
