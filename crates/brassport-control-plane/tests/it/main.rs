//! Tests of the control plane: scenarios and random schedules on simulated time, latency bounds, and golden tests.
#![allow(clippy::needless_pass_by_value, reason = "messages of violations are built by the caller")]

mod sim;

mod catch_up;
mod closing_faults;
mod configuration_latency;
mod departure_latency;
mod fault_tolerance;
mod golden;
#[cfg(feature = "mutants")]
mod mutants;
mod other_seeds;
mod propagation_latency;
mod quota_shares;
mod random_schedules;
mod records;
mod ring_rank;
mod scenarios;
mod voter_replacement;
