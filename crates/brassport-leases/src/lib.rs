//! Leases for tasks that run once in a fleet instead of once on each instance: which process may act on a task, under a
//! fencing token that rises with every holder.
//!
//! A task's lease is one entry in the fleet's replicated state, changed only against the last version that the writer
//! read. [`Task`] is one process's state machine for one task: it acquires the lease, renews it and releases it. A process
//! acts only with a [`Permit`], which only [`Task::permit`] creates, immediately before the act, and which expires on the
//! process's own clock without any message. [`schedule`] computes when a periodic task is due.
//!
//! It relies on two assumptions: clocks that advance while a process is suspended and drift apart by
//! [`Terms::drift_permille`] at most; and a replicated state that rejects a change made against an older version.
//!
//! The host replicates the lease, by publishing the contents of [`Action::Publish`], and runs the task's work. This
//! package does no I/O: time is an argument.
//!
//! ```
//! use brassport_leases::{Action, Event, Outcome, Task, Terms};
//!
//! let mut task = Task::new("i1", 7, Terms::default(), 0);
//! assert!(task.handle(1, Event::Wants(true)).is_empty(), "an earlier holder's permit may still run");
//! let later = 1 + task.terms().bound(task.terms().length);
//! let actions = task.handle(later, Event::Tick);
//! assert!(matches!(actions[..], [Action::Publish { seen: 0, .. }]));
//! assert_eq!(task.permit(later), None, "not before the fleet has committed it");
//! task.handle(later + 20, Event::Answer(Outcome::Taken { version: 3 }));
//! assert_eq!(task.permit(later + 30).map(|permit| permit.token()), Some(1));
//! assert_eq!(task.permit(later + task.terms().length), None, "a permit runs from the request, not from the response");
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod event;
mod lease;
pub mod mutants;
pub mod schedule;
mod task;

pub use event::{Action, Event, NoPermitReason, Outcome};
pub use lease::{Lease, Terms};
pub use task::{Permit, Task};

/// Milliseconds on the caller's own monotonic clock.
pub type Millis = u64;
