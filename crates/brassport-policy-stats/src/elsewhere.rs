//! What readings of a shared meter tell of the others who use it, and what was held when. It decides nothing.

use crate::{blend, Millis};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What the others sent and were offered in the time that readings covered, the older the less.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Elsewhere {
    seconds: f64,
    sent: f64,
    offered: f64,
    at: Option<Millis>,
    gap: f64,
}

impl Elsewhere {
    /// Nothing known; readings are taken to come so many seconds apart.
    pub fn new(gap: f64) -> Elsewhere {
        Elsewhere { seconds: 0.0, sent: 0.0, offered: 0.0, at: None, gap }
    }

    /// Usual time between readings, in seconds.
    pub fn gap(&self) -> f64 {
        self.gap
    }

    /// How much of the readings still counts: they fade to a third over so many units at this rate a second, or so many
    /// gaps between readings if those are longer.
    fn fade(&self, now: Millis, rate: f64, units: f64) -> f64 {
        let memory = units * (1.0 / rate).max(self.gap);
        self.at.map_or(0.0, |at| (-(now - at) / 1000.0 / memory).exp())
    }

    /// The seconds, and the units sent and offered in them, that still count.
    pub fn still(&self, now: Millis, rate: f64, units: f64) -> (f64, f64, f64) {
        let fade = self.fade(now, rate, units);
        (self.seconds * fade, self.sent * fade, self.offered * fade)
    }

    /// The part, from 0 to 1, that readings make of an estimate in which what was known before them counts for so many
    /// units.
    pub fn known(&self, now: Millis, rate: f64, units: f64, before: f64) -> f64 {
        let seconds = self.still(now, rate, units).0;
        seconds / (before / rate + seconds)
    }

    /// Takes in a reading over so many seconds, of what was sent and offered elsewhere; a new gap between readings is of
    /// this weight.
    pub fn learn(&mut self, now: Millis, (rate, units): (f64, f64), reading: (f64, f64, f64), weight: f64) {
        if let Some(at) = self.at {
            blend(&mut self.gap, (now - at) / 1000.0, weight);
        }
        let (seconds, sent, offered) = self.still(now, rate, units);
        self.at = Some(now);
        self.seconds = seconds + reading.0;
        self.sent = (sent + reading.1).max(0.0);
        self.offered = (offered + reading.2).max(0.0);
    }
}

/// A figure that is set now and then, and what it was at earlier moments.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    set: VecDeque<(Millis, f64)>,
}

impl History {
    /// Sets it.
    pub fn set(&mut self, now: Millis, figure: f64) {
        self.set.push_back((now, figure));
    }

    /// What it was at a moment, or at first if that was later; `None` if it was never set.
    pub fn at(&self, moment: Millis) -> Option<f64> {
        let held = self.set.iter().rev().find(|(at, _)| *at <= moment);
        held.or(self.set.front()).map(|held| held.1)
    }

    /// Forgets what it was before that moment.
    pub fn drop_before(&mut self, then: Millis) {
        while self.set.len() > 1 && self.set[1].0 < then {
            self.set.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_reading_counts_the_less_the_older_it_is() {
        let mut others = Elsewhere::new(1.0);
        assert_eq!(others.still(0.0, 2.0, 4.0), (0.0, 0.0, 0.0));
        others.learn(1000.0, (2.0, 4.0), (0.5, 3.0, 6.0), 0.3);
        assert_eq!(others.still(1000.0, 2.0, 4.0), (0.5, 3.0, 6.0));
        // Four units, at two a second or at one each gap of a second, whichever takes longer.
        let third = (-1.0f64).exp();
        let (seconds, sent, _) = others.still(5000.0, 2.0, 4.0);
        assert!((seconds - 0.5 * third).abs() < 1e-12 && (sent - 3.0 * third).abs() < 1e-12);
        // The gap was 4 s: a third of the way from 1 s it is 1.9 s, and the memory is 7.6 s.
        others.learn(5000.0, (2.0, 4.0), (0.5, -9.0, 0.0), 0.3);
        let kept = others.still(5000.0, 2.0, 4.0).0 - 0.5;
        let known = others.known(5000.0, 2.0, 4.0, 1.0);
        assert!((known - (kept + 0.5) / (kept + 1.0)).abs() < 1e-12, "a unit is half a second's: {known}");
        assert!((others.gap() - 1.9).abs() < 1e-12 && (kept - 0.5 * (-4.0f64 / 7.6).exp()).abs() < 1e-12);
        assert_eq!(others.still(5000.0, 2.0, 4.0).1, 0.0, "less than nothing is nothing");
    }

    proptest! {
        #[test]
        fn a_history_tells_what_held_at_any_moment_that_is_kept(
            gaps in prop::collection::vec(1u16..50, 1..40),
            asked in 0u32..2500,
            dropped in 0u32..2500,
        ) {
            let (mut history, mut plain, mut now) = (History::default(), Vec::new(), 0.0);
            prop_assert_eq!(history.at(0.0), None);
            for (figure, gap) in gaps.into_iter().enumerate() {
                now += f64::from(gap);
                history.set(now, figure as f64);
                plain.push((now, figure as f64));
            }
            let (asked, dropped) = (f64::from(asked.max(dropped)), f64::from(dropped));
            history.drop_before(dropped);
            let wanted = plain.iter().rev().find(|(at, _)| *at <= asked).map(|held| held.1);
            let first = history.set[0].1;
            prop_assert_eq!(history.at(asked), Some(wanted.unwrap_or(first)));
        }
    }
}
