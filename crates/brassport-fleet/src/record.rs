//! The record of what a door acted on: lines of JSON, each with the digest of the line before it.
//!
//! A line that was altered, removed or truncated is detected. A record that was replaced by an older copy of itself is
//! detected where the newer one was shipped to another instance; without that it cannot be distinguished from a door that
//! wrote no more.

use crate::clocks::Mark;
use crate::mutants::mutant;
use crate::shared::hexadecimal;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The time of an event, on the clocks of the process that recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct At {
    /// The process: a random number drawn at its start.
    pub process: u64,
    /// Milliseconds on a monotonic clock with an arbitrary origin, which runs on while the process is suspended.
    pub steady_ms: u64,
    /// Unix time in milliseconds; it may jump.
    pub wall_ms: u64,
}

/// An event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// A process of this door started.
    Began {
        /// The door's name.
        door: String,
        /// The version of its program.
        program: String,
    },
    /// The door acts on a version of the shared state.
    Acts {
        /// The version.
        version: u64,
        /// Its digest, in hexadecimal.
        digest: String,
        /// The number of the first admission under it.
        from_admission: u64,
    },
    /// The door stopped acting.
    Stopped {
        /// The reason.
        why: String,
        /// The number of the next admission.
        from_admission: u64,
    },
    /// The door acts again, on the version that it had when it stopped.
    WentOn {
        /// The number of the next admission.
        from_admission: u64,
    },
    /// The door is about to send a request that is not idempotent.
    Unsafe {
        /// The request's identifier.
        request: String,
        /// The node that it is sent to.
        node: String,
        /// The version under which the node was chosen.
        version: u64,
    },
    /// A reading of an instance's clock, to which the door's times are related.
    Clock(Mark),
    /// Lines directly before this one could not be written, as when the disk was full.
    Lost {
        /// How many.
        lines: u64,
    },
    /// An event of a newer program.
    #[serde(other)]
    Unknown,
}

/// A line of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Its number, which counts from 0.
    pub number: u64,
    /// Digest of the line before it, in hexadecimal; empty at the first.
    pub before: String,
    /// When it was.
    #[serde(flatten)]
    pub at: At,
    /// What it records.
    #[serde(flatten)]
    pub what: Event,
}

/// The end of a record, from which it is continued.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    next: u64,
    digest: String,
}

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// The last line is truncated, as by a crash while it was written.
    #[serde(rename = "Cut")]
    Truncated {
        /// Its number in the text, from 1.
        line: usize,
    },
    /// A line, not the last, is not a line of a record.
    #[serde(rename = "Garbled")]
    Malformed {
        /// Its number in the text, from 1.
        line: usize,
    },
    /// A line does not follow the one before it: one was altered, removed or inserted.
    #[serde(rename = "Broken")]
    Unlinked {
        /// Its number in the text, from 1.
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
    /// Appends an event: the text of its line, with the line break.
    ///
    /// # Panics
    /// Never: a line is plain data, which always has a form in JSON.
    pub fn add(&mut self, at: At, what: Event) -> String {
        let line = Line { number: self.next, before: std::mem::take(&mut self.digest), at, what };
        let text = serde_json::to_string(&line).expect("plain data has a form in JSON");
        (self.next, self.digest) = (self.next + 1, digest(&text));
        text + "\n"
    }
}

fn digest(text: &str) -> String {
    hexadecimal(&Sha256::digest(text.as_bytes()))
}

/// Reads a record: the valid lines up to the first fault, the fault, the length of the valid part in bytes, and the chain
/// that continues it. A record may begin at any line, because old parts are dropped.
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

/// Reads the line of this number and the chain behind it. The first one need not follow `chain`.
fn read_line(with_break: &str, chain: &Chain, number: usize, is_last: bool) -> Result<(Line, Chain), Fault> {
    let text = with_break.strip_suffix('\n').ok_or(Fault::Truncated { line: number })?;
    // A crash may leave a line break behind a line whose other bytes were not written.
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

/// A part of a record, written by one process.
struct Part {
    process: u64,
    bytes: std::ops::Range<usize>,
}

/// The parts of a record by the process that wrote them, in their order; a truncated last line is left out.
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
