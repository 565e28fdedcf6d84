//! Interface of the decision module: settings, events, actions and outcomes. Plain data without decisions.

mod events;
mod servers;
mod settings;
mod validation;

pub use events::{Action, AttemptEnd, Event, Outcome, Request};
pub use servers::{Lifecycle, ListKind, ServerEntry};
pub use settings::{Class, Plan, RetrySafety, Scope, Settings, Tuning};
pub use validation::InvalidSetting;

/// A time on the host's monotonic clock, or a duration, in milliseconds.
pub type Millis = f64;
/// Identifies a request; never reused, and below 2^62, as timer tokens contain it shifted by 2 bits.
pub type RequestId = u64;
/// Identifies a server; the same at every gateway.
pub type ServerId = u32;
/// Identifies a customer (tenant); the same at every gateway.
pub type CustomerId = u64;
