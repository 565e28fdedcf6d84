//! The power-cut campaigns can fail: each deliberate fault of the store is found.

use crate::campaign::{cut_every_operation, cut_file_creation, flip_bits, Counts};
use brassport_state::mutants::{activate, Mutant};

/// The first seed at which a campaign finds the mutant, and the problem it reports.
fn found(mutant: Mutant, seeds: u64, campaign: impl Fn(u64) -> Result<(), String>) -> Option<(u64, String)> {
    activate(Some(mutant));
    let found = (0..seeds).find_map(|seed| campaign(seed).err().map(|problem| (seed, problem)));
    activate(None);
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
    let cuts = |seed| cut_every_operation(seed, &mut Counts::default());
    let files = |seed| cut_file_creation(seed, &mut Counts::default());
    let flips = |seed| flip_bits(seed, 400).map(drop);
    assert!(found(Mutant::NoDirectorySync, 50, files).is_some());
    assert!(found(Mutant::RenameBeforeSync, 50, files).is_some());
    assert!(found(Mutant::AcknowledgeBeforeSync, 50, cuts).is_some());
    assert!(found(Mutant::NotIdempotent, 50, cuts).is_some());
    assert!(found(Mutant::CachedNodesInTwoCommits, 50, cuts).is_some());
    assert!(found(Mutant::ChecksumIgnored, 50, flips).is_some());
    assert!(found(Mutant::OnePhaseCommit, 50, flips).is_some());
}
