//! The scenarios under other seeds than their own: what holds by the luck of one order of messages does not hold.
//! `CONTROL_PLANE_OTHER_SEEDS=200` plays more.

use crate::sim::{self, script};
use std::path::{Path, PathBuf};

/// Seeds of each scenario in CI.
const SEEDS: u64 = 12;

fn scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(&folder).expect("the folder is there");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("an entry").path()).collect();
    files.sort();
    files
}

/// What broke under a seed.
fn broken_under(text: &str, seed: u64) -> Vec<String> {
    let mut script = script::parse(text).expect("it makes sense");
    script.setup.seed = seed;
    sim::play(script)
}

#[test]
fn scenarios_hold_under_other_seeds() {
    let seeds =
        std::env::var("CONTROL_PLANE_OTHER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let mut failed = Vec::new();
    for file in scenarios() {
        let name = file.file_stem().expect("a name").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&file).expect("it can be read");
        for seed in 0..seeds {
            if let Some(broken) = broken_under(&text, seed).first() {
                failed.push(format!("{name} under seed {seed}: {broken}"));
            }
        }
    }
    assert!(failed.is_empty(), "{} plays failed:\n{}", failed.len(), failed.join("\n"));
}
