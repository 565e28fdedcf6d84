//! The endpoint table: one record for each incarnation of a backend, renewed by its heartbeats.
//!
//! The table is soft state under leases. Copies of a record are ordered by the backend's call count, so merging them in
//! any order gives the same result: a late heartbeat does not override a newer state, and a deregistration is final for
//! its incarnation. Changes are pushed from node to node at once (`dissemination`). Changes that a push missed are pulled
//! by comparing the hashes of single records (`repair`).

mod calls;
mod dissemination;
mod record;
mod record_hashes;
pub(crate) mod repair;
mod table;

pub use record::{Backend, BackendState, Departure};
pub use record_hashes::RecordHashes;
pub(crate) use table::{MergeOutcome, Source, Table};

use dissemination::ChangeQueue;
use repair::RepairSchedule;

/// Number of ranges of the endpoint table, each with its own digest. Fixed by the wire format.
pub const DIGEST_RANGES: usize = 16;

/// The endpoint table, the changes to be pushed, and the schedule of repairs.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    pub(crate) table: Table,
    pub(crate) changes: ChangeQueue,
    pub(crate) repair: RepairSchedule,
    /// The port on which the nodes of this cluster accept calls of backends. `None`: backends are never redirected.
    pub(crate) control_port: Option<u16>,
}
