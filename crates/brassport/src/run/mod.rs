//! Running the program for its staff: the operators' listener and the figures.

pub mod admin;
pub mod metrics;
