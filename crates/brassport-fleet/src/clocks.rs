//! One clock for the records of many doors: the time of a recorded event on the clock of one instance, with bounds.
//!
//! Doors' wall clocks disagree and jump. So each door reads the clocks of instances now and then and records the reading as a
//! [`Mark`]: it was taken between the request and the arrival of the response, whatever the door's own clock says. The bounds
//! widen with the distance from the reading, by the drift between two monotonic clocks.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most by which two monotonic clocks drift apart, in thousandths: the default of the leases of the fleet.
const DRIFT_PERMILLE: i64 = 10;

/// A reading of an instance's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The instance that answered.
    pub by: String,
    /// Its wall clock when it answered, in Unix milliseconds.
    pub said_ms: u64,
    /// From the request to the arrival of the response, in milliseconds on the door's monotonic clock.
    pub took_ms: Millis,
}

/// Bounds of a moment on one instance's wall clock, in Unix milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment {
    /// The earliest that it may have been.
    pub from_ms: i64,
    /// The latest that it may have been.
    pub to_ms: i64,
}

impl Moment {
    fn width(self) -> i64 {
        self.to_ms - self.from_ms
    }

    /// What is in both bounds; of negative width if nothing is.
    fn intersection(self, other: Moment) -> Moment {
        Moment { from_ms: self.from_ms.max(other.from_ms), to_ms: self.to_ms.min(other.to_ms) }
    }

    fn shifted(self, by: Moment) -> Moment {
        Moment { from_ms: self.from_ms + by.from_ms, to_ms: self.to_ms + by.to_ms }
    }
}

/// A reading and when it arrived, on the reader's monotonic clock.
#[derive(Debug, Clone)]
struct Reading {
    at: Millis,
    mark: Mark,
}

/// The readings of all processes together.
#[derive(Debug, Clone, Default)]
pub struct Clocks {
    /// By process.
    readings: BTreeMap<u64, Vec<Reading>>,
    /// The instance on whose clock moments are given.
    reference: Option<String>,
    /// Bounds of what is to be added to another instance's clock to get the reference's.
    offsets: BTreeMap<String, Moment>,
    /// Instances whose readings contradict those of the reference: one of the two clocks jumped.
    jumped: Vec<String>,
}

impl Clocks {
    /// Adds a reading by this process, which arrived at `steady_ms` of its monotonic clock.
    pub fn add(&mut self, process: u64, steady_ms: Millis, mark: Mark) {
        self.readings.entry(process).or_default().push(Reading { at: steady_ms, mark });
    }

    /// Chooses the reference, the instance that most processes have read, and bounds the other clocks' offsets from it.
    pub fn align(&mut self) {
        let readers = self.reader_counts();
        // Of several read by as many, the first by name: the same records always give the same reference.
        let most = readers.iter().max_by_key(|(name, count)| (**count, std::cmp::Reverse(**name)));
        let Some(reference) = most.map(|(name, _)| name.to_string()) else {
            self.reference = None;
            return;
        };
        let (mut offsets, mut jumped) = (BTreeMap::new(), Vec::new());
        for name in readers.into_keys().filter(|name| *name != reference) {
            let bounds =
                self.readings.values().flat_map(|readings| offset_bounds(readings, &reference, name));
            match bounds.reduce(Moment::intersection) {
                Some(offset) if offset.width() >= 0 => drop(offsets.insert(name.to_string(), offset)),
                Some(_) => jumped.push(name.to_string()),
                None => {}
            }
        }
        (self.reference, self.offsets, self.jumped) = (Some(reference), offsets, jumped);
    }

    /// How many processes have read each instance's clock.
    fn reader_counts(&self) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for readings in self.readings.values() {
            let instances: BTreeSet<&str> = readings.iter().map(|reading| reading.mark.by.as_str()).collect();
            for instance in instances {
                *counts.entry(instance).or_default() += 1;
            }
        }
        counts
    }

    /// The instance on whose clock moments are given: `None` before [`Clocks::align`] and without any reading.
    pub fn reference(&self) -> Option<&str> {
        self.reference.as_deref()
    }

    /// Instances whose clock, or the reference's, jumped between two readings.
    pub fn jumped(&self) -> &[String] {
        &self.jumped
    }

    /// A moment of a process's monotonic clock, on the reference's clock; `None` if no reading relates the two.
    pub fn moment(&self, process: u64, steady_ms: Millis) -> Option<Moment> {
        let reference = self.reference.as_deref()?;
        let by_reading = |reading: &Reading| {
            let bounds = reading.bounds(steady_ms);
            match reading.mark.by.as_str() {
                by if by == reference => Some(bounds),
                by => self.offsets.get(by).map(|offset| bounds.shifted(*offset)),
            }
        };
        self.readings.get(&process)?.iter().filter_map(by_reading).min_by_key(|moment| moment.width())
    }
}

impl Reading {
    /// A moment of the reader's monotonic clock, on the clock of the instance that was read.
    fn bounds(&self, steady_ms: Millis) -> Moment {
        let after = steady_ms as i64 - self.at as i64;
        let took = self.mark.took_ms as i64;
        // Rounded up, and a millisecond more at each end, because all clocks give whole ones.
        let slack = (after.abs() + took) * DRIFT_PERMILLE / 1000 + 2;
        let said = self.mark.said_ms as i64 + after;
        Moment { from_ms: said - slack, to_ms: said + took + slack }
    }
}

/// Bounds of the offset of the reference's clock from another instance's, by each reading of the other one and the reading
/// of the reference next to it by the same process.
fn offset_bounds<'a>(
    readings: &'a [Reading],
    reference: &'a str,
    other: &'a str,
) -> impl Iterator<Item = Moment> + 'a {
    let of = move |name: &'a str| readings.iter().filter(move |reading| reading.mark.by == name);
    of(other).flat_map(move |reading| {
        let nearest = of(reference).min_by_key(|by_reference| by_reference.at.abs_diff(reading.at));
        nearest.map(|by_reference| {
            let (ours, theirs) = (by_reference.bounds(reading.at), reading.bounds(reading.at));
            Moment { from_ms: ours.from_ms - theirs.to_ms, to_ms: ours.to_ms - theirs.from_ms }
        })
    })
}
