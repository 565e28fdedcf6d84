use brassport_policy_stats::{ReadingDecay, RemoteUsage, UsageWindow};

/// Four units at two per second.
const DECAY: ReadingDecay = ReadingDecay { rate_per_s: 2.0, units: 4.0 };

fn window(seconds: f64, sent: f64, offered: f64) -> UsageWindow {
    UsageWindow { seconds, sent, offered }
}

#[test]
fn readings_decay_with_age() {
    let mut usage = RemoteUsage::new(1.0);
    assert_eq!(usage.decayed(0.0, DECAY), window(0.0, 0.0, 0.0));
    usage.observe(1000.0, DECAY, window(0.5, 3.0, 6.0), 0.3);
    assert_eq!(usage.decayed(1000.0, DECAY), window(0.5, 3.0, 6.0));
    // The time constant is 4 s: four units take 2 s at two per second, but 4 s at one per reading gap of 1 s.
    let retained = (-1.0f64).exp();
    let UsageWindow { seconds, sent, .. } = usage.decayed(5000.0, DECAY);
    assert!((seconds - 0.5 * retained).abs() < 1e-12 && (sent - 3.0 * retained).abs() < 1e-12);
    // The gap was 4 s. With a weight of 0.3 the mean gap rises from 1 s to 1.9 s, and the time constant to
    // 7.6 s.
    usage.observe(5000.0, DECAY, window(0.5, -9.0, 0.0), 0.3);
    let past_seconds = usage.decayed(5000.0, DECAY).seconds - 0.5;
    let confidence = usage.confidence(5000.0, DECAY, 1.0);
    assert!(
        (confidence - (past_seconds + 0.5) / (past_seconds + 1.0)).abs() < 1e-12,
        "a prior of one unit has the weight of 0.5 s: {confidence}"
    );
    assert!(
        (usage.reading_gap_s() - 1.9).abs() < 1e-12
            && (past_seconds - 0.5 * (-4.0f64 / 7.6).exp()).abs() < 1e-12
    );
    assert_eq!(usage.decayed(5000.0, DECAY).sent, 0.0, "a negative sum is replaced by 0");
}
