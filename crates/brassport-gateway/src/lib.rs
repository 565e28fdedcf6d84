//! The gateway's program: it reads its settings, opens what a node owns, and runs the node's event loop until the process
//! is terminated.
//!
//! - [`command`]: the command line, one function a verb;
//! - [`settings`]: the settings file, read and checked;
//! - [`node`]: one running node: construction, event loop, graceful shutdown;
//! - [`store_thread`]: the thread that owns a voter's store;
//! - [`listeners`]: the HTTP listeners beside the request path (control, readiness, metrics);
//! - [`logging`]: the log on standard error.
//!
//! It decides nothing itself: which backend a request goes to is the data plane's and the policy's, what the cluster agrees
//! on is the control plane's. Here their actions meet sockets, the disk and the process's signals.
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
