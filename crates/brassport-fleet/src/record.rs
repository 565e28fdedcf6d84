//! What a door writes down of what it acted on: lines of JSON, each with the digest of the one before it.
//!
//! A line that was changed, taken out or cut shows. A whole record that was put back by an older copy shows where the
//! newer one was shipped to another instance; without that it can't be told from a door that wrote no more.

use crate::clocks::Mark;
use crate::mutants::mutant;
use crate::shared::hexadecimal;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// When something was, on the clocks of the process that wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct At {
    /// The process, a number drawn at its start.
    pub process: u64,
    /// Milliseconds on the clock that never stops, with any beginning.
    pub steady_ms: u64,
    /// Unix time in milliseconds; it may jump.
    pub wall_ms: u64,
}

/// What was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum What {
    /// A process of this door began.
    Began { door: String, program: String },
    /// The door acts on this version, from the admission of this number on.
    Acts { version: u64, digest: String, from_admission: u64 },
    /// It stopped, with the number of the next admission, and why.
    Stopped { why: String, from_admission: u64 },
    /// It goes on.
    WentOn { from_admission: u64 },
    /// It is about to send a request that must not run twice to this node, chosen under this version.
    Unsafe { request: String, node: String, version: u64 },
    /// An instance's clock, to tell the door's moments by.
    Clock(Mark),
    /// So many lines before this one could not be written.
    Lost { lines: u64 },
    /// A form that this program does not know, of a newer one.
    #[serde(other)]
    Unknown,
}

/// A line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    pub number: u64,
    /// Digest of the line before; empty at the first.
    pub before: String,
    #[serde(flatten)]
    pub at: At,
    #[serde(flatten)]
    pub what: What,
}

/// The end of a record, to go on from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain {
    next: u64,
    digest: String,
}

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// The last line is cut, as by a crash while it was written.
    Cut { line: usize },
    /// A line, not the last, is no line of a record.
    Garbled { line: usize },
    /// A line does not follow the one before it: one was changed, taken out or put in.
    Broken { line: usize },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Cut { line } => write!(f, "line {line} is cut short, as by a crash"),
            Fault::Garbled { line } => write!(f, "line {line} is no line of a record"),
            Fault::Broken { line } => {
                write!(
                    f,
                    "line {line} does not follow the one before it: one was changed, taken out or put in"
                )
            }
        }
    }
}

impl Chain {
    /// The next line's text, with its line break.
    pub fn add(&mut self, at: At, what: What) -> String {
        let line = Line { number: self.next, before: std::mem::take(&mut self.digest), at, what };
        let text = serde_json::to_string(&line).expect("plain data has a form in JSON");
        (self.next, self.digest) = (self.next + 1, digest(&text));
        text + "\n"
    }
}

fn digest(text: &str) -> String {
    hexadecimal(&Sha256::digest(text.as_bytes()))
}

/// Reads a record: the sound lines up to the first fault, the fault, the length in bytes of what is sound, and the chain
/// to go on from. A record may begin anywhere, as old parts are dropped.
pub fn read(text: &str) -> (Vec<Line>, Option<Fault>, usize, Chain) {
    let (mut lines, mut sound, mut chain) = (Vec::<Line>::new(), 0, Chain::default());
    for (place, whole) in text.split_inclusive('\n').enumerate() {
        let line = place + 1;
        let is_last = sound + whole.len() == text.len();
        let Some(text) = whole.strip_suffix('\n') else {
            return (lines, Some(Fault::Cut { line }), sound, chain);
        };
        let Ok(read) = serde_json::from_str::<Line>(text) else {
            let fault = if is_last { Fault::Cut { line } } else { Fault::Garbled { line } };
            return (lines, Some(fault), sound, chain);
        };
        let follows = read.number == chain.next && read.before == chain.digest;
        if place > 0 && !follows && !mutant!(LinkUnchecked) {
            return (lines, Some(Fault::Broken { line }), sound, chain);
        }
        chain = Chain { next: read.number + 1, digest: digest(text) };
        sound += whole.len();
        lines.push(read);
    }
    (lines, None, sound, chain)
}

/// The parts of a record that each process wrote, in their order; a last line that is cut is left out.
pub fn by_process(text: &str) -> Vec<(u64, &str)> {
    let mut parts: Vec<(u64, usize, usize)> = Vec::new();
    let mut place = 0;
    for whole in text.split_inclusive('\n').filter(|whole| whole.ends_with('\n')) {
        let Ok(line) = serde_json::from_str::<Line>(whole) else { break };
        let end = place + whole.len();
        match parts.last_mut().filter(|(process, ..)| *process == line.at.process) {
            Some((_, _, to)) => *to = end,
            None => parts.push((line.at.process, place, end)),
        }
        place = end;
    }
    parts.into_iter().map(|(process, from, to)| (process, &text[from..to])).collect()
}
