//! How slow a peer may be that sends a body. No I/O: whoever reads the body measures and waits.

use std::time::Duration;

/// Time that a peer may be waited for beyond what its bytes account for.
pub const GRACE_PERIOD: Duration = Duration::from_millis(2500);
/// Least average rate of a body: clients are promised service from 64 kB a second, and this is below that.
pub const MIN_BYTES_PER_S: f64 = 48_000.0;
/// Longest time without a byte, however fast those before came.
pub const MAX_READ_TIMEOUT: Duration = Duration::from_secs(15);

/// The pace of one body that is coming in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DataRateMonitor {
    waited: Duration,
    bytes: u64,
}

impl DataRateMonitor {
    /// The pace of a body whose peer was waited for so long already.
    pub fn new(waited: Duration) -> DataRateMonitor {
        DataRateMonitor { waited, bytes: 0 }
    }

    /// Records bytes and the wait that they ended.
    pub fn record(&mut self, waited: Duration, bytes: usize) {
        self.waited += waited;
        self.bytes += bytes as u64;
    }

    /// How long the next bytes may be waited for: `GRACE_PERIOD + bytes / MIN_BYTES_PER_S - waited`, at most [`MAX_READ_TIMEOUT`].
    /// Zero: the peer is too slow.
    pub fn read_timeout(&self) -> Duration {
        let earned = Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_S);
        (GRACE_PERIOD + earned).saturating_sub(self.waited).min(MAX_READ_TIMEOUT)
    }
}
