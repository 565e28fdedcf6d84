//! How slow a peer may be that sends a body. No I/O: whoever reads the body measures and waits.

use std::time::Duration;

/// Time that a peer may be waited for beyond what its bytes account for.
pub const GRACE: Duration = Duration::from_millis(2500);
/// Least average rate of a body: clients are promised service from 64 kB a second, and this is below that.
pub const MIN_BYTES_PER_S: f64 = 48_000.0;
/// Longest time without a byte, however fast those before came.
pub const MAX_WAIT: Duration = Duration::from_secs(15);

/// The pace of one body that is coming in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferPace {
    waited: Duration,
    bytes: u64,
}

impl TransferPace {
    /// The pace of a body whose peer was waited for so long already.
    pub fn new(waited: Duration) -> TransferPace {
        TransferPace { waited, bytes: 0 }
    }

    /// Records bytes and the wait that they ended.
    pub fn record(&mut self, waited: Duration, bytes: usize) {
        self.waited += waited;
        self.bytes += bytes as u64;
    }

    /// How long the next bytes may be waited for: `GRACE + bytes / MIN_BYTES_PER_S - waited`, at most [`MAX_WAIT`].
    /// Zero: the peer is too slow.
    pub fn time_left(&self) -> Duration {
        let earned = Duration::from_secs_f64(self.bytes as f64 / MIN_BYTES_PER_S);
        (GRACE + earned).saturating_sub(self.waited).min(MAX_WAIT)
    }
}
