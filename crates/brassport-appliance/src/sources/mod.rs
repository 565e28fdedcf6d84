//! The sources of nodes that an operator configures: `[[source]]` in the site's file, each followed on the front
//! door's thread.

mod dns;

use brassport::clock::SystemClock;
use brassport::config::{Feed, ReportSink, SourceConfig};
use brassport::log;
use brassport::network::Tcp;
use brassport_addresses::AddressSet;
use brassport_membership::book::{self, Entry, Report};
use brassport_membership::nomad::follower::Options;
use brassport_nomad::tls::{Files, Tls};
use brassport_nomad::{Host, Server, Settings, Source, Token};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Most bytes of a list in a file, and of a token.
const LIST_LIMIT: u64 = 1 << 20;
const TOKEN_LIMIT: u64 = 4096;
/// Between two looks at a list in a file. It counts when two looks in a row have found the same.
const LOOK: Duration = Duration::from_millis(200);

/// Counts how often the sources were told to look anew, as on SIGHUP.
pub type Reread = watch::Receiver<u64>;

/// Nodes of an earlier run, by name: address, and start as Unix time in milliseconds.
pub type Known = BTreeMap<String, (SocketAddr, f64)>;

/// A source as the operator writes it.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Written {
    /// A service of Nomad's.
    Nomad(Box<Nomad>),
    /// SRV records of DNS.
    Dns(Box<dns::Dns>),
    /// A list in a file.
    File {
        /// For people.
        name: String,
        /// The list.
        path: PathBuf,
        /// Prefixes of the addresses that it may name, and of those that it may not.
        #[serde(default)]
        allow: Vec<String>,
        #[serde(default)]
        deny: Vec<String>,
    },
}

/// A service of Nomad's.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nomad {
    name: String,
    service: String,
    servers: Vec<String>,
    namespace: Option<String>,
    region: Option<String>,
    token_file: Option<PathBuf>,
    ca_file: Option<PathBuf>,
    cert_file: Option<PathBuf>,
    key_file: Option<PathBuf>,
    server_name: Option<String>,
    wait_ms: Option<u64>,
    silence_ms: Option<u64>,
    #[serde(default)]
    allow: Vec<String>,
    #[serde(default)]
    deny: Vec<String>,
    #[serde(default)]
    ineligible: Ineligible,
}

/// What becomes of the nodes of a client that takes no new allocations, and does not drain.
#[derive(Debug, Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Ineligible {
    #[default]
    Serve,
    Drain,
}

impl Written {
    /// Its name.
    pub fn name(&self) -> &str {
        match self {
            Written::Nomad(nomad) => &nomad.name,
            Written::Dns(dns) => &dns.name,
            Written::File { name, .. } => name,
        }
    }

    /// Checks it; files that it names are read too.
    ///
    /// # Errors
    /// The key, and what is wrong with its value.
    pub fn check(&self) -> Result<(), String> {
        self.addresses()?;
        match self {
            Written::File { path, .. } => read_list(path).map(drop),
            Written::Dns(dns) => dns.options().and(dns.settings()).map(drop),
            Written::Nomad(nomad) => {
                nomad.settings()?;
                nomad.tls()?;
                nomad.token().read().map(drop).map_err(|problem| format!("token_file: {problem}"))
            }
        }
    }

    /// The addresses that it may name. A file is the operator's own: it may name any, unless it is told otherwise.
    fn addresses(&self) -> Result<AddressSet, String> {
        match self {
            Written::File { allow, deny, .. } => AddressSet::of(allow, deny),
            Written::Nomad(nomad) => AddressSet::guarded(&nomad.allow, &nomad.deny),
            Written::Dns(dns) => AddressSet::guarded(&dns.allow, &dns.deny),
        }
    }

    /// The source, ready to be followed. `known`: nodes of an earlier run, where there was one.
    ///
    /// # Errors
    /// As [`check`](Written::check).
    pub fn origin(&self, seed: u64, known: &Known, reread: &Reread) -> Result<SourceConfig, String> {
        let addresses = self.addresses()?;
        let source = match self {
            Written::Dns(_) => book::Source::lists_only(self.name()),
            _ => book::Source::authority(self.name()),
        };
        let feed: Feed = match self {
            Written::Dns(dns) => dns.feed(known.clone(), reread.clone())?,
            Written::File { name, path, .. } => {
                let (name, path, reread) = (name.clone(), path.clone(), reread.clone());
                Box::new(move |reader| {
                    Box::pin(async move { follow_file(&name, &path, reread, |list| reader(list)).await })
                })
            }
            Written::Nomad(nomad) => {
                let (settings, security, token) = (nomad.settings()?, nomad.tls()?, nomad.token());
                Box::new(move |reader| {
                    let host = Host {
                        security,
                        token: Box::new(token),
                        seed,
                        reader: Box::new(move |report| reader(report)),
                        log: Box::new(log::write_line),
                    };
                    Box::pin(Source::new(SystemClock, Tcp, settings, host).follow())
                })
            }
        };
        let feed: Feed = Box::new(move |reader: ReportSink| {
            feed(Rc::new(move |mut report: Report| {
                report.shut_out(|at| addresses.check(at));
                reader(report);
            }))
        });
        Ok(SourceConfig { source, initial_report: None, feed: Some(feed) })
    }
}

impl Nomad {
    fn is_secret(&self) -> bool {
        self.servers.iter().any(|server| server.starts_with("https://"))
    }

    fn settings(&self) -> Result<Settings, String> {
        let plain = |key: &str, text: &str| {
            let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
            match !text.is_empty() && text.len() <= 128 && text.bytes().all(fits) {
                true => Ok(text.to_string()),
                false => Err(format!("{key}: '{text}' is not of letters, digits, '-', '_' and '.'")),
            }
        };
        let server = |text: &String| {
            let address = text.strip_prefix("https://").or(text.strip_prefix("http://"));
            let address = address.and_then(|rest| rest.trim_end_matches('/').parse::<SocketAddr>().ok());
            let problem = || {
                format!("servers: '{text}' is not of the form https://ADDRESS:PORT; names are not looked up")
            };
            address.map(|address| Server { address }).ok_or_else(problem)
        };
        if self.servers.is_empty() {
            return Err("servers: there is none".into());
        }
        let secret = self.servers.iter().filter(|server| server.starts_with("https://")).count();
        if secret != 0 && secret != self.servers.len() {
            return Err("servers: all with https:// or all with http://".into());
        }
        let servers = self.servers.iter().map(server).collect::<Result<Vec<_>, _>>()?;
        let time =
            |key: &str, ms: Option<u64>, default: Duration, range: std::ops::RangeInclusive<u64>| match ms {
                None => Ok(default),
                Some(ms) if range.contains(&ms) => Ok(Duration::from_millis(ms)),
                Some(ms) => Err(format!("{key}: {ms} is not between {} and {}", range.start(), range.end())),
            };
        let mut settings = Settings::of(&plain("service", &self.service)?, servers);
        settings.namespace = self.namespace.as_deref().map(|text| plain("namespace", text)).transpose()?;
        settings.region = self.region.as_deref().map(|text| plain("region", text)).transpose()?;
        settings.wait = time("wait_ms", self.wait_ms, settings.wait, 1_000..=300_000)?;
        // The servers send a heartbeat every 10 s.
        settings.silence = time("silence_ms", self.silence_ms, settings.silence, 11_000..=300_000)?;
        let ineligible_drains = self.ineligible == Ineligible::Drain;
        settings.options = Options { ineligible_drains, ..settings.options };
        Ok(settings)
    }

    fn tls(&self) -> Result<Option<Tls>, String> {
        if !self.is_secret() {
            let given = [&self.ca_file, &self.cert_file, &self.key_file].iter().any(|file| file.is_some());
            return match given || self.server_name.is_some() {
                true => {
                    Err("ca_file, cert_file, key_file and server_name go with servers of https://".into())
                }
                false => Ok(None),
            };
        }
        let ca = self
            .ca_file
            .as_deref()
            .ok_or("ca_file: https:// needs the authority that signed the servers'")?;
        let own = match (&self.cert_file, &self.key_file) {
            (Some(certificate), Some(key)) => Some((certificate.as_path(), key.as_path())),
            (None, None) => None,
            _ => return Err("cert_file and key_file go together".into()),
        };
        if let Some((_, key)) = own {
            not_for_others(key).map_err(|problem| format!("key_file: {problem}"))?;
        }
        let default = format!("server.{}.nomad", self.region.as_deref().unwrap_or("global"));
        let server_name = self.server_name.as_deref().unwrap_or(&default);
        Tls::read(Files { ca, own, server_name }).map(Some)
    }

    fn token(&self) -> TokenFile {
        TokenFile(self.token_file.clone())
    }
}

/// A file that holds the token and nothing else; read anew for each call, as it may be exchanged.
struct TokenFile(Option<PathBuf>);

impl Token for TokenFile {
    fn read(&self) -> Result<Option<String>, String> {
        let Some(path) = &self.0 else { return Ok(None) };
        not_for_others(path)?;
        let text = read(path, TOKEN_LIMIT)?;
        match text.trim() {
            "" => Err(format!("{} is empty", path.display())),
            token => Ok(Some(token.to_string())),
        }
    }
}

/// Guards a secret: other users must not read its file.
fn not_for_others(path: &Path) -> Result<(), String> {
    let about = path.metadata().map_err(|error| format!("{}: {error}", path.display()))?;
    match about.mode() & 0o007 {
        0 => Ok(()),
        _ => Err(format!("{} can be read by others; `chmod 600` it", path.display())),
    }
}

fn read(path: &Path, most: u64) -> Result<String, String> {
    let problem = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut text = String::new();
    File::open(path).map_err(problem)?.take(most + 1).read_to_string(&mut text).map_err(problem)?;
    match text.len() as u64 > most {
        true => Err(format!("{} is longer than {most} bytes", path.display())),
        false => Ok(text),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileList {
    /// An empty list is a mistake unless it says so.
    #[serde(default)]
    empty: bool,
    #[serde(default)]
    node: Vec<FileNode>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileNode {
    name: String,
    endpoint: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    group: u64,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    started_ms: f64,
    #[serde(default)]
    state: FileState,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FileState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// A list as a file holds it.
fn parse_list(text: &str) -> Result<Report, String> {
    let list: FileList = toml::from_str(text).map_err(|error| error.to_string().trim_end().to_string())?;
    if list.node.is_empty() && !list.empty {
        return Err("holds no [[node]]; `empty = true` if that is meant".into());
    }
    let mut entries: Vec<Entry> = Vec::with_capacity(list.node.len());
    let mut names = BTreeSet::new();
    for node in list.node {
        if node.name.is_empty() || !names.insert(node.name.clone()) {
            return Err(format!("node '{}': a name stands there once, and is not empty", node.name));
        }
        if !(node.size.is_finite() && node.size >= 0.0 && node.started_ms.is_finite()) {
            return Err(format!("node '{}': size and started_ms are numbers, not below 0", node.name));
        }
        entries.push(Entry {
            zone: node.zone,
            group: node.group,
            size: node.size,
            boot_ms: node.started_ms,
            state: match node.state {
                FileState::Ready => book::State::Ready,
                FileState::Draining => book::State::Draining,
                FileState::Gone => book::State::Gone,
            },
            ..Entry::ready(&node.name, node.endpoint)
        });
    }
    Ok(Report::whole(entries))
}

fn read_list(path: &Path) -> Result<Report, String> {
    let text = read(path, LIST_LIMIT)?;
    parse_list(&text).map_err(|problem| format!("{}: {problem}", path.display()))
}

/// Follows a list in a file, whole or not at all: what cannot be read leaves what was read before in force.
async fn follow_file(name: &str, path: &Path, mut reread: Reread, reader: impl Fn(Report)) {
    // What the last look found, and the last text that was found twice and read: its parts are looked at once.
    let (mut last, mut judged): (Option<String>, Option<String>) = (None, None);
    let (mut in_force, mut told) = (false, None);
    loop {
        let found = read(path, LIST_LIMIT);
        // Guards against a file that is being written: it must be found twice.
        let settled = found.as_ref().is_ok_and(|text| last.as_ref() == Some(text));
        let list = match &found {
            Ok(text) if settled && judged.as_ref() != Some(text) => {
                judged = Some(text.clone());
                Some(parse_list(text).map_err(|problem| format!("{}: {problem}", path.display())))
            }
            Ok(_) => None,
            Err(problem) => {
                judged = None;
                Some(Err(problem.clone()))
            }
        };
        match list {
            None => {}
            Some(Ok(list)) => {
                if in_force || told.is_some() {
                    let nodes = list.entries.len();
                    log::write_line(format!("{name}: {nodes} nodes read from {}", path.display()));
                }
                (in_force, told) = (true, None);
                reader(list);
            }
            Some(Err(problem)) if told.as_ref() != Some(&problem) => {
                log::write_line(format!("{name}: {problem}; what was read before stays in force"));
                told = Some(problem);
            }
            Some(Err(_)) => {}
        }
        last = found.ok();
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            Ok(()) = reread.changed() => {
                // What is there now is read anew, and a problem with it told again.
                (last, judged, told) = (None, None, None);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;
    use std::fs;
    use std::os::unix::fs::PermissionsExt;

    #[test]
    fn a_list_is_read_whole_or_not_at_all_and_an_empty_one_must_say_so() {
        let list =
            parse_list("[[node]]\nname='a'\nendpoint='127.0.0.1:1'\nstate='draining'\nzone='z'\n").unwrap();
        assert!(list.whole && list.entries[0].state == book::State::Draining && list.entries[0].zone == "z");
        assert!(parse_list("").unwrap_err().contains("empty = true"));
        assert!(parse_list("empty = true").unwrap().entries.is_empty());
        let problem = parse_list("[[node]]\nname='a'\nendpoint='nowhere'\n").unwrap_err();
        assert!(problem.contains("line 3") && problem.contains("endpoint"), "{problem}");
        let twice =
            "[[node]]\nname='a'\nendpoint='127.0.0.1:1'\n[[node]]\nname='a'\nendpoint='127.0.0.1:2'\n";
        assert!(parse_list(twice).unwrap_err().contains("once"));
        assert!(parse_list("[[node]]\nname='a'\nendpoint='127.0.0.1:1'\nsize=-1.0\n").is_err());
    }

    #[test]
    fn a_secret_that_others_can_read_is_not_used_and_not_shown() {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("token");
        fs::write(&path, "very-secret\n").unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o644)).unwrap();
        let problem = TokenFile(Some(path.clone())).read().unwrap_err();
        assert!(problem.contains("chmod 600") && !problem.contains("very-secret"), "{problem}");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
        assert_eq!(TokenFile(Some(path.clone())).read().unwrap().as_deref(), Some("very-secret"));
        // Exchanged under a running program.
        fs::write(&path, "another\n").unwrap();
        assert_eq!(TokenFile(Some(path)).read().unwrap().as_deref(), Some("another"));
    }

    #[tokio::test]
    async fn a_file_that_is_replaced_counts_and_one_that_breaks_leaves_the_last_list_in_force() {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join("nodes.toml");
        let list = |names: &[&str]| -> String {
            names.iter().map(|name| format!("[[node]]\nname='{name}'\nendpoint='127.0.0.1:1'\n")).collect()
        };
        fs::write(&path, list(&["a"])).unwrap();
        let reports = RefCell::new(Vec::new());
        let heard = tokio::sync::Notify::new();
        let read = |report: Report| {
            reports.borrow_mut().push(report.entries.len());
            heard.notify_one();
        };
        let change = async {
            heard.notified().await;
            assert_eq!(*reports.borrow(), [1]);
            fs::write(&path, "[[node]]\nname=").unwrap();
            tokio::time::sleep(3 * LOOK).await;
            assert_eq!(*reports.borrow(), [1], "half a file");
            fs::write(&path, list(&["a", "b", "c"])).unwrap();
            heard.notified().await;
            assert_eq!(*reports.borrow(), [1, 3]);
        };
        let test = async {
            tokio::select! {
                () = change => {}
                () = follow_file("list", &path, tokio::sync::watch::channel(0).1, read) => {}
            }
        };
        tokio::time::timeout(Duration::from_secs(20), test).await.expect("it ends");
    }
}
