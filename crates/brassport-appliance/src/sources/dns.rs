//! `kind = "dns"`: SRV records as the operator writes them down, checked, in the source's terms.

use super::Reread;
use brassport::clock::SystemClock;
use brassport::config::{Feed, ReportSink};
use brassport::log;
use brassport::network::Tcp;
use brassport_dns::follower::Options;
use brassport_dns::source::{Host, Source};
use brassport_resolver::question::Name;
use brassport_resolver::resolver::Settings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Services of one source, and resolvers, at the most.
const MOST_SERVICES: usize = 16;
const MOST_RESOLVERS: usize = 8;

/// SRV records.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dns {
    pub(super) name: String,
    services: Vec<String>,
    resolvers: Vec<SocketAddr>,
    #[serde(default)]
    pub(super) allow: Vec<String>,
    #[serde(default)]
    pub(super) deny: Vec<String>,
    #[serde(default)]
    addresses: Family,
    #[serde(default)]
    targets: Targets,
    #[serde(default)]
    priorities: Priorities,
    #[serde(default)]
    first_list: FirstList,
    #[serde(default)]
    zone: String,
    least_lifetime_ms: Option<u64>,
    most_lifetime_ms: Option<u64>,
    stale_ms: Option<u64>,
    empty_ms: Option<u64>,
    patience_ms: Option<u64>,
    queries_per_s: Option<u64>,
    most_nodes: Option<u64>,
}

/// Which addresses of the targets are asked for.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Family {
    #[default]
    Both,
    Ipv4,
    Ipv6,
}

/// What a target is.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Targets {
    /// One node, with one or more addresses.
    #[default]
    One,
    /// A node for each of its addresses.
    Each,
}

/// What a priority is.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Priorities {
    /// The node's group; all serve.
    #[default]
    Group,
    /// Only the lowest that has an address serves.
    Best,
}

/// What a node of the first list is of which nothing is known from an earlier run.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum FirstList {
    #[default]
    Cold,
    Warm,
}

impl Dns {
    pub fn options(&self) -> Result<Options, String> {
        if !(1..=MOST_SERVICES).contains(&self.services.len()) {
            return Err(format!("services: 1 to {MOST_SERVICES} names"));
        }
        let mut services = Vec::new();
        for text in &self.services {
            let name = Name::parse(text).map_err(|problem| format!("services: {problem}"))?;
            // Guards the rule on what belongs to the service's own domain: without one, all would.
            if !name.as_str().starts_with('_') || name.domain().is_root() || name.domain() == name {
                return Err(format!("services: '{text}' is not of the form _service._tcp.DOMAIN"));
            }
            if services.contains(&name) {
                return Err(format!("services: '{text}' stands there twice"));
            }
            services.push(name);
        }
        let first = services.first().cloned().ok_or("services: there is none")?;
        let defaults = Options::of(first);
        Ok(Options {
            services,
            ipv4: self.addresses != Family::Ipv6,
            ipv6: self.addresses != Family::Ipv4,
            each: self.targets == Targets::Each,
            best_only: self.priorities == Priorities::Best,
            warm_at_first: self.first_list == FirstList::Warm,
            zone: self.zone.clone(),
            empty_for: within("empty_ms", self.empty_ms, defaults.empty_for, 1_000, 3_600_000)?,
            most_nodes: within("most_nodes", self.most_nodes, defaults.most_nodes as u64, 1, 10_000)?
                as usize,
            known: BTreeMap::new(),
        })
    }

    pub fn settings(&self) -> Result<Settings, String> {
        if !(1..=MOST_RESOLVERS).contains(&self.resolvers.len()) {
            return Err(format!(
                "resolvers: 1 to {MOST_RESOLVERS} addresses with ports, such as 127.0.0.1:53"
            ));
        }
        let twice = self.resolvers.iter().enumerate().find(|(at, one)| self.resolvers[..*at].contains(one));
        if let Some((_, one)) = twice {
            return Err(format!("resolvers: {one} stands there twice"));
        }
        if let Some(one) = self.resolvers.iter().find(|one| one.port() == 0 || one.ip().is_unspecified()) {
            return Err(format!("resolvers: nothing can be sent to {one}"));
        }
        let day = 86_400_000;
        let defaults = Settings::of(self.resolvers.clone());
        let least = within("least_lifetime_ms", self.least_lifetime_ms, defaults.least_lifetime, 500, day)?;
        let most = within("most_lifetime_ms", self.most_lifetime_ms, defaults.most_lifetime, 500, day)?;
        if least > most {
            return Err(format!("least_lifetime_ms: {least} is more than most_lifetime_ms, {most}"));
        }
        let queries =
            within("queries_per_s", self.queries_per_s, u64::from(defaults.queries_per_s), 1, 1_000)?;
        Ok(Settings {
            udp_patience: within("patience_ms", self.patience_ms, defaults.udp_patience, 50, 10_000)?,
            least_lifetime: least,
            most_lifetime: most,
            stale_for: within("stale_ms", self.stale_ms, defaults.stale_for, 0, 7 * day)?,
            queries_per_s: queries as u32,
            ..defaults
        })
    }

    /// What runs on the front door's thread to follow the records. `known`: nodes of an earlier run.
    pub fn feed(&self, known: BTreeMap<String, (SocketAddr, f64)>, reread: Reread) -> Result<Feed, String> {
        let (options, settings) = (Options { known, ..self.options()? }, self.settings()?);
        let name = self.name.clone();
        let mut seed = [0; 32];
        // Guards against forged answers: ids are drawn from this.
        getrandom::fill(&mut seed).map_err(|error| format!("the system gives no random numbers: {error}"))?;
        Ok(Box::new(move |reader: ReportSink| {
            let host = Host {
                reader: Box::new(move |report| reader(report)),
                log: Box::new(move |line| log::write_line(format!("{name}: {line}"))),
                seed,
                reread: Some(reread),
            };
            Box::pin(Source::new(SystemClock, Tcp, options, settings, host).follow())
        }))
    }
}

fn within(key: &str, value: Option<u64>, default: u64, least: u64, most: u64) -> Result<u64, String> {
    match value {
        None => Ok(default),
        Some(value) if (least..=most).contains(&value) => Ok(value),
        Some(value) => Err(format!("{key}: {value} is not between {least} and {most}")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Dns, String> {
        toml::from_str(text).map_err(|error| error.to_string())
    }

    #[test]
    fn what_makes_no_sense_is_named_with_its_key() {
        let sound = "name='d'\nservices=['_render._tcp.example.org']\nresolvers=['127.0.0.1:53']\n";
        let dns = read(sound).unwrap();
        assert!(dns.options().is_ok() && dns.settings().is_ok());
        for (from, to, told) in [
            ("_render._tcp.example.org", "render.example.org", "_service._tcp.DOMAIN"),
            ("_render._tcp.example.org", "_render._tcp", "_service._tcp.DOMAIN"),
            ("_render._tcp.example.org", "_render..org", "between its dots"),
            ("['_render._tcp.example.org']", "[]", "services: 1 to 16"),
            ("['127.0.0.1:53']", "[]", "resolvers: 1 to 8"),
            ("['127.0.0.1:53']", "['127.0.0.1:53','127.0.0.1:53']", "twice"),
            ("127.0.0.1:53", "127.0.0.1:0", "nothing can be sent"),
            (
                "name='d'",
                "name='d'\nleast_lifetime_ms=9000\nmost_lifetime_ms=8000",
                "more than most_lifetime_ms",
            ),
            ("name='d'", "name='d'\nqueries_per_s=0", "queries_per_s: 0"),
        ] {
            let text = sound.replace(from, to);
            assert_ne!(text, sound);
            let dns = read(&text).unwrap();
            let problem = dns.options().and_then(|_| dns.settings()).expect_err(told);
            assert!(problem.contains(told), "{problem}");
        }
        assert!(read(&sound.replace("127.0.0.1:53", "resolver.example.org:53"))
            .unwrap_err()
            .contains("resolvers"));
        assert!(read(&format!("{sound}ttl=3\n")).unwrap_err().contains("ttl"));
    }
}
