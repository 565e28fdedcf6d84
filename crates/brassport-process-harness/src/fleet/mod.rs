//! A fleet of real processes: three that vote, two doors that follow, clients before them and nodes behind them, and a relay
//! on every link. A schedule is drawn from a seed; each of its steps waits for what it sees, not for a time.

mod faults;
mod measure;
mod schedule;
mod tasks;

use crate::history::History;
use crate::parties::node;
use crate::port::reserve;
use crate::process::Process;
use crate::relay::Relay;
pub use faults::Fault;
pub use measure::{Cost, Gone};
use oorandom::Rand32;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
pub use tasks::Acts;
use tempfile::TempDir;

/// Voters of a schedule.
const VOTERS: u64 = 3;
/// Doors of a schedule.
const DOORS: u64 = 2;
const NODES: usize = 3;
/// How long a door may act without word of the fleet.
const VALID_MS: u64 = 1500;
/// Nothing here takes that long unless it fails.
const PATIENCE: Duration = Duration::from_secs(40);

/// A running fleet.
pub struct Fleet {
    folder: TempDir,
    program: PathBuf,
    pub history: History,
    voters: Vec<Process>,
    doors: Vec<Process>,
    door_listens: Vec<SocketAddr>,
    /// Where staff ask each door.
    door_desks: Vec<SocketAddr>,
    /// From a voter to another, and from a door to a voter; by place.
    between: BTreeMap<(u64, u64), Relay>,
    down: BTreeMap<(u64, u64), Relay>,
    banned: [bool; NODES],
    last: u64,
    published: u32,
    /// A change of which it is not known whether it was taken: the command, the node, and what it makes of it.
    open: Option<(Vec<String>, usize, bool)>,
    nodes: Vec<SocketAddr>,
    /// How many voters it has.
    size: u64,
    /// A second process of a door, and which.
    copy: Option<(Process, u64)>,
    /// What makes links come and go, until it is told to stop.
    flapping: Option<(Arc<AtomicBool>, JoinHandle<()>)>,
    /// By process: how much its wall clock is off, milliseconds.
    skews: BTreeMap<String, i64>,
    most_skew_ms: u32,
}

/// What came of a schedule.
#[derive(Debug, Default)]
pub struct Outcome {
    pub broken: Vec<String>,
    pub fenced: usize,
    pub not_fenced: usize,
    pub arrived: usize,
    /// Unsafe requests whose moment the audit tells on one clock.
    pub told: usize,
    /// From the call of `publish` to the word that it holds everywhere.
    pub times: Vec<Duration>,
}

fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(Instant::now() < until, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl Fleet {
    /// Starts a fleet of this program, `brassport-fleet`.
    ///
    /// # Panics
    /// It does not come up.
    pub fn start(program: &Path) -> Fleet {
        Fleet::with(program, VOTERS, DOORS)
    }

    /// As [`Fleet::start`], with so many voters and doors. Links of those beyond the first two are plain.
    ///
    /// # Panics
    /// It does not come up.
    pub fn with(program: &Path, size: u64, doors: u64) -> Fleet {
        Fleet::on_clocks(program, size, doors, 50_000)
    }

    /// As [`Fleet::with`], with wall clocks that are off by up to so many milliseconds.
    ///
    /// # Panics
    /// It does not come up.
    pub fn on_clocks(program: &Path, size: u64, doors: u64, most_skew_ms: u32) -> Fleet {
        let folder = tempfile::tempdir().expect("a folder");
        let history = History::default();
        let listens: Vec<SocketAddr> = (0..size).map(|_| reserve()).collect();
        let pairs = (0..size).flat_map(|a| (0..size).filter(move |b| *b != a).map(move |b| (a, b)));
        let between = pairs.map(|(a, b)| ((a, b), Relay::to(listens[b as usize]))).collect();
        let links = (0..doors.min(DOORS)).flat_map(|d| (0..size).map(move |v| (d, v)));
        let down = links.map(|(d, v)| ((d, v), Relay::to(listens[v as usize]))).collect();
        let mut fleet = Fleet {
            program: program.into(),
            history,
            voters: Vec::new(),
            doors: Vec::new(),
            door_listens: Vec::new(),
            door_desks: Vec::new(),
            between,
            down,
            banned: [false; NODES],
            last: 0,
            published: 0,
            open: None,
            nodes: Vec::new(),
            size,
            copy: None,
            flapping: None,
            skews: BTreeMap::new(),
            most_skew_ms,
            folder,
        };
        let valid = VALID_MS.to_string();
        for v in 0..size {
            let (id, listen, dir) =
                ((v + 1).to_string(), listens[v as usize].to_string(), fleet.dir(&format!("i{v}")));
            let mut words = vec![
                if v == 0 { "init" } else { "join" },
                &dir,
                "--id",
                &id,
                "--listen",
                &listen,
                "--valid-ms",
                &valid,
            ];
            let (first, key) = (listens[0].to_string(), fleet.dir("i0/key"));
            if v > 0 {
                words.extend(["--through", &first, "--key-file", &key]);
            }
            fleet.must(&words);
            let routes: BTreeMap<String, String> = (0..size)
                .filter(|other| *other != v)
                .map(|other| ((other + 1).to_string(), fleet.between[&(v, other)].address.to_string()))
                .collect();
            fleet.amend(&format!("i{v}"), "routes", json!(routes));
            let name = format!("i{}", v + 1);
            let skew = fleet.skew(&name, v);
            let mut process = fleet.process(&format!("i{v}"), vec!["run".into(), dir, skew]);
            process.start();
            fleet.voters.push(process);
            if v == 0 {
                let through: Vec<String> = listens.iter().map(ToString::to_string).collect();
                let mut words =
                    vec!["follow".to_string(), fleet.dir("staff"), "--name".into(), "staff".into()];
                words.extend(["--key-file".to_string(), fleet.dir("i0/key")]);
                through.into_iter().for_each(|address| words.extend(["--through".into(), address]));
                fleet.must(&words.iter().map(String::as_str).collect::<Vec<_>>());
            }
            wait_for("a voter that has joined", || {
                let all = fleet.status();
                let joined = all.iter().filter(|status| {
                    let voters = status["voters"].as_array().map_or(0, Vec::len);
                    voters == v as usize + 1
                        && status["version"].as_u64() > Some(v)
                        && !status["leader"].is_null()
                });
                (joined.count() == v as usize + 1).then_some(())
            });
        }
        let nodes: Vec<SocketAddr> =
            (0..NODES).map(|n| node(&format!("n{n}"), Duration::from_millis(3), &fleet.history)).collect();
        fleet.nodes = nodes.clone();
        for d in 0..doors {
            let (name, listen, desk) = (format!("d{d}"), reserve(), reserve());
            let mut words = vec!["follow".to_string(), fleet.dir(&name), "--name".into(), name.clone()];
            words.extend(["--valid-ms".into(), valid.clone(), "--key-file".into(), fleet.dir("i0/key")]);
            for v in 0..size {
                let address = fleet.down.get(&(d, v)).map_or(listens[v as usize], |relay| relay.address);
                words.extend(["--through".into(), address.to_string()]);
            }
            fleet.must(&words.iter().map(String::as_str).collect::<Vec<_>>());
            let file = fleet.dir(&format!("{name}.json"));
            std::fs::write(&file, front_door(listen, desk, &nodes).to_string()).expect("a file");
            let skew = fleet.skew(&name, size + d);
            let words = vec!["run".into(), fleet.dir(&name), "--front-door".into(), file, skew];
            let mut process = fleet.process(&name, words);
            process.start();
            fleet.doors.push(process);
            fleet.door_listens.push(listen);
            fleet.door_desks.push(desk);
        }
        fleet.settled();
        (0..doors.min(DOORS)).for_each(|d| fleet.copy_of(&format!("d{d}"), &format!("d{d}.old")));
        fleet
    }

    /// Draws what a process's wall clock is off by: calls bear less than two minutes between two of them.
    fn skew(&mut self, name: &str, number: u64) -> String {
        let most = self.most_skew_ms;
        let ms = i64::from(Rand32::new(number).rand_range(0..2 * most + 1)) - i64::from(most);
        self.skews.insert(name.into(), ms);
        format!("--wall-skew-ms={ms}")
    }

    fn dir(&self, name: &str) -> String {
        self.folder.path().join(name).display().to_string()
    }

    fn process(&self, name: &str, words: Vec<String>) -> Process {
        Process::new(name, &self.program, words, self.folder.path().join(format!("{name}.log")))
    }

    fn amend(&self, name: &str, key: &str, value: Value) {
        let path = self.folder.path().join(name).join("fleet.json");
        let text = std::fs::read_to_string(&path).expect("its settings");
        let mut settings: Value = serde_json::from_str(&text).expect("its settings");
        settings[key] = value;
        std::fs::write(&path, settings.to_string()).expect("its settings");
    }

    /// Runs a command; its exit code and its output's lines, as JSON where they are.
    fn command(&self, words: &[&str]) -> (Option<i32>, Vec<Value>, String) {
        let output = Command::new(&self.program).args(words).output().expect("the program starts");
        let lines = String::from_utf8_lossy(&output.stdout);
        let values = lines.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        (output.status.code(), values, String::from_utf8_lossy(&output.stderr).into_owned())
    }

    fn must(&self, words: &[&str]) {
        let (code, _, problem) = self.command(words);
        assert_eq!(code, Some(0), "{words:?}: {problem}");
    }

    fn status(&self) -> Vec<Value> {
        let (_, lines, _) = self.command(&["status", &self.dir("staff"), "--json"]);
        let all = lines.into_iter().flat_map(|line| line.as_array().cloned().unwrap_or_default());
        all.filter_map(|one| one.get("status").cloned()).collect()
    }

    /// Until one leads with all voters at its version, and all doors act on the last one.
    fn settled(&self) {
        wait_for("the fleet to settle", || {
            let all = self.status();
            let leader = all.iter().find(|status| status["leader"] == status["id"])?;
            let version = leader["version"].as_u64()?;
            let doors = leader["doors"].as_object()?;
            let up =
                doors.values().filter(|door| door[0].as_u64() >= Some(version) && door[1].as_u64() > Some(0));
            let same = all.iter().all(|status| status["digest"] == leader["digest"]);
            (all.len() == self.size as usize
                && same
                && version >= self.last
                && up.count() == self.doors.len())
            .then_some(())
        });
    }

    fn leader(&self) -> usize {
        wait_for("a leader", || {
            let all = self.status();
            let leader = all.iter().find(|status| status["leader"] == status["id"])?;
            Some(leader["id"].as_u64()? as usize - 1)
        })
    }
}

/// A front door's configuration, as on the platform, with these nodes and no discovery.
fn front_door(listen: SocketAddr, desk: SocketAddr, nodes: &[SocketAddr]) -> Value {
    let targets: Vec<Value> = nodes
        .iter()
        .enumerate()
        .map(|(n, address)| {
            json!({ "uid": format!("n{n}"), "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
                    "state": "ready", "capacity_hint": 1.0, "boot_ms": 0 })
        })
        .collect();
    let class = |name: &str, semantics: &str| {
        json!({ "name": name, "semantics": semantics, "group": "all", "dedupWindow": 5000.0, "worth": 1.0,
                "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false })
    };
    json!({
        "name": "n0", "listen": listen.to_string(), "admin_addr": desk.to_string(), "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 }, "counter": "127.0.0.1:9",
        "known": { "rev": 1, "all": true, "targets": targets },
        "settings": {
            "areas": ["a"], "balancers": 1, "ordinal": 0, "zone": 0, "tick": 4.0, "registryMode": "pushed",
            "bounds": { "cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0, "maxAttempts": 4,
                        "maxRetryAfter": 500.0, "mayDuplicate": false, "retryAfter": true },
            "rules": { "cold": 18000.0, "coldFrom": 0.24, "fall": 3000.0, "stopSendingWithin": 500.0, "tipMultiple": 2.0 },
            "familyInfo": { "mostUnits": 1, "usePeriod": 500.0 },
            "classes": [class("preview-fetch", "free"), class("job-submit", "single_shot")],
            "plans": [{ "name": "starter", "unitsPerS": 100000.0, "storeSize": 200000.0, "concurrency": 0, "price": 1.0,
                        "excessWorth": 0.0, "overrunCost": 0.8, "neverOverRate": 0.0, "capDepth": 0.0, "tolerance": 0.0 }],
        },
    })
}
