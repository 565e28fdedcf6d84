//! The interface of the decision module: settings, events, actions and outcomes. Plain data; it decides
//! nothing.

mod events;
mod servers;
mod settings;
mod validation;

pub use events::{Action, AttemptEnd, Event, Outcome, Request};
pub use servers::{Lifecycle, ListKind, ServerEntry};
pub use settings::{Class, Effect, Plan, Scope, Settings, Tuning};
pub use validation::InvalidSetting;

/// A moment of the host's monotonic clock, or a span of it, in milliseconds.
pub type Millis = f64;
/// Identifies a request; never reused, and below 2^62, as timer tokens hold it shifted by 2 bits.
pub type RequestId = u64;
/// Identifies a server; the same at every gateway.
pub type ServerId = u32;
/// Identifies a customer (tenant); the same at every gateway.
pub type CustomerId = u64;
