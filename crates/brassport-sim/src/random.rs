//! Numbers drawn from a seed: the only source of chance in a run.

use oorandom::Rand64;

/// A stream of random numbers. Two streams of one seed and different purposes do not disturb each other, so that a
/// fault that is taken out of a script leaves all other draws as they were.
#[derive(Debug, Clone)]
pub struct Random(Rand64);

impl Random {
    /// The stream of a seed for one purpose.
    pub fn new(seed: u64, purpose: u64) -> Random {
        Random(Rand64::new((u128::from(purpose) << 64) | u128::from(seed)))
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.rand_u64()
    }

    /// A number from `least` to `most`, both included.
    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        if most <= least {
            return least;
        }
        self.0.rand_range(least..most.saturating_add(1))
    }

    /// An index below `length`, which must not be 0.
    pub fn index(&mut self, length: usize) -> usize {
        self.between(0, length as u64 - 1) as usize
    }

    /// From 0 up to 1.
    pub fn part(&mut self) -> f64 {
        self.0.rand_float()
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.part() < probability
    }

    /// One of these.
    pub fn pick<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.index(of.len())]
    }

    /// Any order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for last in (1..items.len()).rev() {
            items.swap(last, self.index(last + 1));
        }
    }
}
