//! The gateway's data plane: requests by route, key and tenant, in front of the policy's decisions.
//!
//! For each service there is an instance of the policy with its host ([`brassport_proxy::dispatch::Dispatcher`]). What is the
//! gateway's own stands at its seams:
//!
//! - [`downstream`]: the phases of a request, from its head to the response;
//! - [`backend_protocol`]: what an attempt tells a backend, and how the head of its response is judged;
//! - [`tenant_quotas`]: what a tenant may send through this node;
//! - [`policy_settings`]: the policy's settings of a service, derived from the operator's configuration;
//! - [`endpoints`]: the backends of a service, as the control plane last reported them;
//! - [`metrics`]: counters for operators.
//!
//! A request reads this node's replica of the configuration and nothing else; it never waits for another process. Which
//! backend it goes to, whether it is retried and whether it is rejected is the policy's to decide, not this package's; how
//! bytes are moved is the proxy's.
//!
//! ```
//! use brassport_data_plane::{DataPlane, Options, RetryBudget};
//! use brassport_proxy::{clock::SystemClock, network::Tcp};
//!
//! let options = Options {
//!     zone: "a".to_owned(),
//!     zones: vec!["a".to_owned(), "b".to_owned()],
//!     descriptors: 1_024,
//!     drain_ms: 2_000.0,
//!     retry_budget: RetryBudget { ratio: 0.1, burst: 10.0 },
//!     seed: 1,
//! };
//! let data_plane = DataPlane::new(SystemClock, Tcp, options);
//! // Until the control plane hands over a configuration and a backend, the node is not ready.
//! assert!(!data_plane.is_ready());
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod active_configuration;
pub mod backend_protocol;
mod data_plane;
pub mod downstream;
pub mod endpoints;
mod hooks;
pub mod metrics;
pub mod policy_settings;
mod service;
pub mod tenant_quotas;

pub use data_plane::{DataPlane, Options, RetryBudget};
