//! Weighted sampling of the members of a hash ring.

use crate::TrustedKeyMap;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A member, its position on the ring and its weight.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Slot {
    #[serde(rename = "at")]
    position: u64,
    member: u32,
    weight: f64,
}

/// A set of weighted members on a ring, ordered by a hash of their identifiers. Two sets with equal members
/// and weights sample the same member for the same fraction, independent of the order of insertion. Changes
/// and samples take logarithmic time in the number of members.
///
/// The ring is divided into at least as many arcs as there are members. A Fenwick tree over the weights of
/// the arcs finds the arc for a fraction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Members")]
pub struct WeightedRing {
    /// The members, in arbitrary order.
    #[serde(rename = "row")]
    members: Vec<u32>,
    /// The index of each member in `members`.
    #[serde(rename = "places")]
    indices: TrustedKeyMap<u32, usize>,
    /// The slots of each arc, sorted by position. The number of arcs is 0 or a power of two, and never less
    /// than that of the members.
    arcs: Vec<Vec<Slot>>,
    /// Fenwick tree over the weights of the arcs: each element is the sum of a range that ends at its arc.
    sums: Vec<f64>,
    /// Changes since `sums` was last recomputed, which removes accumulated rounding errors.
    #[serde(rename = "changed")]
    changes: usize,
}

/// Returns the position of a member on the ring. All versions of the program must compute the same position,
/// as instances of two versions run at the same time during an upgrade.
pub fn ring_position(member: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(member);
    hasher.finish()
}

impl WeightedRing {
    /// Returns the members, in arbitrary order.
    pub fn members(&self) -> &[u32] {
        &self.members
    }

    /// Returns the mean weight; 0 if the set is empty.
    pub fn mean_weight(&self) -> f64 {
        self.sums.last().copied().unwrap_or(0.0) / self.members.len().max(1) as f64
    }

    /// Adds a member or changes its weight. Removes the member if the weight is not a finite number above 0.
    pub fn set_weight(&mut self, member: u32, weight: f64) {
        let is_member = weight > 0.0 && weight.is_finite();
        match (self.indices.get(&member).copied(), is_member) {
            (None, false) => return,
            (None, true) => self.insert_index(member),
            (Some(index), false) => self.remove_index(member, index),
            (Some(_), true) => {}
        }
        let position = ring_position(member);
        let arc = self.arc_of(position);
        let slots = &mut self.arcs[arc];
        let before = slots.iter().position(|slot| slot.member == member).map(|index| slots.remove(index));
        if is_member {
            self.insert_slot(Slot { position, member, weight });
        }
        let difference = if is_member { weight } else { 0.0 } - before.map_or(0.0, |slot| slot.weight);
        self.changes += 1;
        if self.changes > self.members.len() {
            self.compute_sums();
        } else {
            self.add_to_sums(arc, difference);
        }
    }

    /// Returns the member at this fraction (0 inclusive to 1 exclusive) of the total weight, in ring order;
    /// `None` if the set is empty. With uniformly distributed fractions, the probability of a member is
    /// proportional to its weight.
    pub fn sample(&self, fraction: f64) -> Option<u32> {
        let mut rest = fraction * self.sums.last().copied().unwrap_or(0.0);
        let (mut arc, mut step) = (0, self.arcs.len() / 2);
        while step > 0 {
            // The last sum is the total weight, and `rest` is less than the total.
            if self.sums[arc + step - 1] <= rest {
                rest -= self.sums[arc + step - 1];
                arc += step;
            }
            step /= 2;
        }
        // Rounding errors may lead past the last slot of an arc or to an empty arc.
        let slots = self.arcs.iter().skip(arc).flatten();
        let mut last = None;
        for slot in slots {
            last = Some(slot.member);
            if rest < slot.weight {
                return last;
            }
            rest -= slot.weight;
        }
        last.or_else(|| self.arcs.iter().flatten().next().map(|slot| slot.member))
    }

    fn insert_index(&mut self, member: u32) {
        self.indices.insert(member, self.members.len());
        self.members.push(member);
        if self.members.len() > self.arcs.len() {
            let slots: Vec<Slot> = self.arcs.drain(..).flatten().collect();
            self.arcs = vec![Vec::new(); self.members.len().next_power_of_two()];
            slots.into_iter().for_each(|slot| self.insert_slot(slot));
            self.compute_sums();
        }
    }

    fn remove_index(&mut self, member: u32, index: usize) {
        self.indices.swap_remove(&member);
        self.members.swap_remove(index);
        if let Some(moved) = self.members.get(index) {
            self.indices.insert(*moved, index);
        }
    }

    /// Returns the index of the arc that contains a position.
    fn arc_of(&self, position: u64) -> usize {
        // The number of arcs is a power of two, so that the highest bits of the position are the index.
        let bits = self.arcs.len().trailing_zeros();
        position.checked_shr(64 - bits).unwrap_or(0) as usize
    }

    fn insert_slot(&mut self, slot: Slot) {
        let arc = self.arc_of(slot.position);
        let slots = &mut self.arcs[arc];
        let index =
            slots.partition_point(|other| (other.position, other.member) < (slot.position, slot.member));
        slots.insert(index, slot);
    }

    fn add_to_sums(&mut self, arc: usize, difference: f64) {
        let mut number = arc + 1;
        while number <= self.sums.len() {
            self.sums[number - 1] += difference;
            number += number & number.wrapping_neg();
        }
    }

    fn compute_sums(&mut self) {
        self.changes = 0;
        self.sums.clear();
        for arc in 0..self.arcs.len() {
            let weight: f64 = self.arcs[arc].iter().map(|slot| slot.weight).sum();
            let number = arc + 1;
            let (mut sum, mut child, range_start) = (weight, number - 1, number & (number - 1));
            while child > range_start {
                sum += self.sums[child - 1];
                child &= child - 1;
            }
            self.sums.push(sum);
        }
    }
}
