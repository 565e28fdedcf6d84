//! Deliberate faults of the front door, to show that the simulation's oracle can fail. Compiled only with the
//! feature `mutants`, which no program of the release has; without it `mutant!` is the constant `false`.

#[cfg(feature = "mutants")]
use std::cell::Cell;

/// Whether a mutant is on.
#[cfg(feature = "mutants")]
#[macro_export]
macro_rules! mutant {
    ($which:ident) => {
        $crate::mutants::active() == Some($crate::mutants::Mutant::$which)
    };
}
#[cfg(not(feature = "mutants"))]
#[macro_export]
macro_rules! mutant {
    ($which:ident) => {
        false
    };
}
pub use mutant;

/// One deliberate fault.
#[cfg(feature = "mutants")]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A reset is told to the module as a connection that never came up: an unsafe request goes out again.
    RetryAfterReset,
    /// An error of a node's is taken for word that the request never ran.
    ErrorNeverRan,
    /// What failed is answered as refused.
    RefuseAfterMayHaveRun,
    /// A list is taken in 700 ms after it came.
    DrainLate,
    /// A list of an older revision is taken in as news.
    StaleListTaken,
    /// Answers are written twice.
    AnswerTwice,
    /// The client's deadline is forgotten.
    ForgetDeadline,
    /// Clients are accepted without a descriptor to spare.
    IgnoreDescriptorLimit,
    /// The reserve of descriptors for attempts is not kept.
    IgnoreReserve,
    /// A request whose client left while an attempt was out stays in flight.
    LeakInFlight,
    /// A connection to a node that does not come up keeps its descriptor.
    LeakDescriptor,
    /// The room of a body is not given back.
    LeakBody,
    /// An answer whose body has not all come is passed on, and its connection released to the pool.
    ReleaseHalfRead,
    /// A request that was answered while its attempt connected is sent all the same.
    SendBehindAnswer,
    /// An attempt that timed out keeps its connection.
    KeepTimedOutAttempt,
    /// Cold nodes are taken for warm ones.
    ColdIgnored,
    /// Each door holds the whole ceiling rather than its share.
    CeilingUnshared,
    /// At the end of a planned restart connections are closed whatever is open on them.
    CloseWithoutAnswer,
    /// What is in flight at the end of a planned restart is not failed.
    NoFailAtEnd,
    /// The timer's task never waits.
    Spin,
    /// A figure of the meter that cannot be read is a panic.
    PanicOnMeter,
    /// A node that moved is sent to where it was.
    KeepOldAddress,
    /// 503 and 504 are taken for word that the request never ran, whether or not the node says so.
    TrustPlain503,
    /// A node that staff took out is used on.
    IgnoreBan,
    /// Another agent's lists are judged by the revisions of the one before it: a drain may be passed over.
    RevisionsOfAnother,
}

#[cfg(feature = "mutants")]
impl Mutant {
    /// All of them.
    pub const ALL: [Mutant; 25] = [
        Mutant::RetryAfterReset,
        Mutant::ErrorNeverRan,
        Mutant::RefuseAfterMayHaveRun,
        Mutant::DrainLate,
        Mutant::StaleListTaken,
        Mutant::AnswerTwice,
        Mutant::ForgetDeadline,
        Mutant::IgnoreDescriptorLimit,
        Mutant::IgnoreReserve,
        Mutant::LeakInFlight,
        Mutant::LeakDescriptor,
        Mutant::LeakBody,
        Mutant::ReleaseHalfRead,
        Mutant::SendBehindAnswer,
        Mutant::KeepTimedOutAttempt,
        Mutant::ColdIgnored,
        Mutant::CeilingUnshared,
        Mutant::CloseWithoutAnswer,
        Mutant::NoFailAtEnd,
        Mutant::Spin,
        Mutant::PanicOnMeter,
        Mutant::KeepOldAddress,
        Mutant::TrustPlain503,
        Mutant::IgnoreBan,
        Mutant::RevisionsOfAnother,
    ];
}

#[cfg(feature = "mutants")]
thread_local! {
    static ACTIVE: Cell<Option<Mutant>> = const { Cell::new(None) };
}

/// Switches a mutant on for this thread, or all off.
#[cfg(feature = "mutants")]
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.set(mutant);
}

/// The one that is on.
#[cfg(feature = "mutants")]
pub fn active() -> Option<Mutant> {
    ACTIVE.get()
}
