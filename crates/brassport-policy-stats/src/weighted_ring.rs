//! A weighted set on a hash ring, from which members are sampled.

use crate::TrustedKeyMap;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A member at its position on the ring.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Slot {
    #[serde(rename = "at")]
    position: u64,
    member: u32,
    weight: f64,
}

/// A set of weighted members, ordered on a ring by a hash of their identifiers: two sets with equal members and weights
/// sample the same member for the same fraction, however each was built. A change and a sample cost the logarithm of
/// the number of members.
///
/// The ring is cut into arcs, at least as many as members; a Fenwick tree over the arcs' weights finds the arc of a
/// fraction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Members")]
pub struct WeightedRing {
    /// The members, in no order, and the index of each.
    #[serde(rename = "row")]
    members: Vec<u32>,
    #[serde(rename = "places")]
    indices: TrustedKeyMap<u32, usize>,
    /// A power of two of arcs, no fewer than the members; within an arc the slots are sorted by position.
    arcs: Vec<Vec<Slot>>,
    /// Fenwick tree: sums of the arcs' weights over ranges that end at each arc.
    sums: Vec<f64>,
    /// Changes since the sums were last computed afresh, which removes accumulated rounding.
    #[serde(rename = "changed")]
    changes: usize,
}

/// The position of a member on the ring. The same in every version of the program, as instances of two versions run
/// side by side during an upgrade.
pub fn ring_position(member: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(member);
    hasher.finish()
}

impl WeightedRing {
    /// The members, in no order.
    pub fn members(&self) -> &[u32] {
        &self.members
    }

    /// The mean weight, 0 if the set is empty.
    pub fn mean_weight(&self) -> f64 {
        self.sums.last().copied().unwrap_or(0.0) / self.members.len().max(1) as f64
    }

    /// Adds a member or changes its weight; removes it if the weight is not a finite number above 0.
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

    /// Samples the member at this fraction (0 up to 1) of the ring's total weight; for uniform fractions each has a
    /// probability in proportion to its weight. `None` if the set is empty.
    pub fn sample(&self, fraction: f64) -> Option<u32> {
        let mut left = fraction * self.sums.last().copied().unwrap_or(0.0);
        let (mut arc, mut step) = (0, self.arcs.len() / 2);
        while step > 0 {
            // The last sum is the total, and `left` lies below it.
            if self.sums[arc + step - 1] <= left {
                left -= self.sums[arc + step - 1];
                arc += step;
            }
            step /= 2;
        }
        // Rounding may lead past the last slot of an arc, or to an empty arc.
        let from = self.arcs.iter().skip(arc).flatten();
        let mut last = None;
        for slot in from {
            last = Some(slot.member);
            if left < slot.weight {
                return last;
            }
            left -= slot.weight;
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

    /// The arc that covers a position.
    fn arc_of(&self, position: u64) -> usize {
        // There is a power of two of arcs: the highest bits of the position.
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
            let (mut sum, mut below, least) = (weight, number - 1, number & (number - 1));
            while below > least {
                sum += self.sums[below - 1];
                below &= below - 1;
            }
            self.sums.push(sum);
        }
    }
}
