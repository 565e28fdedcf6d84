//! One door's right to act, on its own clock.
//!
//! The right runs from before the door asked for it. It ends by itself: on a door that stood still, that is cut off, or
//! that nobody renews. A clock that goes on while the process stands still is what this rests on.

use crate::mutants::mutant;
use crate::Millis;

/// Why a door does not act.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// It has had no right yet.
    NotYet,
    /// Its right has run out, and nobody renews it.
    RanOut,
    /// It is behind the fleet.
    Behind,
    /// Another process goes by its name.
    Replaced,
    /// It is not in the fleet.
    Unknown,
}

/// A door's right.
#[derive(Debug, Clone)]
pub struct Standing {
    until: Option<Millis>,
    why: Why,
    asked: Millis,
}

impl Default for Standing {
    fn default() -> Standing {
        Standing { until: None, why: Why::NotYet, asked: 0 }
    }
}

impl Standing {
    /// It asks now. What comes of it counts from here.
    pub fn ask(&mut self, now: Millis) -> Millis {
        self.asked = now;
        now
    }

    /// The leader gave a right of this length to the question of `asked`.
    pub fn granted(&mut self, now: Millis, asked: Millis, length: Millis) {
        let from = if mutant!(GrantFromAnswer) { now } else { asked };
        self.until = self.until.max(Some(from + length));
        self.why = Why::RanOut;
    }

    /// A voter that knows of no leader lets it go on, by an answer that comes now. A right that has run out by now is not
    /// brought back, also if it had not when the door asked: others may have counted on its end since.
    pub fn left(&mut self, now: Millis, asked: Millis, length: Millis) {
        if self.until.is_some_and(|until| now < until || mutant!(LeaveRevives)) {
            self.until = self.until.max(Some(asked + length));
        }
    }

    /// The leader refused. What was given before holds to its end.
    pub fn refused(&mut self, why: Why) {
        self.why = why;
    }

    /// Whether it may act now. To be asked at the act.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_act(&self, now: Millis) -> Result<(), Why> {
        match self.until {
            Some(until) if now < until => Ok(()),
            _ => Err(self.why),
        }
    }

    /// When its right ends, if it has one.
    pub fn until(&self) -> Option<Millis> {
        self.until
    }

    /// Whether it ever had a right.
    pub fn had_one(&self) -> bool {
        self.until.is_some()
    }
}
