//! The dispatch layer between clients and backends. It is the only owner of the policy.
//!
//! This layer tracks each request from admission to the end of its last attempt. It gives the request a unique name
//! among the requests in flight, a deadline and exactly one outcome for its client. It runs the clock and the timers of
//! the policy, passes events to the policy and executes the resulting actions in order. It makes no decisions itself.
//!
//! It requires from the layer below, [`crate::upstream`], that an attempt has ended and its socket is closed or idle
//! when [`UpstreamPool::attempt`](crate::upstream::UpstreamPool::attempt) completes.
//!
//! Tasks: a [`Dispatcher`] spawns one task for each attempt. The task ends with its attempt, also if the attempt was
//! cancelled. A request is removed when it has its outcome and its last attempt has ended. Everything runs on one
//! thread; the state is never borrowed across an await, and events are never handled recursively.

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
