//! The gateway's program: what it is told ([`settings`]), the disk's thread ([`disk`]), the callers' and the platform's
//! listeners ([`listeners`]), and what puts the planes together ([`run`]).
#![forbid(unsafe_code)]

pub mod command;
pub mod disk;
pub mod listeners;
pub mod run;
pub mod settings;
mod status;
