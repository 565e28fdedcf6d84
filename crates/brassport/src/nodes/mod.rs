//! What holds of nodes beside what their sources list. No I/O.

pub mod bans;
