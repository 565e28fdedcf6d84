//! How slow a peer may be that sends a body. No I/O.

use std::time::Duration;

/// Time that a peer may be waited for beyond what its bytes account for.
const GRACE: Duration = Duration::from_millis(2500);
/// Bytes a second on average: peers are promised 64 kB a second.
const LEAST_RATE: f64 = 48_000.0;
/// Longest time without a byte, however fast those before came.
const LONGEST: Duration = Duration::from_secs(15);

/// The pace of one message that is coming in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TransferPace {
    waited: Duration,
    bytes: u64,
}

impl TransferPace {
    /// A body whose peer was waited for so long already.
    pub fn new(waited: Duration) -> TransferPace {
        TransferPace { waited, bytes: 0 }
    }

    /// So many bytes came, after a wait.
    pub fn came(&mut self, waited: Duration, bytes: usize) {
        self.waited += waited;
        self.bytes += bytes as u64;
    }

    /// How long the next bytes may be waited for; nothing: it is too slow.
    pub fn patience(&self) -> Duration {
        let earned = Duration::from_secs_f64(self.bytes as f64 / LEAST_RATE);
        (GRACE + earned).saturating_sub(self.waited).min(LONGEST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_body_of_the_promised_rate_comes_whole_behind_a_slow_head() {
        let mut pace = TransferPace::new(Duration::from_secs(2));
        for _ in 0..500 {
            assert!(pace.patience() > Duration::from_millis(100), "{pace:?}");
            pace.came(Duration::from_millis(100), 6_400);
        }
    }

    #[test]
    fn who_sends_nothing_is_waited_for_two_and_a_half_seconds() {
        assert_eq!(TransferPace::new(Duration::ZERO).patience(), GRACE);
        assert_eq!(TransferPace::new(GRACE).patience(), Duration::ZERO);
    }

    #[test]
    fn what_came_fast_earns_no_endless_wait() {
        let mut pace = TransferPace::new(Duration::ZERO);
        pace.came(Duration::from_millis(10), 32 << 20);
        assert_eq!(pace.patience(), LONGEST);
    }

    proptest! {
        #[test]
        fn no_body_is_waited_for_longer_than_its_bytes_account_for(
            steps in prop::collection::vec((0u64..4_000, 0usize..100_000), 1..60),
        ) {
            let mut pace = TransferPace::new(Duration::ZERO);
            let (mut waited, mut bytes) = (Duration::ZERO, 0);
            for (millis, came) in steps {
                let wait = Duration::from_millis(millis);
                if wait > pace.patience() {
                    break;
                }
                pace.came(wait, came);
                waited += wait;
                let most = GRACE + Duration::from_secs_f64(bytes as f64 / LEAST_RATE);
                prop_assert!(waited <= most + Duration::from_millis(1));
                bytes += came;
            }
        }
    }
}
