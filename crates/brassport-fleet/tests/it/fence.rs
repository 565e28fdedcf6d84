//! Once a fence is said to hold, no door acts on an older version: by seeds of a whole fleet under a virtual clock.

use crate::simulation::play;

#[test]
fn no_door_acts_on_an_older_version_once_a_fence_holds_in_300_seeds() {
    let (mut fences, mut with_one_out, mut leaves, mut stops) = (0, 0, 0, 0);
    // A campaign: BRASSPORT_SEEDS=100000 BRASSPORT_FIRST=1 cargo test --release -p brassport-fleet --test it fence::
    let told =
        |name: &str, usual| std::env::var(name).map_or(usual, |text| text.parse::<u64>().expect("a number"));
    let (first, count) = (told("BRASSPORT_FIRST", 1), told("BRASSPORT_SEEDS", 300));
    println!("{count} seeds from {first}");
    for seed in first..first + count {
        let tally = play(seed).unwrap_or_else(|problem| panic!("{problem}"));
        (fences, with_one_out) = (fences + tally.fences, with_one_out + tally.fenced_with_one_out);
        (leaves, stops) = (leaves + tally.leaves, stops + tally.stops);
    }
    println!("{fences} fences, {with_one_out} with a door out, {leaves} leaves, {stops} looks at a door that had stopped");
    assert!(count < 300 || fences > 1000 && with_one_out > 100 && leaves > 100 && stops > 100);
}
