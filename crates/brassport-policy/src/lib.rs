//! The decision module of the gateway: admission, load balancing and retries.
//!
//! It decides which requests are admitted, which server gets an attempt, whether a failed or slow attempt is
//! retried, and when a request is rejected. The goals are that each customer of a shared back end stays
//! within its plan, and that the back end is not overloaded. The module does no I/O and has no connections or
//! socket timeouts. A host passes [`Event`]s to one [`Gateway`], each with the time on the host's monotonic
//! clock in milliseconds, and executes the returned [`Action`]s in order. The decisions are deterministic:
//! equal settings, seed and events give equal actions.
//!
//! # Requirements on the host
//!
//! * **Clock**: time never goes backwards between two calls.
//! * **Timers**: each [`Action::SetTimer`] results in one [`Event::Timer`] at its time or shortly after.
//! * **Order**: events are passed in the order in which they occurred, and every [`Action::Send`] is followed
//!   by exactly one [`Event::AttemptEnd`].
//! * **Isolation**: one gateway per process. Gateways share no state, and get information about each other's
//!   load from the meter only.
//!
//! # The decisions
//!
//! * **Quota** (`admission.rs`): each customer's requests are rejected at random with probability 1 - quota /
//!   offered rate. The admission probability is set once per meter period from the meter's global reading.
//!   Its minimum is above 0, as without responses there would be no readings. Classes of low value are
//!   rejected first. Before its first reading, a customer is assumed to be typical for its plan and to have
//!   an equal share of the quota at each of its gateways. Customers that are idle until their token buckets
//!   are full are removed.
//! * **Rate limit** (`rate_limit.rs`): a hard limit, with a token bucket for a share of it at each gateway.
//! * **Concurrency limit** (`concurrency_limit.rs`): AIMD on late and timely responses; requests beyond it
//!   are rejected early.
//! * **Load balancing** (`load_balancer.rs`, `server.rs`, `slow_start.rs`): least expected wait among sampled
//!   servers, outlier ejection, and turns for servers in warm-up.
//! * **Retries** (`request_lifecycle.rs`): only if the request may be sent again and the retry budget allows
//!   it.
//!
//! `policy.rs` combines these. The rest of the crate makes no decisions: [`interface`], the hand-over state
//! ([`Gateway::handover_state`]), metrics for operators, and the simulator's [`wire`] format.
//!
//! # Example
//!
//! ```
//! use brassport_policy::{Action, Class, Event, Gateway, Lifecycle, ListKind, Plan, Request, RetrySafety};
//! use brassport_policy::{ServerEntry, Settings};
//!
//! let class = Class {
//!     value: 1.0,
//!     latency_target: 500.0,
//!     deadline: 2000.0,
//!     late_value_fraction: 0.0,
//!     retry_safety: RetrySafety::Idempotent,
//! };
//! let plan = Plan { rate: 5.0, burst: 10.0, value_factor: 1.0, ..Plan::default() };
//! let settings = Settings { classes: vec![class], plans: vec![plan], ..Settings::default() };
//! let mut gateway = Gateway::new(settings, 42, 0.0).expect("the settings are valid");
//!
//! let mut actions = Vec::new();
//! let server = ServerEntry {
//!     id: 7,
//!     zone: 0,
//!     cell: 0,
//!     capacity: 1.0,
//!     lifecycle: Lifecycle::Ready,
//!     launched_at: None,
//! };
//! gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries: vec![server] }, &mut actions);
//! let request = Request {
//!     id: 1,
//!     customer: 99,
//!     plan: 0,
//!     class: 0,
//!     units: 1.0,
//!     customer_gateways: 1,
//!     first_gateway: 0,
//!     expires_in: 2000.0,
//!     is_client_retry: false,
//! };
//! gateway.handle(1.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: 1, server: 7, .. })));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod admission;
mod concurrency_limit;
mod handover;
pub mod interface;
mod load_balancer;
mod metrics;
mod policy;
mod rate_limit;
mod request_lifecycle;
mod server;
mod slow_start;
pub mod wire;

pub use interface::*;
pub use metrics::GatewayMetrics;
pub use policy::Gateway;
