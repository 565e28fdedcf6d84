//! One door's right to act, on its own clock.
//!
//! The right is a lease that runs from its request. It expires by itself on a door that was suspended, that is partitioned,
//! or whose right nobody renews. It requires a monotonic clock that runs on while the process is suspended.

use crate::mutants::mutant;
use crate::Millis;

/// Why a door may not act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// It was never granted a right.
    NotYet,
    /// Its right has expired and was not renewed.
    RanOut,
    /// Its version of the shared state is older than required.
    Behind,
    /// Another process has taken over its name.
    Replaced,
    /// It is not a member of the fleet.
    Unknown,
}

/// A door's right.
#[derive(Debug, Clone)]
pub struct Standing {
    until: Option<Millis>,
    /// Why it may not act once the right has ended.
    why: DenialReason,
}

impl Default for Standing {
    fn default() -> Standing {
        Standing { until: None, why: DenialReason::NotYet }
    }
}

impl Standing {
    /// The door requests a right now: the moment from which a grant runs, to be passed with the answer.
    // Other packages call it on a `&mut`, as a step of the protocol.
    pub fn ask(&mut self, now: Millis) -> Millis {
        now
    }

    /// The leader granted a right of this length to the request of `asked`.
    pub fn granted(&mut self, now: Millis, asked: Millis, length: Millis) {
        let from = if mutant!(GrantFromResponse) { now } else { asked };
        self.until = self.until.max(Some(from + length));
        self.why = DenialReason::RanOut;
    }

    /// A voter without a leader extends the right, by a response that arrives now. A right that has expired by now is not
    /// revived, even if it was valid at the request: others may have relied on its end since.
    pub fn extended(&mut self, now: Millis, asked: Millis, length: Millis) {
        if self.until.is_some_and(|until| now < until || mutant!(ExtensionRevives)) {
            self.until = self.until.max(Some(asked + length));
        }
    }

    /// The leader refused to renew. What was granted before is valid to its end.
    pub fn refused(&mut self, why: DenialReason) {
        self.why = why;
    }

    /// Whether the door may act now. To be checked at each act.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_act(&self, now: Millis) -> Result<(), DenialReason> {
        match self.until {
            Some(until) if now < until => Ok(()),
            _ => Err(self.why),
        }
    }

    /// When its right ends or ended, if it ever had one.
    pub fn until(&self) -> Option<Millis> {
        self.until
    }

    /// Whether it ever had a right.
    pub fn had_one(&self) -> bool {
        self.until.is_some()
    }
}
