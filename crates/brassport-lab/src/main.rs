//! The command `brassport-lab`.

use anyhow::{bail, Context, Result};
use brassport_lab::sockets::floor;
use brassport_lab::sockets::nodes::{self, Work};
use brassport_lab::study::Study;
use brassport_lab::{backend, comparison, report, results, run};
use clap::{Parser, Subcommand};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Plays declared experiments on the front door's decisions, and keeps what comes of them.
#[derive(Debug, Parser)]
#[command(name = "brassport-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Plays a study, or goes on with one that was stopped. Exit code 1: a bound is not kept; 2: a rule is broken, or
    /// a row is void; 3: it could not be played.
    Run {
        /// The study's file.
        study: PathBuf,
        /// Where results go; lab-results/NAME, or lab-results/NAME-quick, if not given.
        #[arg(long)]
        out: Option<PathBuf>,
        /// Its quick form.
        #[arg(long)]
        quick: bool,
        /// Rows played side by side; all cores if not given. What measures time plays one at a time.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        jobs: Option<u16>,
        /// Forgets what was played.
        #[arg(long)]
        afresh: bool,
    },
    /// Plays one row and prints it.
    Replay {
        /// The study's file.
        study: PathBuf,
        /// Its quick form.
        #[arg(long)]
        quick: bool,
        /// The number of the cell, from 0.
        #[arg(long)]
        cell: usize,
        /// The seed.
        #[arg(long)]
        seed: u64,
    },
    /// Prints what differs between two runs, paired by cell and seed; or, with --by, between the levels of one factor
    /// within a run: two builds that it played in turn, say.
    Compare {
        /// The directory of one.
        a: PathBuf,
        /// The directory of the other.
        #[arg(required_unless_present = "by")]
        b: Option<PathBuf>,
        /// A factor of the run, whose first level the others are held against.
        #[arg(long, conflicts_with = "b")]
        by: Option<String>,
    },
    /// Makes one HTML page of a run, report.html in its directory.
    Report {
        /// The run's directory.
        run: PathBuf,
    },
    /// Stand-in nodes of a run: prints their addresses, then serves until its input ends.
    #[command(hide = true)]
    Nodes {
        /// How many.
        #[arg(long)]
        count: usize,
        /// Time of a request.
        #[arg(long)]
        work_ms: f64,
        /// When all stand still, in milliseconds from the start.
        #[arg(long, requires = "stall_ms")]
        stall_at_ms: Option<u64>,
        /// For how long.
        #[arg(long, requires = "stall_at_ms")]
        stall_ms: Option<u64>,
    },
    /// The relay that decides nothing: prints its address, then serves until its input ends.
    #[command(hide = true)]
    Floor {
        /// Nodes.
        #[arg(required = true)]
        nodes: Vec<SocketAddr>,
    },
    /// Lists the studies of a directory, and what backends there are.
    List {
        /// The directory.
        #[arg(default_value = "docs/studies")]
        studies: PathBuf,
    },
}

/// Prints a line. Whoever reads no more, as `head` does, is no reason to fail.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout().lock(), "{}", text.trim_end());
}

fn play(
    study: &Path,
    out: Option<PathBuf>,
    quick: bool,
    jobs: Option<u16>,
    afresh: bool,
) -> Result<ExitCode> {
    let read = Study::read(study, quick)?;
    let out = out.unwrap_or_else(|| {
        Path::new("lab-results").join(format!("{}{}", read.name, if quick { "-quick" } else { "" }))
    });
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let verdict = run::run(&read, study, &out, jobs.map_or(cores, usize::from), afresh)?;
    say(&std::fs::read_to_string(out.join("summary.md"))?);
    say(&format!("\nKept in {}", out.display()));
    Ok(match (verdict.broken.is_empty(), verdict.bounds.is_empty()) {
        (false, _) => ExitCode::from(2),
        (true, false) => ExitCode::from(1),
        (true, true) => ExitCode::SUCCESS,
    })
}

fn replay(study: &Path, quick: bool, cell: usize, seed: u64) -> Result<ExitCode> {
    let study = Study::read(study, quick)?;
    let cells = study.cells();
    if cell >= cells.len() {
        bail!("the study has cells 0 to {}", cells.len() - 1);
    }
    for (key, level) in study.parameters(&cells[cell]) {
        say(&format!("{key} = {level}"));
    }
    let row = run::play(&study, cell, seed)?;
    for ((name, _), value) in study.backend.measures().iter().zip(&row.values) {
        say(&format!("{name:>16} {value}"));
    }
    row.broken.iter().for_each(|line| say(&format!("broken: {line}")));
    Ok(if row.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

fn page(path: &Path) -> Result<ExitCode> {
    let (facts, ..) = results::read(path)?;
    let summary = std::fs::read_to_string(path.join("summary.md")).context("the run is not finished")?;
    let mut charts = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let at = entry?.path();
        let name = at.file_name().and_then(|name| name.to_str()).unwrap_or_default().to_string();
        if name.ends_with(".svg") {
            charts.push((name, std::fs::read_to_string(&at)?));
        }
    }
    let at = path.join("report.html");
    std::fs::write(&at, report::page(&facts.study, &summary, &charts))
        .with_context(|| format!("cannot write {}", at.display()))?;
    say(&at.display().to_string());
    Ok(ExitCode::SUCCESS)
}

fn list(directory: &Path) -> Result<ExitCode> {
    let entries =
        std::fs::read_dir(directory).with_context(|| format!("cannot read {}", directory.display()))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|path| path.extension().is_some_and(|ending| ending == "toml"));
    files.sort();
    for file in files {
        match Study::read(&file, false) {
            Ok(study) => {
                let rows = study.cells().len() * study.seeds.len();
                let question = study.question.lines().next().unwrap_or_default();
                say(&format!("{}: {rows} rows on {}: {question}", file.display(), study.backend.name()));
            }
            Err(error) => say(&format!("{error:#}")),
        }
    }
    for name in backend::NAMES {
        let Some(backend) = backend::named(name) else { continue };
        say(&format!("\nBackend {name}. Parameters:"));
        backend.parameters().iter().for_each(|(key, meaning)| say(&format!("  {key:<16} {meaning}")));
        say("Measures:");
        backend.measures().iter().for_each(|(key, meaning)| say(&format!("  {key:<16} {meaning}")));
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run { study, out, quick, jobs, afresh } => play(&study, out, quick, jobs, afresh),
        Command::Replay { study, quick, cell, seed } => replay(&study, quick, cell, seed),
        Command::Compare { a, b, by } => {
            let compared = match (b, by) {
                (Some(b), _) => comparison::compare(&a, &b),
                (None, by) => comparison::compare_levels(&a, &by.unwrap_or_default()),
            };
            compared.map(|text| {
                say(&text);
                ExitCode::SUCCESS
            })
        }
        Command::Report { run } => page(&run),
        Command::List { studies } => list(&studies),
        Command::Nodes { count, work_ms, stall_at_ms, stall_ms } => {
            let millis = Duration::from_millis;
            let stall = stall_at_ms.zip(stall_ms).map(|(at, length)| (millis(at), millis(length)));
            let work = Work { mean: Duration::from_secs_f64(work_ms.max(0.0) / 1000.0), spread: 0.0, stall };
            nodes::serve(count, work, 1).map(|()| ExitCode::SUCCESS)
        }
        Command::Floor { nodes } => floor::serve(nodes).map(|()| ExitCode::SUCCESS),
    };
    done.unwrap_or_else(|error| {
        eprintln!("brassport-lab: {error:#}");
        ExitCode::from(3)
    })
}
