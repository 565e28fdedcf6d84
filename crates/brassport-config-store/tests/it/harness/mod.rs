//! Shared test harness: a simulation of a cluster, a model for exhaustive exploration, and single replicas.

pub mod model;
pub mod scenarios;
pub mod simulation;
pub mod single_voter;
