//! Tests on a simulated cluster that no time window exceeds the tolerated number of requests, and that on
//! average a tenant gets more than 75 % of what its limit allows.

use crate::cluster;

#[test]
fn no_window_exceeds_the_tolerated_limit() {
    let seeds: u64 = std::env::var("QUOTA_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(400);
    let (mut worst, mut lowest) = ((0.0, 0), (f64::MAX, 0));
    let mut total = 0.0;
    for seed in 0..seeds {
        let cluster::Outcome { worst_window, utilization } = cluster::run(seed);
        assert!(
            worst_window <= 1.0,
            "seed {seed}: a window has {worst_window:.3} times the tolerated requests"
        );
        worst = if worst_window > worst.0 { (worst_window, seed) } else { worst };
        lowest = if utilization < lowest.0 { (utilization, seed) } else { lowest };
        total += utilization;
    }
    println!(
        "worst window {:.3} (seed {}), mean utilization {:.3}, lowest {:.3} (seed {})",
        worst.0,
        worst.1,
        total / seeds as f64,
        lowest.0,
        lowest.1
    );
    assert!(total / seeds as f64 > 0.75, "the mean utilization of the limit is too low");
}
