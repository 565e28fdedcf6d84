//! Counts and orders whose questions cost little however much there is. They decide nothing.
//!
//! [`InFlight`] knows how many attempts are out that began within each of some spans of time; [`Sends`] how many units
//! were sent between two moments. Both take moments in milliseconds that do not run backwards. [`Agenda`] gives out
//! what is due, the earliest first; [`Rounds`] goes round a map; [`Store`] fills and is taken from; [`Fading`] counts what is recent, [`Factor`] averages it;
//! [`MeterClock`] learns which period of a meter a reading tells of; [`Members`] is a set on a ring from which one can be drawn;
//! [`Returns`] counts how many come again; [`Kinds`] knows the shares of kinds, their answers' times and which go
//! first; [`Elsewhere`] fades what readings told of others, [`History`] knows what held when; [`Shared`] is a store
//! that others draw from too; [`Usual`] what those who share a meter do;
//! [`Tally`] says what staff should read of refusals.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod elsewhere;
mod kinds;
mod returns;
mod shared;
mod tally;
mod usual;

pub use clock::MeterClock;
pub use elsewhere::{Elsewhere, History};
pub use kinds::Kinds;
pub use returns::{chance_of, let_in, Returns};
pub use shared::{Flow, Shared};
pub use tally::{health, Tally};
pub use usual::Usual;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::array::IntoIter;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::hash::{BuildHasher, Hash, Hasher};
use std::iter::Flatten;

/// A moment or a span, in milliseconds.
pub type Millis = f64;

/// Moves an average towards a sample.
pub fn blend(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// What is counted over some time, the older the less: an amount, and the seconds that it came in.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fading {
    /// The amount that still counts.
    pub amount: f64,
    /// Seconds that still count.
    pub seconds: f64,
    at: Millis,
}

impl Fading {
    /// Nothing yet, heard of from then on.
    pub fn new(at: Millis) -> Fading {
        Fading { amount: 0.0, seconds: 0.0, at }
    }

    /// Goes on to a moment. What was counted fades to a third while so many units come in at this rate a second.
    pub fn go_on(&mut self, now: Millis, rate: f64, units: f64) {
        let seconds = (now - self.at) / 1000.0;
        let left = (-seconds * rate / units).exp();
        self.amount *= left;
        (self.seconds, self.at) = (self.seconds * left + seconds, now);
    }

    /// So much a second, taken over no less than some seconds.
    pub fn rate(&self, least: f64) -> f64 {
        self.amount / self.seconds.max(least)
    }
}

/// An average that fades back to 1 while nothing is told.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Factor {
    value: f64,
    at: Millis,
}

impl Factor {
    /// 1.
    pub fn new(now: Millis) -> Factor {
        Factor { value: 1.0, at: now }
    }

    /// The average by now; over the span what is not 1 fades to a third.
    pub fn get(&self, now: Millis, span: Millis) -> f64 {
        if self.value == 1.0 {
            return 1.0;
        }
        1.0 + (self.value - 1.0) * (-(now - self.at).max(0.0) / span).exp()
    }

    /// Lets it fade up to now.
    pub fn go_on(&mut self, now: Millis, span: Millis) {
        *self = Factor { value: self.get(now, span), at: now };
    }

    /// Takes in a sample.
    pub fn blend(&mut self, sample: f64, weight: f64) {
        blend(&mut self.value, sample, weight);
    }

    /// Takes in a sample of which only a lower bound is known, as it was cut short: one below the average tells nothing.
    pub fn blend_bound(&mut self, bound: f64, weight: f64) {
        if bound > self.value {
            self.blend(bound, weight);
        }
    }
}

/// A store that fills at some rate up to some size, and is taken from.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Store {
    level: f64,
    at: Millis,
}

impl Store {
    /// One with nothing in it.
    pub fn empty(at: Millis) -> Store {
        Store { level: 0.0, at }
    }

    /// Lets in what has come since the last time at so much a second, up to the size.
    pub fn fill(&mut self, now: Millis, rate: f64, size: f64) {
        self.level = (self.level + (now - self.at).max(0.0) / 1000.0 * rate).min(size);
        self.at = now;
    }

    /// Takes so much out, if it is there.
    pub fn take(&mut self, amount: f64) -> bool {
        let is_there = self.level >= amount;
        self.level -= if is_there { amount } else { 0.0 };
        is_there
    }
}

/// What is known under names that others may have chosen: clients cannot make them collide. To be taken out of with
/// [`take_out`].
pub type Known<K, V> = IndexMap<K, V>;
/// What is known under names that are given here or by operators.
pub type Own<K, V> = IndexMap<K, V, FxBuildHasher>;

/// Takes an entry out, and gives memory back once a map has shrunk to a quarter of what it was made for.
pub fn take_out<K: Hash + Eq, V, S: BuildHasher>(map: &mut IndexMap<K, V, S>, key: &K) -> Option<V> {
    let value = map.swap_remove(key);
    if map.capacity() > 64 && map.len() < map.capacity() / 4 {
        map.shrink_to(2 * map.len());
    }
    value
}

/// Goes round a map, a few entries at each step, however the map changes in between.
#[derive(Debug, Clone, Default)]
pub struct Rounds<const STEP: usize> {
    place: usize,
}

impl<const STEP: usize> Rounds<STEP> {
    /// Names of the next `STEP` entries, as far as they are `wanted`.
    pub fn next<K: Copy, V, S>(
        &mut self,
        map: &IndexMap<K, V, S>,
        wanted: impl Fn(&V) -> bool,
    ) -> Flatten<IntoIter<Option<K>, STEP>> {
        let mut found = [None; STEP];
        // Backwards, as the last entry takes the place of one that is taken out: none is passed over by that, and what
        // comes in at the end meanwhile cannot hold the round up.
        for slot in &mut found {
            self.place = self.place.min(map.len()).checked_sub(1).unwrap_or(map.len().saturating_sub(1));
            let Some((key, value)) = map.get_index(self.place) else { break };
            *slot = wanted(value).then_some(*key);
        }
        found.into_iter().flatten()
    }
}

/// Names an attempt for as long as it is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

#[derive(Debug, Clone, Copy)]
struct Begun {
    at: Millis,
    out: bool,
}

/// A span, the attempts out that began within it, and the first that may have.
#[derive(Debug, Clone)]
struct Span {
    length: Millis,
    count: usize,
    first: u64,
}

/// Attempts that are out, counted by their age. Each step costs constant time on average.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    /// From the oldest that is out.
    begun: VecDeque<Begun>,
    /// Number of the first of those.
    number: u64,
    out: usize,
    spans: Vec<Span>,
}

impl InFlight {
    /// A count with questions for these spans.
    pub fn new(spans: impl IntoIterator<Item = Millis>) -> InFlight {
        let span = |length| Span { length, count: 0, first: 0 };
        let spans = spans.into_iter().map(span).collect();
        InFlight { begun: VecDeque::new(), number: 0, out: 0, spans }
    }

    /// Asks for these spans from now on.
    pub fn set_spans(&mut self, spans: impl IntoIterator<Item = Millis>) {
        // What is too old for a span is taken off its count at its next question.
        let span = |length| Span { length, count: self.out, first: self.number };
        self.spans = spans.into_iter().map(span).collect();
    }

    /// All that are out.
    pub fn len(&self) -> usize {
        self.out
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.out == 0
    }

    /// One begins.
    pub fn begin(&mut self, at: Millis) -> Ticket {
        self.begun.push_back(Begun { at, out: true });
        self.out += 1;
        self.spans.iter_mut().for_each(|span| span.count += 1);
        Ticket(self.number + self.begun.len() as u64 - 1)
    }

    /// One ends. A second end of the same does nothing.
    pub fn end(&mut self, ticket: Ticket) {
        let Some(place) = ticket.0.checked_sub(self.number) else { return };
        let Some(begun) = self.begun.get_mut(place as usize).filter(|begun| begun.out) else { return };
        begun.out = false;
        self.out -= 1;
        for span in self.spans.iter_mut().filter(|span| ticket.0 >= span.first) {
            span.count -= 1;
        }
        while self.begun.front().is_some_and(|begun| !begun.out) {
            self.begun.pop_front();
            self.number += 1;
        }
    }

    /// Those out that began after `now` less the span of this index.
    pub fn within(&mut self, span: usize, now: Millis) -> usize {
        let span = &mut self.spans[span];
        // What has been taken off the front was over, and is counted nowhere.
        span.first = span.first.max(self.number);
        while let Some(begun) = self.begun.get((span.first - self.number) as usize) {
            if begun.at > now - span.length {
                break;
            }
            span.count -= usize::from(begun.out);
            span.first += 1;
        }
        span.count
    }
}

/// Units sent over time. A question costs the logarithm of what is kept.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Sends {
    /// When, how much, and how much up to and with it since ever.
    sends: VecDeque<(Millis, f64, f64)>,
    /// The total up to what has been dropped.
    dropped: f64,
}

impl Sends {
    /// Units sent at a moment that is no earlier than any before.
    pub fn push(&mut self, at: Millis, units: f64) {
        let before = self.sends.back().map_or(self.dropped, |last| last.2);
        self.sends.push_back((at, units, before + units));
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Units sent up to `to` and kept.
    pub fn up_to(&self, to: Millis) -> f64 {
        match self.sends.partition_point(|(at, ..)| *at <= to) {
            0 => 0.0,
            place => self.sends[place - 1].2 - self.dropped,
        }
    }

    /// Units sent up to each of these moments and kept; they run backwards in time.
    pub fn totals(&self, moments: impl Iterator<Item = Millis>, totals: &mut [f64]) {
        let mut place = self.sends.len();
        for (moment, total) in moments.zip(totals) {
            let is_later = |place: usize| self.sends[place].0 > moment;
            // Steps back that double until one is too far, then halve: few where little lies between.
            let mut step = 1;
            while step <= place && is_later(place - step) {
                place -= step;
                step *= 2;
            }
            while step > 1 {
                step /= 2;
                if step <= place && is_later(place - step) {
                    place -= step;
                }
            }
            *total = if place == 0 { 0.0 } else { self.sends[place - 1].2 - self.dropped };
        }
    }

    /// Units sent after `from` and up to `to`.
    pub fn between(&self, from: Millis, to: Millis) -> f64 {
        if to <= from {
            return 0.0;
        }
        (self.up_to(to) - self.up_to(from)).max(0.0)
    }

    /// Drops what was sent before then.
    pub fn drop_before(&mut self, then: Millis) {
        while let Some(&(_, _, total)) = self.sends.front().filter(|(at, ..)| *at < then) {
            self.dropped = total;
            self.sends.pop_front();
        }
        // Totals begin anew where nothing is kept, so that they stay small enough to be exact.
        if self.sends.is_empty() {
            self.dropped = 0.0;
        }
    }
}

/// What is due at some moment, or behind some count that only grows.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Agenda {
    lines: BinaryHeap<Reverse<(u64, u32)>>,
}

impl Agenda {
    /// Adds a line. What is due below 0 is due at 0.
    pub fn push(&mut self, due: f64, what: u32) {
        // The bits of numbers that are not below 0 are in the numbers' order.
        self.lines.push(Reverse((due.max(0.0).to_bits(), what)));
    }

    /// Takes the earliest line out, if it is due by now. Of two that are due at once the lesser name comes first.
    pub fn next(&mut self, now: f64) -> Option<(f64, u32)> {
        let &Reverse((due, what)) = self.lines.peek()?;
        let due = f64::from_bits(due);
        (due <= now).then(|| {
            self.lines.pop();
            (due, what)
        })
    }

    /// Forgets all lines.
    pub fn clear(&mut self) {
        self.lines.clear();
    }
}

/// A member on the ring, at its hash.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Slot {
    at: u64,
    member: u32,
    weight: f64,
}

/// A set from which members are drawn by weight. They stand on a ring in the order of a hash of their names, so that
/// two sets with the same members and weights give the same member for the same part, however each came about. A change
/// and a draw cost the logarithm of their number.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Members {
    /// All of them, in no order, and where each stands there.
    row: Vec<u32>,
    places: Own<u32, usize>,
    /// The ring in as many arcs as a power of two that is no less than the members; within an arc by hash.
    arcs: Vec<Vec<Slot>>,
    /// Sums of the arcs' weights over ranges that end at each arc: a Fenwick tree.
    sums: Vec<f64>,
    /// Changes since the sums were last added up from the weights, which takes their rounding away.
    changed: usize,
}

/// Where a member stands on the ring; the same in every version, as front doors of two versions stand beside each other.
fn ring_hash(member: u32) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(member);
    hasher.finish()
}

impl Members {
    /// All of them, in no order.
    pub fn row(&self) -> &[u32] {
        &self.row
    }

    /// The mean weight, 0 if there is none.
    pub fn mean(&self) -> f64 {
        self.sums.last().copied().unwrap_or(0.0) / self.row.len().max(1) as f64
    }

    /// Adds one or changes its weight; takes it out if the weight is not above 0.
    pub fn set(&mut self, member: u32, weight: f64) {
        let is_in = weight > 0.0 && weight.is_finite();
        match (self.places.get(&member).copied(), is_in) {
            (None, false) => return,
            (None, true) => {
                self.places.insert(member, self.row.len());
                self.row.push(member);
                if self.row.len() > self.arcs.len() {
                    let slots: Vec<Slot> = self.arcs.drain(..).flatten().collect();
                    self.arcs = vec![Vec::new(); self.row.len().next_power_of_two()];
                    slots.into_iter().for_each(|slot| self.put(slot));
                    self.add_up();
                }
            }
            (Some(place), false) => {
                self.places.swap_remove(&member);
                self.row.swap_remove(place);
                if let Some(moved) = self.row.get(place) {
                    self.places.insert(*moved, place);
                }
            }
            (Some(_), true) => {}
        }
        let at = ring_hash(member);
        let arc = self.arc(at);
        let slots = &mut self.arcs[arc];
        let before = slots.iter().position(|slot| slot.member == member).map(|place| slots.remove(place));
        if is_in {
            self.put(Slot { at, member, weight });
        }
        let more = if is_in { weight } else { 0.0 } - before.map_or(0.0, |slot| slot.weight);
        self.changed += 1;
        if self.changed > self.row.len() {
            self.add_up();
        } else {
            let mut number = arc + 1;
            while number <= self.sums.len() {
                self.sums[number - 1] += more;
                number += number & number.wrapping_neg();
            }
        }
    }

    /// Draws the one that stands at this part of the ring's whole weight, from 0 up to 1; drawn evenly, each has a
    /// chance in proportion to its weight. `None` if there is none.
    pub fn draw(&self, part: f64) -> Option<u32> {
        let mut left = part * self.sums.last().copied().unwrap_or(0.0);
        let (mut arc, mut step) = (0, self.arcs.len() / 2);
        while step > 0 {
            // The last sum is the whole: what is left lies below it.
            if self.sums[arc + step - 1] <= left {
                left -= self.sums[arc + step - 1];
                arc += step;
            }
            step /= 2;
        }
        // Rounding may lead past the last of an arc, or to one that is empty.
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

    /// The arc of a place on the ring.
    fn arc(&self, at: u64) -> usize {
        // A power of two of arcs: the hash's highest bits.
        let bits = self.arcs.len().trailing_zeros();
        at.checked_shr(64 - bits).unwrap_or(0) as usize
    }

    fn put(&mut self, slot: Slot) {
        let arc = self.arc(slot.at);
        let slots = &mut self.arcs[arc];
        let place = slots.partition_point(|other| (other.at, other.member) < (slot.at, slot.member));
        slots.insert(place, slot);
    }

    /// Adds up all sums from the weights.
    fn add_up(&mut self) {
        self.changed = 0;
        self.sums.clear();
        for arc in 0..self.arcs.len() {
            let own: f64 = self.arcs[arc].iter().map(|slot| slot.weight).sum();
            let number = arc + 1;
            let (mut sum, mut below, least) = (own, number - 1, number & (number - 1));
            while below > least {
                sum += self.sums[below - 1];
                below &= below - 1;
            }
            self.sums.push(sum);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    #[derive(Debug, Clone, Copy)]
    enum Step {
        Begin,
        End(usize),
        EndAgain(usize),
        Pass(u16),
        Ask(usize),
        Spans(u16, u16),
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let step = prop_oneof![
            3 => Just(Step::Begin),
            3 => any::<usize>().prop_map(Step::End),
            1 => any::<usize>().prop_map(Step::EndAgain),
            2 => (0u16..400).prop_map(Step::Pass),
            2 => (0usize..2).prop_map(Step::Ask),
            1 => (1u16..1500, 1u16..1500).prop_map(|(a, b)| Step::Spans(a, b)),
        ];
        prop::collection::vec(step, 0..200)
    }

    proptest! {
        #[test]
        fn ages_of_what_is_out_are_counted_as_a_plain_walk_counts_them(steps in steps()) {
            let mut spans = [500.0, 1000.0];
            let mut counts = InFlight::new(spans);
            let mut plain: Vec<(Ticket, Millis)> = Vec::new();
            let mut ended = Vec::new();
            let mut now = 0.0;
            for step in steps {
                match step {
                    Step::Begin => plain.push((counts.begin(now), now)),
                    Step::End(which) if !plain.is_empty() => {
                        let (ticket, _) = plain.swap_remove(which % plain.len());
                        counts.end(ticket);
                        ended.push(ticket);
                    }
                    Step::End(_) => {}
                    Step::EndAgain(which) => {
                        let again = ended.get(which % ended.len().max(1)).copied();
                        again.into_iter().for_each(|ticket| counts.end(ticket));
                    }
                    Step::Spans(first, second) => {
                        spans = [f64::from(first), f64::from(second)];
                        counts.set_spans(spans);
                    }
                    Step::Pass(millis) => now += f64::from(millis),
                    Step::Ask(span) => {
                        let young = plain.iter().filter(|(_, at)| *at > now - spans[span]).count();
                        prop_assert_eq!(counts.within(span, now), young);
                    }
                }
                prop_assert_eq!(counts.len(), plain.len());
            }
            for (ticket, _) in plain {
                counts.end(ticket);
            }
            prop_assert!(counts.begun.is_empty());
        }

        #[test]
        fn units_between_two_moments_are_what_a_plain_sum_gives(
            sends in prop::collection::vec((0u16..200, 1u8..20), 0..80),
            drop in 0u32..8000,
            asks in prop::collection::vec((0u32..9000, 0u32..9000), 1..20),
        ) {
            let (mut kept, mut plain, mut now) = (Sends::default(), Vec::new(), 0.0);
            for (gap, units) in sends {
                now += f64::from(gap);
                kept.push(now, f64::from(units));
                plain.push((now, f64::from(units)));
            }
            kept.drop_before(f64::from(drop));
            plain.retain(|(at, _)| *at >= f64::from(drop));
            prop_assert_eq!(kept.is_empty(), plain.is_empty());
            let moments: Vec<Millis> = (0..40).rev().map(|step| f64::from(step) * 230.0).collect();
            let mut totals = vec![0.0; moments.len()];
            kept.totals(moments.iter().copied(), &mut totals);
            for (moment, total) in moments.into_iter().zip(totals) {
                prop_assert!((total - kept.up_to(moment)).abs() < 1e-9);
            }
            for (from, to) in asks {
                let (from, to) = (f64::from(from), f64::from(to));
                let sum: f64 = plain.iter().filter(|(at, _)| *at > from && *at <= to).map(|(_, units)| units).sum();
                prop_assert!((kept.between(from, to) - sum).abs() < 1e-9);
            }
        }
    }

    #[test]
    fn an_attempt_that_began_a_span_ago_is_no_longer_within_it() {
        let mut counts = InFlight::new([100.0]);
        let first = counts.begin(0.0);
        counts.begin(50.0);
        assert_eq!(counts.within(0, 99.0), 2);
        assert_eq!(counts.within(0, 100.0), 1);
        counts.end(first);
        assert_eq!((counts.within(0, 100.0), counts.len()), (1, 1));
    }

    proptest! {
        #[test]
        fn members_are_those_that_were_set_last_and_are_drawn_by_weight(
            steps in prop::collection::vec((0u32..20, 0u8..4), 0..300),
            part in 0.0..1.0f64,
        ) {
            let (mut members, mut plain) = (Members::default(), BTreeMap::new());
            for (member, weight) in steps {
                let weight = f64::from(weight);
                members.set(member, weight);
                if weight > 0.0 { plain.insert(member, weight); } else { plain.remove(&member); }
                let mut row = members.row().to_vec();
                row.sort_unstable();
                prop_assert_eq!(row, plain.keys().copied().collect::<Vec<_>>());
                // Whole weights are added without rounding: the one drawn is the one in whose range the part falls.
                let mut ring: Vec<u32> = plain.keys().copied().collect();
                ring.sort_by_key(|&member| ring_hash(member));
                let total: f64 = plain.values().sum();
                let (mut sum, mut wanted) = (0.0, None);
                for member in ring {
                    sum += plain[&member];
                    if wanted.is_none() && part * total < sum {
                        wanted = Some(member);
                    }
                }
                prop_assert_eq!(members.draw(part), wanted);
            }
        }
    }

    #[test]
    fn two_sets_that_came_about_in_other_ways_give_the_same_member_for_the_same_part() {
        let (mut one, mut other) = (Members::default(), Members::default());
        (0..300).for_each(|member| one.set(member, 1.0 + f64::from(member % 3)));
        (0..900).rev().for_each(|member| other.set(member, 5.0));
        (0..900).for_each(|member| other.set(member, 1.0 + f64::from(member % 3)));
        (300..900).for_each(|member| other.set(member, 0.0));
        let drawn =
            |set: &Members| (0..1000).map(|part| set.draw(f64::from(part) / 1000.0)).collect::<Vec<_>>();
        assert_eq!(drawn(&one), drawn(&other));
    }

    proptest! {
        #[test]
        fn a_round_meets_every_entry_that_stays(
            stay in 1usize..40,
            changes in prop::collection::vec((any::<bool>(), 100u32..140), 0..60),
        ) {
            let mut map: Known<u32, bool> = (0..stay as u32).map(|name| (name, true)).collect();
            let (mut rounds, mut met) = (Rounds::<4>::default(), std::collections::BTreeSet::new());
            // Others come and go meanwhile; 100 at the most are there, so that a round has 25 steps.
            let mut changes = changes.into_iter();
            for _ in 0..2 * 25 {
                for (comes, name) in changes.by_ref().take(1) {
                    if comes { map.insert(name, false); } else { map.swap_remove(&name); }
                }
                met.extend(rounds.next(&map, |stays| *stays));
            }
            prop_assert_eq!(met.len(), stay);
        }
    }

    #[test]
    fn an_agenda_gives_out_what_is_due_in_its_order() {
        let mut agenda = Agenda::default();
        for (due, what) in [(3.0, 1), (1.5, 2), (-4.0, 3), (1.5, 1)] {
            agenda.push(due, what);
        }
        assert_eq!(agenda.next(-1.0), None);
        let order: Vec<_> = std::iter::from_fn(|| agenda.next(2.0)).collect();
        assert_eq!(order, [(0.0, 3), (1.5, 1), (1.5, 2)]);
        assert_eq!(agenda.next(3.0), Some((3.0, 1)));
    }
}
