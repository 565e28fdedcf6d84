//! Counts of rejections for other reasons than a quota, and the log lines that report them.
//!
//! The log lines are sent as text over the wire protocol of `brassport-policy`, whose golden fixtures contain
//! them.

use crate::Millis;

/// Returns the log line for a server that was ejected by a failure, or has responded after its ejection;
/// `None` if neither happened. `failures` is the number of consecutive failures, of which `threshold` eject a
/// server.
pub fn ejection_log_line(server: u32, was_ejected: bool, failures: u32, threshold: u32) -> Option<String> {
    let text = match (was_ejected, failures) {
        (true, 0) => "answers again",
        (false, failures) if failures == threshold => "ejected: some failures in a row",
        _ => return None,
    };
    Some(format!("server {server} {text}"))
}

/// Interval in which rejections are counted and then logged together.
const LOG_INTERVAL_MS: Millis = 1000.0;

/// Rejections by cause, in the current log interval and in total.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RejectionCounts {
    /// Rejections in the current log interval because the servers had no capacity.
    pub no_capacity: u32,
    /// Rejections in the current log interval because no server was available.
    pub no_server: u32,
    interval_start: Millis,
    /// Whether requests were rejected for lack of capacity in the previous log interval.
    was_overloaded: bool,
    /// Rejections for lack of capacity in all log intervals before the current one.
    previous_no_capacity: u64,
    /// Rejections for lack of a server in all log intervals before the current one.
    previous_no_server: u64,
}

impl RejectionCounts {
    /// Creates counts of 0, with a log interval that starts at `now`.
    pub fn new(now: Millis) -> RejectionCounts {
        RejectionCounts { interval_start: now, ..RejectionCounts::default() }
    }

    /// Returns the number of rejections for lack of capacity since the start.
    pub fn total_no_capacity(&self) -> u64 {
        self.previous_no_capacity + u64::from(self.no_capacity)
    }

    /// Returns the number of rejections for lack of a server since the start.
    pub fn total_no_server(&self) -> u64 {
        self.previous_no_server + u64::from(self.no_server)
    }

    /// If the log interval of a second has ended, returns its log lines and starts the next one. `capacity`
    /// is the capacity of the servers as a fraction of the load that the quotas admit.
    pub fn take_log_lines(&mut self, now: Millis, capacity: f64) -> Vec<String> {
        let mut lines = Vec::new();
        if now < self.interval_start + LOG_INTERVAL_MS {
            return lines;
        }
        let is_overloaded = self.no_capacity > 0;
        if is_overloaded != self.was_overloaded {
            let text = if is_overloaded { "pressed" } else { "pressed no more" };
            lines.push(format!("{text}: room for {capacity:.2} of what the quotas admit"));
        }
        if self.no_server > 0 {
            lines.push(format!("no server to send to: {} refused", self.no_server));
        }
        *self = RejectionCounts {
            interval_start: now,
            was_overloaded: is_overloaded,
            previous_no_capacity: self.total_no_capacity(),
            previous_no_server: self.total_no_server(),
            ..RejectionCounts::default()
        };
        lines
    }
}
