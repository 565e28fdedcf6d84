//! Deliberate faults of the store, to show that the power-cut tests can fail. Compiled only with the feature
//! `mutants`; without it `mutant!` is the constant `false`.

/// Whether a mutant is on.
#[cfg(feature = "mutants")]
macro_rules! mutant {
    ($which:ident) => {
        $crate::mutants::ACTIVE.get() == Some($crate::mutants::Mutant::$which)
    };
}
#[cfg(not(feature = "mutants"))]
macro_rules! mutant {
    ($which:ident) => {
        false
    };
}
pub(crate) use mutant;

/// One deliberate fault.
#[cfg(feature = "mutants")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A file takes its name, and the directory is not synced behind it.
    NoDirectorySync,
    /// A file takes its name before its content is synced.
    RenameBeforeSync,
    /// A change is acknowledged before it is durable.
    AcknowledgeBeforeSync,
    /// The checksums of the state file are not looked at when it is opened.
    ChecksumIgnored,
    /// A commit's pages are synced together with the header that points to them.
    OnePhaseCommit,
    /// A change sent twice is made twice.
    NotIdempotent,
    /// The last-known list is written in two commits: what goes, then what comes.
    KnownInTwoSteps,
}

#[cfg(feature = "mutants")]
thread_local! {
    /// The mutant that is on, on this thread.
    pub static ACTIVE: std::cell::Cell<Option<Mutant>> = const { std::cell::Cell::new(None) };
}
