//! The API gateway executable: its command line, and a node of the gateway as one process.
//!
//! A node reads its settings, opens its sockets and its store, and runs an event loop until SIGTERM.
//!
//! - [`command`]: the command line and its subcommands;
//! - [`settings`]: reading and validation of the settings file;
//! - [`node`]: a running node: construction, event loop and graceful shutdown;
//! - [`store_thread`]: the thread that reads and writes a voter's store;
//! - [`listeners`]: the HTTP listeners outside the request path (control, readiness, metrics);
//! - [`logging`]: the log on standard error.
//!
//! This package makes no routing or cluster decisions: the data plane and the policy choose the backend of a request, and
//! the control plane maintains the replicated state. The code here connects them to sockets, the disk and signals.
//!
//! ```
//! use brassport_gateway::settings::Settings;
//!
//! let settings = Settings::parse("node: n1\nip: 10.0.1.7\ninternalPorts: [9001]\n").expect("complete settings");
//! assert_eq!((settings.node.as_str(), settings.internal_port), ("n1", 9001));
//! let problems = Settings::parse("ip: here\n").expect_err("no address, no port");
//! assert_eq!(problems[0].to_string(), "ip: \"here\" is no IPv4 address");
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod command;
pub mod listeners;
pub mod logging;
pub mod node;
pub mod settings;
mod status;
pub mod store_thread;
