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
        let mut mix = ClassStatistics::new(values.iter().map(|value| prior(*value, 1.0)));
        arrivals.iter().for_each(|class| mix.record_arrival(class % values.len(), 0.05));
        let total: f64 = (0..values.len()).map(|class| mix.share(class)).sum();
        let admitted: f64 = (0..values.len()).map(|class| mix.admitted_fraction(fraction, class) * mix.share(class)).sum();
        prop_assert!((admitted - fraction * total).abs() < 1e-9);
        for (a, b) in (0..values.len()).flat_map(|a| (0..values.len()).map(move |b| (a, b))) {
            prop_assert!(values[a] <= values[b] || mix.admitted_fraction(fraction, a) >= mix.admitted_fraction(fraction, b) - 1e-12);
        }
    }
}

#[test]
fn an_added_class_has_no_arrivals_and_shifts_no_share() {
    let mut mix = ClassStatistics::new([prior(1.0, 10.0), prior(2.0, 20.0)].into_iter());
    mix.reconfigure([prior(1.0, 5.0), prior(2.0, 5.0), prior(5.0, 50.0)].into_iter());
    assert_eq!(
        (mix.admitted_fraction(0.5, 1), mix.admitted_fraction(0.5, 0), mix.admitted_fraction(0.5, 2)),
        (1.0, 0.0, 0.5)
    );
    assert_eq!(
        (mix.response_ms(0), mix.response_ms(1), mix.response_ms(2)),
        (10.0, 20.0, 50.0),
        "statistics stay"
    );
    assert_eq!(mix.mean_response_ms(), 15.0);
    (0..200).for_each(|_| mix.record_arrival(2, 0.05));
    assert!(mix.admitted_fraction(0.5, 2) > 0.49 && mix.admitted_fraction(0.5, 1) < 0.01);
}
