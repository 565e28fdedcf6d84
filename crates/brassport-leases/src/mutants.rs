//! Deliberate faults that tests activate one at a time, to show that the model can fail. Without the feature `mutants`
//! each check for one is the constant `false`.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A permit runs from the response instead of the request.
    PermitFromResponse = 1,
    /// All clocks are assumed to run at the same rate.
    NoDrift,
    /// A process that starts acquires a lease that seems free without waiting.
    NoWaitAtStart,
    /// A lease is changed although its version has changed since it was read.
    VersionIgnored,
    /// The wait for a lease's expiry runs from the first sight of its holder instead of the last renewal.
    WaitFromFirstSeen,
    /// A lease is released before its holder has stopped acting.
    ReleasedEarly,
    /// A process treats a lease of an earlier process of its instance as its own.
    ProcessIgnored,
    /// A new holder reuses the token of the previous holder.
    TokenReused,
    /// A permit does not expire until another holder is seen.
    PermitNeverExpires,
    /// An unknown outcome is treated as a committed change.
    UnknownIsCommitted,
}

/// Every deliberate fault.
pub const ALL: [Mutant; 10] = [
    Mutant::PermitFromResponse,
    Mutant::NoDrift,
    Mutant::NoWaitAtStart,
    Mutant::VersionIgnored,
    Mutant::WaitFromFirstSeen,
    Mutant::ReleasedEarly,
    Mutant::ProcessIgnored,
    Mutant::TokenReused,
    Mutant::PermitNeverExpires,
    Mutant::UnknownIsCommitted,
];

#[cfg(feature = "mutants")]
mod active {
    use super::Mutant;
    use std::sync::atomic::{AtomicU8, Ordering};

    // One for all threads of the process, because several threads explore the model.
    static ACTIVE: AtomicU8 = AtomicU8::new(0);

    /// Activates this fault, or none, in the whole process.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.store(mutant.map_or(0, |mutant| mutant as u8), Ordering::SeqCst);
    }

    /// Whether this fault is active. Public because a test's replicated state implements some of the faults.
    pub fn is_active(mutant: Mutant) -> bool {
        ACTIVE.load(Ordering::Relaxed) == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use active::{activate, is_active};

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
