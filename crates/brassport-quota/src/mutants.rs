//! Deliberate faults, one at a time, to show that the test of the bound can fail. Without the feature `mutants` each is
//! `false` when it is compiled.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// What is lent is not taken out of the store.
    LentTwice = 1,
    /// A new lender has a full store at once.
    FullStore,
    /// The base is cut into one part.
    WholeBase,
}

/// Every fault.
pub const ALL: [Mutant; 3] = [Mutant::LentTwice, Mutant::FullStore, Mutant::WholeBase];

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

    pub(crate) fn is_active(mutant: Mutant) -> bool {
        CHOSEN.get() == mutant as u8
    }
}

#[cfg(feature = "mutants")]
pub use chosen::activate;
#[cfg(feature = "mutants")]
pub(crate) use chosen::is_active;

#[cfg(not(feature = "mutants"))]
pub(crate) const fn is_active(_: Mutant) -> bool {
    false
}
