//! The resolvers of a site whose doors also learn of nodes by SRV records, the doors' sources that ask them, and the
//! audit of what those sources report.

use crate::door::Process;
use crate::kernel::{Host, Kernel, Nanos, MS};
use crate::scenario::{DnsTrouble, RESOLVERS};
use crate::seams::{SimClock, SimNetwork};
use brassport::config::Feed;
use brassport_dns::follower::Options;
use brassport_dns::source::{self, Source};
use brassport_fakes::dns::{Resolvers, Trouble, Zone};
use brassport_membership::book::Report;
use brassport_resolver::question::Name;
use brassport_resolver::resolver::Settings;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The service that the doors follow.
const SERVICE: &str = "_render._tcp.render.example.org";
/// Behind so long without any trouble a door lists what the zone does.
const SETTLED: Nanos = 14_000 * MS;

/// Where a resolver listens.
pub fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 5, server as u8 + 1], 53))
}

/// Whether a resolver listens there.
pub fn is_dns(address: SocketAddr) -> bool {
    matches!(address, SocketAddr::V4(at) if at.ip().octets()[2] == 5)
}

/// The machine of a resolver.
pub fn host(server: usize) -> Host {
    Host(600 + server as u32)
}

fn target(uid: &str) -> String {
    format!("{uid}.render.example.org")
}

type Reports = Rc<RefCell<Vec<(Host, Report)>>>;

/// The resolvers and what the doors make of their answers.
pub struct Dns {
    /// The resolvers' program.
    pub process: Process,
    resolvers: Rc<Resolvers<SimClock>>,
    reports: Reports,
    listed: BTreeMap<Host, BTreeMap<String, Option<SocketAddr>>>,
    /// Doors whose source has said that its list is whole.
    whole: BTreeSet<Host>,
    /// Nodes that the zone has had since it began.
    always: BTreeSet<String>,
    /// Where each node has ever been.
    ever: BTreeMap<String, BTreeSet<SocketAddr>>,
    /// A resolver may say what is not so: its whole answers count all the same.
    untrue: bool,
}

impl Dns {
    /// Starts the resolvers, with a zone of nothing.
    pub fn start(kernel: &Kernel, ttl: u32, untrue: bool) -> Dns {
        let clock = SimClock::new(kernel.clone(), host(0), Rc::default());
        let resolvers = Resolvers::new(clock, Zone::new(ttl), RESOLVERS);
        (0..RESOLVERS).for_each(|server| kernel.add_server(host(server)));
        let (serving, kernel) = (resolvers.clone(), kernel.clone());
        let process = Process::of(move |tasks, _| {
            for server in 0..RESOLVERS {
                let (network, serving) = (SimNetwork::new(kernel.clone(), host(server)), serving.clone());
                tasks.spawn_local(async move {
                    let served = serving.serve(network, address(server), server).await;
                    served.expect("a simulated machine has sockets");
                });
            }
        });
        Dns {
            process,
            resolvers,
            reports: Rc::default(),
            listed: BTreeMap::new(),
            whole: BTreeSet::new(),
            always: BTreeSet::new(),
            ever: BTreeMap::new(),
            untrue,
        }
    }

    /// What a door's program runs to learn of the nodes.
    pub fn feed(&self, kernel: &Kernel, door: Host, clock: SimClock, seed: u64) -> Feed {
        let service = Name::parse(SERVICE).expect("a sound name");
        let settings = Settings { udp_patience: 400, ..Settings::of((0..RESOLVERS).map(address).collect()) };
        let options = Options { ipv6: false, zone: "a".into(), ..Options::of(service) };
        let network = SimNetwork::new(kernel.clone(), door);
        let reports = self.reports.clone();
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        Box::new(move |reader| {
            let reader = move |report: Report| {
                reports.borrow_mut().push((door, report.clone()));
                reader(report);
            };
            let host =
                source::Host { reader: Box::new(reader), log: Box::new(|_| {}), seed: bytes, reread: None };
            Box::pin(Source::new(clock, network, options, settings, host).follow())
        })
    }

    /// A door starts anew, and its source with it.
    pub fn door_started(&mut self, door: Host) {
        self.listed.remove(&door);
        self.whole.remove(&door);
    }

    /// Writes a node into the zone, as one of its first.
    pub fn begin_with(&mut self, uid: &str, at: SocketAddr) {
        self.change(uid, at, true);
        self.always.insert(format!("{}:{}", target(uid), at.port()));
    }

    /// Writes what has become of a node.
    pub fn change(&mut self, uid: &str, at: SocketAddr, there: bool) {
        let host = target(uid);
        self.ever.entry(format!("{host}:{}", at.port())).or_default().insert(at);
        self.resolvers.change(|zone| match there {
            true => zone.add_node(SERVICE, &host, at),
            false => zone.remove_node(SERVICE, &host),
        });
        if !there {
            self.always.remove(&format!("{host}:{}", at.port()));
        }
    }

    /// A resolver's trouble begins or ends.
    pub fn trouble(&self, server: Option<usize>, trouble: Option<DnsTrouble>) {
        let none = Trouble::default();
        let trouble = match trouble {
            None => none,
            Some(DnsTrouble::Silent) => Trouble { silent: true, ..none },
            Some(DnsTrouble::Code(code)) => Trouble { code: Some(code), ..none },
            Some(DnsTrouble::Empty) => Trouble { empty: true, ..none },
            Some(DnsTrouble::NoName) => Trouble { no_name: true, ..none },
            Some(DnsTrouble::Truncates(kept)) => Trouble { truncates: Some(kept), ..none },
            Some(DnsTrouble::TruncatesAll(kept)) => {
                Trouble { truncates: Some(kept), truncates_streams: true, ..none }
            }
            Some(DnsTrouble::NoStreams(kept)) => Trouble { truncates: Some(kept), no_streams: true, ..none },
            Some(DnsTrouble::CutsStreams(kept)) => {
                Trouble { truncates: Some(kept), cuts_streams: true, ..none }
            }
            Some(DnsTrouble::Behind(behind)) => Trouble { behind, ..none },
            Some(DnsTrouble::Lies(lies)) => Trouble { lies, ..none },
            Some(DnsTrouble::Forged(forges)) => Trouble { forges, ..none },
            Some(DnsTrouble::ForgedSender) => Trouble { forges_sender: true, ..none },
            Some(DnsTrouble::WrongQuestion) => Trouble { wrong_question: true, ..none },
            Some(DnsTrouble::Twice) => Trouble { twice: true, ..none },
            Some(DnsTrouble::Late(ms)) => Trouble { late: Duration::from_millis(ms), ..none },
            Some(DnsTrouble::Glue) => Trouble { glue: true, ..none },
        };
        self.resolvers.trouble(server, &trouble);
    }

    fn zone(&self) -> BTreeMap<String, SocketAddr> {
        use brassport_fakes::dns::Data;
        let zone = self.resolvers.zone();
        let places = zone.records.get(SERVICE).into_iter().flatten();
        let node = |data: &Data| {
            let Data::Srv(_, _, port, host) = data else { return None };
            let at = zone.records.get(host)?.iter().find_map(|data| match data {
                Data::Address(at) => Some(*at),
                _ => None,
            })?;
            Some((format!("{host}:{port}"), SocketAddr::new(at, *port)))
        };
        places.filter_map(node).collect()
    }

    /// Looks at what the sources have reported: where starts were told, by door, and the first report that tells what
    /// is not so. `cold` names the addresses of nodes that are cold.
    pub fn audit(&mut self, cold: &BTreeMap<SocketAddr, String>) -> (Vec<(Host, String)>, Option<String>) {
        let (mut started, mut problem) = (Vec::new(), None);
        let reports = std::mem::take(&mut *self.reports.borrow_mut());
        if reports.is_empty() {
            return (started, problem);
        }
        let (zone, ever) = (self.zone(), &self.ever);
        for (door, report) in reports {
            let listed = self.listed.entry(door).or_default();
            let mut wrong = |what: String| _ = problem.get_or_insert(format!("door {}: DNS: {what}", door.0));
            let mut withdrawn = report.withdrawn.clone();
            if report.whole {
                self.whole.insert(door);
                let named: BTreeSet<&str> = report.entries.iter().map(|entry| &*entry.id).collect();
                withdrawn.extend(
                    listed.keys().filter(|id| !named.contains(id.as_str())).map(|id| id.as_str().into()),
                );
                if let Some(lacks) =
                    self.always.iter().find(|id| !named.contains(id.as_str()) && !self.untrue)
                {
                    wrong(format!("{lacks} is missing in a list that is said to be whole"));
                }
            }
            for id in withdrawn {
                listed.remove(&*id);
                if zone.contains_key(&*id) {
                    wrong(format!("{id} is listed by the zone and was dropped"));
                }
            }
            for entry in report.entries {
                listed.insert(entry.id.to_string(), entry.address);
                if !entry.id.ends_with(".render.example.org:9000") {
                    wrong(format!("{} is nothing of the zone's", entry.id));
                }
                match (entry.address, zone.get(&*entry.id)) {
                    (None, Some(at)) => wrong(format!("{} is at {at} and has lost its address", entry.id)),
                    (Some(at), Some(true_at))
                        if !ever.get(&*entry.id).is_some_and(|ever| ever.contains(&at)) =>
                    {
                        wrong(format!("{} is at {true_at}, and {at} was taken", entry.id));
                    }
                    _ => {}
                }
                let uid = entry.address.and_then(|at| cold.get(&at));
                if uid.is_some() && entry.boot_ms == 0.0 {
                    wrong(format!("{} is cold and is said to be warm", entry.id));
                }
                started.extend(uid.filter(|_| entry.boot_ms > 0.0).map(|uid| (door, uid.clone())));
            }
        }
        (started, problem)
    }

    /// What a door's source lists otherwise than the zone does, long after the last trouble.
    pub fn check_quiet(&self, door: Host, now: Nanos, last_trouble: Nanos) -> Option<String> {
        if now < last_trouble + SETTLED {
            return None;
        }
        let zone = self.zone();
        let listed = self.listed.get(&door)?;
        let all = listed.iter().filter_map(|(id, at)| Some((id.clone(), (*at)?))).collect::<BTreeMap<_, _>>();
        if !self.whole.contains(&door) {
            return Some("never had a whole list from DNS".into());
        }
        (all != zone).then(|| format!("lists {:?} where the zone has {:?}", all.keys(), zone.keys()))
    }
}
