//! Converts the times in the records of many gateway instances to the clock of one instance, with error bounds.
//!
//! The gateway instances' wall clocks disagree and jump. Therefore each gateway instance periodically reads the clocks
//! of instances and records each reading as a [`Mark`]. The instance read its clock at some time between the gateway
//! instance's request and the arrival of the response, which bounds the reading independently of the gateway instance's
//! wall clock. The bounds widen with the distance from the reading, by the drift between two monotonic clocks.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The largest relative drift between two monotonic clocks, in thousandths; equals the default of
/// [`crate::grants::Terms::drift_permille`].
const DRIFT_PERMILLE: i64 = 10;

/// A reading of an instance's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The instance that answered.
    pub by: String,
    /// Its wall clock when it answered, in Unix milliseconds.
    pub said_ms: u64,
    /// The round-trip time of the request, in milliseconds on the gateway instance's monotonic clock.
    pub took_ms: Millis,
}

/// Bounds of a time on one instance's wall clock, in Unix milliseconds; both are inclusive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment {
    /// The lower bound.
    pub from_ms: i64,
    /// The upper bound.
    pub to_ms: i64,
}

impl Moment {
    fn width(self) -> i64 {
        self.to_ms - self.from_ms
    }

    /// The overlap of both intervals; its width is negative if they are disjoint.
    fn intersection(self, other: Moment) -> Moment {
        Moment { from_ms: self.from_ms.max(other.from_ms), to_ms: self.to_ms.min(other.to_ms) }
    }

    /// Adds an offset that is itself known only within bounds.
    fn shifted(self, by: Moment) -> Moment {
        Moment { from_ms: self.from_ms + by.from_ms, to_ms: self.to_ms + by.to_ms }
    }
}

/// A clock reading and its arrival time on the reader's monotonic clock.
#[derive(Debug, Clone)]
struct Reading {
    at: Millis,
    mark: Mark,
}

/// The clock readings of all processes.
#[derive(Debug, Clone, Default)]
pub struct Clocks {
    /// In the order in which they were added, by process.
    readings: BTreeMap<u64, Vec<Reading>>,
    /// The instance whose clock is the common one.
    reference: Option<String>,
    /// Bounds of the offset to add to another instance's clock to get the reference's.
    offsets: BTreeMap<String, Moment>,
    /// Instances whose readings contradict those of the reference: one of the two clocks jumped.
    jumped: Vec<String>,
}

impl Clocks {
    /// Adds a reading by this process that arrived at `steady_ms` on its monotonic clock.
    pub fn add(&mut self, process: u64, steady_ms: Millis, mark: Mark) {
        self.readings.entry(process).or_default().push(Reading { at: steady_ms, mark });
    }

    /// Chooses the instance that most processes have read as the reference, and bounds the offsets of the other clocks from it.
    pub fn align(&mut self) {
        let readers = self.reader_counts();
        // Ties go to the first name, so that the same records always give the same reference.
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

    /// The instance whose clock is the common one: `None` before [`Clocks::align`], or if there are no readings.
    pub fn reference(&self) -> Option<&str> {
        self.reference.as_deref()
    }

    /// Instances with contradictory readings: their clock, or the reference's, jumped between two of them.
    pub fn jumped(&self) -> &[String] {
        &self.jumped
    }

    /// Converts a time on a process's monotonic clock to the reference's clock; `None` if no reading relates the two.
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
    /// Converts a time on the reader's monotonic clock to the clock of the instance that was read.
    fn bounds(&self, steady_ms: Millis) -> Moment {
        let since_reading = steady_ms as i64 - self.at as i64;
        let round_trip = self.mark.took_ms as i64;
        // Rounded up, plus a millisecond at each end, because all clocks have a resolution of one millisecond.
        let slack = (since_reading.abs() + round_trip) * DRIFT_PERMILLE / 1000 + 2;
        let earliest = self.mark.said_ms as i64 + since_reading;
        Moment { from_ms: earliest - slack, to_ms: earliest + round_trip + slack }
    }
}

/// Bounds of the offset of the reference's clock from that of `other`: one for each reading of `other`, paired with the
/// nearest reading of the reference by the same process.
fn offset_bounds<'a>(
    readings: &'a [Reading],
    reference: &'a str,
    other: &'a str,
) -> impl Iterator<Item = Moment> + 'a {
    let readings_of = move |name: &'a str| readings.iter().filter(move |reading| reading.mark.by == name);
    readings_of(other).flat_map(move |reading| {
        let nearest = readings_of(reference).min_by_key(|by_reference| by_reference.at.abs_diff(reading.at));
        nearest.map(|by_reference| {
            let (on_reference, on_other) = (by_reference.bounds(reading.at), reading.bounds(reading.at));
            Moment {
                from_ms: on_reference.from_ms - on_other.to_ms,
                to_ms: on_reference.to_ms - on_other.from_ms,
            }
        })
    })
}
