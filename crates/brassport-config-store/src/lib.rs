//! The replicated configuration of a gateway cluster: parsing and validation of the operator's documents
//! ([`configuration`]), consensus of a majority of voters on their versions ([`consensus`]), and a voter's durable
//! store ([`store`]).
//!
//! Configuration and consensus perform no I/O: they take plain data and the host's clock, and consensus returns actions
//! for the host to execute. Only the store accesses the disk. Its calls block until the data is synced, so the host
//! runs it on a thread of its own.
//!
//! Out of scope: transport (messages are plain data that the host carries), the selection of voters (the control plane
//! selects them and submits the change as a command), and the handling of requests according to a configuration.
//!
//! A single voter becomes the leader as soon as its own promise is on disk, and commits the commands submitted to it:
//!
//! ```
//! use brassport_config_store::consensus::{
//!     Action, ChangeScope, Command, ConfigurationRequest, DiskId, Outcome, Replica,
//! };
//! use std::sync::Arc;
//!
//! /// Executes the actions like a host whose disk syncs at once, and returns the outcomes of commands.
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
