//! The operator's configuration of the gateway, both as JSON document and as typed values. No I/O.
//!
//! A [`Document`] contains the complete JSON, including unknown fields, and the typed [`Configuration`] parsed from it.
//!
//! `schematic` provides the typed layouts of items, their defaults and the validation of single fields. Its loader
//! isn't used: it deserializes one source as one type and stops at the first field of the wrong type. Here each item is
//! deserialized separately (`reader.rs`), so that all errors are reported together, and `serde_json` reports line and
//! column where the text is not valid JSON. No environment variables are read. Constraints across items are checked
//! where the items are read (`services.rs`, `tenants.rs`, `routes.rs`).

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
