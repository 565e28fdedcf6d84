//! Deliberate faults (mutants) in the proxy and its programs, used to verify that the simulation's checks detect them.
//! Compiled only with the feature `mutants`, which is never part of a release build. Without the feature, `mutant!` is
//! the constant `false`.

#[cfg(feature = "mutants")]
use std::cell::Cell;

/// Whether this mutant is active on the current thread.
#[cfg(feature = "mutants")]
#[macro_export]
macro_rules! mutant {
    ($which:ident) => {
        $crate::mutants::active() == Some($crate::mutants::Mutant::$which)
    };
}
/// Whether this mutant is active. Always false without the feature `mutants`.
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
    /// A reset connection is reported to the policy as never established, so that an unsafe request is retried.
    RetryAfterReset,
    /// A backend's error response is treated as proof that the request never ran.
    ErrorNeverRan,
    /// A failed request is reported to its client as rejected, although it may have run.
    RefuseAfterMayHaveRun,
    /// A membership list is applied 700 ms after it was received.
    DrainLate,
    /// A membership list of an older revision is applied.
    StaleListTaken,
    /// Responses are written twice.
    AnswerTwice,
    /// The client's deadline is ignored.
    ForgetDeadline,
    /// Clients are accepted when no file descriptor is available.
    IgnoreDescriptorLimit,
    /// No file descriptors are reserved for attempts.
    IgnoreReserve,
    /// A request whose client disconnected during an attempt is never removed.
    LeakInFlight,
    /// A failed attempt to connect to a backend does not release its descriptor.
    LeakDescriptor,
    /// The memory reserved for a body is not released.
    LeakBody,
    /// An incomplete response is forwarded, and its connection is returned to the pool.
    ReleaseHalfRead,
    /// An attempt is sent although its request was answered while the connection was being established.
    SendBehindAnswer,
    /// An attempt that timed out keeps its connection open.
    KeepTimedOutAttempt,
    /// Backends in slow start are treated as fully warmed up.
    ColdIgnored,
    /// Each gateway instance uses the full rate limit instead of its share.
    CeilingUnshared,
    /// At the end of a planned restart, connections are closed without waiting for responses in flight.
    CloseWithoutAnswer,
    /// At the end of a planned restart, requests in flight are not failed.
    NoFailAtEnd,
    /// The timer task polls in a busy loop.
    Spin,
    /// An unreadable meter value causes a panic.
    PanicOnMeter,
    /// Requests are sent to the previous address of a backend whose address changed.
    KeepOldAddress,
    /// A 503 or 504 is treated as proof that the request never ran, even if the backend does not say so.
    TrustPlain503,
    /// A backend that operators have disabled is still used.
    IgnoreBan,
    /// The revisions of one discovery agent are compared with those of the previous agent, so that a drain may be
    /// missed.
    RevisionsOfAnother,
}

#[cfg(feature = "mutants")]
impl Mutant {
    /// All mutants.
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

/// Sets the active mutant of the current thread; `None` deactivates it.
#[cfg(feature = "mutants")]
pub fn activate(mutant: Option<Mutant>) {
    ACTIVE.set(mutant);
}

/// The active mutant of the current thread.
#[cfg(feature = "mutants")]
pub fn active() -> Option<Mutant> {
    ACTIVE.get()
}
