//! Deliberate faults in the resolver, one at a time, to show that the checks can fail. Without the feature `mutants`
//! each is `false` when it is compiled.

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mutant {
    /// A truncated answer counts as if it were whole.
    TrustTruncated = 1,
    /// An answer is kept for ever: nothing is asked again before it ends.
    IgnoreLifetime,
    /// SERVFAIL says that there are no records.
    FailureIsEmpty,
    /// The question within an answer is not looked at.
    IgnoreQuestion,
    /// The id of an answer is not looked at.
    IgnoreId,
    /// Who sent an answer is not looked at.
    IgnoreSender,
    /// An answer's end of life is the end of what is known.
    NoStale,
}

/// Every fault.
pub const ALL: [Mutant; 7] = [
    Mutant::TrustTruncated,
    Mutant::IgnoreLifetime,
    Mutant::FailureIsEmpty,
    Mutant::IgnoreQuestion,
    Mutant::IgnoreId,
    Mutant::IgnoreSender,
    Mutant::NoStale,
];

#[cfg(feature = "mutants")]
mod chosen {
    use super::Mutant;
    use std::cell::Cell;

    thread_local! {
        static CHOSEN: Cell<u8> = const { Cell::new(0) };
    }

    /// Puts this fault, or none, into the resolver on this thread.
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
