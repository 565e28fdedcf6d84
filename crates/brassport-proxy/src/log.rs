//! Log lines on standard error. Lines are discarded until [`start_stderr_writer`] has been called.
//!
//! A dedicated thread writes the lines, so that a slow or closed reader of standard error never blocks the proxy. Lines
//! that exceed the queue or the rate limit are dropped.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of lines queued for the writer thread; further lines are dropped.
const MAX_PENDING_LINES: usize = 32;
/// Maximum number of lines written per second. Further lines are dropped, so that a recurring error does not fill the
/// disk.
const MAX_LINES_PER_S: u32 = 20;

static WRITER: OnceLock<Option<SyncSender<String>>> = OnceLock::new();

/// Starts the writer thread. A host that must not run additional threads does not call this.
pub fn start_stderr_writer() {
    WRITER.get_or_init(start);
}

/// Queues one line for the writer thread. The line is dropped if the queue is full.
pub fn write_line(text: String) {
    if let Some(Some(writer)) = WRITER.get() {
        let _ = writer.try_send(text);
    }
}

fn start() -> Option<SyncSender<String>> {
    let (sender, lines) = sync_channel::<String>(MAX_PENDING_LINES);
    let write = move || {
        let (mut second_start, mut written) = (Instant::now(), 0);
        for line in lines {
            if second_start.elapsed() >= Duration::from_secs(1) {
                (second_start, written) = (Instant::now(), 0);
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
