//! The endpoint table: one record for each incarnation of a backend, renewed by its heartbeats.
//!
//! The table is soft state under leases. Copies of a record are ordered by the backend's call count, so merging them in
//! any order gives the same result: a late heartbeat does not override a newer state, and a deregistration is final for
//! its incarnation. Changes are broadcast at once (`dissemination`). Missed changes are repaired by comparing digests
//! of the table's ranges (`repair`).

mod calls;
mod dissemination;
mod record;
pub(crate) mod repair;
mod table;

pub use record::{Backend, BackendState};
pub(crate) use table::{MergeOutcome, Source, Table};

use repair::RepairSchedule;

/// Number of ranges of the endpoint table, each with its own digest. Fixed by the wire format.
pub const DIGEST_RANGES: usize = 16;

/// The endpoint table and its repair schedule.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    pub(crate) table: Table,
    pub(crate) repair: RepairSchedule,
    /// The port on which the nodes of this cluster accept calls of backends. `None`: backends are never redirected.
    pub(crate) control_port: Option<u16>,
}
