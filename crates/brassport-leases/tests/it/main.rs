//! Tests of leases: the behaviour of one task, serialized forms, and the model that explores all orders of events.

mod fleet;
mod golden;
mod model;
#[cfg(feature = "mutants")]
mod mutants;
mod schedule;
mod task;
