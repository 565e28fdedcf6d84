//! Due times of a periodic task: multiples of its period since the Unix epoch, independent of which process holds the lease.

/// The due time to start now, if any: the latest one up to `now_ms`, if it is later than `begun_for`, the last one that
/// was started. Due times between the two count as missed. If none was started before (`begun_for` is 0), none counts as
/// missed.
///
/// `now_ms` and `begun_for` are Unix times in milliseconds; `period_ms` is a duration in milliseconds, where 0 counts as 1.
///
/// ```
/// use brassport_leases::schedule::{due, Due};
/// assert_eq!(due(14_999, 1000, 10_000), Some(Due { at_ms: 14_000, missed: 3 }));
/// ```
pub fn due(now_ms: u64, period_ms: u64, begun_for: u64) -> Option<Due> {
    let period = period_ms.max(1);
    let last = now_ms / period * period;
    (last > begun_for).then(|| {
        let missed = if begun_for == 0 { 0 } else { (last - begun_for) / period - 1 };
        Due { at_ms: last, missed }
    })
}

/// A due time to start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// The due time, in Unix milliseconds.
    pub at_ms: u64,
    /// The number of earlier due times for which no process started the task, for example because the lease was free.
    pub missed: u64,
}
