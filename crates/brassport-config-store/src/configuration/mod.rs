//! The operator's configuration of the gateway: as it was sent, and as the gateway reads it. No I/O.
//!
//! A [`Document`] has the complete JSON, with the fields that are unknown here, and the typed [`Configuration`] read from
//! it.
//!
//! `schematic` gives the typed layouts, their defaults and the check of single fields. Its loader isn't used: it reads one
//! source as one type and ends at the first field of the wrong type. Here every item is read by itself (`reader.rs`), so
//! that all errors are reported together, and `serde_json` gives the line and column where the text itself can't be read.
//! No variable of the environment is read. What concerns more than one item is checked where the item is read
//! (`services.rs`, `tenants.rs`, `routes.rs`).

mod change;
mod difference;
mod document;
mod duplicates;
mod error;
mod items;
mod limits;
mod parse;
mod reader;
mod route_table;
mod routes;
mod services;
mod tenants;
mod validators;
mod version;

pub use difference::{difference, Difference};
pub use document::Document;
pub use error::{ValidationError, ValidationErrors};
pub use items::{Configuration, Idempotency, Limits, Route, Service, Tenant};
pub use route_table::{normalize_host, RouteTable};
pub use version::{ParseVersionError, Version};
