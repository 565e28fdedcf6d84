//! The integration tests of the gateway, in one binary: settings, listeners, subcommands, log level, graceful shutdown,
//! and a node as a process.
#![forbid(unsafe_code)]

mod common;
mod listeners;
mod logging;
mod process;
mod settings;
mod shutdown;
mod status;
mod subcommands;
