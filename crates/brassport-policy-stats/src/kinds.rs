//! Kinds of requests: what share of all that comes each has, what answers to it take, and what a part of the whole
//! leaves each when some go first.

use crate::{blend, Millis};
use serde::{Deserialize, Serialize};

/// What is known of each kind, by index. A kind keeps its index; more may come to be known.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Kinds {
    shares: Vec<f64>,
    /// The kinds from the greatest worth down.
    order: Vec<usize>,
    /// Mean time of an answer to each.
    answers: Vec<Millis>,
    /// Longest time that first tries of each are given.
    first_waits: Vec<Millis>,
}

impl Kinds {
    /// Kinds of these worths, with the time that an answer to each is taken to need before there was one. They are
    /// taken to come alike.
    pub fn new(kinds: impl Iterator<Item = (f64, Millis)> + Clone) -> Kinds {
        let count = kinds.clone().count();
        let shares = vec![1.0 / count.max(1) as f64; count];
        let mut known = Kinds { shares, order: Vec::new(), answers: Vec::new(), first_waits: Vec::new() };
        known.set(kinds);
        known
    }

    /// Sets the worths. Kinds beyond those known have not come yet; what is known of the others stays.
    pub fn set(&mut self, kinds: impl Iterator<Item = (f64, Millis)> + Clone) {
        let worths: Vec<f64> = kinds.clone().map(|(worth, _)| worth).collect();
        self.answers.extend(kinds.skip(self.answers.len()).map(|(_, answer)| answer));
        self.shares.resize(worths.len(), 0.0);
        self.first_waits.resize(worths.len(), 0.0);
        self.order = (0..worths.len()).collect();
        self.order.sort_by(|&a, &b| worths[b].total_cmp(&worths[a]));
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// One of this kind came; the share of the last ones is of this weight.
    pub fn came(&mut self, kind: usize, weight: f64) {
        for (other, share) in self.shares.iter_mut().enumerate() {
            blend(share, f64::from(u8::from(other == kind)), weight);
        }
    }

    /// An answer to one of this kind took so long; it counts with this weight.
    pub fn answered(&mut self, kind: usize, time: Millis, weight: f64) {
        blend(&mut self.answers[kind], time, weight);
    }

    /// Mean time of an answer to this kind.
    pub fn answer(&self, kind: usize) -> Millis {
        self.answers[kind]
    }

    /// Mean time of an answer to any kind, by their shares.
    pub fn mean_answer(&self) -> Millis {
        self.answers.iter().zip(&self.shares).map(|(time, share)| time * share).sum()
    }

    /// How long the client of a try with so much time left has been trying, where it shows: a further try with less time,
    /// by more than the slack, than first tries get is bounded by what remains of the deadline.
    pub fn waited(
        &mut self,
        kind: usize,
        further: bool,
        left: Millis,
        (deadline, slack): (Millis, Millis),
    ) -> Millis {
        let most = &mut self.first_waits[kind];
        if !further {
            *most = most.max(left);
        } else if left < *most - slack {
            return (deadline - left).max(0.0);
        }
        0.0
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
            let mut mix = Kinds::new(worths.iter().map(|worth| (*worth, 1.0)));
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
        let mut mix = Kinds::new([(1.0, 10.0), (2.0, 20.0)].into_iter());
        mix.set([(1.0, 5.0), (2.0, 5.0), (5.0, 50.0)].into_iter());
        assert_eq!((mix.part(0.5, 1), mix.part(0.5, 0), mix.part(0.5, 2)), (1.0, 0.0, 0.5));
        assert_eq!((mix.answer(0), mix.answer(1), mix.answer(2)), (10.0, 20.0, 50.0), "what is known stays");
        assert_eq!(mix.mean_answer(), 15.0);
        (0..200).for_each(|_| mix.came(2, 0.05));
        assert!(mix.part(0.5, 2) > 0.49 && mix.part(0.5, 1) < 0.01);
    }
}
