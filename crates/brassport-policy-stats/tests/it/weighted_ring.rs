use brassport_policy_stats::{ring_position, WeightedRing};
use proptest::prelude::*;
use std::collections::BTreeMap;

proptest! {
    #[test]
    fn members_are_those_set_last_and_are_sampled_by_weight(
        steps in prop::collection::vec((0u32..20, 0u8..4), 0..300),
        fraction in 0.0..1.0f64,
    ) {
        let (mut members, mut plain) = (WeightedRing::default(), BTreeMap::new());
        for (member, weight) in steps {
            let weight = f64::from(weight);
            members.set_weight(member, weight);
            if weight > 0.0 { plain.insert(member, weight); } else { plain.remove(&member); }
            let mut listed = members.members().to_vec();
            listed.sort_unstable();
            prop_assert_eq!(listed, plain.keys().copied().collect::<Vec<_>>());
            // Integer weights are added without rounding: the sample is the member in whose range the fraction falls.
            let mut ring: Vec<u32> = plain.keys().copied().collect();
            ring.sort_by_key(|&member| ring_position(member));
            let total: f64 = plain.values().sum();
            let (mut sum, mut expected) = (0.0, None);
            for member in ring {
                sum += plain[&member];
                if expected.is_none() && fraction * total < sum {
                    expected = Some(member);
                }
            }
            prop_assert_eq!(members.sample(fraction), expected);
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
