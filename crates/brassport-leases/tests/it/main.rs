//! Tests of the leases: behaviour of one task, its bytes, and the model that explores all orders of events.

mod fleet;
mod golden;
mod model;
#[cfg(feature = "mutants")]
mod mutants;
mod schedule;
mod task;
