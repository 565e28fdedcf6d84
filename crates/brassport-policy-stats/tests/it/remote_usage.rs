use brassport_policy_stats::{ReadingDecay, RemoteUsage, UsageWindow};

/// Four units at two a second.
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
    // Four units, at two a second or at one each gap of a second, whichever takes longer.
    let third = (-1.0f64).exp();
    let UsageWindow { seconds, sent, .. } = usage.decayed(5000.0, DECAY);
    assert!((seconds - 0.5 * third).abs() < 1e-12 && (sent - 3.0 * third).abs() < 1e-12);
    // The gap was 4 s: a third of the way from 1 s it is 1.9 s, and the memory is 7.6 s.
    usage.observe(5000.0, DECAY, window(0.5, -9.0, 0.0), 0.3);
    let kept = usage.decayed(5000.0, DECAY).seconds - 0.5;
    let confidence = usage.confidence(5000.0, DECAY, 1.0);
    assert!(
        (confidence - (kept + 0.5) / (kept + 1.0)).abs() < 1e-12,
        "a unit is half a second's: {confidence}"
    );
    assert!(
        (usage.reading_gap_s() - 1.9).abs() < 1e-12 && (kept - 0.5 * (-4.0f64 / 7.6).exp()).abs() < 1e-12
    );
    assert_eq!(usage.decayed(5000.0, DECAY).sent, 0.0, "less than nothing is nothing");
}
