//! Plays what of a study is not played yet, and sums up.

use crate::results::{self, rounded, Directory, Facts, Row};
use crate::study::{matches, Study};
use crate::{report, stats};
use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressStyle};
use rayon::prelude::*;
use std::path::Path;
use std::sync::mpsc;

/// What came of a study.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Bounds that did not hold, and where.
    pub bounds: Vec<String>,
    /// Rules that were broken, with the command that plays it again.
    pub broken: Vec<String>,
}

/// Plays one row.
///
/// # Errors
/// It could not be played.
pub fn play(study: &Study, cell: usize, seed: u64) -> Result<Row> {
    let outcome = study.backend.play(&study.parameters(&study.cells()[cell]), seed)?;
    Ok(Row { cell, seed, values: outcome.values.into_iter().map(rounded).collect(), broken: outcome.broken })
}

/// Plays all rows that the directory has not, several at a time where that changes nothing, and writes the results.
///
/// # Errors
/// The directory cannot be used.
pub fn run(study: &Study, file: &Path, path: &Path, jobs: usize, afresh: bool) -> Result<Verdict> {
    let mut directory = Directory::open(path, study, afresh)?;
    let cells = study.cells();
    let mut rows: Vec<Row> = std::mem::take(&mut directory.found);
    // Seeds outside, cells inside: a run that is killed has all cells, with fewer seeds each.
    let todo: Vec<(usize, u64)> = study
        .seeds
        .iter()
        .flat_map(|&seed| (0..cells.len()).map(move |cell| (cell, seed)))
        .filter(|&(cell, seed)| !rows.iter().any(|row| (row.cell, row.seed) == (cell, seed)))
        .collect();
    let bar = ProgressBar::new((rows.len() + todo.len()) as u64).with_style(
        ProgressStyle::with_template("{bar:40} {pos}/{len} rows, {eta} left").expect("a template"),
    );
    bar.set_position(rows.len() as u64);
    bar.reset_eta();
    let jobs = if study.backend.is_deterministic() { jobs } else { 1 };
    let pool = rayon::ThreadPoolBuilder::new().num_threads(jobs).build().context("cannot start threads")?;
    let (sender, played) = mpsc::channel();
    std::thread::scope(|scope| -> Result<()> {
        scope.spawn(|| {
            let sender = sender;
            // One that cannot be sent is one that nobody waits for any more: the disk failed.
            pool.install(|| {
                let work = todo.par_iter().with_max_len(1);
                let _ = work.try_for_each_with(sender, |sender, &(cell, seed)| {
                    sender.send(play(study, cell, seed)).map_err(drop)
                });
            });
        });
        for row in played {
            let row = row.context("what was played so far is kept; the same command goes on from there")?;
            directory.keep(&row)?;
            rows.push(row);
            bar.inc(1);
        }
        Ok(())
    })?;
    bar.finish_and_clear();
    rows.sort_by_key(|row| (row.cell, row.seed));
    rows.dedup_by_key(|row| (row.cell, row.seed));
    let verdict = judge(study, file, &rows);
    directory.write("rows.csv", &results::to_csv(study, &rows)?)?;
    let facts = Facts::clone(&Directory::facts(path)?);
    let charts = report::charts(study, &rows)?;
    for (name, svg) in &charts {
        directory.write(name, svg.as_bytes())?;
    }
    let summary = report::summary(study, &facts, &rows, &verdict, &charts);
    directory.write("summary.md", summary.as_bytes())?;
    Ok(verdict)
}

/// Holds the rows against the study's bounds and the rules.
pub fn judge(study: &Study, file: &Path, rows: &[Row]) -> Verdict {
    let cells = study.cells();
    let mut verdict = Verdict::default();
    let label = |cell: usize| {
        let labels: Vec<String> = cells[cell].iter().map(|(key, level)| format!("{key}={level}")).collect();
        labels.join(" ")
    };
    for bound in &study.bounds {
        let measures = study.backend.measures();
        let at =
            measures.iter().position(|(name, _)| *name == bound.measure).expect("checked with the study");
        for (number, cell) in cells.iter().enumerate().filter(|(_, cell)| matches(cell, &bound.only)) {
            let values: Vec<f64> =
                rows.iter().filter(|row| row.cell == number).map(|row| row.values[at]).collect();
            if values.is_empty() {
                continue;
            }
            let mean = stats::mean(&values).mean;
            let wrong = match (bound.at_most, bound.at_least) {
                (Some(most), _) if mean > most => format!("{mean:.4}, at most {most}"),
                (_, Some(least)) if mean < least => format!("{mean:.4}, at least {least}"),
                // A mean that is no number keeps no bound.
                _ if mean.is_nan() => "no number".into(),
                _ => continue,
            };
            debug_assert_eq!(cell.len(), study.factors.len());
            verdict.bounds.push(format!("{} at {}: {wrong}", bound.measure, label(number)));
        }
    }
    let quick = if study.quick { " --quick" } else { "" };
    for row in rows.iter().filter(|row| !row.broken.is_empty()) {
        verdict.broken.push(format!(
            "{} seed {}: {}. Again: brassport-lab replay {}{quick} --cell {} --seed {}",
            label(row.cell),
            row.seed,
            row.broken[0],
            file.display(),
            row.cell,
            row.seed
        ));
    }
    verdict
}
