//! Deliberate faults in the store, used to show that the power-failure tests detect them. They are compiled only with
//! the feature `mutants`; without it, `mutant!` is the constant `false`.

/// Whether a mutant is active on the current thread.
#[cfg(feature = "mutants")]
macro_rules! mutant {
    ($name:ident) => {
        $crate::mutants::is_active($crate::mutants::Mutant::$name)
    };
}
#[cfg(not(feature = "mutants"))]
macro_rules! mutant {
    ($name:ident) => {
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

    /// A deliberate fault in the store.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Mutant {
        /// The directory is not synced after a new file is renamed to its final name.
        NoDirectorySync,
        /// A new file is renamed to its final name before its content is synced.
        RenameBeforeSync,
        /// A change is acknowledged before it is durable.
        AcknowledgeBeforeSync,
        /// Page checksums are not verified when a file is opened.
        ChecksumIgnored,
        /// The pages of a commit are synced together with the header that points to them.
        OnePhaseCommit,
        /// A change requested twice is made twice.
        NotIdempotent,
        /// The last-known list is written in two commits: first the removals, then the inserted and changed rows.
        CachedNodesInTwoCommits,
    }

    thread_local! {
        // Thread-local, so that tests on other threads run without the fault.
        static ACTIVE: Cell<Option<Mutant>> = const { Cell::new(None) };
    }

    /// Activates a mutant on this thread; `None` deactivates it.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.set(mutant);
    }

    pub(crate) fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == Some(mutant)
    }
}
