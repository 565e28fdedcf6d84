//! One clock for the records of many doors: when something was that a door wrote down, on the clock of one instance, with
//! the most that this can be off.
//!
//! Doors' wall clocks disagree and jump. So each door asks the instances now and then what their clocks say, and writes that
//! down as a [`Mark`]: the answer was given between the question and its arrival, whatever the door's own clock says. What
//! lies behind or before a mark is off by so much more as two steady clocks may run apart.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Two steady clocks run apart by so many thousandths at most.
const DRIFT_PERMILLE: i64 = 10;

/// What an instance's clock said.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The instance.
    pub by: String,
    /// Its wall clock when it answered, Unix milliseconds.
    pub said_ms: u64,
    /// From the question to the arrival of the answer, on the door's steady clock.
    pub took_ms: Millis,
}

/// A moment, between two ends on one instance's wall clock, Unix milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Moment {
    pub from_ms: i64,
    pub to_ms: i64,
}

impl Moment {
    fn width(self) -> i64 {
        self.to_ms - self.from_ms
    }

    fn moved(self, by: Moment) -> Moment {
        Moment { from_ms: self.from_ms + by.from_ms, to_ms: self.to_ms + by.to_ms }
    }
}

/// What the marks of all processes say together.
#[derive(Debug, Clone, Default)]
pub struct Clocks {
    /// By process: when the answer of a mark came, on its steady clock.
    marks: BTreeMap<u64, Vec<(Millis, Mark)>>,
    /// The instance on whose clock moments are told.
    reference: Option<String>,
    /// What is to be added to another instance's clock to get the reference's.
    links: BTreeMap<String, Moment>,
    /// Instances whose clocks marks disagree about: one of them jumped.
    jumped: Vec<String>,
}

impl Clocks {
    /// Takes in a mark of this process.
    pub fn add(&mut self, process: u64, steady_ms: Millis, mark: Mark) {
        self.marks.entry(process).or_default().push((steady_ms, mark));
    }

    /// Chooses the instance that most processes have asked, and finds how far the others' clocks are from its.
    pub fn settle(&mut self) {
        let mut asked: BTreeMap<&str, usize> = BTreeMap::new();
        for marks in self.marks.values() {
            let mut by: Vec<&str> = marks.iter().map(|(_, mark)| mark.by.as_str()).collect();
            by.sort_unstable();
            by.dedup();
            by.into_iter().for_each(|by| *asked.entry(by).or_default() += 1);
        }
        // Of those asked by as many the first by name, so that the same records are always told alike.
        let most = asked.iter().max_by_key(|(name, count)| (**count, std::cmp::Reverse(**name)));
        self.reference = most.map(|(name, _)| name.to_string());
        let Some(reference) = self.reference.clone() else { return };
        let (mut links, mut jumped) = (BTreeMap::new(), Vec::new());
        for name in asked.into_keys().filter(|name| *name != reference) {
            let both = self.marks.values().flat_map(|marks| pairs(marks, &reference, name));
            let met = both.reduce(|one, other| Moment {
                from_ms: one.from_ms.max(other.from_ms),
                to_ms: one.to_ms.min(other.to_ms),
            });
            match met {
                Some(link) if link.width() >= 0 => drop(links.insert(name.to_string(), link)),
                Some(_) => jumped.push(name.to_string()),
                None => {}
            }
        }
        (self.links, self.jumped) = (links, jumped);
    }

    /// The instance on whose clock moments are told.
    pub fn reference(&self) -> Option<&str> {
        self.reference.as_deref()
    }

    /// Instances whose clock, or the reference's, jumped between two marks.
    pub fn jumped(&self) -> &[String] {
        &self.jumped
    }

    /// A moment on a process's steady clock, on the reference's; `None` if nothing tells.
    pub fn moment(&self, process: u64, steady_ms: Millis) -> Option<Moment> {
        let reference = self.reference.as_deref()?;
        let by_mark = |(at, mark): &(Millis, Mark)| {
            let here = on_clock(*at, mark, steady_ms);
            match mark.by.as_str() {
                by if by == reference => Some(here),
                by => self.links.get(by).map(|link| here.moved(*link)),
            }
        };
        self.marks.get(&process)?.iter().filter_map(by_mark).min_by_key(|moment| moment.width())
    }
}

/// A moment on the steady clock, on the clock of the instance that made the mark.
fn on_clock(at: Millis, mark: &Mark, steady_ms: Millis) -> Moment {
    let behind = steady_ms as i64 - at as i64;
    // Rounded up, and a millisecond more at each end, as all clocks tell whole ones.
    let slack = (behind.abs() + mark.took_ms as i64) * DRIFT_PERMILLE / 1000 + 2;
    let said = mark.said_ms as i64 + behind;
    Moment { from_ms: said - slack, to_ms: said + mark.took_ms as i64 + slack }
}

/// What each two marks of one process, of the reference and of another instance, say of their clocks' difference.
fn pairs<'a>(
    marks: &'a [(Millis, Mark)],
    reference: &'a str,
    other: &'a str,
) -> impl Iterator<Item = Moment> + 'a {
    let of = move |name: &'a str| marks.iter().filter(move |(_, mark)| mark.by == name);
    of(other).flat_map(move |(at, mark)| {
        let near = of(reference).min_by_key(|(there, _)| there.abs_diff(*at));
        near.map(|(there, by_reference)| {
            let (ours, theirs) = (on_clock(*there, by_reference, *at), on_clock(*at, mark, *at));
            Moment { from_ms: ours.from_ms - theirs.to_ms, to_ms: ours.to_ms - theirs.from_ms }
        })
    })
}
