//! The log, on standard error once [`start_stderr_writer`] was called, else nowhere.
//!
//! Guards against a reader that is slow or has closed its end: a thread of its own writes, and lines that it can't
//! write in time, or that come too fast, are dropped.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait for the writer; more are dropped.
const MAX_PENDING_LINES: usize = 32;
/// Lines that are written within a second; more are dropped, so that a fault that repeats does not fill a disk.
const MAX_LINES_PER_S: u32 = 20;

static WRITER: OnceLock<Option<SyncSender<String>>> = OnceLock::new();

/// Starts the writer. A host that wants no thread beside its own leaves this out.
pub fn start_stderr_writer() {
    WRITER.get_or_init(start);
}

/// Writes one line, if there is room for it.
pub fn write_line(text: String) {
    if let Some(Some(writer)) = WRITER.get() {
        let _ = writer.try_send(text);
    }
}

fn start() -> Option<SyncSender<String>> {
    let (sender, lines) = sync_channel::<String>(MAX_PENDING_LINES);
    let write = move || {
        let (mut since, mut written) = (Instant::now(), 0);
        for line in lines {
            if since.elapsed() >= Duration::from_secs(1) {
                (since, written) = (Instant::now(), 0);
            }
            written += 1;
            if written <= MAX_LINES_PER_S {
                let _ = writeln!(io::stderr(), "brassport: {line}");
            }
        }
    };
    thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(write).ok()?;
    Some(sender)
}
