//! A study as its file declares it: a question, a matrix of factors by seeds, what must hold, what to draw.

use crate::backend::{self, Backend};
use anyhow::{bail, Context, Result};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use toml::{Spanned, Value};

/// Most rows that one study may have: more is a slip of the pen.
const MOST_ROWS: usize = 1_000_000;

/// One level of a factor, as it stands in tables.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(pub String);

impl Level {
    fn from_value(value: &Value) -> Result<Level, String> {
        match value {
            Value::Integer(number) => Ok(Level(number.to_string())),
            Value::Float(number) if number.is_finite() => Ok(Level(number.to_string())),
            Value::String(text) if !text.is_empty() && !text.contains(['|', '\n']) => Ok(Level(text.clone())),
            _ => Err(format!("{value:?} is no level: write numbers or plain words")),
        }
    }

    /// Its number, where it is one.
    pub fn number(&self) -> Option<f64> {
        self.0.parse().ok()
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// One cell of the matrix: a level of each factor, in the order of the backend's parameters.
pub type Cell = Vec<(String, Level)>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    question: String,
    backend: Spanned<String>,
    seeds: Spanned<u64>,
    #[serde(default = "one")]
    first_seed: u64,
    #[serde(default)]
    fixed: BTreeMap<String, Spanned<Value>>,
    factors: BTreeMap<String, Spanned<Vec<Value>>>,
    #[serde(default)]
    quick: Quick,
    #[serde(default, rename = "bound")]
    bounds: Vec<Spanned<BoundLine>>,
    #[serde(default, rename = "chart")]
    charts: Vec<Spanned<ChartLine>>,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Quick {
    seeds: Option<u64>,
    #[serde(default)]
    fixed: BTreeMap<String, Spanned<Value>>,
    #[serde(default)]
    factors: BTreeMap<String, Spanned<Vec<Value>>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundLine {
    measure: String,
    at_most: Option<f64>,
    at_least: Option<f64>,
    #[serde(default, rename = "where")]
    only: BTreeMap<String, Value>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartLine {
    title: String,
    x: String,
    y: String,
    series: Option<String>,
    #[serde(default, rename = "where")]
    only: BTreeMap<String, Value>,
}

/// What the mean of a measure must keep, in the cells that it is about.
#[derive(Debug, Clone, PartialEq)]
pub struct Bound {
    /// The measure.
    pub measure: String,
    /// It must not be above.
    pub at_most: Option<f64>,
    /// It must not be below.
    pub at_least: Option<f64>,
    /// Cells that it is about.
    pub only: Vec<(String, Level)>,
}

/// A chart.
#[derive(Debug, Clone, PartialEq)]
pub struct Chart {
    /// Its title.
    pub title: String,
    /// The factor along the bottom, in numbers.
    pub x: String,
    /// The measure.
    pub y: String,
    /// The factor that parts the lines.
    pub series: Option<String>,
    /// Cells that it shows.
    pub only: Vec<(String, Level)>,
}

/// A checked study.
#[derive(Debug)]
pub struct Study {
    /// The file's name without its ending.
    pub name: String,
    /// What it asks.
    pub question: String,
    /// What plays it.
    pub backend: Box<dyn Backend>,
    /// Seeds of each cell.
    pub seeds: Vec<u64>,
    /// Parameters that are the same in all cells.
    pub fixed: Vec<(String, Level)>,
    /// Factors with their levels, in the order of the backend's parameters.
    pub factors: Vec<(String, Vec<Level>)>,
    /// What must hold.
    pub bounds: Vec<Bound>,
    /// What to draw.
    pub charts: Vec<Chart>,
    /// The text it was read from, and whether the quick form was asked for: a results directory is of one of each.
    pub text: String,
    /// Whether this is the quick form.
    pub quick: bool,
}

/// Whether a cell has all of these levels.
pub fn matches(cell: &Cell, only: &[(String, Level)]) -> bool {
    only.iter().all(|wanted| cell.contains(wanted))
}

struct Place<'a> {
    path: &'a str,
    text: &'a str,
}

impl Place<'_> {
    /// `FILE:LINE: KEY`, for an error.
    fn at(&self, offset: usize, key: &str) -> String {
        let line = self.text[..offset.min(self.text.len())].matches('\n').count() + 1;
        format!("{}:{line}: {key}", self.path)
    }
}

impl Study {
    /// Reads a file.
    ///
    /// # Errors
    /// Names the file, the line and the key that is wrong.
    pub fn read(path: &Path, quick: bool) -> Result<Study> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        let name = path.file_stem().and_then(|name| name.to_str()).context("a study's file needs a name")?;
        Study::parse(name, &path.display().to_string(), &text, quick)
    }

    /// Takes the text of a file.
    ///
    /// # Errors
    /// As [`Study::read`].
    pub fn parse(name: &str, path: &str, text: &str, quick: bool) -> Result<Study> {
        let place = Place { path, text };
        let file: File = toml::from_str(text)
            .map_err(|error| anyhow::anyhow!("{path}: {}", error.to_string().trim_end()))?;
        let Some(backend) = backend::named(file.backend.get_ref()) else {
            bail!(
                "{}: no backend {:?}; there are {}",
                place.at(file.backend.span().start, "backend"),
                file.backend.get_ref(),
                backend::NAMES.join(", ")
            );
        };
        let parameters = backend.parameters();
        let known = |key: &str, offset: usize| {
            if parameters.iter().any(|(name, _)| *name == key) {
                return Ok(());
            }
            let names: Vec<&str> = parameters.iter().map(|(name, _)| *name).collect();
            bail!(
                "{}: no parameter of {}; it has {}",
                place.at(offset, key),
                backend.name(),
                names.join(", ")
            )
        };
        let level = |key: &str, offset: usize, value: &Value| -> Result<Level> {
            known(key, offset)?;
            let level = Level::from_value(value)
                .map_err(|why| anyhow::anyhow!("{}: {why}", place.at(offset, key)))?;
            backend
                .check(&[(key.to_string(), level.clone())])
                .map_err(|why| anyhow::anyhow!("{}: {why}", place.at(offset, key)))?;
            Ok(level)
        };
        let mut fixed = BTreeMap::new();
        let mut factors: BTreeMap<String, Vec<Level>> = BTreeMap::new();
        let no_more = BTreeMap::new();
        for (key, value) in file.fixed.iter().chain(if quick { &file.quick.fixed } else { &no_more }) {
            fixed.insert(key.clone(), level(key, value.span().start, value.get_ref())?);
        }
        let no_more = BTreeMap::new();
        for (key, levels) in file.factors.iter().chain(if quick { &file.quick.factors } else { &no_more }) {
            let offset = levels.span().start;
            if levels.get_ref().is_empty() {
                bail!("{}: a factor needs a level", place.at(offset, key));
            }
            if fixed.contains_key(key) {
                bail!("{}: it stands under fixed as well", place.at(offset, key));
            }
            let read: Result<Vec<Level>> =
                levels.get_ref().iter().map(|value| level(key, offset, value)).collect();
            let read = read?;
            if (1..read.len()).any(|at| read[..at].contains(&read[at])) {
                bail!("{}: a level stands there twice", place.at(offset, key));
            }
            factors.insert(key.clone(), read);
        }
        let alone = file.quick.factors.iter().find(|(key, _)| !file.factors.contains_key(*key));
        if let Some((key, levels)) = alone {
            bail!("{}: quick has it, factors has not", place.at(levels.span().start, key));
        }
        let in_order = |key: &str| parameters.iter().position(|(name, _)| *name == key);
        let mut factors: Vec<(String, Vec<Level>)> = factors.into_iter().collect();
        factors.sort_by_key(|(key, _)| in_order(key));
        let mut fixed: Vec<(String, Level)> = fixed.into_iter().collect();
        fixed.sort_by_key(|(key, _)| in_order(key));
        let only = |offset: usize, only: &BTreeMap<String, Value>| -> Result<Vec<(String, Level)>> {
            let checked = only.iter().map(|(key, value)| {
                let level = level(key, offset, value)?;
                // Of the full form: a quick one may leave out what a bound is about.
                let full =
                    file.factors.get(key).map(|levels| levels.get_ref().as_slice()).unwrap_or_default();
                if !full.iter().any(|other| Level::from_value(other).is_ok_and(|other| other == level)) {
                    bail!("{}: the factor {key} has no level {level}", place.at(offset, "where"));
                }
                Ok((key.clone(), level))
            });
            checked.collect()
        };
        let measured = |offset: usize, key: &str, measure: &str| {
            if backend.measures().iter().any(|(name, _)| *name == measure) {
                return Ok(());
            }
            let names: Vec<&str> = backend.measures().iter().map(|(name, _)| *name).collect();
            bail!("{}: no measure {measure:?}; there are {}", place.at(offset, key), names.join(", "))
        };
        let mut bounds = Vec::new();
        for line in &file.bounds {
            let (offset, bound) = (line.span().start, line.get_ref());
            measured(offset, "measure", &bound.measure)?;
            if bound.at_most.is_none() && bound.at_least.is_none() {
                bail!("{}: needs at_most or at_least", place.at(offset, "bound"));
            }
            bounds.push(Bound {
                measure: bound.measure.clone(),
                at_most: bound.at_most,
                at_least: bound.at_least,
                only: only(offset, &bound.only)?,
            });
        }
        let mut charts = Vec::new();
        for line in &file.charts {
            let (offset, chart) = (line.span().start, line.get_ref());
            measured(offset, "y", &chart.y)?;
            for key in std::iter::once(&chart.x).chain(&chart.series) {
                if !factors.iter().any(|(factor, _)| factor == key) {
                    bail!("{}: no factor {key:?}", place.at(offset, "chart"));
                }
            }
            let numbers = factors.iter().find(|(factor, _)| *factor == chart.x).map(|(_, levels)| levels);
            if !numbers.is_some_and(|levels| levels.iter().all(|level| level.number().is_some())) {
                bail!("{}: {} has levels that are no numbers", place.at(offset, "x"), chart.x);
            }
            charts.push(Chart {
                title: chart.title.clone(),
                x: chart.x.clone(),
                y: chart.y.clone(),
                series: chart.series.clone(),
                only: only(offset, &chart.only)?,
            });
        }
        let count =
            if quick { file.quick.seeds.unwrap_or(*file.seeds.get_ref()) } else { *file.seeds.get_ref() };
        if count == 0 {
            bail!("{}: at least one", place.at(file.seeds.span().start, "seeds"));
        }
        let cells = factors.iter().map(|(_, levels)| levels.len()).try_fold(1usize, usize::checked_mul);
        if cells.and_then(|cells| cells.checked_mul(count as usize)).is_none_or(|rows| rows > MOST_ROWS) {
            bail!("{}: more than {MOST_ROWS} rows", place.at(file.seeds.span().start, "seeds"));
        }
        Ok(Study {
            name: name.to_string(),
            question: file.question.trim().to_string(),
            backend,
            seeds: (file.first_seed..file.first_seed + count).collect(),
            fixed,
            factors,
            bounds,
            charts,
            text: text.to_string(),
            quick,
        })
    }

    /// All cells, the last factor's levels changing first.
    pub fn cells(&self) -> Vec<Cell> {
        let mut cells: Vec<Cell> = vec![Vec::new()];
        for (key, levels) in &self.factors {
            let longer = cells.iter().flat_map(|cell| {
                levels.iter().map(move |level| {
                    let mut cell = cell.clone();
                    cell.push((key.clone(), level.clone()));
                    cell
                })
            });
            cells = longer.collect();
        }
        cells
    }

    /// Everything that the backend is told for a cell.
    pub fn parameters(&self, cell: &Cell) -> Vec<(String, Level)> {
        self.fixed.iter().chain(cell).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "question = 'How much?'\nbackend = 'emulator'\nseeds = 4\n[fixed]\nnodes = 5\n[factors]\n\
                        load = [0.5, 1.0]\ndoors = [1, 3, 9]\n[quick]\nseeds = 1\n[quick.factors]\ndoors = [1]\n\
                        [[bound]]\nmeasure = 'goodput'\nat_least = 0.1\nwhere = { doors = 9 }\n\
                        [[chart]]\ntitle = 't'\nx = 'doors'\ny = 'goodput'\nseries = 'load'\n";

    fn wrong(text: &str) -> String {
        format!("{:#}", Study::parse("s", "s.toml", text, false).expect_err("it is wrong"))
    }

    #[test]
    fn a_study_is_a_matrix_in_the_order_of_the_parameters_and_its_quick_form_a_smaller_one() {
        let study = Study::parse("s", "s.toml", GOOD, false).expect("it is good");
        let cells = study.cells();
        assert_eq!(cells.len(), 6);
        assert_eq!(cells[1], [("doors".into(), Level("1".into())), ("load".into(), Level("1".into()))]);
        assert_eq!(study.seeds, [1, 2, 3, 4]);
        let quick = Study::parse("s", "s.toml", GOOD, true).expect("it is good");
        assert_eq!((quick.cells().len(), quick.seeds.len()), (2, 1));
        assert_eq!(study.parameters(&cells[0])[0], ("nodes".into(), Level("5".into())));
    }

    #[test]
    fn whatever_is_wrong_is_told_with_its_line_and_key() {
        for (from, to, told) in [
            ("seeds = 4", "seeds = 0", "s.toml:3: seeds"),
            ("load = [0.5, 1.0]", "loud = [0.5]", "s.toml:7: loud"),
            ("load = [0.5, 1.0]", "load = []", "s.toml:7: load"),
            ("load = [0.5, 1.0]", "load = [0.5, 0.5]", "twice"),
            ("load = [0.5, 1.0]", "load = [-1.0]", "s.toml:7: load"),
            ("load = [0.5, 1.0]", "nodes = [3]", "fixed"),
            ("backend = 'emulator'", "backend = 'guess'", "s.toml:2: backend"),
            ("doors = 9 }", "doors = 8 }", "no level 8"),
            ("measure = 'goodput'", "measure = 'luck'", "no measure \"luck\""),
            ("x = 'doors'", "x = 'nodes'", "no factor"),
            ("at_least = 0.1\n", "", "needs at_most"),
            ("seeds = 4", "seeds = 4\nsed = 1", "unknown field"),
            ("seeds = 4", "seeds = 4000000", "rows"),
        ] {
            assert!(GOOD.contains(from));
            let error = wrong(&GOOD.replacen(from, to, 1));
            assert!(error.contains(told) && error.contains("s.toml"), "{to}: {error}");
        }
    }
}
