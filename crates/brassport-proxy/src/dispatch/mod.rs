//! Between clients and backends: the single owner of the policy.
//!
//! What this layer adds to a request: one owner from admission to the end of its last attempt, a name that no other
//! request in flight has, a deadline, and exactly one outcome for its client. It keeps the policy's clock and timers,
//! hands events to the policy and executes the actions that follow, in order. It decides nothing.
//!
//! What it requires of the layer below, [`crate::upstream`]: that an attempt is over, its socket closed or idle, when
//! [`UpstreamPool::attempt`](crate::upstream::UpstreamPool::attempt) is ready.
//!
//! Ownership: a [`Dispatcher`] starts one task for each attempt that the policy sends. The task ends when its attempt
//! does, also one that was cancelled; the request is removed once it is answered and its last attempt has ended. All
//! run on one thread: the state is borrowed between two awaits only, and never while the policy's events nest.

mod attempt;
mod clock;
mod dispatcher;
mod options;
mod pending;
mod requests;

pub use clock::PolicyClock;
pub use dispatcher::Dispatcher;
pub use options::{DispatcherOptions, RequestOutcome, UsageMeter};
pub use pending::PendingRequest;
