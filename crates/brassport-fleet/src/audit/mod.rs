//! Answers from the records of many doors: which acted on which version, when, and what is unknown.

mod gather;
mod spans;

use crate::clocks::Moment;
use crate::record::{Event, Fault, Line};
use serde::{Deserialize, Serialize};
use spans::SpanBuilder;
use std::collections::BTreeMap;

/// A span in which one process of a door acted on one version. Ends are exclusive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The door's name.
    pub door: String,
    /// The number that its process drew at its start.
    pub process: u64,
    /// The version that it acted on.
    pub version: u64,
    /// The digest of that version.
    pub digest: String,
    /// The number of the first admission, and of the first one behind it: `None` if unknown, as nothing was recorded after
    /// it.
    pub admissions: (u64, Option<u64>),
    /// Beginning and end on the process's own monotonic clock.
    pub steady_ms: (u64, Option<u64>),
    /// Its beginning on the process's wall clock, in Unix milliseconds.
    pub wall_ms: u64,
    /// Its beginning on the clock of [`Audit::clock`].
    #[serde(default)]
    pub began: Option<Moment>,
    /// Why it ended, if a later line says so.
    pub ended: Option<String>,
}

/// A request that is not idempotent and was about to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The door's name.
    pub door: String,
    /// The request's identifier.
    pub request: String,
    /// The node that it was sent to.
    pub node: String,
    /// The version under which the node was chosen.
    pub version: u64,
    /// The number that the door's process drew at its start.
    pub process: u64,
    /// When, on the process's own monotonic clock.
    pub steady_ms: u64,
    /// When, on the process's wall clock, in Unix milliseconds.
    pub wall_ms: u64,
    /// When, on the clock of [`Audit::clock`].
    #[serde(default)]
    pub at: Option<Moment>,
}

/// Lines of a record that could not be written, as when the disk was full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// The number that the door's process drew at its start.
    pub process: u64,
    /// How many lines.
    pub lines: u64,
    /// The time of the first line after them, in Unix milliseconds on the process's wall clock.
    pub before_wall_ms: u64,
}

/// What the records of a fleet say together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Spans in which doors acted, by door and in their order.
    pub spans: Vec<Span>,
    /// Requests that are not idempotent, by door and in their order.
    pub sent: Vec<Sent>,
    /// What is wrong with a door's record or missing from it, by door.
    pub unknown: BTreeMap<String, String>,
    /// The instance on whose wall clock moments are given; without one each is on its door's own.
    #[serde(default)]
    pub clock: Option<String>,
    /// Lines that a door could not write, as when its disk was full, by door.
    #[serde(default)]
    pub lost: BTreeMap<String, Vec<Lost>>,
    /// Versions with different digests at two doors: the version and the doors.
    pub forks: Vec<(u64, String, String)>,
}

/// A query; each field that is set narrows the answer.
#[derive(Debug, Clone, Default)]
pub struct Query {
    /// The door's name.
    pub door: Option<String>,
    /// The version that was acted on.
    pub version: Option<u64>,
    /// A request's identifier.
    pub request: Option<String>,
    /// Unix milliseconds, inclusive: on the clock of [`Audit::clock`], or on the door's own if that is unknown.
    pub between: Option<(u64, u64)>,
}

impl Audit {
    /// Adds a door's record. `door` is the name by which it was requested.
    pub fn add(&mut self, door: &str, lines: &[Line], fault: Option<&Fault>) {
        if let Some(fault) = fault {
            self.unknown.insert(door.into(), format!("{fault}; what comes behind it is not known"));
        }
        let mut spans = SpanBuilder::new(door);
        for line in lines {
            spans.step(line);
            match &line.what {
                Event::Unsafe { request, node, version } => self.sent.push(Sent {
                    door: door.into(),
                    request: request.clone(),
                    node: node.clone(),
                    version: *version,
                    process: line.at.process,
                    steady_ms: line.at.steady_ms,
                    wall_ms: line.at.wall_ms,
                    at: None,
                }),
                Event::Lost { lines } => self.lost.entry(door.into()).or_default().push(Lost {
                    process: line.at.process,
                    lines: *lines,
                    before_wall_ms: line.at.wall_ms,
                }),
                _ => {}
            }
        }
        self.spans.extend(spans.finish());
        self.find_forks();
    }

    /// Notes that this door's record could not be read.
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

    /// The part that matches a query.
    pub fn answer(&self, question: &Query) -> Audit {
        let mut answer = self.clone();
        answer.spans.retain(|span| question.matches_span(span));
        answer.sent.retain(|sent| question.matches_sent(sent));
        if question.request.is_some() {
            let sent = &answer.sent;
            let chose =
                |span: &Span| sent.iter().any(|sent| sent.door == span.door && sent.version == span.version);
            answer.spans.retain(chose);
        }
        answer.unknown.retain(|name, _| question.matches_door(name));
        answer.lost.retain(|name, _| question.matches_door(name));
        answer
    }
}

impl Query {
    fn matches_door(&self, name: &str) -> bool {
        self.door.as_ref().is_none_or(|door| door == name)
    }

    fn matches_version(&self, version: u64) -> bool {
        self.version.is_none_or(|wanted| wanted == version)
    }

    fn matches_span(&self, span: &Span) -> bool {
        let overlaps = |(from, to): (u64, u64)| {
            let began = WallBounds::of(span.began, span.wall_ms);
            let lasted = span.steady_ms.1.map(|end| end - span.steady_ms.0);
            // A span without an end may have lasted until now.
            began.earliest_ms <= to && lasted.is_none_or(|lasted| began.latest_ms + lasted >= from)
        };
        self.matches_door(&span.door)
            && self.matches_version(span.version)
            && self.between.is_none_or(overlaps)
    }

    fn matches_sent(&self, sent: &Sent) -> bool {
        let overlaps = |(from, to): (u64, u64)| {
            let at = WallBounds::of(sent.at, sent.wall_ms);
            at.earliest_ms <= to && at.latest_ms >= from
        };
        self.matches_door(&sent.door)
            && self.matches_version(sent.version)
            && self.request.as_ref().is_none_or(|request| *request == sent.request)
            && self.between.is_none_or(overlaps)
    }
}

/// Bounds of a moment, in Unix milliseconds.
struct WallBounds {
    earliest_ms: u64,
    latest_ms: u64,
}

impl WallBounds {
    /// Those of the moment if it is known, and else the door's own wall clock.
    fn of(moment: Option<Moment>, wall_ms: u64) -> WallBounds {
        let unsigned = |ms: i64| ms.try_into().unwrap_or(0);
        moment.map_or(WallBounds { earliest_ms: wall_ms, latest_ms: wall_ms }, |moment| WallBounds {
            earliest_ms: unsigned(moment.from_ms),
            latest_ms: unsigned(moment.to_ms),
        })
    }
}
