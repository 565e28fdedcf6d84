//! Derives spans from the lines of one gateway instance's record.

use super::Span;
use crate::record::{At, Event, Line};

/// Builds the spans of one gateway instance, line by line.
pub(super) struct SpanBuilder<'a> {
    door: &'a str,
    /// The current span. While the gateway instance has stopped, the span is empty: its first and last admission
    /// numbers are equal.
    open: Option<Span>,
    ended: Vec<Span>,
}

impl<'a> SpanBuilder<'a> {
    pub(super) fn new(door: &'a str) -> SpanBuilder<'a> {
        SpanBuilder { door, open: None, ended: Vec::new() }
    }

    /// Processes the next line of the record.
    pub(super) fn step(&mut self, line: &Line) {
        match &line.what {
            Event::Began { .. } => self.end(line.at, None, "the process ended without recording it"),
            Event::Acts { version, digest, from_admission } => {
                self.end(line.at, Some(*from_admission), "a newer version");
                self.begin(line.at, *version, digest, *from_admission);
            }
            Event::Stopped { why, from_admission } => {
                // The gateway instance keeps its version, but does not act until it resumes.
                let stopped = self.open.clone();
                self.end(line.at, Some(*from_admission), why);
                let admissions = (*from_admission, Some(*from_admission));
                self.open = stopped.map(|span| Span { admissions, ..span });
            }
            Event::WentOn { from_admission } => {
                if let Some(span) = &mut self.open {
                    span.admissions = (*from_admission, None);
                    (span.steady_ms, span.wall_ms) = ((line.at.steady_ms, None), line.at.wall_ms);
                }
            }
            Event::Unsafe { .. } | Event::Lost { .. } | Event::Clock(_) | Event::Unknown => {}
        }
    }

    /// The spans from all lines. The current span is omitted if it is empty because the gateway instance has stopped.
    pub(super) fn finish(self) -> impl Iterator<Item = Span> {
        let open = self.open.filter(|span| span.admissions.1.is_none());
        self.ended.into_iter().chain(open)
    }

    fn begin(&mut self, at: At, version: u64, digest: &str, from_admission: u64) {
        self.open = Some(Span {
            door: self.door.into(),
            process: at.process,
            version,
            digest: digest.into(),
            admissions: (from_admission, None),
            steady_ms: (at.steady_ms, None),
            wall_ms: at.wall_ms,
            began: None,
            ended: None,
        });
    }

    fn end(&mut self, at: At, admission: Option<u64>, why: &str) {
        if let Some(mut span) = self.open.take() {
            // A process that ended without recording it has no known end: its successor's line is on another monotonic clock.
            let is_same = span.process == at.process;
            span.admissions.1 = admission.filter(|_| is_same);
            span.steady_ms.1 = is_same.then_some(at.steady_ms);
            span.ended = Some(why.into());
            self.ended.push(span);
        }
    }
}
