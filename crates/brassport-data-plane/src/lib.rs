//! The data plane of the gateway: authenticates and routes requests by host, path and tenant key, and serves them
//! through the policy.
//!
//! Each service has its own instance of the policy, run by a [`brassport_proxy::dispatch::Dispatcher`]. This package
//! adds the parts that are specific to the gateway:
//!
//! - [`downstream`]: the phases of a request, from its head to the response;
//! - [`backend_protocol`]: the headers of attempts and the classification of backend responses;
//! - [`tenant_quotas`]: the rate limits of tenants on this node;
//! - [`policy_settings`]: the policy settings of a service, derived from the operator's configuration;
//! - [`endpoints`]: the backends of a service, as last reported by the control plane;
//! - [`metrics`]: counters for operators.
//!
//! Requests read only this node's replica of the configuration and never wait for another process. Load balancing,
//! retries and rejections are decided by the policy; connections and bodies are handled by `brassport-proxy`.
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
//! // The node is not ready until the control plane has provided a configuration and a backend.
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
