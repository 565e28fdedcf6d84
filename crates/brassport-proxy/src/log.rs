//! The log, on standard error once [`to_standard_error`] was called, else nowhere. Guards against a reader that is slow or gone: a thread of its own writes, and
//! what it can't take in time, or what comes too fast, is left out.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

/// Lines that may wait for the writer, and lines that it writes within a second.
const WAITING: usize = 32;
const MOST: u32 = 20;

static WRITER: OnceLock<Option<SyncSender<String>>> = OnceLock::new();

/// Starts the writer. A host that wants no thread beside its own leaves this out.
pub fn to_standard_error() {
    WRITER.get_or_init(start);
}

/// Writes one line, if there is room for it.
pub fn line(text: String) {
    if let Some(Some(writer)) = WRITER.get() {
        let _ = writer.try_send(text);
    }
}

fn start() -> Option<SyncSender<String>> {
    let (sender, lines) = sync_channel::<String>(WAITING);
    let write = move || {
        let (mut since, mut written) = (Instant::now(), 0);
        for line in lines {
            if since.elapsed() >= Duration::from_secs(1) {
                (since, written) = (Instant::now(), 0);
            }
            written += 1;
            if written <= MOST {
                let _ = writeln!(io::stderr(), "brassport: {line}");
            }
        }
    };
    thread::Builder::new().name("log".into()).stack_size(64 * 1024).spawn(write).ok()?;
    Some(sender)
}
