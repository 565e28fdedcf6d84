//! Tests of the durable state: the model, the last-known list, the files after power cuts, and their bytes.
#![allow(clippy::needless_pass_by_value, reason = "test cases are made in place and passed on")]

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
