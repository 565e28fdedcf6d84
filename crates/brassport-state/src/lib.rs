//! The durable state of the small-site appliance: its list of nodes, drains in progress, the plans of studios, the
//! history of changes, and the requests that were in flight when the power went and are not idempotent.
//!
//! - [`model`] is the core, without I/O: what a change does to a state, and which changes are rejected.
//! - [`known`] is the last-known endpoint list, and how its rows are used by their age.
//! - [`store`] keeps a state in one file: each change is applied atomically, and acknowledged once durable.
//! - [`log`] keeps the durable side of a replicated log.
//! - [`files`] is the seam to the directory that the file is in; tests implement it by a disk that loses power.
//!
//! It is not a general database, knows nothing of HTTP, and decides nothing about requests.
//!
//! ```
//! use brassport_state::files::Directory;
//! use brassport_state::model::{Action, Change, Lifecycle};
//! use brassport_state::store::Store;
//!
//! # let path = std::env::temp_dir().join(format!("brassport-state-doc-{}", std::process::id()));
//! # std::fs::create_dir_all(&path)?;
//! let directory = Directory::open(&path)?;
//! Store::create(&directory, "state.redb")?;
//! let mut store = Store::open(&directory, "state.redb")?;
//! let node = Action::AddNode {
//!     name: "loft-1".into(),
//!     endpoint: "127.0.0.1:9001".parse()?,
//!     zone: String::new(),
//!     group: 0,
//!     size: 1.0,
//!     warm: false,
//! };
//! let change = Change { id: "first".into(), who: "asha".into(), at_ms: 1, seen: None, action: node };
//! // Durable when this returns; requested twice under one id, it is made once.
//! let done = store.apply(change.clone())?;
//! assert_eq!(store.apply(change)?.revision, done.revision);
//! assert_eq!(store.state().nodes["loft-1"].lifecycle, Lifecycle::Ready);
//! # drop(store);
//! # std::fs::remove_dir_all(&path)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod database;
pub mod files;
pub mod known;
pub mod log;
pub mod model;
pub mod mutants;
pub mod store;
