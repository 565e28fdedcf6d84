//! No window holds more than the rule allows, and what a tenant may have it has for the most part.

mod common;

#[test]
fn no_window_holds_more_than_the_rule_allows() {
    let seeds: u64 = std::env::var("QUOTA_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(400);
    let (mut worst, mut least) = ((0.0, 0), (f64::MAX, 0));
    let mut all = 0.0;
    for seed in 0..seeds {
        let (part, used) = common::play(seed);
        assert!(part <= 1.0, "seed {seed}: {part:.3} of what the rule allows in some window");
        worst = if part > worst.0 { (part, seed) } else { worst };
        least = if used < least.0 { (used, seed) } else { least };
        all += used;
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
