//! State of backends beyond what their sources list. No I/O.

pub mod bans;
