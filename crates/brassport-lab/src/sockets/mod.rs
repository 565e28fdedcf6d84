//! The real program on loopback: an open-loop load generator, stand-in nodes, and the floor that a cost is held
//! against. Every process stands on addresses of 127.0.0.0/8 only, and ends with the run.

pub mod floor;
pub mod load;
pub mod nodes;
pub mod process;
