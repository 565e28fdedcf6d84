//! The durable state of the small-site appliance: its nodes, drains in progress, the plans of studios (tenants), the
//! history of changes, and non-idempotent requests that were in flight when the power failed.
//!
//! - [`model`]: the effect of each change on the state and the rules that reject a change, without I/O.
//! - [`known`]: the last-known node list and how the age of a row determines its use.
//! - [`store`]: persists a state in one file. Each change is applied atomically and acknowledged once durable.
//! - [`log`]: persists a replicated log.
//! - [`files`]: the directory interface of both. Tests implement it with a simulated disk that loses power.
//!
//! The package is not a general database, does not handle HTTP and makes no decisions about requests.
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
//! // The change is durable when `apply` returns. A repeated request with the same id has no further effect.
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
