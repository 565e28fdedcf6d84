//! Deliberate faults, one at a time, to show that the campaign can fail. Without the feature `mutants` each is `false`
//! when it is compiled.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A promise, or an acceptance, is said before it is on disk.
    SaidUnsynced = 1,
    /// A new leader passes over what may have been chosen before.
    OpenForgotten,
    /// One voter fewer than a majority is enough.
    NoMajority,
    /// A voter accepts under a term below its promise.
    PromiseBroken,
    /// A voter whose disk was lost goes on as the one that it was.
    DiskIgnored,
    /// A leader takes leadership before its own promise is on disk.
    OwnPromiseUnsynced,
    /// A leader judges although it may be one no more.
    JudgesUnsure,
    /// Behind a write that failed nothing is mended.
    TornIgnored,
    /// A change of voters is taken up although another was chosen since it was asked for.
    VotersUnchecked,
    /// An order that may have been taken long ago is refused.
    ForgottenRefused,
    /// The reconciler of voters keeps a silent voter.
    SilentStays,
    /// The reconciler lets a successor in before the silent voter goes.
    SuccessorFirst,
    /// One that is about to end may, whoever knows what it knows.
    ReleasedUnasked,
    /// A snapshot is taken in whose digest is another.
    SnapshotUnchecked,
    /// A machine that is cut off hands its configuration out.
    CutOffHandsOut,
    /// One that was cut off tells others of backends as it knew them.
    IsolationTrusted,
}

/// Every fault of consensus itself.
pub const ALL: [Mutant; 10] = [
    Mutant::SaidUnsynced,
    Mutant::OpenForgotten,
    Mutant::NoMajority,
    Mutant::PromiseBroken,
    Mutant::DiskIgnored,
    Mutant::OwnPromiseUnsynced,
    Mutant::JudgesUnsure,
    Mutant::TornIgnored,
    Mutant::VotersUnchecked,
    Mutant::ForgottenRefused,
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
mod chosen {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static CHOSEN: Cell<u8> = const { Cell::new(0) };
    }

    /// Lets one fault into this thread, or none.
    pub fn activate(mutant: Option<Mutant>) {
        CHOSEN.set(mutant.map_or(0, |mutant| mutant as u8));
    }

    /// Whether this fault was let into this thread.
    pub fn is_active(mutant: Mutant) -> bool {
        CHOSEN.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use chosen::{activate, is_active};

/// Whether this fault was let into this thread: never, without the feature.
#[cfg(not(feature = "mutants"))]
pub const fn is_active(_: Mutant) -> bool {
    false
}
