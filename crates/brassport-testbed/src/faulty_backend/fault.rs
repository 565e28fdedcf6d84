//! The faults of the backend, each as a request names it.

use strum::{EnumString, IntoStaticStr, VariantArray};

/// What the backend does with a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, EnumString, IntoStaticStr, VariantArray,
)]
pub enum Fault {
    /// Runs it and responds.
    None,
    /// Rejects the first attempt and sends a copy of the rejection right behind it; runs the second attempt.
    RejectionTwice,
    /// The same, but the copy is sent in the place of the next response on the connection.
    RejectionTwiceLate,
    /// The same with 421.
    MisdirectedTwiceLate,
    /// Rejects the first attempt and resets the connection; runs the second attempt.
    RejectionThenReset,
    /// Rejects every attempt, and breaks off each rejection.
    RejectionTruncated,
    /// Runs it, and sends the beginning of a surplus rejection before its response.
    SurplusRejectionHead,
    /// The same with a surplus 421.
    SurplusMisdirectedHead,
    /// Runs it and resets the connection.
    ResetWhileRunning,
    /// Runs it and closes the connection.
    CloseWhileRunning,
    /// Runs it and sends bytes that are no response.
    GarbageWhileRunning,
    /// Runs it and sends nothing.
    SilentWhileRunning,
    /// Runs it and breaks off the head of its response.
    HeadTruncated,
    /// Runs it and breaks off the body of its response.
    BodyTruncated,
    /// Runs it and responds with 503, without stating that it has not run.
    Unmarked503,
    /// The same with 429.
    Unmarked429,
    /// The same with 408.
    Unmarked408,
    /// Runs it and responds with 500.
    Own500,
    /// Runs it and responds with 504.
    Own504,
    /// Runs it, responds, and sends a copy of the response in the place of the next one.
    ResponseTwiceLate,
    /// Runs it, responds, and sends garbage behind the response.
    ResponseThenGarbage,
    /// Runs it before its body is complete, and resets the connection.
    EarlyRunReset,
    /// Runs it before its body is complete, and closes the connection.
    EarlyRunClose,
    /// Runs it before its body is complete, and sends bytes that are no response.
    EarlyRunGarbage,
    /// Runs it before its body is complete, and responds before it reads the rest.
    EarlyRunResponse,
    /// Runs it before its body is complete, reads no more of the body and sends nothing.
    EarlyRunSilent,
}

impl Fault {
    /// The name in the header.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// The fault that a header names; [`Fault::None`] if it names none.
    pub(super) fn of_name(name: &str) -> Fault {
        name.parse().unwrap_or(Fault::None)
    }

    /// Whether it begins before the body of the request is complete.
    pub fn is_early(self) -> bool {
        matches!(
            self,
            Fault::EarlyRunReset
                | Fault::EarlyRunClose
                | Fault::EarlyRunGarbage
                | Fault::EarlyRunResponse
                | Fault::EarlyRunSilent
        )
    }

    /// Whether the request may remain without a run: if it is rejected, and is not retried.
    pub fn is_rejection(self) -> bool {
        self.rejects_first_attempt() || self == Fault::RejectionTruncated
    }

    /// Whether the first attempt is rejected, and the second one runs.
    pub(super) fn rejects_first_attempt(self) -> bool {
        matches!(
            self,
            Fault::RejectionTwice
                | Fault::RejectionTwiceLate
                | Fault::MisdirectedTwiceLate
                | Fault::RejectionThenReset
        )
    }
}
