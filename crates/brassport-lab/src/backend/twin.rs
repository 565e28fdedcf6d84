//! The emulator beside the full simulation as a backend: its measures are the two and what parts them.

use super::{number, whole, Backend, Outcome};
use crate::emulator::twin::{play, Seen, Size};
use crate::study::Level;

#[derive(Debug)]
pub struct Twin;

fn size(parameters: &[(String, Level)]) -> Result<Size, String> {
    let mut size = Size { doors: 3, nodes: 6, customers: 12, load: 0.7, seconds: 20.0 };
    for (key, level) in parameters {
        match key.as_str() {
            "doors" => size.doors = whole(key, level, 1, 50)?,
            "nodes" => size.nodes = whole(key, level, 1, 90)?,
            "customers" => size.customers = whole(key, level, 1, 100_000)?,
            "load" => size.load = number(key, level, 0.01, 20.0)?,
            "seconds" => size.seconds = number(key, level, 1.0, 600.0)?,
            _ => return Err(format!("no parameter {key}")),
        }
    }
    Ok(size)
}

impl Backend for Twin {
    fn name(&self) -> &'static str {
        "twin"
    }

    fn parameters(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("doors", "front doors, up to 50"),
            ("nodes", "nodes, up to 90"),
            ("customers", "customers, on the simulation's three plans in turn"),
            ("load", "units of first tries, in multiples of what the nodes can do"),
            ("seconds", "how long requests come"),
        ]
    }

    fn measures(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("goodput", "answers within the aim, in parts of what the nodes can do, by the full simulation"),
            ("goodput_error", "the emulator's less that"),
            ("refused", "requests whose last try was refused, in parts of all, by the full simulation"),
            ("refused_error", "the emulator's less that"),
            (
                "over_quota",
                "units beyond the customers' token buckets, in parts of the quotas, by the full simulation",
            ),
            ("over_quota_error", "the emulator's less that"),
            ("tries", "tries, in multiples of requests, by the full simulation"),
            ("tries_error", "the emulator's less that"),
            ("p50_ms", "median time from a request's first try to its answer, by the full simulation"),
            ("p50_ms_error", "the emulator's less that"),
        ]
    }

    fn is_deterministic(&self) -> bool {
        true
    }

    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String> {
        size(parameters).map(drop)
    }

    fn play(&self, parameters: &[(String, Level)], seed: u64) -> anyhow::Result<Outcome> {
        let (simulated, emulated, broken) = play(size(parameters).expect("checked with the study"), seed);
        let pair = |of: fn(&Seen) -> f64| [of(&simulated), of(&emulated) - of(&simulated)];
        let values = [
            pair(|seen| seen.goodput),
            pair(|seen| seen.refused),
            pair(|seen| seen.over_quota),
            pair(|seen| seen.tries),
            pair(|seen| seen.p50_ms),
        ];
        Ok(Outcome { values: values.concat(), broken })
    }
}
