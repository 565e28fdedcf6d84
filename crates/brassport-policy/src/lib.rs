//! The decision module of the gateway: admission, load balancing and retries.
//!
//! It decides which request is admitted, which server gets an attempt, whether a failed or slow attempt is
//! retried, and when a request is rejected, so that each customer of a shared back end is kept to its plan
//! and the back end is not overloaded. It is not for I/O, connections or time-outs of sockets: a host feeds
//! one [`Gateway`] with [`Event`]s, each with the host's own monotonic clock in milliseconds, and executes
//! the [`Action`]s it gets back, in order. For equal settings, seed and events the actions are equal.
//!
//! # Requirements on the host
//!
//! * **clock**: time never runs backwards between two calls;
//! * **timers**: each [`Action::Timer`] comes back as one [`Event::Timer`] at or shortly after its time;
//! * **order**: events are handed over in the order in which they happened, and every
//!   [`Action::Send`] is answered by exactly one [`Event::AttemptEnd`];
//! * **isolation**: one gateway a process; gateways share nothing and learn of each other from the
//!   meter alone.
//!
//! # The decisions
//!
//! * **Quota** (`admission.rs`): per customer, requests are rejected at random with probability 1 - quota /
//!   offered. The admission probability is set once per meter period from the meter's global reading. Its
//!   floor is above 0, as without responses no reading would come; classes of low value are rejected first;
//!   before a first reading a customer is taken for a typical one of its plan, with a share of the quota at
//!   each of its gateways; customers that are idle until their buckets are full are forgotten.
//! * **Rate limit** (`rate_limit.rs`): a hard limit, by a token bucket with a share of it at each gateway.
//! * **Concurrency limit** (`concurrency_limit.rs`): AIMD on late and timely responses; beyond it, early
//!   rejection.
//! * **Load balancing** (`load_balancer.rs`, `server.rs`, `slow_start.rs`): least expected wait among sampled
//!   servers, outlier ejection, and turns for servers in warm-up.
//! * **Retries** (`request_lifecycle.rs`): only where a second run is safe and a retry budget allows it.
//!
//! `policy.rs` puts these together. Everything else in the crate is data: [`interface`], the hand-over state
//! ([`Gateway::handover_state`]), figures for operators, and the simulator's [`wire`].
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
