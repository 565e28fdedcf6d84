//! One gateway instance's right to act: a lease on its own clock.
//!
//! The lease runs from the time of its request. It expires without any message, so a gateway instance that was
//! suspended or partitioned, or whose lease is not renewed, stops acting. This requires a monotonic clock that advances
//! while the process is suspended.

use crate::mutants::mutant;
use crate::Millis;

/// Why a gateway instance may not act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// It was never granted a right.
    NotYet,
    /// Its right expired without renewal.
    RanOut,
    /// Its version of the shared state is older than the leader requires.
    Behind,
    /// Another process has taken over its name.
    Replaced,
    /// It is not a member of the fleet.
    Unknown,
}

/// A gateway instance's right to act.
#[derive(Debug, Clone)]
pub struct Standing {
    /// When the right expires or expired; `None` if it was never granted.
    until: Option<Millis>,
    /// Why the gateway instance may not act once the right has expired.
    why: DenialReason,
}

impl Default for Standing {
    fn default() -> Standing {
        Standing { until: None, why: DenialReason::NotYet }
    }
}

impl Standing {
    /// Starts a request at `now`. Returns the time from which a grant runs, to be passed back with the answer.
    // Takes `&mut self` like the other steps of the protocol, although it changes nothing: other packages call it on a `&mut`.
    pub fn ask(&mut self, now: Millis) -> Millis {
        now
    }

    /// The leader granted a right of this length to the request sent at `requested_at`. A later expiry from another grant is
    /// kept.
    pub fn granted(&mut self, now: Millis, requested_at: Millis, length: Millis) {
        let from = if mutant!(GrantFromResponse) { now } else { requested_at };
        self.until = self.until.max(Some(from + length));
        self.why = DenialReason::RanOut;
    }

    /// A voter without a leader extended the right; its response arrives at `now`. A right that has expired by `now` is not
    /// revived, even if it was valid at the time of the request: others may have relied on its expiry since.
    pub fn extended(&mut self, now: Millis, requested_at: Millis, length: Millis) {
        if self.until.is_some_and(|until| now < until || mutant!(ExtensionRevives)) {
            self.until = self.until.max(Some(requested_at + length));
        }
    }

    /// The leader refused a renewal. An earlier grant remains valid until it expires.
    pub fn refused(&mut self, why: DenialReason) {
        self.why = why;
    }

    /// Whether the gateway instance may act at `now`. To be checked immediately before each act.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn may_act(&self, now: Millis) -> Result<(), DenialReason> {
        match self.until {
            Some(until) if now < until => Ok(()),
            _ => Err(self.why),
        }
    }

    /// When the right expires or expired; `None` if it was never granted.
    pub fn until(&self) -> Option<Millis> {
        self.until
    }

    /// Whether a right was ever granted.
    pub fn had_one(&self) -> bool {
        self.until.is_some()
    }
}
