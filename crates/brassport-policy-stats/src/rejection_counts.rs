//! Counts of rejections that are not due to a quota, and the log lines about them.

use crate::Millis;

/// The log line about a server whose consecutive failures changed, if it was ejected by that or is no longer;
/// `threshold` failures eject it.
pub fn ejection_log_line(server: u32, was_ejected: bool, failures: u32, threshold: u32) -> Option<String> {
    let text = match (was_ejected, failures) {
        (true, 0) => "answers again",
        (false, failures) if failures == threshold => "ejected: some failures in a row",
        _ => return None,
    };
    Some(format!("server {server} {text}"))
}

/// Time between two reports: what is reported together.
const REPORT_INTERVAL_MS: Millis = 1000.0;

/// Rejections by cause, since the last report and in total.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RejectionCounts {
    /// Rejections since the last report because servers had no capacity.
    pub no_capacity: u32,
    /// Rejections since the last report because no server was available.
    pub no_server: u32,
    reported_at: Millis,
    was_overloaded: bool,
    past_no_capacity: u64,
    past_no_server: u64,
}

impl RejectionCounts {
    /// Counts from `now` on.
    pub fn new(now: Millis) -> RejectionCounts {
        RejectionCounts { reported_at: now, ..RejectionCounts::default() }
    }

    /// Rejections for lack of capacity since the start.
    pub fn total_no_capacity(&self) -> u64 {
        self.past_no_capacity + u64::from(self.no_capacity)
    }

    /// Rejections for lack of a server since the start.
    pub fn total_no_server(&self) -> u64 {
        self.past_no_server + u64::from(self.no_server)
    }

    /// Once a second returns the log lines that are due; `capacity` is the fraction of what the quotas admit that
    /// servers have capacity for.
    pub fn take_log_lines(&mut self, now: Millis, capacity: f64) -> Vec<String> {
        let mut lines = Vec::new();
        if now < self.reported_at + REPORT_INTERVAL_MS {
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
            reported_at: now,
            was_overloaded: is_overloaded,
            past_no_capacity: self.total_no_capacity(),
            past_no_server: self.total_no_server(),
            ..RejectionCounts::default()
        };
        lines
    }
}
