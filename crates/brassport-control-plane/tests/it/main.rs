//! The control plane on simulated time: scenarios, random schedules, latency bounds and golden bytes.
#![allow(clippy::needless_pass_by_value, reason = "texts of violations are made in place and passed on")]

mod sim;

mod catch_up;
mod configuration_latency;
mod fault_tolerance;
mod golden;
#[cfg(feature = "mutants")]
mod mutants;
mod other_seeds;
mod propagation_latency;
mod quota_shares;
mod random_schedules;
mod ring_rank;
mod scenarios;
mod voter_replacement;
