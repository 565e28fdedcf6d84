//! Deliberate faults for mutation testing, at most one active per thread. Without the feature `mutants` each check is
//! `false` at compile time.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A promise or an acceptance is sent before it is on disk.
    MessageBeforeSync = 1,
    /// A new leader ignores an entry that may have been committed under a lower term.
    AcceptedEntryIgnored,
    /// One voter fewer than a majority suffices.
    QuorumOneShort,
    /// A voter accepts under a term below its promise.
    PromiseBroken,
    /// A voter that has lost its disk keeps its vote.
    LostDiskKeepsVote,
    /// A candidate leads before its own promise is on disk.
    LeadsBeforeOwnPromise,
    /// A leader evaluates commands although another replica may lead.
    EvaluatesWithoutQuorum,
    /// No snapshot is written after a failed write, which leaves a gap on disk.
    WriteGapIgnored,
    /// A voter change is proposed although another one was committed after it was submitted.
    VoterChangeUnchecked,
    /// A request that may have been applied and forgotten is rejected.
    ForgottenRequestRejected,
    /// The voter reconciler keeps an unresponsive voter.
    SilentStays,
    /// The voter reconciler adds a successor before it removes the unresponsive voter.
    SuccessorFirst,
    /// A machine may leave although no majority knows the entries that it knows to be committed.
    ReleasedUnasked,
    /// A snapshot is installed although its digest does not match.
    SnapshotUnchecked,
    /// A partitioned machine sends its configuration to others.
    CutOffHandsOut,
    /// A machine that was partitioned sends its stale backend records to others.
    IsolationTrusted,
}

/// The mutants of consensus itself.
pub const CONSENSUS: [Mutant; 10] = [
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

/// The mutants of the control plane, which hosts consensus.
pub const CONTROL_PLANE: [Mutant; 6] = [
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

    /// Activates a mutant in the current thread; `None` deactivates it.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.set(mutant.map_or(0, |mutant| mutant as u8));
    }

    /// Whether this mutant is active in the current thread.
    pub fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use active::{activate, is_active};

/// Whether this mutant is active in the current thread. Always `false` without the feature `mutants`.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
