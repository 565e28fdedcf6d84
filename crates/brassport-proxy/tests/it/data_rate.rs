//! The minimum data rate of request bodies.

use brassport_proxy::body::data_rate::{DataRateMonitor, GRACE_PERIOD, MAX_READ_TIMEOUT, MIN_BYTES_PER_S};
use proptest::prelude::*;
use std::time::Duration;

#[test]
fn a_body_of_64_kb_per_second_is_accepted_after_a_slow_head() {
    let mut data_rate = DataRateMonitor::new(Duration::from_secs(2));
    for _ in 0..500 {
        assert!(data_rate.read_timeout() > Duration::from_millis(100), "{data_rate:?}");
        data_rate.record(Duration::from_millis(100), 6_400);
    }
}

#[test]
fn a_client_that_sends_nothing_times_out_after_the_grace_period_of_2500_ms() {
    assert_eq!(DataRateMonitor::new(Duration::ZERO).read_timeout(), GRACE_PERIOD);
    assert_eq!(DataRateMonitor::new(GRACE_PERIOD).read_timeout(), Duration::ZERO);
    assert_eq!(GRACE_PERIOD, Duration::from_millis(2500));
}

#[test]
fn the_read_timeout_is_limited_after_a_fast_transfer() {
    let mut data_rate = DataRateMonitor::new(Duration::ZERO);
    data_rate.record(Duration::from_millis(10), 32 << 20);
    assert_eq!(data_rate.read_timeout(), MAX_READ_TIMEOUT);
}

proptest! {
    #[test]
    fn the_total_wait_never_exceeds_the_grace_period_plus_the_time_for_the_received_bytes(
        steps in prop::collection::vec((0u64..4_000, 0usize..100_000), 1..60),
    ) {
        let mut data_rate = DataRateMonitor::new(Duration::ZERO);
        let (mut waited, mut bytes) = (Duration::ZERO, 0);
        for (millis, received) in steps {
            let wait = Duration::from_millis(millis);
            if wait > data_rate.read_timeout() {
                break;
            }
            data_rate.record(wait, received);
            waited += wait;
            let longest = GRACE_PERIOD + Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_S);
            prop_assert!(waited <= longest + Duration::from_millis(1));
            bytes += received;
        }
    }
}
