//! Deliberate faults of the proxy and its programs, to show that the simulation's oracle can fail. Compiled only with
//! the feature `mutants`, which no released program has; without it `mutant!` is the constant `false`.

#[cfg(feature = "mutants")]
use std::cell::Cell;

/// Whether a mutant is active.
#[cfg(feature = "mutants")]
#[macro_export]
macro_rules! mutant {
    ($which:ident) => {
        $crate::mutants::active() == Some($crate::mutants::Mutant::$which)
    };
}
/// Whether a mutant is active: never in this build.
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
    /// A reset is reported to the policy as a connection that was never established: an unsafe request is retried.
    RetryAfterReset,
    /// An error of a backend is taken as a promise that the request never ran.
    ErrorNeverRan,
    /// What failed is answered as rejected.
    RefuseAfterMayHaveRun,
    /// A membership list is applied 700 ms after it came.
    DrainLate,
    /// A membership list of an older revision is applied.
    StaleListTaken,
    /// Responses are written twice.
    AnswerTwice,
    /// The client's deadline is forgotten.
    ForgetDeadline,
    /// Clients are accepted without a descriptor to spare.
    IgnoreDescriptorLimit,
    /// The reserve of descriptors for attempts is not kept.
    IgnoreReserve,
    /// A request whose client left while an attempt was in flight stays in flight.
    LeakInFlight,
    /// A connection to a backend that is not established keeps its descriptor.
    LeakDescriptor,
    /// The memory reserved for a body is not released.
    LeakBody,
    /// A response whose body is incomplete is forwarded, and its connection returned to the pool.
    ReleaseHalfRead,
    /// A request that was answered while its attempt connected is sent all the same.
    SendBehindAnswer,
    /// An attempt that timed out keeps its connection.
    KeepTimedOutAttempt,
    /// Backends that are warming up are taken for warm ones.
    ColdIgnored,
    /// Each gateway instance uses the complete rate limit rather than its share.
    CeilingUnshared,
    /// At the end of a planned restart connections are closed whatever is in flight on them.
    CloseWithoutAnswer,
    /// What is in flight at the end of a planned restart is not failed.
    NoFailAtEnd,
    /// The timer's task never waits.
    Spin,
    /// A figure of the meter that cannot be read is a panic.
    PanicOnMeter,
    /// Requests for a backend that moved are sent to its old address.
    KeepOldAddress,
    /// 503 and 504 are taken as a promise that the request never ran, whether or not the backend says so.
    TrustPlain503,
    /// A backend that operators disabled is still used.
    IgnoreBan,
    /// Another agent's lists are compared with the revisions of the one before it: a drain may be missed.
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

/// Activates a mutant on this thread, or none.
#[cfg(feature = "mutants")]
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.set(mutant);
}

/// The active one.
#[cfg(feature = "mutants")]
pub fn active() -> Option<Mutant> {
    ACTIVE.get()
}
