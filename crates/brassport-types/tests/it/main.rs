//! The shared identifiers: their order, and their form on the wire.

mod ids;
mod log_position;
