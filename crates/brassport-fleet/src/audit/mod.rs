//! Queries over the records of many gateway instances: which one acted on which version and when, and which
//! information is missing.

mod gather;
mod spans;

use crate::clocks::Moment;
use crate::record::{Event, Fault, Line};
use serde::{Deserialize, Serialize};
use spans::SpanBuilder;
use std::collections::BTreeMap;

/// A period in which one process of a gateway instance acted on one version. Ends are exclusive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The gateway instance's name.
    pub door: String,
    /// The identifier of its process: a random number drawn at the process's start.
    pub process: u64,
    /// The version that it acted on.
    pub version: u64,
    /// The digest of that version.
    pub digest: String,
    /// The number of the first request admitted in the span, and of the first one after the span: `None` if the record does not
    /// tell where the span ended.
    pub admissions: (u64, Option<u64>),
    /// Start and end on the process's own monotonic clock; `None` if the end is unknown.
    pub steady_ms: (u64, Option<u64>),
    /// The start on the process's wall clock, in Unix milliseconds.
    pub wall_ms: u64,
    /// The start on the clock of the instance [`Audit::clock`]; `None` if no reading relates the process to it.
    #[serde(default)]
    pub began: Option<Moment>,
    /// Why the span ended; `None` if no later line ends it.
    pub ended: Option<String>,
}

/// A non-idempotent request, recorded just before it was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The gateway instance's name.
    pub door: String,
    /// The request's identifier.
    pub request: String,
    /// The node that the request was sent to.
    pub node: String,
    /// The version under which the node was chosen.
    pub version: u64,
    /// The identifier of the gateway instance's process: a random number drawn at the process's start.
    pub process: u64,
    /// The time of the line, in milliseconds on the process's own monotonic clock.
    pub steady_ms: u64,
    /// The time of the line on the process's wall clock, in Unix milliseconds.
    pub wall_ms: u64,
    /// The time of the line on the clock of the instance [`Audit::clock`]; `None` if no reading relates the process to it.
    #[serde(default)]
    pub at: Option<Moment>,
}

/// Lines of a record that could not be written, for example because the disk was full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lost {
    /// The identifier of the gateway instance's process: a random number drawn at the process's start.
    pub process: u64,
    /// The number of lines.
    pub lines: u64,
    /// The time of the first line written after the lost ones, in Unix milliseconds on the process's wall clock.
    pub before_wall_ms: u64,
}

/// The combined contents of the records of a fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Periods in which gateway instances acted, grouped by gateway instance, each one's in order of time.
    pub spans: Vec<Span>,
    /// Non-idempotent requests, grouped by gateway instance, each one's in order of time.
    pub sent: Vec<Sent>,
    /// Descriptions of faults in records and of missing parts, by the name of the gateway instance or the
    /// plain instance.
    pub unknown: BTreeMap<String, String>,
    /// The instance whose wall clock is the common one; `None`: all times are on the gateway instances' own clocks.
    #[serde(default)]
    pub clock: Option<String>,
    /// Lines that could not be written, by gateway instance.
    #[serde(default)]
    pub lost: BTreeMap<String, Vec<Lost>>,
    /// Versions that have different digests at two gateway instances: the version and both names.
    pub forks: Vec<(u64, String, String)>,
}

/// A query over an [`Audit`]; each field that is set narrows the answer.
#[derive(Debug, Clone, Default)]
pub struct Query {
    /// The gateway instance's name.
    pub door: Option<String>,
    /// The version that was acted on.
    pub version: Option<u64>,
    /// A request's identifier.
    pub request: Option<String>,
    /// A period in Unix milliseconds, both ends inclusive: on the clock of the instance [`Audit::clock`] where the
    /// gateway instance's times are known on it, and on the gateway instance's own wall clock otherwise.
    pub between: Option<(u64, u64)>,
}

impl Audit {
    /// Adds the lines of a gateway instance's record and the fault that ended it, if any. `door` is the name under
    /// which the record was requested.
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

    /// Records that a record could not be read or is incomplete, and why. `door` is the name of a gateway instance or
    /// a plain instance.
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

    /// The part of the audit that matches `query`.
    pub fn answer(&self, query: &Query) -> Audit {
        let mut answer = self.clone();
        answer.spans.retain(|span| query.matches_span(span));
        answer.sent.retain(|sent| query.matches_sent(sent));
        if query.request.is_some() {
            let sent = &answer.sent;
            let chosen_in =
                |span: &Span| sent.iter().any(|sent| sent.door == span.door && sent.version == span.version);
            answer.spans.retain(chosen_in);
        }
        answer.unknown.retain(|name, _| query.matches_door(name));
        answer.lost.retain(|name, _| query.matches_door(name));
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
            let start = WallBounds::of(span.began, span.wall_ms);
            let duration = span.steady_ms.1.map(|end| end - span.steady_ms.0);
            // A span without a known end may last until now.
            start.earliest_ms <= to && duration.is_none_or(|duration| start.latest_ms + duration >= from)
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

/// Bounds of a time, in Unix milliseconds.
struct WallBounds {
    earliest_ms: u64,
    latest_ms: u64,
}

impl WallBounds {
    /// The bounds of `moment` if it is known, and otherwise the exact time on the gateway instance's own wall clock.
    fn of(moment: Option<Moment>, wall_ms: u64) -> WallBounds {
        let unsigned = |ms: i64| ms.try_into().unwrap_or(0);
        moment.map_or(WallBounds { earliest_ms: wall_ms, latest_ms: wall_ms }, |moment| WallBounds {
            earliest_ms: unsigned(moment.from_ms),
            latest_ms: unsigned(moment.to_ms),
        })
    }
}
