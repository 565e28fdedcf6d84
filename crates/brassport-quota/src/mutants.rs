//! Deliberate faults, one at a time, that the test of the rate bound must detect. Without the feature
//! `mutants` the check for a fault is the constant `false`.

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// Grants are not debited from the coordinator's bucket.
    GrantsNotDebited = 1,
    /// A new coordinator starts with a full bucket.
    FullBucketAtTakeover,
    /// Each node has the complete base part instead of its share.
    UndividedBase,
}

/// All faults.
pub const ALL: [Mutant; 3] = [Mutant::GrantsNotDebited, Mutant::FullBucketAtTakeover, Mutant::UndividedBase];

#[cfg(feature = "mutants")]
mod activation {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<u8> = const { Cell::new(0) };
    }

    /// Activates a fault in the current thread; `None` deactivates all.
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
pub(crate) use activation::is_active;

#[cfg(not(feature = "mutants"))]
pub(crate) const fn is_active(_: Mutant) -> bool {
    false
}
