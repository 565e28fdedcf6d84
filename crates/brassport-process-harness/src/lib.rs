//! Real processes of the program under faults, for tests.
//!
//! - [`relay`] stands on a link between two processes, and cuts, holds or delays each direction of it.
//! - [`port`] reserves the addresses that processes are to listen at.
//! - [`process`] starts, kills, freezes and restarts a program with a directory of its own.
//! - [`parties`] are nodes and clients: what reached the ones, what the others were answered.
//! - [`history`] is what was seen; `brassport-checkers` judge it when the run is over, as they judge the simulation.
//! - [`fleet`] puts them together: three voters and two doors, and a schedule drawn from a seed.
//!
//! Not for production, and no stand-in for the seeded simulation: here the clocks, sockets and disks are the system's.
#![forbid(unsafe_code)]

pub mod fleet;
pub mod history;
pub mod parties;
pub mod port;
pub mod process;
pub mod relay;
