//! The cluster's configuration and who decides on it: the operator's documents and their checks ([`configuration`]), the
//! consensus of a majority of voters on their versions ([`consensus`]), and a voter's durable store ([`store`]).
//!
//! Configuration and consensus are without I/O: plain data and the host's clock in, actions out. The store alone touches the
//! disk, and blocks until it has; the host gives it a thread.
//!
//! It is not for transport (messages are plain data that the host carries), not for who is to vote (the control plane
//! decides that, and submits it as a command), and not for serving requests by a configuration.
//!
//! A replica that is alone leads as soon as its own promise is on disk, and commits what is submitted:
//!
//! ```
//! use brassport_config_store::consensus::{
//!     Action, ChangeScope, Command, ConfigurationRequest, DiskId, Outcome, Replica,
//! };
//! use std::sync::Arc;
//!
//! /// Executes the actions as a host with an instant disk would. Returns the outcomes of commands.
//! fn execute(replica: &mut Replica, now: u64, mut actions: Vec<Action>) -> Vec<Outcome> {
//!     let mut outcomes = Vec::new();
//!     while !actions.is_empty() {
//!         match actions.remove(0) {
//!             Action::Persist(number, _record) => actions.extend(replica.on_persisted(now, number, true)),
//!             Action::Respond(_number, outcome) => outcomes.push(outcome),
//!             _ => {}
//!         }
//!     }
//!     outcomes
//! }
//!
//! let mut replica = Replica::new([10, 0, 0, 1].into(), DiskId(7), None, 0);
//! let actions = replica.bootstrap(0, 1);
//! execute(&mut replica, 0, actions);
//! let actions = replica.tick(50);
//! execute(&mut replica, 50, actions);
//! assert!(replica.is_leader());
//!
//! let body = br#"{"version": "00000001", "services": [], "hosts": []}"#;
//! let command = Command::Configure(ConfigurationRequest {
//!     scope: ChangeScope::Full,
//!     base_version: 0,
//!     body: Arc::new(body.to_vec()),
//! });
//! let actions = replica.submit(60, 1, command);
//! assert_eq!(execute(&mut replica, 60, actions), [Outcome::Committed]);
//! assert_eq!(replica.state().version(), 1);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod configuration;
pub mod consensus;
pub mod store;
