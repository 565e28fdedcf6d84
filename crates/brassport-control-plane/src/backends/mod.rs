//! The endpoint table: one record for each incarnation of a backend, renewed by its heartbeats.
//!
//! The table is soft state under leases. Two copies of a record are compared by the count of calls that made them, so that
//! copies merge in any order to the same: a late heartbeat undoes nothing, and a deregistration ends an incarnation for
//! good. Changes are disseminated at once (`dissemination`), and what is missed is repaired by digests of the table's
//! ranges (`repair`).

mod calls;
mod dissemination;
mod record;
pub(crate) mod repair;
mod table;

pub use record::{Backend, BackendState};
pub(crate) use table::{MergeOutcome, Source, Table};

use repair::RepairSchedule;

/// Ranges of the table that digests are taken over. Fixed by the wire format.
pub const RANGES: usize = 16;

/// The endpoint table with its repairs.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    pub(crate) table: Table,
    pub(crate) repair: RepairSchedule,
    /// The port on which this cluster's nodes are called by backends; `None`: backends are never redirected.
    pub(crate) control_port: Option<u16>,
}
