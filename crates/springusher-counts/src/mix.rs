//! What kinds come, and what share of each a part of the whole leaves when some go first.

use crate::blend;

/// Recent shares of kinds in what comes, and their order.
#[derive(Debug, Clone)]
pub struct Mix {
    shares: Vec<f64>,
    /// The kinds from the greatest worth down.
    order: Vec<usize>,
}

impl Mix {
    /// Kinds of these worths, taken to come alike.
    pub fn new(worths: &[f64]) -> Mix {
        let mut mix = Mix { shares: vec![1.0 / worths.len().max(1) as f64; worths.len()], order: Vec::new() };
        mix.set_worths(worths);
        mix
    }

    /// Sets the worth of each kind. Kinds beyond those known have not come yet.
    pub fn set_worths(&mut self, worths: &[f64]) {
        self.shares.resize(worths.len(), 0.0);
        self.order = (0..worths.len()).collect();
        self.order.sort_by(|&a, &b| worths[b].total_cmp(&worths[a]));
    }

    /// One of this kind came; the share of the last ones is of this weight.
    pub fn came(&mut self, kind: usize, weight: f64) {
        for (other, share) in self.shares.iter_mut().enumerate() {
            blend(share, f64::from(u8::from(other == kind)), weight);
        }
    }

    /// The mean of a figure of each kind, by their shares.
    pub fn mean(&self, figures: &[f64]) -> f64 {
        figures.iter().zip(&self.shares).map(|(figure, share)| figure * share).sum()
    }

    /// The part of a kind that there is room for when there is room for this part of all, those of greater worth
    /// first.
    pub fn part(&self, part: f64, kind: usize) -> f64 {
        let shares = &self.shares;
        let mut left = part * shares.iter().sum::<f64>();
        for &other in &self.order {
            if other == kind {
                return if shares[kind] > 0.0 { (left / shares[kind]).clamp(0.0, 1.0) } else { part };
            }
            left = (left - shares[other]).max(0.0);
        }
        part
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_let_in_of_all_kinds_is_the_part_of_the_whole(
            worths in prop::collection::vec(0.0..9.0f64, 1..6),
            came in prop::collection::vec(0usize..6, 0..200),
            part in 0.0..1.0f64,
        ) {
            let mut mix = Mix::new(&worths);
            came.iter().for_each(|kind| mix.came(kind % worths.len(), 0.05));
            let total: f64 = mix.shares.iter().sum();
            let let_in: f64 = (0..worths.len()).map(|kind| mix.part(part, kind) * mix.shares[kind]).sum();
            prop_assert!((let_in - part * total).abs() < 1e-9);
            for (a, b) in (0..worths.len()).flat_map(|a| (0..worths.len()).map(move |b| (a, b))) {
                prop_assert!(worths[a] <= worths[b] || mix.part(part, a) >= mix.part(part, b) - 1e-12);
            }
        }
    }

    #[test]
    fn a_kind_that_appears_has_come_never_and_shifts_no_share() {
        let mut mix = Mix::new(&[1.0, 2.0]);
        mix.set_worths(&[1.0, 2.0, 5.0]);
        assert_eq!((mix.part(0.5, 1), mix.part(0.5, 0), mix.part(0.5, 2)), (1.0, 0.0, 0.5));
        (0..200).for_each(|_| mix.came(2, 0.05));
        assert!(mix.part(0.5, 2) > 0.49 && mix.part(0.5, 1) < 0.01);
    }
}
