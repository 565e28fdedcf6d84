//! The power-cut campaigns can fail: each deliberate fault of the store is found.

#![cfg(feature = "mutants")]

mod common;

use brassport_state::mutants::{Mutant, ACTIVE};
use common::{play, play_files, play_flips, Tally};

/// The first seed at which a campaign finds the mutant, and what it says.
fn found(mutant: Mutant, seeds: u64, campaign: impl Fn(u64) -> Result<(), String>) -> Option<(u64, String)> {
    ACTIVE.set(Some(mutant));
    let found = (0..seeds).find_map(|seed| campaign(seed).err().map(|problem| (seed, problem)));
    ACTIVE.set(None);
    println!(
        "{mutant:?}: {}",
        found.as_ref().map_or("not found".into(), |(seed, problem)| {
            format!("after {} seeds: {}", seed + 1, problem.chars().take(160).collect::<String>())
        })
    );
    found
}

#[test]
fn every_mutant_is_found() {
    let cuts = |seed| play(seed, &mut Tally::default());
    let files = |seed| play_files(seed, &mut Tally::default());
    let flips = |seed| play_flips(seed, 400).map(drop);
    assert!(found(Mutant::NoDirectorySync, 50, files).is_some());
    assert!(found(Mutant::RenameBeforeSync, 50, files).is_some());
    assert!(found(Mutant::AcknowledgeBeforeSync, 50, cuts).is_some());
    assert!(found(Mutant::NotIdempotent, 50, cuts).is_some());
    assert!(found(Mutant::KnownInTwoSteps, 50, cuts).is_some());
    assert!(found(Mutant::ChecksumIgnored, 50, flips).is_some());
    assert!(found(Mutant::OnePhaseCommit, 50, flips).is_some());
}
