//! The record of a run: a digest over every wire event, and the events as text where they are wanted.
//!
//! A trace file is lines `CHECK TIME TEXT`: CHECK is the running digest in hexadecimal, so that an edited line is
//! found where it stands, and the last line, `end`, shows that nothing is missing.

use crate::kernel::{End, Nanos, Passed};

/// FNV-1a, 64 bits: small, the same everywhere, and quick on short input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    /// Takes bytes in.
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// The value.
    pub fn value(self) -> u64 {
        self.0
    }
}

/// The record of one run.
#[derive(Debug, Default)]
pub struct Trace {
    digest: Digest,
    lines: Option<Lines>,
}

#[derive(Debug, Default)]
struct Lines {
    check: Digest,
    text: String,
}

impl Trace {
    /// A record that keeps its lines.
    pub fn with_lines() -> Trace {
        Trace { digest: Digest::default(), lines: Some(Lines::default()) }
    }

    /// Notes what passed on the wire.
    pub fn wire(&mut self, now: Nanos, passed: &Passed) {
        let (kind, end, bytes): (u8, _, &[u8]) = match passed {
            Passed::Taken(end) => (0, end, &[]),
            Passed::Wrote(end, bytes) => (1, end, bytes),
            Passed::Came(end, bytes) => (2, end, bytes),
            Passed::Ended(end) => (3, end, &[]),
            Passed::Broke(end) => (4, end, &[]),
            Passed::Closed(end) => (5, end, &[]),
            Passed::Finished(end) => (6, end, &[]),
        };
        self.digest.add(&now.to_le_bytes());
        self.digest.add(&[kind, end.side as u8]);
        self.digest.add(&(end.conn.0 as u64).to_le_bytes());
        self.digest.add(bytes);
        if self.lines.is_some() {
            let mut shown = describe(*end, passed);
            if !bytes.is_empty() {
                shown.push(' ');
                shown.push_str(&String::from_utf8_lossy(bytes).escape_debug().to_string());
            }
            self.note(now, &shown);
        }
    }

    /// Notes something that is not of the wire.
    pub fn note(&mut self, now: Nanos, text: &str) {
        if let Some(lines) = &mut self.lines {
            let line = format!("{}.{:06} {text}", now / 1_000_000, now % 1_000_000);
            lines.check.add(line.as_bytes());
            lines.text.push_str(&format!("{:016x} {line}\n", lines.check.value()));
        }
    }

    /// The digest over every wire event so far.
    pub fn digest(&self) -> u64 {
        self.digest.value()
    }

    /// The whole file of a run of this seed.
    pub fn file(&self, seed: u64) -> String {
        let text = self.lines.as_ref().map_or("", |lines| lines.text.as_str());
        format!("{HEADER}{seed}\n{text}end {:016x}\n", self.digest())
    }
}

const HEADER: &str = "brassport-sim trace 1 seed ";

/// Reads a trace file: the seed it is of and its digest.
///
/// # Errors
/// The line and the cause, if it was edited or cut short.
pub fn read(text: &str) -> Result<(u64, u64), String> {
    let mut lines = text.lines().enumerate();
    let seed = lines.next().and_then(|(_, first)| first.strip_prefix(HEADER)?.parse().ok());
    let seed = seed.ok_or("line 1: this is no trace of this version")?;
    let mut check = Digest::default();
    for (number, line) in lines {
        let number = number + 1;
        if let Some(digest) = line.strip_prefix("end ") {
            let digest = u64::from_str_radix(digest, 16).map_err(|_| format!("line {number}: no digest"))?;
            return match text.lines().count() == number {
                true => Ok((seed, digest)),
                false => Err(format!("line {}: something stands behind the end", number + 1)),
            };
        }
        let (told, rest) = line.split_once(' ').ok_or(format!("line {number}: no check in front"))?;
        check.add(rest.as_bytes());
        if u64::from_str_radix(told, 16) != Ok(check.value()) {
            return Err(format!("line {number}: edited, or a line before it is missing"));
        }
    }
    Err(format!("line {}: cut short, the end is missing", text.lines().count() + 1))
}

/// What passed, as a trace tells it.
fn describe(kernel_end: End, passed: &Passed) -> String {
    let End { conn, side } = kernel_end;
    let (word, bytes) = match passed {
        Passed::Taken(_) => ("taken", 0),
        Passed::Wrote(_, bytes) => ("wrote", bytes.len()),
        Passed::Came(_, bytes) => ("came", bytes.len()),
        Passed::Ended(_) => ("ended", 0),
        Passed::Broke(_) => ("broke", 0),
        Passed::Closed(_) => ("closed", 0),
        Passed::Finished(_) => ("finished", 0),
    };
    format!("c{}.{side} {word} {bytes}", conn.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn file() -> String {
        let mut trace = Trace::with_lines();
        trace.note(1, "one");
        trace.note(2_000_000, "two");
        trace.note(3_000_000, "three");
        trace.file(7)
    }

    #[test]
    fn a_whole_trace_is_read() {
        assert_eq!(read(&file()), Ok((7, Digest::default().value())));
    }

    #[test]
    fn an_edited_or_shortened_trace_is_refused_by_line_and_cause() {
        let edited = file().replace("two", "tow");
        assert_eq!(read(&edited), Err("line 3: edited, or a line before it is missing".into()));
        let without: String =
            file().lines().filter(|line| !line.contains("two")).map(|l| format!("{l}\n")).collect();
        assert_eq!(read(&without), Err("line 3: edited, or a line before it is missing".into()));
        let cut: String = file().lines().take(3).map(|line| format!("{line}\n")).collect();
        assert_eq!(read(&cut), Err("line 4: cut short, the end is missing".into()));
        assert_eq!(read("hello"), Err("line 1: this is no trace of this version".into()));
    }
}
