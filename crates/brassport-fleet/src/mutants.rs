//! Deliberate faults that tests activate one at a time, to show that the tests can fail. Without the feature `mutants` each
//! check for one is the constant `false`.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// An older snapshot of the shared state replaces a newer one.
    StaleSnapshot = 1,
    /// A change is applied without a check of its digest.
    ChainUnchecked,
    /// A repeated change is applied a second time.
    IdIgnored,
    /// A change against an older version than the current one is applied.
    ConflictIgnored,
    /// A gateway instance without contact counts as one that has the new version.
    UnresponsiveIsFenced,
    /// A gateway instance's right runs from the response instead of the request.
    GrantFromResponse,
    /// All clocks are assumed to run at the same rate.
    NoDrift,
    /// A new leader assumes that no earlier one granted anything.
    EarlierGrantsIgnored,
    /// A voter's extension revives a right that had expired.
    ExtensionRevives,
    /// A fence does not wait for rights that an unresponsive voter may have extended.
    VoterIgnored,
    /// A gateway instance is granted a right although its version is older than required.
    StaleVersionGranted,
    /// A new process with a gateway instance's name is granted a right while its predecessor may still act.
    PredecessorIgnored,
    /// A record is read without a check that each line follows the one before.
    LinkUnchecked,
}

/// Every deliberate fault.
pub const ALL: [Mutant; 13] = [
    Mutant::StaleSnapshot,
    Mutant::ChainUnchecked,
    Mutant::IdIgnored,
    Mutant::ConflictIgnored,
    Mutant::UnresponsiveIsFenced,
    Mutant::GrantFromResponse,
    Mutant::NoDrift,
    Mutant::EarlierGrantsIgnored,
    Mutant::ExtensionRevives,
    Mutant::VoterIgnored,
    Mutant::StaleVersionGranted,
    Mutant::PredecessorIgnored,
    Mutant::LinkUnchecked,
];

#[cfg(feature = "mutants")]
mod activation {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<u8> = const { Cell::new(0) };
    }

    /// Activates this fault, or none, on the current thread.
    pub fn activate(mutant: Option<Mutant>) {
        ACTIVE.set(mutant.map_or(0, |mutant| mutant as u8));
    }

    pub(crate) fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use activation::activate;

#[cfg(feature = "mutants")]
pub(crate) fn is_active(mutant: Mutant) -> bool {
    activation::is_active(mutant)
}

#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) fn is_active(_: Mutant) -> bool {
    false
}

macro_rules! mutant {
    ($fault:ident) => {
        $crate::mutants::is_active($crate::mutants::Mutant::$fault)
    };
}
pub(crate) use mutant;
