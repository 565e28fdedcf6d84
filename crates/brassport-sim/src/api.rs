//! The Nomad cluster of a site: its API servers, and the doors' sources that follow them.

use crate::door::Process;
use crate::kernel::{Host, Kernel, Nanos, MS};
use crate::scenario::{ApiTrouble, API_SERVERS};
use crate::seams::{SimClock, SimNetwork, START_UNIX};
use brassport::config::Feed;
use brassport_fakes::cluster::Cluster;
use brassport_fakes::nomad::{Servers, Trouble};
use brassport_membership::book::{Report, State};
use brassport_nomad::{Server, Settings, Source};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// What doors were told by their sources and nobody has looked at yet.
pub type Reports = Rc<RefCell<Vec<(Host, Report)>>>;

/// Where an API server listens.
pub fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 4, server as u8 + 1], 4646))
}

/// Whether an API server listens there.
pub fn is_api(address: SocketAddr) -> bool {
    matches!(address, SocketAddr::V4(at) if at.ip().octets()[2] == 4)
}

/// The machine of an API server.
pub fn host(server: usize) -> Host {
    Host(500 + server as u32)
}

/// The client that a node runs on.
fn client(uid: &str) -> String {
    format!("client-{uid}")
}

/// The cluster.
pub struct Api {
    /// Its servers' program.
    pub process: Process,
    servers: Rc<Servers<SimClock>>,
    reports: Reports,
    /// What each door's source lists, by the last report.
    listed: BTreeMap<Host, BTreeMap<String, State>>,
}

impl Api {
    /// Starts the servers.
    pub fn start(kernel: &Kernel) -> Api {
        let clock = SimClock::new(kernel.clone(), host(0), Rc::default());
        let servers = Servers::new(clock, Cluster::new(true), API_SERVERS, Duration::from_millis(1000));
        (0..API_SERVERS).for_each(|server| kernel.add_server(host(server)));
        let (serving, kernel) = (servers.clone(), kernel.clone());
        let process = Process::of(move |tasks, _| {
            for server in 0..API_SERVERS {
                let network = SimNetwork::new(kernel.clone(), host(server));
                let serving = serving.clone();
                tasks.spawn_local(async move {
                    serving
                        .serve(network, address(server), server)
                        .await
                        .expect("a simulated machine listens");
                });
            }
        });
        Api { process, servers, reports: Rc::default(), listed: BTreeMap::new() }
    }

    /// What a door's program runs to learn of the nodes.
    pub fn feed(&self, kernel: &Kernel, door: Host, clock: SimClock, seed: u64) -> Feed {
        let servers = (0..API_SERVERS).map(|server| Server { address: address(server) }).collect();
        let settings = Settings {
            wait: Duration::from_millis(2000),
            silence: Duration::from_millis(2500),
            ..Settings::of("render", servers)
        };
        let reports = self.reports.clone();
        let network = SimNetwork::new(kernel.clone(), door);
        Box::new(move |reader| {
            let reader = move |report: Report| {
                reports.borrow_mut().push((door, report.clone()));
                reader(report);
            };
            let host = brassport_nomad::Host {
                security: None,
                token: Box::new(()),
                seed,
                reader: Box::new(reader),
                log: Box::new(|_| {}),
            };
            Box::pin(Source::new(clock, network, settings, host).follow())
        })
    }

    /// A door starts anew, and its source with it.
    pub fn door_started(&mut self, door: Host) {
        self.listed.remove(&door);
    }

    /// Writes what has become of a node.
    pub fn change(&self, uid: &str, at: SocketAddr, state: &str, started: Option<Nanos>) {
        let started = started.map_or(0, |at| START_UNIX.as_millis() as u64 + at / MS);
        self.servers.change(|cluster| match state {
            "ready" => cluster.start(uid, &client(uid), at, &["zone=a"], started),
            "draining" => cluster.drain(&client(uid), uid),
            _ => cluster.stop(uid),
        });
    }

    /// A server's trouble begins or ends.
    pub fn trouble(&self, server: usize, trouble: Option<ApiTrouble>) {
        let none = Trouble::NONE;
        let trouble = match trouble {
            None => none,
            Some(ApiTrouble::Old(lag)) => Trouble { lag, ..none },
            Some(ApiTrouble::Behind(lag)) => Trouble { lag, last_contact: 60_000, ..none },
            Some(ApiTrouble::Leaderless(lag)) => Trouble { lag, leaderless: true, ..none },
            Some(ApiTrouble::Partial) => Trouble { partial: true, ..none },
            Some(ApiTrouble::Empty) => Trouble { empty: true, ..none },
            Some(ApiTrouble::Freezes) => Trouble { freezes: true, ..none },
            Some(ApiTrouble::Status(status)) => Trouble { status: Some(status), ..none },
            Some(ApiTrouble::Silent) => Trouble { silent: true, ..none },
            Some(ApiTrouble::Twice) => Trouble { twice: true, ..none },
            Some(ApiTrouble::Disorder) => Trouble { disorder: true, ..none },
            Some(ApiTrouble::Cuts) => Trouble { cuts: true, ..none },
        };
        self.servers.trouble(server, trouble);
    }

    /// Looks at what the sources have reported: the starts that were told, by door, and the first report that tells
    /// what is not so.
    pub fn audit(&mut self, is_cold: impl Fn(&str) -> bool) -> (Vec<(Host, String)>, Option<String>) {
        let (mut started, mut problem) = (Vec::new(), None);
        for (door, report) in std::mem::take(&mut *self.reports.borrow_mut()) {
            let listed = self.listed.entry(door).or_default();
            let cluster = self.servers.cluster.borrow();
            let is_off = |uid: &str| cluster.now().off.contains(uid);
            let mut withdrawn = report.withdrawn.clone();
            if report.whole {
                let lacks = |uid: &str| !report.entries.iter().any(|entry| *entry.id == *uid);
                let known = listed.iter().filter(|(uid, state)| **state != State::Gone && lacks(uid));
                withdrawn.extend(known.map(|(uid, _)| uid.as_str().into()));
            }
            let mut wrong = |what: String| _ = problem.get_or_insert(format!("door {}: {what}", door.0));
            for uid in withdrawn {
                listed.insert(uid.to_string(), State::Gone);
                if !is_off(&uid) {
                    wrong(format!("{uid} lives and was dropped"));
                }
            }
            for entry in report.entries {
                let before = listed.insert(entry.id.to_string(), entry.state);
                if entry.state != State::Ready && !is_off(&entry.id) {
                    wrong(format!("{} lives and is said to be {:?}: {}", entry.id, entry.state, entry.note));
                }
                if entry.state == State::Ready && before.is_some_and(|before| before != State::Ready) {
                    wrong(format!("{} was {before:?} and came back", entry.id));
                }
                if is_cold(&entry.id) && entry.boot_ms == 0.0 {
                    wrong(format!("{} is cold and is said to be warm", entry.id));
                }
                if entry.boot_ms > 0.0 {
                    started.push((door, entry.id.to_string()));
                }
            }
        }
        (started, problem)
    }
}
