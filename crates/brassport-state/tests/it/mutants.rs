//! Checks that the power-failure and bit-flip campaigns detect each deliberate fault in the store.

use crate::campaign::{cut_every_operation, cut_file_creation, flip_bits, Counts};
use brassport_state::mutants::{activate, Mutant};

/// Returns the first seed with which a campaign detects the mutant, and the problem it reports.
fn detect(mutant: Mutant, seeds: u64, campaign: impl Fn(u64) -> Result<(), String>) -> Option<(u64, String)> {
    activate(Some(mutant));
    let detected = (0..seeds).find_map(|seed| campaign(seed).err().map(|problem| (seed, problem)));
    activate(None);
    println!(
        "{mutant:?}: {}",
        detected.as_ref().map_or("not detected".into(), |(seed, problem)| {
            format!("detected after {} seeds: {}", seed + 1, problem.chars().take(160).collect::<String>())
        })
    );
    detected
}

#[test]
fn every_mutant_is_found() {
    let cuts = |seed| cut_every_operation(seed, &mut Counts::default());
    let files = |seed| cut_file_creation(seed, &mut Counts::default());
    let flips = |seed| flip_bits(seed, 400).map(drop);
    assert!(detect(Mutant::NoDirectorySync, 50, files).is_some());
    assert!(detect(Mutant::RenameBeforeSync, 50, files).is_some());
    assert!(detect(Mutant::AcknowledgeBeforeSync, 50, cuts).is_some());
    assert!(detect(Mutant::NotIdempotent, 50, cuts).is_some());
    assert!(detect(Mutant::CachedNodesInTwoCommits, 50, cuts).is_some());
    assert!(detect(Mutant::ChecksumIgnored, 50, flips).is_some());
    assert!(detect(Mutant::OnePhaseCommit, 50, flips).is_some());
}
