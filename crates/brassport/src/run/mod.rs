//! Running the program for its staff: the operators' listener, the figures and the settings in force.

pub mod admin;
pub mod metrics;
pub mod terms;
