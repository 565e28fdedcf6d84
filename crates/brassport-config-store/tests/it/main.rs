//! Tests of configuration, consensus and store, in one binary.
#![allow(clippy::needless_pass_by_value, reason = "test cases are made in place and passed on")]

mod configuration;
mod configuration_requests;
mod consensus_seeds;
mod golden;
mod harness;
mod leader_failover;
mod leadership;
mod model_checking;
#[cfg(feature = "mutants")]
mod mutants;
mod store;
mod store_growth;
