//! Shows that the test of the rate bound detects each deliberate fault within 2,000 seeds.

use crate::cluster;
use brassport_quota::mutants::{activate, ALL};

#[test]
fn every_mutant_exceeds_the_tolerated_limit() {
    let mut missed = Vec::new();
    for mutant in ALL {
        activate(Some(mutant));
        match (0..2_000).find(|seed| cluster::run(*seed).worst_window > 1.0) {
            Some(seed) => println!("{mutant:?}: seed {seed}"),
            None => missed.push(mutant),
        }
        activate(None);
    }
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
