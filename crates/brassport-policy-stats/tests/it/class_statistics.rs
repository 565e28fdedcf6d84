use brassport_policy_stats::{ClassPrior, ClassStatistics};
use proptest::prelude::*;

fn prior(value: f64, response_ms: f64) -> ClassPrior {
    ClassPrior { value, response_ms }
}

proptest! {
    #[test]
    fn admitted_fractions_add_up_to_the_fraction_of_all(
        values in prop::collection::vec(0.0..9.0f64, 1..6),
        arrivals in prop::collection::vec(0usize..6, 0..200),
        fraction in 0.0..1.0f64,
    ) {
        let mut statistics = ClassStatistics::new(values.iter().map(|value| prior(*value, 1.0)));
        arrivals.iter().for_each(|class| statistics.record_arrival(class % values.len(), 0.05));
        let total: f64 = (0..values.len()).map(|class| statistics.share(class)).sum();
        let admitted: f64 = (0..values.len())
            .map(|class| statistics.admitted_fraction(fraction, class) * statistics.share(class))
            .sum();
        prop_assert!((admitted - fraction * total).abs() < 1e-9);
        for (a, b) in (0..values.len()).flat_map(|a| (0..values.len()).map(move |b| (a, b))) {
            let (fraction_a, fraction_b) =
                (statistics.admitted_fraction(fraction, a), statistics.admitted_fraction(fraction, b));
            prop_assert!(values[a] <= values[b] || fraction_a >= fraction_b - 1e-12);
        }
    }
}

#[test]
fn an_added_class_starts_without_arrivals_and_changes_no_share() {
    let mut statistics = ClassStatistics::new([prior(1.0, 10.0), prior(2.0, 20.0)].into_iter());
    statistics.reconfigure([prior(1.0, 5.0), prior(2.0, 5.0), prior(5.0, 50.0)].into_iter());
    assert_eq!(
        (
            statistics.admitted_fraction(0.5, 1),
            statistics.admitted_fraction(0.5, 0),
            statistics.admitted_fraction(0.5, 2)
        ),
        (1.0, 0.0, 0.5)
    );
    assert_eq!(
        (statistics.response_ms(0), statistics.response_ms(1), statistics.response_ms(2)),
        (10.0, 20.0, 50.0),
        "statistics are kept"
    );
    assert_eq!(statistics.mean_response_ms(), 15.0);
    (0..200).for_each(|_| statistics.record_arrival(2, 0.05));
    assert!(statistics.admitted_fraction(0.5, 2) > 0.49 && statistics.admitted_fraction(0.5, 1) < 0.01);
}
