//! What was seen, in the order in which it was, written by many threads.

use brassport_checkers::fleet::{Event, What};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A history that many threads write.
#[derive(Debug, Clone)]
pub struct History {
    since: Instant,
    /// The same moment on this machine's wall clock.
    wall: SystemTime,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for History {
    fn default() -> History {
        History { since: Instant::now(), wall: SystemTime::now(), events: Arc::default() }
    }
}

impl History {
    pub fn add(&self, what: What) {
        let mut events = self.events.lock().expect("no writer panics");
        // Read with the lock held: the order of the list is the order of the moments.
        events.push(Event { at: self.since.elapsed(), what });
    }

    /// When it began, Unix milliseconds.
    pub fn began_wall_ms(&self) -> i64 {
        let since = self.wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        i64::try_from(since.as_millis()).unwrap_or(0)
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().expect("no writer panics").clone()
    }

    /// How many things of a kind were seen so far.
    pub fn count(&self, is: impl Fn(&What) -> bool) -> usize {
        self.events.lock().expect("no writer panics").iter().filter(|event| is(&event.what)).count()
    }
}
