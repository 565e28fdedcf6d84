//! The record of a case: one line for each event, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A file of timed lines. Lines of the outcome go to standard output as well.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn event(&self, text: String) {
        let line = format!("{:9.3} {text}\n", self.now());
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line, and prints it.
    pub fn line(&self, text: String) {
        println!("{:9.3} {text}", self.now());
        self.event(text);
    }
}
