//! Two runs beside each other, paired by cell and seed; or the levels of one factor of a run, paired by the rest.

use crate::results;
use crate::stats::{self, Verdict};
use crate::study::{Cell, Level};
use anyhow::{bail, ensure, Result};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// A table of what differs, in Markdown. Both runs must measure the same; cells and seeds that only one of them has
/// are left out, and counted.
///
/// # Errors
/// A run cannot be read, or they have no row in common.
pub fn compare(first: &Path, second: &Path) -> Result<String> {
    let ((facts_a, study_a, table_a), (facts_b, study_b, table_b)) =
        (results::read(first)?, results::read(second)?);
    ensure!(
        study_a.backend.name() == study_b.backend.name(),
        "{} is of the backend {}, {} of {}: they measure different things",
        first.display(),
        study_a.backend.name(),
        second.display(),
        study_b.backend.name()
    );
    let mut text = format!(
        "A: {} at {} on {} cores. B: {} at {} on {} cores. Differences B less A, paired by seed, with intervals at \
         95%.\n\n",
        facts_a.study, facts_a.commit, facts_a.cores, facts_b.study, facts_b.commit, facts_b.cores
    );
    if study_a.fixed != study_b.fixed {
        text.push_str("The fixed parameters differ.\n\n");
    }
    let mut table = Differences::new(&["cell", "measure"]);
    let mut alone = 0;
    for (measure, _) in study_a.backend.measures() {
        let (Some(rows_a), Some(rows_b)) = (table_a.get(*measure), table_b.get(*measure)) else { continue };
        let mut cells: BTreeMap<&Cell, Vec<(f64, f64)>> = BTreeMap::new();
        for ((cell, seed), &value) in rows_a {
            match rows_b.get(&(cell.clone(), *seed)) {
                Some(&other) => cells.entry(cell).or_default().push((value, other)),
                None => alone += 1,
            }
        }
        alone += rows_b.keys().filter(|key| !rows_a.contains_key(*key)).count();
        for (cell, pairs) in cells {
            table.add(&[labels(cell), measure.to_string()], &pairs);
        }
    }
    ensure!(
        table.compared > 0,
        "{} and {} have no cell and seed in common",
        first.display(),
        second.display()
    );
    text.push_str(&table.finish(alone));
    Ok(text)
}

/// A table of what differs within a run between the first level of a factor and each other one. The rows of all levels
/// were played in turn, seed by seed, so what the machine did meanwhile weighs on all alike.
///
/// # Errors
/// The run cannot be read, or the study has no such factor with two levels.
pub fn compare_levels(run: &Path, factor: &str) -> Result<String> {
    let (facts, study, table) = results::read(run)?;
    let levels = study.factors.iter().find(|(key, _)| key == factor).map(|(_, levels)| levels.as_slice());
    let Some([first, others @ ..]) = levels.filter(|levels| levels.len() > 1) else {
        let names: Vec<&str> = study.factors.iter().map(|(key, _)| key.as_str()).collect();
        bail!("{}: no factor {factor} with two levels or more; it has {}", run.display(), names.join(", "));
    };
    let mut text = format!(
        "{} at {} on {} cores. A: {factor}={first}. Differences B less A, paired by cell and seed, with intervals at \
         95%.\n\n",
        facts.study, facts.commit, facts.cores
    );
    let mut differences = Differences::new(&["B", "cell", "measure"]);
    let mut alone = 0;
    let with = |cell: &Cell, level: &Level| -> Cell {
        cell.iter()
            .map(|(key, old)| (key.clone(), if key == factor { level.clone() } else { old.clone() }))
            .collect()
    };
    for (measure, _) in study.backend.measures() {
        let Some(rows) = table.get(*measure) else { continue };
        for other in others {
            let mut cells: BTreeMap<&Cell, Vec<(f64, f64)>> = BTreeMap::new();
            let of_first = |cell: &Cell| cell.contains(&(factor.to_string(), first.clone()));
            for ((cell, seed), &value) in rows.iter().filter(|((cell, _), _)| of_first(cell)) {
                match rows.get(&(with(cell, other), *seed)) {
                    Some(&other) => cells.entry(cell).or_default().push((value, other)),
                    None => alone += 1,
                }
            }
            for (cell, pairs) in cells {
                let rest: Cell = cell.iter().filter(|(key, _)| key != factor).cloned().collect();
                differences.add(&[other.to_string(), labels(&rest), measure.to_string()], &pairs);
            }
        }
    }
    text.push_str(&differences.finish(alone));
    Ok(text)
}

fn labels(cell: &Cell) -> String {
    let labels: Vec<String> = cell.iter().map(|(key, level)| format!("{key}={level}")).collect();
    labels.join(" ")
}

/// The table of what differs, line by line.
struct Differences {
    text: String,
    compared: usize,
    seen: usize,
}

impl Differences {
    fn new(keys: &[&str]) -> Differences {
        let text = format!(
            "| {} | A | B | B less A | pairs |\n|{}\n",
            keys.join(" | "),
            " --- |".repeat(keys.len() + 4)
        );
        Differences { text, compared: 0, seen: 0 }
    }

    /// Adds a line if the pairs differ.
    fn add(&mut self, keys: &[String], pairs: &[(f64, f64)]) {
        let (mean, verdict) = stats::compare(pairs);
        self.compared += 1;
        if verdict == Verdict::NoneSeen {
            return;
        }
        self.seen += 1;
        let of = |side: fn(&(f64, f64)) -> f64| pairs.iter().map(side).sum::<f64>() / pairs.len() as f64;
        let _ = writeln!(
            self.text,
            "| {} | {:.5} | {:.5} | {:+.5} ({:+.5}..{:+.5}) | {} |",
            keys.join(" | "),
            of(|pair| pair.0),
            of(|pair| pair.1),
            mean.mean,
            mean.low,
            mean.high,
            pairs.len()
        );
    }

    fn finish(mut self, alone: usize) -> String {
        let _ = writeln!(
            self.text,
            "\n{} of {} differ; in the other {} no difference is seen. Where nothing differs, one in twenty shows here \
             by chance.{}",
            self.seen,
            self.compared,
            self.compared - self.seen,
            if alone > 0 { format!(" {alone} values have no partner.") } else { String::new() }
        );
        self.text
    }
}
