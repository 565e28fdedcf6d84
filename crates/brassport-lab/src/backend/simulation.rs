//! The seeded fault simulation as a backend: whether rules are kept, over many seeds.

use super::{Backend, Outcome};
use crate::study::Level;
use brassport_sim::scenario::Scenario;

#[derive(Debug)]
pub struct Simulation;

fn draw(scripts: &str, seed: u64) -> Option<Scenario> {
    match scripts {
        "platform" => Some(Scenario::draw(seed)),
        "nomad" => Some(Scenario::draw_nomad(seed)),
        "dns" => Some(Scenario::draw_dns(seed)),
        _ => None,
    }
}

impl Backend for Simulation {
    fn name(&self) -> &'static str {
        "simulation"
    }

    fn parameters(&self) -> &'static [(&'static str, &'static str)] {
        &[("scripts", "platform, nomad or dns: what the drawn faults are of")]
    }

    fn measures(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("requests", "requests of clients"),
            ("served", "requests that a node served, in parts of all"),
            ("broken", "broken rules"),
        ]
    }

    fn is_deterministic(&self) -> bool {
        true
    }

    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String> {
        match parameters.iter().find(|(_, level)| draw(&level.0, 0).is_none()) {
            Some((_, level)) => Err(format!("no scripts {level}; there are platform, nomad, dns")),
            None => Ok(()),
        }
    }

    fn play(&self, parameters: &[(String, Level)], seed: u64) -> anyhow::Result<Outcome> {
        let scripts = parameters.first().map_or("platform", |(_, level)| level.0.as_str());
        let report = brassport_sim::play(&draw(scripts, seed).expect("checked with the study"));
        let broken: Vec<String> = report.violation.iter().map(|violation| format!("{violation:?}")).collect();
        let requests = report.counts.requests as f64;
        let served = report.counts.served as f64 / requests.max(1.0);
        Ok(Outcome { values: vec![requests, served, broken.len() as f64], broken })
    }
}
