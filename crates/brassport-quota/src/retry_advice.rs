//! When a rejected client is advised to retry: later than the one rejected before it, so that clients don't return all at
//! one moment.

use crate::rate_limit::NodeShare;
use crate::Millis;

/// Longest advice where a coordinator answers: by then a request for more grants is answered.
const WITH_COORDINATOR_MS: Millis = 60;
/// Longest advice where no coordinator was heard of late: another one must take over first.
const WITHOUT_COORDINATOR_MS: Millis = 450;
/// Clients rejected one after the other are advised to come this many requests' time apart, measured by the node's part of
/// the rate. One would leave nothing for those who come meanwhile.
const SPACING_REQUESTS: f64 = 2.0;
/// Nobody is advised to wait longer, however many were rejected before: the rejected of one burst must not put off those
/// who come when it is over.
const LONGEST_MS: f64 = 1_200.0;

/// Whether grants may be expected soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinatorContact {
    /// A coordinator answered lately.
    Recent,
    /// No coordinator answered lately.
    Lost,
}

impl CoordinatorContact {
    fn longest_wait_ms(self) -> Millis {
        match self {
            CoordinatorContact::Recent => WITH_COORDINATOR_MS,
            CoordinatorContact::Lost => WITHOUT_COORDINATOR_MS,
        }
    }
}

/// The advice given to one tenant's clients at this node.
#[derive(Debug, Default)]
pub(crate) struct RetryAdvice {
    last_rejection: Option<Millis>,
    /// When the client rejected last was advised to come, on the node's clock in milliseconds.
    last_retry_at_ms: f64,
}

impl RetryAdvice {
    /// When a request was rejected last.
    pub(crate) fn last_rejection(&self) -> Option<Millis> {
        self.last_rejection
    }

    /// Advises one more rejected client. Returns the milliseconds that it should wait, at least one.
    pub(crate) fn reject(
        &mut self,
        now: Millis,
        until_token_ms: f64,
        share: &NodeShare,
        contact: CoordinatorContact,
    ) -> Millis {
        self.last_rejection = Some(now);
        let now_ms = now as f64;
        let earliest = now_ms + until_token_ms.clamp(1.0, contact.longest_wait_ms() as f64);
        let after_the_last = self.last_retry_at_ms + share.time_for_ms(SPACING_REQUESTS);
        self.last_retry_at_ms = earliest.max(after_the_last).min(now_ms + LONGEST_MS);
        (self.last_retry_at_ms - now_ms).max(1.0) as Millis
    }
}
