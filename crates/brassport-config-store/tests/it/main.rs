//! Integration tests of configuration, consensus and store, built as one binary.
#![allow(clippy::needless_pass_by_value, reason = "arguments of test cases are constructed in place")]

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
