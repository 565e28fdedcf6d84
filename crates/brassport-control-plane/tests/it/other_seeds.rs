//! Runs the scenarios with other seeds than their own, so that none passes only because of one particular order of
//! messages. `CONTROL_PLANE_OTHER_SEEDS` sets the number of seeds.

use crate::sim::{self, script};
use std::path::{Path, PathBuf};

/// Default number of seeds for each scenario.
const SEEDS: u64 = 12;

fn scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(&folder).expect("the scenarios folder can be read");
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.expect("a directory entry").path()).collect();
    files.sort();
    files
}

/// The violations and unmet expectations of a scenario under a seed.
fn broken_under(text: &str, seed: u64) -> Vec<String> {
    let mut script = script::parse(text).expect("a valid scenario");
    script.setup.seed = seed;
    sim::run_script(script)
}

#[test]
fn scenarios_hold_under_other_seeds() {
    let seeds =
        std::env::var("CONTROL_PLANE_OTHER_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let mut failed = Vec::new();
    for file in scenarios() {
        let name = file.file_stem().expect("a file name").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&file).expect("the scenario can be read");
        for seed in 0..seeds {
            if let Some(broken) = broken_under(&text, seed).first() {
                failed.push(format!("{name} under seed {seed}: {broken}"));
            }
        }
    }
    assert!(failed.is_empty(), "{} runs failed:\n{}", failed.len(), failed.join("\n"));
}
