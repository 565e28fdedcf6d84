//! The test of the bound can fail: each deliberate fault is found within some seeds.
#![cfg(feature = "mutants")]

mod common;

use brassport_quota::mutants::{activate, ALL};

#[test]
fn every_mutant_breaks_the_bound() {
    let mut missed = Vec::new();
    for mutant in ALL {
        activate(Some(mutant));
        match (0..2_000).find(|seed| common::play(*seed).0 > 1.0) {
            Some(seed) => println!("{mutant:?}: seed {seed}"),
            None => missed.push(mutant),
        }
        activate(None);
    }
    assert!(missed.is_empty(), "not found: {missed:?}");
}
