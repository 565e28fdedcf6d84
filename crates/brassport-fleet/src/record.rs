//! A gateway instance's record of the versions that it acted on: lines of JSON, each with the digest of the line before
//! it.
//!
//! Reading detects lines that were altered, removed or truncated. A record that was replaced by an older copy of itself
//! is detected only if newer lines had been shipped to another instance; otherwise it looks like the record of a
//! gateway instance that stopped writing.

use crate::clocks::Mark;
use crate::mutants::mutant;
use crate::shared::hexadecimal;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The time of an event, on the clocks of the process that recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct At {
    /// The process's identifier: a random number drawn at its start.
    pub process: u64,
    /// Milliseconds on a monotonic clock with an arbitrary origin, which advances while the process is suspended.
    pub steady_ms: u64,
    /// Unix time in milliseconds; it may jump.
    pub wall_ms: u64,
}

/// A recorded event. It is serialized with its kind in the field `what`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A process of this gateway instance started.
    Began {
        /// The gateway instance's name.
        door: String,
        /// The version of the program that it runs.
        program: String,
    },
    /// The gateway instance acts on a version of the shared state.
    Acts {
        /// The version of the shared state.
        version: u64,
        /// That version's digest, in hexadecimal.
        digest: String,
        /// The number of the first request admitted under that version.
        from_admission: u64,
    },
    /// The gateway instance stopped acting.
    Stopped {
        /// Why the gateway instance may not act.
        why: String,
        /// The number of the next admission.
        from_admission: u64,
    },
    /// The gateway instance resumed acting, on the version that it had when it stopped.
    WentOn {
        /// The number of the next admission.
        from_admission: u64,
    },
    /// The gateway instance is about to send a request that is not idempotent.
    Unsafe {
        /// The request's identifier.
        request: String,
        /// The node that the request is sent to.
        node: String,
        /// The version under which the node was chosen.
        version: u64,
    },
    /// A reading of an instance's clock, by which the gateway instance's times are converted to that clock.
    Clock(Mark),
    /// Lines directly before this one could not be written, for example because the disk was full.
    Lost {
        /// The number of lines that were lost.
        lines: u64,
    },
    /// An event of a kind that a newer program introduced.
    #[serde(other)]
    Unknown,
}

/// A line of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The number of the line, from 0.
    pub number: u64,
    /// The digest of the line before, in hexadecimal; empty in line 0.
    pub before: String,
    /// The time of the event.
    #[serde(flatten)]
    pub at: At,
    /// The event.
    #[serde(flatten)]
    pub what: Event,
}

/// The end of a record: the number of the next line and the digest of the last one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    next: u64,
    digest: String,
}

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// The last line is truncated, for example by a crash during the write.
    #[serde(rename = "Cut")]
    Truncated {
        /// The line's position in the text, from 1.
        line: usize,
    },
    /// A line other than the last one could not be parsed.
    #[serde(rename = "Garbled")]
    Malformed {
        /// The line's position in the text, from 1.
        line: usize,
    },
    /// The number or digest of a line does not match the line before: a line was altered, removed or inserted.
    #[serde(rename = "Broken")]
    Unlinked {
        /// The line's position in the text, from 1.
        line: usize,
    },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Truncated { line } => write!(f, "line {line} is cut short, as by a crash"),
            Fault::Malformed { line } => write!(f, "line {line} is no line of a record"),
            Fault::Unlinked { line } => {
                write!(
                    f,
                    "line {line} does not follow the one before it: one was changed, taken out or put in"
                )
            }
        }
    }
}

impl std::error::Error for Fault {}

impl Chain {
    /// Appends an event and returns the text of its line, including the line break.
    ///
    /// # Panics
    /// Never: a line is plain data, which can always be serialized as JSON.
    pub fn add(&mut self, at: At, event: Event) -> String {
        let line = Line { number: self.next, before: std::mem::take(&mut self.digest), at, what: event };
        let text = serde_json::to_string(&line).expect("plain data serializes as JSON");
        (self.next, self.digest) = (self.next + 1, digest(&text));
        text + "\n"
    }
}

fn digest(text: &str) -> String {
    hexadecimal(&Sha256::digest(text.as_bytes()))
}

/// Reads a record. Returns the valid lines up to the first fault, that fault, the length of the valid part in bytes, and the
/// chain that continues it. A record may begin at any line number, because old parts are deleted.
pub fn read(text: &str) -> (Vec<Line>, Option<Fault>, usize, Chain) {
    let (mut lines, mut valid_bytes, mut chain) = (Vec::<Line>::new(), 0, Chain::default());
    for (index, with_break) in text.split_inclusive('\n').enumerate() {
        let number = index + 1;
        let is_last = valid_bytes + with_break.len() == text.len();
        match read_line(with_break, &chain, number, is_last) {
            Ok((line, next)) => {
                lines.push(line);
                chain = next;
            }
            Err(fault) => return (lines, Some(fault), valid_bytes, chain),
        }
        valid_bytes += with_break.len();
    }
    (lines, None, valid_bytes, chain)
}

/// Parses the line at position `number`, from 1. Returns it with the chain that continues after it. The line at position 1 need
/// not follow `chain`.
fn read_line(with_break: &str, chain: &Chain, number: usize, is_last: bool) -> Result<(Line, Chain), Fault> {
    let text = with_break.strip_suffix('\n').ok_or(Fault::Truncated { line: number })?;
    // A crash may leave a final line break on disk without the bytes of the line before it.
    let line: Line = serde_json::from_str(text).map_err(|_| match is_last {
        true => Fault::Truncated { line: number },
        false => Fault::Malformed { line: number },
    })?;
    let follows = line.number == chain.next && line.before == chain.digest;
    if number > 1 && !follows && !mutant!(LinkUnchecked) {
        return Err(Fault::Unlinked { line: number });
    }
    let next = Chain { next: line.number + 1, digest: digest(text) };
    Ok((line, next))
}

/// Consecutive lines of a record that one process wrote.
struct Part {
    process: u64,
    bytes: std::ops::Range<usize>,
}

/// Splits a record into the parts that each process wrote, in order, with the process's identifier. Stops before the first line
/// that cannot be parsed, and omits a truncated last line.
pub fn by_process(text: &str) -> Vec<(u64, &str)> {
    let mut parts: Vec<Part> = Vec::new();
    let mut offset = 0;
    for with_break in text.split_inclusive('\n').filter(|line| line.ends_with('\n')) {
        let Ok(line) = serde_json::from_str::<Line>(with_break) else { break };
        let (process, end) = (line.at.process, offset + with_break.len());
        match parts.last_mut().filter(|part| part.process == process) {
            Some(part) => part.bytes.end = end,
            None => parts.push(Part { process, bytes: offset..end }),
        }
        offset = end;
    }
    parts.into_iter().map(|part| (part.process, &text[part.bytes])).collect()
}
