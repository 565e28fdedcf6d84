//! Deliberate faults, one at a time, to show that the tests can fail. Without the feature `mutants` each check is `false`
//! at compile time.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A promise, or an acceptance, is sent before it is on disk.
    MessageBeforeSync = 1,
    /// A new leader passes over what may have been committed before.
    AcceptedEntryIgnored,
    /// One voter fewer than a majority is enough.
    QuorumOneShort,
    /// A voter accepts under a term below its promise.
    PromiseBroken,
    /// A voter whose disk was lost keeps its vote.
    LostDiskKeepsVote,
    /// A candidate leads before its own promise is on disk.
    LeadsBeforeOwnPromise,
    /// A leader evaluates commands although another may lead.
    EvaluatesWithoutQuorum,
    /// After a write that failed no snapshot closes the gap.
    WriteGapIgnored,
    /// A change of voters is proposed although another was committed since it was submitted.
    VoterChangeUnchecked,
    /// A request that may have been applied long ago is rejected.
    ForgottenRequestRejected,
    /// The reconciler of voters keeps an unresponsive voter.
    SilentStays,
    /// The reconciler adds a successor before the unresponsive voter is removed.
    SuccessorFirst,
    /// A machine may leave although no majority knows what it knows.
    ReleasedUnasked,
    /// A snapshot is installed whose digest differs.
    SnapshotUnchecked,
    /// A partitioned machine sends its configuration to others.
    CutOffHandsOut,
    /// A machine that was partitioned sends its stale backend records to others.
    IsolationTrusted,
}

/// Every fault of consensus itself.
pub const ALL: [Mutant; 10] = [
    Mutant::MessageBeforeSync,
    Mutant::AcceptedEntryIgnored,
    Mutant::QuorumOneShort,
    Mutant::PromiseBroken,
    Mutant::LostDiskKeepsVote,
    Mutant::LeadsBeforeOwnPromise,
    Mutant::EvaluatesWithoutQuorum,
    Mutant::WriteGapIgnored,
    Mutant::VoterChangeUnchecked,
    Mutant::ForgottenRequestRejected,
];

/// Every fault of the control plane around it.
pub const CONTROL: [Mutant; 6] = [
    Mutant::SilentStays,
    Mutant::SuccessorFirst,
    Mutant::ReleasedUnasked,
    Mutant::SnapshotUnchecked,
    Mutant::CutOffHandsOut,
    Mutant::IsolationTrusted,
];

#[cfg(feature = "mutants")]
mod active {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<u8> = const { Cell::new(0) };
    }

    /// Activates one fault in this thread, or none.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.set(mutant.map_or(0, |mutant| mutant as u8));
    }

    /// Whether this fault is active in this thread.
    pub fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use active::{activate, is_active};

/// Whether this fault is active in this thread: never, without the feature.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
