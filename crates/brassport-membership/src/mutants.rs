//! Deliberate faults in the rules, one at a time, to show that the checks can fail. Without the feature `mutants`
//! each is `false` when it is compiled.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A list with a lower index applies at once.
    TrustLowerIndex = 1,
    /// An absence from a stale answer removes the node.
    DropOnStaleAbsence,
    /// A drained node is ready again after a server reports an older state for long.
    ReadyAgainAfterRestore,
    /// An old event undoes a newer one.
    TakeOldEvents,
    /// An empty answer removes all nodes at once.
    TrustEmptyList,
    /// The first source's state of a node counts, whatever the others report.
    FirstSourceWins,
    /// A node whose Nomad client is draining stays ready while its registration is present.
    IgnoreClientDrain,
    /// A drain is forgotten with the node, whoever else lists one at its address.
    ForgetDrains,
    /// A node of a source that only lists owns an address before one that is draining there.
    ListerOutranks,
}

/// Every fault.
pub const ALL: [Mutant; 9] = [
    Mutant::TrustLowerIndex,
    Mutant::DropOnStaleAbsence,
    Mutant::ReadyAgainAfterRestore,
    Mutant::TakeOldEvents,
    Mutant::TrustEmptyList,
    Mutant::FirstSourceWins,
    Mutant::IgnoreClientDrain,
    Mutant::ForgetDrains,
    Mutant::ListerOutranks,
];

#[cfg(feature = "mutants")]
mod active {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<u8> = const { Cell::new(0) };
    }

    /// Activates this fault, or none, on this thread.
    pub fn choose(mutant: Option<Mutant>) {
        ACTIVE.set(mutant.map_or(0, |mutant| mutant as u8));
    }

    pub(crate) fn is_active(mutant: Mutant) -> bool {
        ACTIVE.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use active::choose;

#[cfg(feature = "mutants")]
pub(crate) fn is_active(mutant: Mutant) -> bool {
    active::is_active(mutant)
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
