//! The file in which a door writes down what it acted on.

use crate::call::wall_ms;
use brassport::log;
use brassport_fleet::record::{by_process, At, Chain, Event};
use brassport_fleet::Millis;
use rustix::time::{clock_gettime, ClockId};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Bytes of a record from which on a new file is begun; the one before it is kept.
const RECORD: u64 = 64 * 1024 * 1024;
/// The record's file, and the one before it.
pub const RECORD_FILE: &str = "record.jsonl";
pub const EARLIER_FILE: &str = "record.1.jsonl";

/// Milliseconds on the clock that goes on while the process stands still and the machine sleeps.
pub fn steady_ms() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    u64::try_from(now.tv_sec).unwrap_or(0) * 1000 + u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000
}

/// The record's file.
pub struct Record {
    folder: PathBuf,
    process: u64,
    file: File,
    length: u64,
    /// Where this process's first line lies, from the beginning of the file: before it once a new one was begun.
    start: i64,
    /// Length from which on a new file is begun.
    turns_at: u64,
    chain: Chain,
    /// Lines that could not be written since the last one that was.
    lost: u64,
    /// The last of these that says which version the door acts on: it is said late rather than never.
    acts: Option<Event>,
}

impl Record {
    /// Goes on with the record behind the last whole line. A cut one was never told to anybody.
    /// # Errors
    /// The file cannot be read or written.
    pub fn open(folder: &Path, process: u64) -> io::Result<Record> {
        let path = folder.join(RECORD_FILE);
        let file = OpenOptions::new().create(true).append(true).read(true).mode(0o600).open(&path)?;
        let text = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
        let (_, fault, sound, chain) = brassport_fleet::record::read(&text);
        if let Some(fault) = fault {
            // Kept for whoever looks for the cause.
            std::fs::write(folder.join("record.damaged.jsonl"), &text)?;
            log::write_line(format!("fleet: {}: {fault}; goes on behind line before it", path.display()));
            file.set_len(sound as u64)?;
        }
        let length = sound as u64;
        let (folder, start) = (folder.into(), length as i64);
        let (turns_at, lost, acts) = (RECORD, 0, None);
        Ok(Record { folder, process, file, length, start, turns_at, chain, lost, acts })
    }

    /// Writes a line. One for which the disk has no room is lost and counted; the next one that it takes says so first.
    pub fn add(&mut self, what: Event) {
        if self.write(Some(&what)).is_err() {
            self.lost += 1;
            self.acts = Some(what).filter(|what| matches!(what, Event::Acts { .. })).or(self.acts.take());
        }
    }

    /// Says what was lost, if there is room again.
    pub fn make_up(&mut self) {
        if self.lost > 0 {
            let _ = self.write(None);
        }
    }

    fn write(&mut self, what: Option<&Event>) -> io::Result<()> {
        let mut chain = self.chain.clone();
        let at = At { process: self.process, steady_ms: steady_ms(), wall_ms: wall_ms() };
        let gap = (self.lost > 0).then_some(Event::Lost { lines: self.lost });
        let all = gap.into_iter().chain(self.acts.clone()).chain(what.cloned());
        let text: String = all.map(|what| chain.add(at, what)).collect();
        match self.turn().and_then(|()| self.file.write_all(text.as_bytes())) {
            Ok(()) => {
                if self.lost > 0 {
                    log::write_line(format!("fleet: the record goes on; {} lines are lost", self.lost));
                }
                (self.length, self.chain) = (self.length + text.len() as u64, chain);
                (self.lost, self.acts) = (0, None);
            }
            Err(error) => {
                if self.lost == 0 {
                    let path = self.folder.join(RECORD_FILE);
                    log::write_line(format!(
                        "fleet: {}: {error}; lines are lost until there is room",
                        path.display()
                    ));
                }
                // Part of it may be there: the next line follows the last whole one.
                let _ = self.file.set_len(self.length);
                return Err(error);
            }
        }
        Ok(())
    }

    fn turn(&mut self) -> io::Result<()> {
        if self.length < self.turns_at {
            return Ok(());
        }
        let path = self.folder.join(RECORD_FILE);
        std::fs::rename(&path, self.folder.join(EARLIER_FILE))?;
        self.file = OpenOptions::new().create(true).append(true).mode(0o600).open(&path)?;
        self.start -= self.length as i64;
        self.length = 0;
        Ok(())
    }

    /// What the last processes before this one wrote in this file.
    pub fn earlier(&self, processes: usize) -> Vec<(u64, String)> {
        let text = std::fs::read_to_string(self.folder.join(RECORD_FILE)).unwrap_or_default();
        let parts = by_process(&text).into_iter().rev().filter(|(process, _)| *process != self.process);
        parts.take(processes).map(|(process, text)| (process, text.to_string())).collect()
    }

    /// Whole lines of this process from this byte of what it wrote on, of so many bytes at most.
    ///
    /// # Errors
    /// They cannot be read, or are in a file that is gone.
    pub fn part(&self, from: u64, most: usize) -> io::Result<String> {
        let at = self.start + from as i64;
        let (name, at) = match u64::try_from(at) {
            Ok(at) => (RECORD_FILE, at),
            Err(_) => {
                let length = std::fs::metadata(self.folder.join(EARLIER_FILE))?.len() as i64;
                let at = u64::try_from(length + at);
                (EARLIER_FILE, at.map_err(|_| io::Error::other("the file before the last is gone"))?)
            }
        };
        let mut file = File::open(self.folder.join(name))?;
        file.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        file.take(most as u64).read_to_end(&mut bytes)?;
        let end = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
        bytes.truncate(end);
        String::from_utf8(bytes).map_err(io::Error::other)
    }
}

/// The whole lines at the beginning of a text, of so many bytes at most.
pub fn whole_lines(text: &str, most: usize) -> &str {
    let bytes = &text.as_bytes()[..text.len().min(most)];
    let end = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
    &text[..end]
}

#[cfg(test)]
mod tests {
    use super::*;
    use brassport_fleet::record;

    fn sent(n: u64) -> Event {
        Event::Unsafe { request: format!("r-{n}"), node: "n".into(), version: 1 }
    }

    #[test]
    fn what_is_shipped_in_parts_is_the_process_s_record_over_a_turn_of_the_file() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut before = Record::open(folder.path(), 1).expect("a record");
        (0..3).for_each(|n| before.add(sent(n)));
        drop(before);
        let mut record = Record::open(folder.path(), 2).expect("a record");
        let earlier = record.earlier(4);
        assert_eq!((earlier.len(), record::read(&earlier[0].1).0.len()), (1, 3));
        record.turns_at = 30_000;
        let mut shipped = String::new();
        for n in 0..200 {
            record.add(sent(n));
            if n % 9 == 0 {
                shipped += &record.part(shipped.len() as u64, 400).expect("it is there");
            }
        }
        loop {
            let part = record.part(shipped.len() as u64, 400).expect("it is there");
            if part.is_empty() {
                break;
            }
            shipped += &part;
        }
        let (lines, fault, ..) = record::read(&shipped);
        assert_eq!((lines.len(), fault), (200, None));
        assert!(folder.path().join(EARLIER_FILE).exists(), "a new file was begun");
    }
}
