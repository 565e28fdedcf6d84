//! The decisions of a gateway that keeps each customer of a shared back end to its plan.
//!
//! The crate does no I/O. A host feeds one [`Gateway`] with [`Event`]s, each with the host's own
//! monotonic clock in milliseconds, and carries out the [`Action`]s it gets back, in order. The host owes
//! the gateway four things:
//!
//! * **clock**: time never runs backwards between two calls;
//! * **timers**: each [`Action::Timer`] comes back as one [`Event::Timer`] at or soon after its time;
//! * **order**: events are handed over in the order in which they happened, and every
//!   [`Action::Send`] is answered by exactly one [`Event::AttemptEnd`];
//! * **isolation**: one gateway a process; gateways share nothing and learn of each other from the
//!   meter alone.
//!
//! ```
//! use brassport_policy::{Action, Class, Effect, Event, Gateway, ListKind, Lifecycle, Plan, Request};
//! use brassport_policy::{ServerEntry, Settings};
//!
//! let settings = Settings {
//!     classes: vec![Class { worth: 1.0, aim: 500.0, deadline: 2000.0, late_share: 0.0, effect: Effect::Free }],
//!     plans: vec![Plan { rate: 5.0, burst: 10.0, price: 1.0, ..Plan::default() }],
//!     ..Settings::default()
//! };
//! let mut gateway = Gateway::new(settings, 42, 0.0).expect("the settings make sense");
//! let mut actions = Vec::new();
//! let server = ServerEntry { id: 7, zone: 0, cell: 0, share: 1.0, lifecycle: Lifecycle::Ready, launched: None };
//! gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries: vec![server] }, &mut actions);
//! let request = Request {
//!     id: 1,
//!     customer: 99,
//!     plan: 0,
//!     class: 0,
//!     units: 1.0,
//!     spread: 1,
//!     first: 0,
//!     expires_in: 2000.0,
//!     repeat: false,
//! };
//! gateway.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: 1, server: 7, .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod ceilings;
mod choice;
pub mod control;
mod heritage;
pub mod interface;
mod life;
mod room;
pub mod views;
pub mod wire;

pub use control::Gateway;
pub use interface::*;
pub use views::Figures;
