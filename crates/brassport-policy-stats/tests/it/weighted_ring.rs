use brassport_policy_stats::{ring_position, WeightedRing};
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #[test]
    fn members_and_samples_match_a_linear_scan(
        steps in prop::collection::vec((0u32..20, 0u8..4), 0..300),
        fraction in 0.0..1.0f64,
    ) {
        let (mut ring, mut model) = (WeightedRing::default(), BTreeMap::new());
        for (member, weight) in steps {
            let weight = f64::from(weight);
            ring.set_weight(member, weight);
            if weight > 0.0 { model.insert(member, weight); } else { model.remove(&member); }
            let mut listed = ring.members().to_vec();
            listed.sort_unstable();
            prop_assert_eq!(listed, model.keys().copied().collect::<Vec<_>>());
            // Integer weights are added without rounding errors, so that the sample must be the member whose
            // range contains the fraction.
            let mut ring_order: Vec<u32> = model.keys().copied().collect();
            ring_order.sort_by_key(|&member| ring_position(member));
            let total: f64 = model.values().sum();
            let (mut sum, mut expected) = (0.0, None);
            for member in ring_order {
                sum += model[&member];
                if expected.is_none() && fraction * total < sum {
                    expected = Some(member);
                }
            }
            prop_assert_eq!(ring.sample(fraction), expected);
        }
    }
}

#[test]
fn rings_built_in_different_orders_sample_the_same_member() {
    let (mut one, mut other) = (WeightedRing::default(), WeightedRing::default());
    (0..300).for_each(|member| one.set_weight(member, 1.0 + f64::from(member % 3)));
    (0..900).rev().for_each(|member| other.set_weight(member, 5.0));
    (0..900).for_each(|member| other.set_weight(member, 1.0 + f64::from(member % 3)));
    (300..900).for_each(|member| other.set_weight(member, 0.0));
    let sampled = |set: &WeightedRing| {
        (0..1000).map(|fraction| set.sample(f64::from(fraction) / 1000.0)).collect::<Vec<_>>()
    };
    assert_eq!(sampled(&one), sampled(&other));
}
