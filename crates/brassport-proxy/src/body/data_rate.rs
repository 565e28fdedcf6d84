//! The minimum data rate of a body that is being received. No I/O: the reader of the body measures the waiting times
//! and applies the timeouts.

use std::time::Duration;

/// Waiting time allowed in addition to the time that the received bytes take at [`MIN_BYTES_PER_S`].
pub const GRACE_PERIOD: Duration = Duration::from_millis(2500);
/// Minimum average data rate of a body. The service guarantee covers clients from 64 kB/s; this limit is below it.
pub const MIN_BYTES_PER_S: f64 = 48_000.0;
/// Maximum waiting time for the next byte, regardless of the average rate so far.
pub const MAX_READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Tracks the average data rate of one body that is being received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DataRateMonitor {
    waited: Duration,
    bytes: u64,
}

impl DataRateMonitor {
    /// Creates a monitor for a body. `waited` is the time already spent waiting for its sender.
    pub fn new(waited: Duration) -> DataRateMonitor {
        DataRateMonitor { waited, bytes: 0 }
    }

    /// Records received bytes and the time spent waiting for them.
    pub fn record(&mut self, waited: Duration, bytes: usize) {
        self.waited += waited;
        self.bytes += bytes as u64;
    }

    /// The maximum time to wait for the next bytes: `GRACE_PERIOD + bytes / MIN_BYTES_PER_S - waited`, at most
    /// [`MAX_READ_TIMEOUT`]. Zero if the sender is below the minimum data rate.
    pub fn read_timeout(&self) -> Duration {
        let allowed = Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_S);
        (GRACE_PERIOD + allowed).saturating_sub(self.waited).min(MAX_READ_TIMEOUT)
    }
}
