use brassport_policy_stats::{attempt_admission_probability, eventual_admission_fraction, RetryEstimator};
use proptest::prelude::*;

proptest! {
    #[test]
    fn attempt_probability_inverts_eventual_admission(admitted in 0.0..=1.0f64, retry in 0.0..=0.8f64) {
        let probability = attempt_admission_probability(admitted, retry);
        prop_assert!((0.0..=admitted + 1e-12).contains(&probability), "{probability} of {admitted}");
        prop_assert!((eventual_admission_fraction(probability, retry) - admitted).abs() < 1e-9);
        // By definition: admitted clients divided by all offered attempts.
        let attempts = 1.0 / (1.0 - retry * (1.0 - probability));
        prop_assert!((probability - admitted / attempts).abs() < 1e-9);
    }
}

#[test]
fn the_retry_probability_is_counted_and_bounded() {
    let mut estimator = RetryEstimator::default();
    assert_eq!(estimator.probability(), 0.0);
    (0..90).for_each(|_| estimator.record_rejection());
    (0..50).for_each(|_| estimator.record_retry());
    assert_eq!(estimator.probability(), 0.5);
    (0..500).for_each(|_| estimator.record_retry());
    assert_eq!(estimator.probability(), 0.8);
}
