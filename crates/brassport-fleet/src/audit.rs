//! Answers from the records of many doors: which acted on which version, when, and what is not known.

use crate::clocks::{Clocks, Moment};
use crate::record::{self, Fault, Line, What};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A span in which one process of a door acted on one version. Ends are open: `to` is the first moment behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    pub door: String,
    pub process: u64,
    pub version: u64,
    pub digest: String,
    /// Numbers of its admissions; `None` as a second one: not known, as nothing was written behind it.
    pub admissions: (u64, Option<u64>),
    /// On the process's own steady clock, and as its wall clock told the beginning.
    pub steady_ms: (u64, Option<u64>),
    pub wall_ms: u64,
    /// When it began on the clock of [`Audit::clock`].
    #[serde(default)]
    pub began: Option<Moment>,
    /// Why it ended, where a later line says so.
    pub ended: Option<String>,
}

/// An unsafe request that was about to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    pub door: String,
    pub request: String,
    pub node: String,
    pub version: u64,
    pub process: u64,
    pub steady_ms: u64,
    pub wall_ms: u64,
    /// The same on the clock of [`Audit::clock`].
    #[serde(default)]
    pub at: Option<Moment>,
}

/// Lines of a record that could not be written, as when the disk was full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    pub process: u64,
    pub lines: u64,
    /// The first moment of which there is a line again.
    pub before_wall_ms: u64,
}

/// What the records of a fleet say together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    pub spans: Vec<Span>,
    pub sent: Vec<Sent>,
    /// What is wrong with a door's record, or missing of it.
    pub unknown: BTreeMap<String, String>,
    /// The instance on whose wall clock moments are told; without one each is that of its door's own.
    #[serde(default)]
    pub clock: Option<String>,
    /// Lines that a door could not write, as when its disk was full.
    #[serde(default)]
    pub lost: BTreeMap<String, Vec<Lost>>,
    /// Versions of which two doors hold different digests.
    pub forks: Vec<(u64, String, String)>,
}

/// What is asked for; nothing: all.
#[derive(Debug, Clone, Default)]
pub struct Question {
    pub door: Option<String>,
    pub version: Option<u64>,
    pub request: Option<String>,
    /// Unix milliseconds, both ends within: on the clock of [`Audit::clock`], or on the door's own where nothing is known.
    pub between: Option<(u64, u64)>,
}

impl Audit {
    /// Takes in parts of many doors' records, each with its door; the same lines may be in several.
    pub fn gather<'a>(&mut self, parts: impl Iterator<Item = (&'a str, &'a str)>) {
        // By door, process and number; processes in the order in which they began, as far as clocks tell.
        let mut all: BTreeMap<&str, BTreeMap<u64, BTreeMap<u64, Line>>> = BTreeMap::new();
        let mut faults: BTreeMap<&str, Fault> = BTreeMap::new();
        for (door, text) in parts {
            let (lines, fault, ..) = record::read(text);
            if let Some(fault) = fault {
                faults.insert(door, fault);
            }
            for line in lines {
                let process = all.entry(door).or_default().entry(line.at.process).or_default();
                process.insert(line.number, line);
            }
        }
        let mut clocks = Clocks::default();
        for line in all.values().flat_map(BTreeMap::values).flat_map(BTreeMap::values) {
            if let What::Clock(mark) = &line.what {
                clocks.add(line.at.process, line.at.steady_ms, mark.clone());
            }
        }
        clocks.settle();
        self.clock = clocks.reference().map(String::from);
        let first = |lines: &Vec<Line>| {
            let at = lines.first()?.at;
            let moment = clocks.moment(at.process, at.steady_ms);
            Some(moment.map_or(at.wall_ms as i64, |moment| moment.from_ms))
        };
        for (door, processes) in all {
            let mut processes: Vec<Vec<Line>> =
                processes.into_values().map(|lines| lines.into_values().collect()).collect();
            processes.sort_by_key(first);
            for lines in &processes {
                let whole = lines.windows(2).all(|pair| pair[1].number == pair[0].number + 1);
                if !whole {
                    self.missing(door, "lines between two that are known are not there");
                }
            }
            self.add(door, &processes.concat(), faults.remove(door).as_ref());
        }
        for span in &mut self.spans {
            span.began = clocks.moment(span.process, span.steady_ms.0);
        }
        for sent in &mut self.sent {
            sent.at = clocks.moment(sent.process, sent.steady_ms);
        }
        for instance in clocks.jumped() {
            self.missing(
                instance,
                "its wall clock jumped: what only doors near it tell is on their own clocks",
            );
        }
    }

    /// Takes in a door's record. `door` is the name by which it was asked for.
    pub fn add(&mut self, door: &str, lines: &[Line], fault: Option<&Fault>) {
        if let Some(fault) = fault {
            self.unknown.insert(door.into(), format!("{fault}; what comes behind it is not known"));
        }
        let mut open: Option<Span> = None;
        for line in lines {
            let process = line.at.process;
            let mut end = |open: &mut Option<Span>, admission: Option<u64>, why: &str| {
                if let Some(mut span) = open.take() {
                    // A process that is gone said nothing of its end.
                    let same = span.process == process;
                    span.admissions.1 = admission.filter(|_| same);
                    span.steady_ms.1 = same.then_some(line.at.steady_ms);
                    span.ended = Some(why.into());
                    self.spans.push(span);
                }
            };
            match &line.what {
                What::Began { .. } => end(&mut open, None, "the process ended without a word"),
                What::Acts { version, digest, from_admission } => {
                    end(&mut open, Some(*from_admission), "a newer version");
                    open = Some(Span {
                        door: door.into(),
                        process,
                        version: *version,
                        digest: digest.clone(),
                        admissions: (*from_admission, None),
                        steady_ms: (line.at.steady_ms, None),
                        wall_ms: line.at.wall_ms,
                        began: None,
                        ended: None,
                    });
                }
                What::Stopped { why, from_admission } => {
                    // It keeps the version, and acts on nothing until it goes on.
                    let span = open.clone();
                    end(&mut open, Some(*from_admission), why);
                    open = span
                        .map(|span| Span { admissions: (*from_admission, Some(*from_admission)), ..span });
                }
                What::WentOn { from_admission } => {
                    if let Some(span) = &mut open {
                        span.admissions = (*from_admission, None);
                        (span.steady_ms, span.wall_ms) = ((line.at.steady_ms, None), line.at.wall_ms);
                    }
                }
                What::Unsafe { request, node, version } => self.sent.push(Sent {
                    door: door.into(),
                    request: request.clone(),
                    node: node.clone(),
                    version: *version,
                    process,
                    steady_ms: line.at.steady_ms,
                    wall_ms: line.at.wall_ms,
                    at: None,
                }),
                What::Lost { lines } => {
                    let lost = Lost { process, lines: *lines, before_wall_ms: line.at.wall_ms };
                    self.lost.entry(door.into()).or_default().push(lost);
                }
                What::Clock(_) | What::Unknown => {}
            }
        }
        // A span that stands still has nothing in it.
        self.spans.extend(open.filter(|span| span.admissions.1.is_none()));
        self.find_forks();
    }

    /// This door's record could not be had.
    pub fn missing(&mut self, door: &str, why: &str) {
        self.unknown.insert(door.into(), why.into());
    }

    fn find_forks(&mut self) {
        let mut seen: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
        self.forks = Vec::new();
        for span in &self.spans {
            let (door, digest) = seen.entry(span.version).or_insert((&span.door, &span.digest));
            if *digest != span.digest {
                self.forks.push((span.version, door.to_string(), span.door.clone()));
            }
        }
    }

    /// The part that is asked for.
    pub fn answer(&self, question: &Question) -> Audit {
        let Question { door, version, request, between } = question;
        let is_door = |name: &str| door.as_ref().is_none_or(|door| door == name);
        let mut answer = self.clone();
        answer.spans.retain(|span| {
            is_door(&span.door)
                && version.is_none_or(|version| span.version == version)
                && between.is_none_or(|(from, to)| {
                    let (began, at_last) = ends(span.began, span.wall_ms);
                    let lasted = span.steady_ms.1.map(|end| end - span.steady_ms.0);
                    began <= to && lasted.is_none_or(|lasted| at_last + lasted >= from)
                })
        });
        answer.sent.retain(|sent| {
            is_door(&sent.door)
                && version.is_none_or(|version| sent.version == version)
                && request.as_ref().is_none_or(|request| *request == sent.request)
                && between.is_none_or(|(from, to)| {
                    let (first, last) = ends(sent.at, sent.wall_ms);
                    first <= to && last >= from
                })
        });
        if request.is_some() {
            let named = answer.sent.clone();
            answer.spans.retain(|span| {
                named.iter().any(|sent| sent.door == span.door && sent.version == span.version)
            });
        }
        answer.unknown.retain(|name, _| is_door(name));
        answer.lost.retain(|name, _| is_door(name));
        answer
    }
}

/// The earliest and the latest that something may have been.
fn ends(moment: Option<Moment>, wall_ms: u64) -> (u64, u64) {
    moment.map_or((wall_ms, wall_ms), |moment| {
        (moment.from_ms.try_into().unwrap_or(0), moment.to_ms.try_into().unwrap_or(0))
    })
}
