//! The directory of a run: what was played so far, whole lines only, and what came of it.
//!
//! `journal` takes each row as it is measured, with a check sum, durable before it counts as done. A run that was
//! killed leaves at most half a line at its end, which is cut off. `rows.csv`, the summary and the charts are written
//! whole at the end.

use crate::study::{Cell, Study};
use anyhow::{bail, ensure, Context, Result};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The form of the journal and of `run.json`.
const VERSION: u32 = 1;

/// One cell played with one seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Number of the cell.
    pub cell: usize,
    /// The seed.
    pub seed: u64,
    /// What was measured, in the order of the backend's measures.
    pub values: Vec<f64>,
    /// Broken rules.
    pub broken: Vec<String>,
}

/// Nine digits: what a value means is in the first few, and these come back from a file as they were.
pub fn rounded(value: f64) -> f64 {
    format!("{value:.8e}").parse().unwrap_or(value)
}

/// Where and of what a run is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Facts {
    /// Form of this directory.
    pub version: u32,
    /// The study's name.
    pub study: String,
    /// Whether it is the quick form.
    pub quick: bool,
    /// The commit, with `+` behind it if the tree had changes.
    pub commit: String,
    /// Processor.
    pub processor: String,
    /// Cores.
    pub cores: usize,
    /// Memory, MiB.
    pub memory_mib: u64,
}

fn output(program: &str, words: &[&str]) -> Option<String> {
    let output = std::process::Command::new(program).args(words).output().ok()?;
    output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_string())
}

/// The commit of the tree, with `+` behind it if the tree has changes. Asked once: a process is of one.
fn commit() -> &'static str {
    static COMMIT: OnceLock<String> = OnceLock::new();
    COMMIT.get_or_init(|| {
        let commit = output("git", &["rev-parse", "--short=12", "HEAD"]).unwrap_or_else(|| "unknown".into());
        let changed = output("git", &["status", "--porcelain"]).is_some_and(|text| !text.is_empty());
        commit + if changed { "+" } else { "" }
    })
}

impl Facts {
    fn of(study: &Study) -> Facts {
        let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
        let line = |text: &str, key: &str| {
            let found = text.lines().find(|line| line.starts_with(key))?;
            Some(found.split_once(':')?.1.trim().to_string())
        };
        let memory = line(&read("/proc/meminfo"), "MemTotal").unwrap_or_default();
        let memory: u64 = memory.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        Facts {
            version: VERSION,
            study: study.name.clone(),
            quick: study.quick,
            commit: commit().to_string(),
            processor: line(&read("/proc/cpuinfo"), "model name").unwrap_or_else(|| "unknown".into()),
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_mib: memory / 1024,
        }
    }
}

/// A directory that this run alone writes into.
pub struct Directory {
    path: PathBuf,
    journal: File,
    /// Let go of when this is dropped.
    _lock: Lock,
    /// Rows that were there.
    pub found: Vec<Row>,
}

fn sealed(row: &Row) -> String {
    let json = serde_json::to_string(row).expect("plain figures");
    format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes()))
}

fn opened(line: &str) -> Option<Row> {
    let (sum, json) = line.split_once(' ')?;
    (u32::from_str_radix(sum, 16).ok()? == crc32fast::hash(json.as_bytes())).then_some(())?;
    serde_json::from_str(json).ok()
}

/// Whole lines of a journal, and how many bytes they are.
fn whole_lines(bytes: &[u8]) -> (Vec<Row>, usize) {
    let (mut rows, mut good) = (Vec::new(), 0);
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        let text = std::str::from_utf8(line).ok().and_then(|text| text.strip_suffix('\n'));
        let Some(row) = text.and_then(opened) else { break };
        rows.push(row);
        good += line.len();
    }
    (rows, good)
}

/// Writes a file so that it is the old one or the new one whenever the power goes.
fn replace(path: &Path, bytes: &[u8]) -> Result<()> {
    let new = path.with_extension("new");
    let mut file = File::create(&new).with_context(|| format!("cannot write {}", new.display()))?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path).with_context(|| format!("cannot write {}", path.display()))?;
    let directory = path.parent().context("a file stands in a directory")?;
    File::open(directory)?.sync_all()?;
    Ok(())
}

/// A lock that is held, on whatever way out.
struct Lock(File);

impl Drop for Lock {
    fn drop(&mut self) {
        // A process that another thread is just starting holds a copy of the descriptor for a moment, and with it
        // the lock, unless it is let go by name.
        let _ = self.0.unlock();
    }
}

impl Directory {
    /// Begins a run, or goes on with one of the same study.
    ///
    /// # Errors
    /// Another run writes there; what stands there is of another study, of another form of it or of another commit.
    pub fn open(path: &Path, study: &Study, afresh: bool) -> Result<Directory> {
        std::fs::create_dir_all(path).with_context(|| format!("cannot make {}", path.display()))?;
        let lock = File::create(path.join("lock"))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                bail!("another run writes into {}: wait for it, or name another with --out", path.display())
            }
            Err(TryLockError::Error(error)) => return Err(error).context("cannot lock the results"),
        }
        let lock = Lock(lock);
        let facts = Facts::of(study);
        let (facts_at, study_at, journal_at) =
            (path.join("run.json"), path.join("study.toml"), path.join("journal"));
        let advice = "take --afresh to begin anew, or name another directory with --out";
        if afresh {
            for old in [&journal_at, &study_at, &facts_at] {
                if old.exists() {
                    std::fs::remove_file(old).with_context(|| format!("cannot remove {}", old.display()))?;
                }
            }
        }
        if facts_at.exists() {
            let old = Directory::facts(path)?;
            let text = std::fs::read_to_string(&study_at).unwrap_or_default();
            if text != study.text || old.quick != study.quick {
                bail!("{} is of another text or form of the study: {advice}", path.display());
            }
            if old.commit != facts.commit {
                bail!(
                    "{} was begun at commit {}, this is {}: {advice}",
                    path.display(),
                    old.commit,
                    facts.commit
                );
            }
        } else {
            ensure!(!journal_at.exists(), "{} has rows and does not say of what: {advice}", path.display());
            replace(&study_at, study.text.as_bytes())?;
            replace(&facts_at, &serde_json::to_vec_pretty(&facts)?)?;
        }
        let mut journal =
            OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&journal_at)?;
        let mut bytes = Vec::new();
        journal.read_to_end(&mut bytes)?;
        let (mut found, good) = whole_lines(&bytes);
        // What stands behind the first line that is not whole was never acknowledged, or is no row of ours.
        journal.set_len(good as u64)?;
        journal.seek(SeekFrom::End(0))?;
        let cells = study.cells().len();
        found.retain(|row| row.cell < cells && study.seeds.contains(&row.seed));
        Ok(Directory { path: path.into(), journal, _lock: lock, found })
    }

    /// What a directory is of.
    ///
    /// # Errors
    /// It cannot be read, or a newer program wrote it.
    pub fn facts(path: &Path) -> Result<Facts> {
        let at = path.join("run.json");
        let text =
            std::fs::read(&at).with_context(|| format!("{} is no run: no run.json", path.display()))?;
        let facts: Facts =
            serde_json::from_slice(&text).with_context(|| format!("cannot read {}", at.display()))?;
        ensure!(
            facts.version == VERSION,
            "{}: form {}, this program reads {VERSION}",
            at.display(),
            facts.version
        );
        Ok(facts)
    }

    /// Keeps a row, durable on return.
    ///
    /// # Errors
    /// The disk is full, or gone.
    pub fn keep(&mut self, row: &Row) -> Result<()> {
        self.journal.write_all(sealed(row).as_bytes()).context("cannot write the journal")?;
        self.journal.sync_data().context("cannot write the journal")
    }

    /// Writes a result whole.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn write(&self, name: &str, bytes: &[u8]) -> Result<()> {
        replace(&self.path.join(name), bytes)
    }
}

/// All rows as CSV, in the order of cells and seeds.
///
/// # Errors
/// None that a row of the study can bring about.
pub fn to_csv(study: &Study, rows: &[Row]) -> Result<Vec<u8>> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let cells = study.cells();
    let mut head: Vec<&str> = study.factors.iter().map(|(key, _)| key.as_str()).collect();
    head.push("seed");
    head.extend(study.backend.measures().iter().map(|(name, _)| *name));
    head.push("rules_broken");
    writer.write_record(&head)?;
    for row in rows {
        let mut record: Vec<String> = cells[row.cell].iter().map(|(_, level)| level.to_string()).collect();
        record.push(row.seed.to_string());
        record.extend(row.values.iter().map(f64::to_string));
        record.push(row.broken.len().to_string());
        writer.write_record(&record)?;
    }
    Ok(writer.into_inner()?)
}

/// Values by measure, cell and seed, as a finished run's `rows.csv` has them.
pub type Table = BTreeMap<String, BTreeMap<(Cell, u64), f64>>;

/// Reads a finished run.
///
/// # Errors
/// It is not finished, or its files do not fit each other.
pub fn read(path: &Path) -> Result<(Facts, Study, Table)> {
    let facts = Directory::facts(path)?;
    let text = std::fs::read_to_string(path.join("study.toml"))
        .with_context(|| format!("{} is no run: no study.toml", path.display()))?;
    let study =
        Study::parse(&facts.study, &path.join("study.toml").display().to_string(), &text, facts.quick)?;
    let rows = path.join("rows.csv");
    let mut reader = csv::Reader::from_path(&rows)
        .with_context(|| format!("{} is not finished: run its study again with --out", path.display()))?;
    let head = reader.headers()?.clone();
    let factors = study.factors.len();
    let mut table = Table::new();
    for record in reader.records() {
        let record = record?;
        let cell: Cell = study
            .factors
            .iter()
            .zip(&record)
            .map(|((key, _), level)| (key.clone(), crate::study::Level(level.into())))
            .collect();
        let figure = |at: usize| -> Result<f64> {
            let text = record.get(at).context("a short row")?;
            text.parse().with_context(|| format!("{}: {text:?} is no number", rows.display()))
        };
        let seed = figure(factors)? as u64;
        for at in factors + 1..head.len() {
            table.entry(head[at].to_string()).or_default().insert((cell.clone(), seed), figure(at)?);
        }
    }
    Ok((facts, study, table))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn study() -> Study {
        let text = "question = 'q'\nbackend = 'emulator'\nseeds = 3\n[factors]\nload = [0.5, 1.0]\n";
        Study::parse("s", "s.toml", text, false).expect("it is good")
    }

    fn row(cell: usize, seed: u64) -> Row {
        Row { cell, seed, values: vec![1.0 / 3.0, 0.0], broken: vec!["two\nlines".into()] }
    }

    #[test]
    fn a_journal_cut_at_any_byte_gives_the_whole_rows_before_the_cut_and_goes_on_from_there() {
        let directory = tempfile::tempdir().expect("a directory");
        let rows = [row(0, 1), row(0, 2), row(1, 1)];
        let all: String = rows.iter().map(sealed).collect();
        // One directory for all cuts: what stands in it beside the journal is written once, as each write is durable.
        let path = directory.path().join("run");
        drop(Directory::open(&path, &study(), false).expect("it opens"));
        for cut in 0..=all.len() {
            std::fs::write(path.join("journal"), &all[..cut]).expect("written");
            let mut again = Directory::open(&path, &study(), false).expect("it opens");
            let whole = all[..cut].matches('\n').count();
            assert_eq!(again.found, rows[..whole], "cut at {cut}");
            again.keep(&row(1, 3)).expect("kept");
            drop(again);
            let last = Directory::open(&path, &study(), false).expect("it opens");
            assert_eq!(last.found, [&rows[..whole], &[row(1, 3)]].concat(), "cut at {cut}");
        }
    }

    #[test]
    fn a_byte_that_is_wrong_ends_what_is_believed() {
        let text: String = [row(0, 1), row(0, 2)].iter().map(sealed).collect();
        for at in 0..text.len() {
            let mut bytes = text.clone().into_bytes();
            bytes[at] ^= 1;
            let (rows, _) = whole_lines(&bytes);
            assert!(rows.iter().zip([row(0, 1), row(0, 2)]).all(|(row, wanted)| *row == wanted), "byte {at}");
            assert!(rows.len() < 2, "byte {at}");
        }
    }

    #[test]
    fn two_runs_do_not_share_a_directory_and_a_study_that_was_edited_does_not_go_on_in_it() {
        let directory = tempfile::tempdir().expect("a directory");
        let first = Directory::open(directory.path(), &study(), false).expect("it opens");
        let error = Directory::open(directory.path(), &study(), false).err().expect("it is locked");
        assert!(error.to_string().contains("another run writes"), "{error}");
        drop(first);
        let mut edited = study();
        edited.text.push_str("# louder\n");
        let error = Directory::open(directory.path(), &edited, false).err().expect("it is another");
        assert!(error.to_string().contains("--afresh"), "{error}");
        Directory::open(directory.path(), &edited, true).expect("it begins anew");
        assert!(Directory::open(directory.path(), &study(), false).is_err());
    }

    #[test]
    fn rounded_values_come_back_from_a_journal_as_they_were() {
        for value in [1.0 / 3.0, 1e-12 / 7.0, 123_456_789.123_456, 0.1 + 0.2, 0.0, 5e9 / 3.0] {
            let value = rounded(value);
            let row = Row { cell: 0, seed: 1, values: vec![value], broken: vec![] };
            assert_eq!(opened(sealed(&row).trim_end()).expect("whole").values[0].to_bits(), value.to_bits());
        }
    }
}
