//! Leases for the tasks that a fleet runs once, not once on each instance: who may act on a task now, under a fencing
//! token that rises with every holder.
//!
//! A task's lease is one entry in the fleet's replicated state, changed only against the last version that the writer
//! saw. [`Task`] is one process's state machine for one task: it acquires the lease, renews it and releases it. Nobody
//! acts without a [`Permit`], which [`Task::permit`] alone makes, at the act, and which expires by itself on the
//! process's own clock. [`schedule`] computes when a periodic task is due.
//!
//! It rests on two assumptions: clocks that advance while a process stands still and drift apart by
//! [`Terms::drift_permille`] at most; and a replicated state that rejects a change made against an older version.
//!
//! It is not for replicating the lease (the host publishes what [`Action::Publish`] carries), it starts no task itself,
//! and it does no I/O: time is an argument.
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
//! assert_eq!(task.permit(later + task.terms().length), None, "it runs from the request, not from the response");
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
