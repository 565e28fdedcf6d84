use brassport_policy_stats::ValueHistory;
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_history_returns_the_value_at_any_retained_time(
        gaps in prop::collection::vec(1u16..50, 1..40),
        queried in 0u32..2500,
        discarded in 0u32..2500,
    ) {
        let (mut history, mut model, mut now) = (ValueHistory::default(), Vec::new(), 0.0);
        prop_assert_eq!(history.value_at(0.0), None);
        for (value, gap) in gaps.into_iter().enumerate() {
            now += f64::from(gap);
            history.record(now, value as f64);
            model.push((now, value as f64));
        }
        let (queried, discarded) = (f64::from(queried.max(discarded)), f64::from(discarded));
        history.discard_before(discarded);
        let expected = model.iter().rev().find(|(at, _)| *at <= queried).map(|change| change.1);
        let first = serde_json::to_value(&history).unwrap()["set"][0][1].as_f64().unwrap();
        prop_assert_eq!(history.value_at(queried), Some(expected.unwrap_or(first)));
    }
}
