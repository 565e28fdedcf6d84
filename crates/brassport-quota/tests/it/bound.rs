//! No window of time exceeds what the rule tolerates, and a tenant gets the greater part of what its limit allows.

use crate::cluster;

#[test]
fn no_window_exceeds_the_tolerated_limit() {
    let seeds: u64 = std::env::var("QUOTA_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(400);
    let (mut worst, mut least) = ((0.0, 0), (f64::MAX, 0));
    let mut all = 0.0;
    for seed in 0..seeds {
        let cluster::Outcome { worst_window, utilization } = cluster::run(seed);
        assert!(
            worst_window <= 1.0,
            "seed {seed}: {worst_window:.3} of what the rule tolerates in some window"
        );
        worst = if worst_window > worst.0 { (worst_window, seed) } else { worst };
        least = if utilization < least.0 { (utilization, seed) } else { least };
        all += utilization;
    }
    println!(
        "worst window {:.3} (seed {}), used {:.3} on average, least {:.3} (seed {})",
        worst.0,
        worst.1,
        all / seeds as f64,
        least.0,
        least.1
    );
    assert!(all / seeds as f64 > 0.75, "the bound eats what a tenant may have");
}
