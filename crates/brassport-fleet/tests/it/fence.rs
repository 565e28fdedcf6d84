//! Runs the simulated fleet over many seeds: once a fence is reported to hold, no gateway instance acts on an older
//! version.

use crate::simulation::play;

/// A number from the environment, or the default; for longer campaigns.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn no_door_acts_on_an_older_version_once_a_fence_holds_in_300_seeds() {
    let (mut fences, mut without_a_door, mut extensions, mut stops) = (0, 0, 0, 0);
    // For a longer campaign: BRASSPORT_SEEDS=100000 BRASSPORT_FIRST=1 cargo test --release -p brassport-fleet --test it fence::
    let (first, count) = (setting("BRASSPORT_FIRST", 1), setting("BRASSPORT_SEEDS", 300));
    println!("{count} seeds from {first}");
    for seed in first..first + count {
        let tally = play(seed).unwrap_or_else(|violation| panic!("{violation}"));
        (fences, without_a_door) = (fences + tally.fences, without_a_door + tally.fences_without_a_door);
        (extensions, stops) = (extensions + tally.extensions, stops + tally.stops);
    }
    println!(
        "{fences} fences, {without_a_door} without a door, {extensions} extensions, {stops} checks of a door that had stopped"
    );
    assert!(count < 300 || fences > 1000 && without_a_door > 100 && extensions > 100 && stops > 100);
}
