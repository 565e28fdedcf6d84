//! How many of those who were turned away come again, and what that makes of a chance. It decides nothing.
//!
//! One who is let in with chance `p` at each try, and comes again with probability `r` when turned away, is let in
//! in the end with `p / (1 - r (1 - p))`, and tries `1 / (1 - r (1 - p))` times on average: a geometric series.

use serde::{Deserialize, Serialize};

/// Turned away before the count means much, none of whom came again.
const DOUBT: f64 = 10.0;
/// Highest probability that is taken for true: clients have some tries, not any number. Failures bring further tries
/// too, so that a count can come out above 1.
const MOST: f64 = 0.8;

/// Counts the turned away and the further tries. What comes here of them is a sample of what comes to all doors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Returns {
    turned_away: f64,
    again: f64,
}

impl Returns {
    /// Notes that one was turned away.
    pub fn turn_away(&mut self) {
        self.turned_away += 1.0;
    }

    /// Notes a further try of one who was turned away, here or elsewhere.
    pub fn come_again(&mut self) {
        self.again += 1.0;
    }

    /// Probability that one who is turned away comes again, from 0 to 0.8.
    pub fn probability(&self) -> f64 {
        (self.again / (self.turned_away + DOUBT)).min(MOST)
    }
}

/// The part that is let in in the end, at this chance a try.
pub fn let_in(chance: f64, again: f64) -> f64 {
    chance / (1.0 - again * (1.0 - chance))
}

/// The chance a try that lets in this part, from 0 to 1, in the end: 1 - quota / offered, with all tries offered.
pub fn chance_of(part: f64, again: f64) -> f64 {
    part * (1.0 - again) / (1.0 - part * again)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn a_chance_and_what_it_lets_in_belong_together(part in 0.0..=1.0f64, again in 0.0..=0.8f64) {
            let chance = chance_of(part, again);
            prop_assert!((0.0..=part + 1e-12).contains(&chance), "{chance} of {part}");
            prop_assert!((let_in(chance, again) - part).abs() < 1e-9);
            // As the coin is meant: what passes, over all tries that are offered.
            let tries = 1.0 / (1.0 - again * (1.0 - chance));
            prop_assert!((chance - part / tries).abs() < 1e-9);
        }
    }

    #[test]
    fn the_probability_is_counted_and_bounded() {
        let mut returns = Returns::default();
        assert_eq!(returns.probability(), 0.0);
        (0..90).for_each(|_| returns.turn_away());
        (0..50).for_each(|_| returns.come_again());
        assert_eq!(returns.probability(), 0.5);
        (0..500).for_each(|_| returns.come_again());
        assert_eq!(returns.probability(), 0.8);
    }
}
