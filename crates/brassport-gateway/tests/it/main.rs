//! The gateway's tests, one binary: settings, listeners, verbs, the log's level, the graceful shutdown, and the process.
#![forbid(unsafe_code)]

mod common;
mod listeners;
mod logging;
mod process;
mod settings;
mod shutdown;
mod status;
mod verbs;
