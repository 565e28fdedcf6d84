//! Distributed rate limits of tenants: all nodes of a cluster together keep a limit without coordinating each
//! request.
//!
//! A limit is divided into two parts. The base part is divided equally among the nodes: each node
//! ([`NodeQuotas`]) has a fixed share of it in a local token bucket. The granted part refills a token bucket
//! at the coordinator ([`QuotaCoordinator`]), which grants nodes a few requests in advance, on demand. A node
//! without contact to the coordinator still has its base share, and may spend each granted request once, at
//! any later time. Each token belongs to exactly one node or to the coordinator, so that all nodes together
//! stay within the tolerance of the limit, regardless of which nodes are partitioned, killed or suspended.
//!
//! From the same usage reports the coordinator computes a meter reading for each meter period. Nodes set the
//! probability of admission from the readings.
//!
//! The package does no I/O and reads no clock: the host transfers the messages, which are plain data, and
//! passes the time as an argument. The host also decides which node is the coordinator and what is sent to a
//! backend.
//!
//! ```
//! use brassport_quota::{Incarnation, NodeQuotas, QuotaCoordinator, RateLimit, TenantId, Term};
//!
//! let tenant = TenantId::of_name("acme");
//! let limit = RateLimit { rate_per_s: 100.0, burst: 100.0 };
//! let (mut node, mut coordinator) = (NodeQuotas::default(), QuotaCoordinator::default());
//! coordinator.activate(0);
//!
//! // Without a grant, each of ten nodes can spend its base share.
//! assert!(node.try_acquire(1_000, tenant, limit, 10).is_ok());
//!
//! // The node reports its usage, receives a grant and spends the granted requests first.
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
mod retry_delays;
mod token_bucket;

pub use coordinator::QuotaCoordinator;
pub use messages::{QuotaGrant, UsageReport};
pub use node_quotas::NodeQuotas;
pub use rate_limit::RateLimit;

pub use brassport_types::{Incarnation, Millis, TenantId, Term};

/// Age of a usage report, in milliseconds, from which on its grants are ignored. It limits how long a grant
/// may be in transit: several report periods, and longer than a coordinator without a majority continues to
/// grant (600 ms).
pub const GRANT_TIMEOUT_MS: Millis = 900;
/// The meter period, in milliseconds: the interval of the meter readings.
pub const METER_PERIOD_MS: Millis = 1_000;
