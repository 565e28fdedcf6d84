//! Tests of the durable state: the model, the last-known list, recovery after power failures, and the file formats.
#![allow(clippy::needless_pass_by_value, reason = "test cases are built in place and passed by value")]

mod campaign;
mod disk;
mod draw;
mod fixture;
mod golden;
mod golden_log;
mod known;
mod log;
mod model;
#[cfg(feature = "mutants")]
mod mutants;
mod power_cuts;
