//! Deliberate faults in what counts of the answers; see `brassport_resolver::mutants` for those in the resolver.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A node goes with the first answer that lacks it.
    DropAtFirstAbsence = 1,
    /// A negative answer ends the list at once.
    TrustEmpty,
    /// The list is said to be whole before the addresses are known.
    WholeTooSoon,
    /// What is listed first counts as warm.
    WarmAtFirst,
    /// A node that was listed anew counts as started long ago.
    WarmWhenNew,
}

/// Every fault.
pub const ALL: [Mutant; 5] = [
    Mutant::DropAtFirstAbsence,
    Mutant::TrustEmpty,
    Mutant::WholeTooSoon,
    Mutant::WarmAtFirst,
    Mutant::WarmWhenNew,
];

#[cfg(feature = "mutants")]
mod chosen {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static CHOSEN: Cell<u8> = const { Cell::new(0) };
    }

    /// Puts this fault, or none, into the source on this thread.
    pub fn choose(mutant: Option<Mutant>) {
        CHOSEN.set(mutant.map_or(0, |mutant| mutant as u8));
    }

    pub(crate) fn is_chosen(mutant: Mutant) -> bool {
        CHOSEN.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use chosen::choose;

#[cfg(feature = "mutants")]
pub(crate) fn is_chosen(mutant: Mutant) -> bool {
    chosen::is_chosen(mutant)
}

#[cfg(not(feature = "mutants"))]
#[inline(always)]
pub(crate) fn is_chosen(_: Mutant) -> bool {
    false
}

macro_rules! mutant {
    ($fault:ident) => {
        $crate::mutants::is_chosen($crate::mutants::Mutant::$fault)
    };
}
pub(crate) use mutant;
