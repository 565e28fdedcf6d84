//! What the tests share: simulated time and network, a model for exhaustive exploration, and a voter that is alone.

pub mod model;
pub mod scenarios;
pub mod simulation;
pub mod single_voter;
