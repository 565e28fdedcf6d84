//! The fleet emulator as a backend.

use super::{number, whole, Backend, Outcome};
use crate::emulator::twin::ERROR;
use crate::emulator::{play, Figures, Policy, Site};
use crate::study::Level;

#[derive(Debug)]
pub struct Emulator;

fn site(parameters: &[(String, Level)]) -> Result<Site, String> {
    let mut site = Site::default();
    for (key, level) in parameters {
        match key.as_str() {
            "doors" => site.doors = whole(key, level, 1, 1000)?,
            "nodes" => site.nodes = whole(key, level, 1, 100_000)?,
            "customers" => site.customers = whole(key, level, 1, 10_000_000)?,
            "load" => site.load = number(key, level, 0.001, 1000.0)?,
            "quota" => site.quota = number(key, level, 0.001, 1000.0)?,
            "skew" => site.skew = number(key, level, 0.0, 5.0)?,
            "ceiling" => site.ceiling = number(key, level, 0.0, 1000.0)?,
            "heavy" => site.heavy = number(key, level, 0.0, 0.9)?,
            "heavier" => site.heavier = number(key, level, 1.0, 1000.0)?,
            "spread" => site.spread = whole(key, level, 0, 1000)?,
            "surge" => site.surge = number(key, level, 0.01, 1000.0)?,
            "retries" => site.retries = whole(key, level, 0, 100)?,
            "work_ms" => site.work_ms = number(key, level, 1.0, 60_000.0)?,
            "seconds" => site.seconds = number(key, level, 1.0, 86_400.0)?,
            "fault" => site.fault = level.0.parse()?,
            "policy" => {
                site.policy = match level.0.as_str() {
                    "module" => Policy::Module,
                    "round-robin" => Policy::RoundRobin,
                    "least-in-flight" => Policy::LeastInFlight,
                    "even-share" => Policy::EvenShare,
                    "informed" => Policy::Informed,
                    _ => {
                        return Err(format!(
                    "no policy {level}; there are module, round-robin, least-in-flight, even-share, informed"
                ))
                    }
                }
            }
            _ => return Err(format!("no parameter {key}")),
        }
    }
    if site.ceiling > 0.0 && site.ceiling <= 1.0 {
        return Err(format!(
            "ceiling {}: it would make the quota void; write 0 for none, or more than 1",
            site.ceiling
        ));
    }
    if site.skew > 0.0 && site.heavy > 0.0 {
        return Err("skew and heavy both say who asks for how much; leave one of them 0".into());
    }
    Ok(site)
}

impl Backend for Emulator {
    fn name(&self) -> &'static str {
        "emulator"
    }

    fn parameters(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("doors", "front doors"),
            ("nodes", "nodes"),
            ("customers", "customers"),
            ("load", "units of first tries, in multiples of what the nodes can do"),
            ("quota", "sum of all quotas, in multiples of what the nodes can do"),
            ("skew", "exponent of Zipf's law for the customers' shares"),
            ("ceiling", "each customer's ceiling, in multiples of its quota; 0: none"),
            ("heavy", "part of the customers that are heavy, where skew is 0"),
            ("heavier", "load of one that is heavy, in multiples of another's"),
            ("spread", "front doors through which one customer's requests come; 0: all"),
            ("surge", "by how much the load is multiplied for a sixth of the time, from its middle on"),
            ("retries", "further tries of a client"),
            ("work_ms", "mean time of a request on a node"),
            ("seconds", "time that is measured"),
            (
                "fault",
                "none, or die, drain, freeze or restart with a part of the nodes, as die:0.3, or doors:0.7",
            ),
            ("policy", "module, round-robin, least-in-flight, even-share or informed"),
        ]
    }

    fn measures(&self) -> &'static [(&'static str, &'static str)] {
        &Figures::MEASURES
    }

    fn is_deterministic(&self) -> bool {
        true
    }

    fn caveat(&self) -> Option<String> {
        Some(format!(
            "A model: where the full simulation can play the same requests (docs/studies/emulator-error.md), goodput is \
             within {} of it, refused within {}, over_quota within {}, tries within {}, and the median up to {} ms too \
             short.",
            ERROR.goodput, ERROR.refused, ERROR.over_quota, ERROR.tries, ERROR.p50_ms
        ))
    }

    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String> {
        site(parameters).map(drop)
    }

    fn play(&self, parameters: &[(String, Level)], seed: u64) -> anyhow::Result<Outcome> {
        let figures = play(&site(parameters).expect("checked with the study"), seed);
        Ok(Outcome { values: figures.values.to_vec(), broken: figures.broken })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check(words: &[(&str, &str)]) -> Result<(), String> {
        let parameters: Vec<(String, Level)> =
            words.iter().map(|(key, level)| (key.to_string(), Level(level.to_string()))).collect();
        Emulator.check(&parameters)
    }

    #[test]
    fn what_contradicts_itself_is_an_error_that_says_the_way_out() {
        assert_eq!(check(&[("heavy", "0.1"), ("heavier", "4"), ("ceiling", "0")]), Ok(()));
        assert_eq!(check(&[("skew", "1"), ("ceiling", "1.5")]), Ok(()));
        let both = check(&[("skew", "1"), ("heavy", "0.1")]).expect_err("two laws");
        assert!(both.contains("leave one of them 0"), "{both}");
        let void = check(&[("ceiling", "0.5")]).expect_err("below the quota");
        assert!(void.contains("write 0 for none"), "{void}");
    }
}
