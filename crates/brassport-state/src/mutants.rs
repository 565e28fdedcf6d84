//! Deliberate faults of the store, to show that the power-cut tests can fail. Compiled only with the feature
//! `mutants`; without it `mutant!` is the constant `false`.

/// Whether a mutant is active.
#[cfg(feature = "mutants")]
macro_rules! mutant {
    ($which:ident) => {
        $crate::mutants::is_active($crate::mutants::Mutant::$which)
    };
}
#[cfg(not(feature = "mutants"))]
macro_rules! mutant {
    ($which:ident) => {
        false
    };
}
pub(crate) use mutant;

#[cfg(feature = "mutants")]
pub use active::{activate, Mutant};

#[cfg(feature = "mutants")]
pub(crate) use active::is_active;

#[cfg(feature = "mutants")]
mod active {
    use std::cell::Cell;

    /// One deliberate fault.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Mutant {
        /// A file takes its name, and the directory is not synced after it.
        NoDirectorySync,
        /// A file takes its name before its content is synced.
        RenameBeforeSync,
        /// A change is acknowledged before it is durable.
        AcknowledgeBeforeSync,
        /// The checksums of the state file are not verified when it is opened.
        ChecksumIgnored,
        /// A commit's pages are synced together with the header that points to them.
        OnePhaseCommit,
        /// A change requested twice is made twice.
        NotIdempotent,
        /// The last-known list is written in two commits: the removals, then the rest.
        CachedNodesInTwoCommits,
    }

    thread_local! {
        // A thread's own: the tests of other threads run without it.
        static ACTIVE: Cell<Option<Mutant>> = const { Cell::new(None) };
    }

    /// Activates a mutant on this thread, or none.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.set(mutant);
    }

    pub(crate) fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == Some(mutant)
    }
}
