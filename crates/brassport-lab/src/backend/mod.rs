//! What plays a cell with a seed.

mod decisions;
mod deployments;
mod emulator;
mod simulation;
mod sockets;
mod twin;

use crate::study::Level;
use anyhow::Result;

/// Names of all backends.
pub const NAMES: [&str; 6] = ["emulator", "deployments", "twin", "simulation", "decisions", "sockets"];

/// What one play measured.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// In the order of [`Backend::measures`].
    pub values: Vec<f64>,
    /// Broken rules, and why the row is void.
    pub broken: Vec<String>,
}

/// Plays cells.
pub trait Backend: Sync + std::fmt::Debug {
    /// Its name in a study.
    fn name(&self) -> &'static str;

    /// Parameters, with their meaning, in the order in which tables show them.
    fn parameters(&self) -> &'static [(&'static str, &'static str)];

    /// Measures, with their meaning and unit.
    fn measures(&self) -> &'static [(&'static str, &'static str)];

    /// Whether the same cell and seed always measure the same, so that plays may run side by side. What measures
    /// time plays alone.
    fn is_deterministic(&self) -> bool;

    /// What a reader of its figures must know, printed with every result.
    fn caveat(&self) -> Option<String> {
        None
    }

    /// Checks parameters.
    ///
    /// # Errors
    /// Says what is wrong with the first one that is.
    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String>;

    /// Plays a cell; `parameters` are checked.
    ///
    /// # Errors
    /// It could not be played: a program is missing, or ended.
    fn play(&self, parameters: &[(String, Level)], seed: u64) -> Result<Outcome>;
}

/// The backend of that name.
pub fn named(name: &str) -> Option<Box<dyn Backend>> {
    match name {
        "emulator" => Some(Box::new(emulator::Emulator)),
        "deployments" => Some(Box::new(deployments::Deployments)),
        "twin" => Some(Box::new(twin::Twin)),
        "simulation" => Some(Box::new(simulation::Simulation)),
        "sockets" => Some(Box::new(sockets::Sockets)),
        "decisions" => Some(Box::new(decisions::Decisions)),
        _ => None,
    }
}

/// A number within these limits.
fn number(key: &str, level: &Level, least: f64, most: f64) -> Result<f64, String> {
    match level.number() {
        Some(number) if number >= least && number <= most => Ok(number),
        _ => Err(format!("{key} = {level}: a number from {least} to {most} is wanted")),
    }
}

/// A whole number within these limits.
fn whole(key: &str, level: &Level, least: u32, most: u32) -> Result<u32, String> {
    level
        .0
        .parse()
        .ok()
        .filter(|number| (least..=most).contains(number))
        .ok_or_else(|| format!("{key} = {level}: a whole number from {least} to {most} is wanted"))
}
