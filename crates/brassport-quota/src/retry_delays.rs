//! The retry delay that is sent to rejected clients. Each client gets a later time than the one rejected
//! before it, so that the clients don't all retry at the same time.

use crate::rate_limit::NodeShare;
use crate::Millis;

/// Upper bound of the wait for a token while a coordinator responds: the next grant arrives within this time.
const MAX_TOKEN_WAIT_MS: Millis = 60;
/// Upper bound of the wait for a token without a response of a coordinator: another coordinator must take
/// over first.
const MAX_TOKEN_WAIT_WITHOUT_COORDINATOR_MS: Millis = 450;
/// Distance between the retries of successively rejected clients, in requests at the node's share of the
/// rate. A distance of 1 would leave no tokens for other clients.
const SPACING_REQUESTS: f64 = 2.0;
/// Upper bound of the retry delay, however many clients were rejected before: the rejections of a burst must
/// not delay clients that arrive after it.
const MAX_RETRY_DELAY_MS: f64 = 1_200.0;

/// Whether a grant can be expected soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CoordinatorContact {
    /// A coordinator responded within the last 900 ms.
    Recent,
    /// No coordinator responded within the last 900 ms.
    Lost,
}

impl CoordinatorContact {
    fn max_token_wait_ms(self) -> Millis {
        match self {
            CoordinatorContact::Recent => MAX_TOKEN_WAIT_MS,
            CoordinatorContact::Lost => MAX_TOKEN_WAIT_WITHOUT_COORDINATOR_MS,
        }
    }
}

/// The retry delays that this node sent to one tenant's clients.
#[derive(Debug, Default)]
pub(crate) struct RetryDelays {
    last_rejection: Option<Millis>,
    /// Retry time of the last rejected client, in milliseconds on the node's clock.
    last_retry_at_ms: f64,
}

impl RetryDelays {
    /// Returns the time of the last rejection.
    pub(crate) fn last_rejection(&self) -> Option<Millis> {
        self.last_rejection
    }

    /// Records a rejection and returns the retry delay for the client, in milliseconds; at least 1.
    /// `until_token_ms` is the time until the base bucket has a token.
    pub(crate) fn reject(
        &mut self,
        now: Millis,
        until_token_ms: f64,
        share: &NodeShare,
        contact: CoordinatorContact,
    ) -> Millis {
        self.last_rejection = Some(now);
        let now_ms = now as f64;
        let earliest = now_ms + until_token_ms.clamp(1.0, contact.max_token_wait_ms() as f64);
        let after_last_retry = self.last_retry_at_ms + share.time_for_ms(SPACING_REQUESTS);
        self.last_retry_at_ms = earliest.max(after_last_retry).min(now_ms + MAX_RETRY_DELAY_MS);
        (self.last_retry_at_ms - now_ms).max(1.0) as Millis
    }
}
