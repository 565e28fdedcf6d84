//! Shares of tenants' rate limits, so that all nodes of a cluster together keep a limit without asking for each request.
//!
//! A limit is divided in two. One part is the base: each node ([`NodeQuotas`]) holds an equal share of it for good, in a token
//! bucket of its own. The other part is refilled in a bucket at the owner of the coordinator's role ([`QuotaCoordinator`]), out of which
//! nodes are granted a few requests ahead, by need. A node that loses contact has its base, and may spend what it was
//! granted once, whenever that is. So all nodes together never exceed the limit's tolerance, whatever is partitioned, killed
//! or suspended: each token is counted where it lies.
//!
//! From the same reports the coordinator makes the reading of each meter period, by which nodes set the probability of admission.
//!
//! Not for I/O or clocks: messages are plain data that the host carries, and time is an argument. It decides neither who is
//! the coordinator nor what is sent to a backend.
//!
//! ```
//! use brassport_quota::{NodeQuotas, Incarnation, QuotaCoordinator, RateLimit, TenantId, Term};
//!
//! let tenant = TenantId::of_name("acme");
//! let limit = RateLimit { rate_per_s: 100.0, burst: 100.0 };
//! let (mut node, mut coordinator) = (NodeQuotas::default(), QuotaCoordinator::default());
//! coordinator.activate(0);
//!
//! // With nothing granted, one of ten nodes has its base.
//! assert!(node.try_acquire(1_000, tenant, limit, 10).is_ok());
//!
//! // It reports, is granted what it wants, and spends that first.
//! let (number, usage) = node.next_report(1_000);
//! let from = ([10, 0, 0, 1].into(), Incarnation(1));
//! let grants = coordinator.grant(1_002, from, &usage, |_| Some(limit));
//! assert!(grants[0].requests > 0);
//! node.apply_grants(1_004, Term::ZERO, number, &grants);
//! for _ in 0..grants[0].requests {
//!     assert!(node.try_acquire(1_005, tenant, limit, 10).is_ok());
//! }
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod account;
mod coordinator;
mod messages;
pub mod mutants;
mod node_quotas;
mod rate_limit;
mod retry_advice;
mod token_bucket;

pub use coordinator::QuotaCoordinator;
pub use messages::{QuotaGrant, UsageReport};
pub use node_quotas::NodeQuotas;
pub use rate_limit::RateLimit;

pub use brassport_types::{Incarnation, Millis, TenantId, Term};

/// Grants that arrive this long after their report, or later, are ignored, in milliseconds. It bounds how long a grant
/// may be under way: several periods of the reports, and longer than a coordinator without a majority goes on (600 ms).
pub const GRANT_TIMEOUT_MS: Millis = 900;
/// The meter period, in milliseconds: how often a reading is made.
pub const METER_PERIOD_MS: Millis = 1_000;
