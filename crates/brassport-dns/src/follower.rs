//! Nodes from SRV records (RFC 2782), without I/O: what the answers together list, and what is reported of it.
//!
//! - A *node* is a target and its port; its name is `target:port`, whatever its address becomes. Where a target stands
//!   for several machines ([`Options::each`]) each of its addresses is a node, `target:port@address`.
//! - *Weight* becomes the node's size. A weight of 0 beside others becomes a tenth of one unit, as RFC 2782 wants it
//!   chosen very rarely; where all are 0, no size is told. *Priority* becomes the node's group, or with
//!   [`Options::best_only`] holds back all but the lowest that has an address.
//! - A list counts as [`agreement`](crate::agreement) says. A target of `.` is the zone's word that there is no service.
//!   NXDOMAIN and NODATA in the place of a list, or of a target's addresses, count once they have been told for
//!   [`Options::empty_for`] by answers that bring the zone's SOA, and never without.
//! - Addresses that come along with a list are used until the target's own address has been answered for, and never
//!   prove that there are no others.
//! - No start is told by DNS: a node is cold from when it was first listed. One of the first list is cold from then too,
//!   unless it is known from an earlier run at the same address, or [`Options::warm_at_first`] says otherwise.

use crate::agreement::Agreed;
use crate::mutants::mutant;
use brassport_membership::book::{Entry, Moment, Report, State};
use brassport_membership::table::Id;
use brassport_resolver::question::{Data, Kind, Name, Question, Said, Srv};
use brassport_resolver::resolver::{self, Event, Problem, Resolver, Settings};
use brassport_resolver::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// Pauses between second words while they settle nothing, in milliseconds: the first comes at once.
const FIRST_AGAIN: Millis = 1_000;
const LAST_AGAIN: Millis = 60_000;
/// Size of a weight of 0 beside others.
const WEIGHTLESS: f64 = 0.1;

/// What the operator chose.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The services' names, `_service._proto.domain`; of two that list a node, the first tells its weight.
    pub services: Vec<Name>,
    /// Which addresses are asked for.
    pub ipv4: bool,
    pub ipv6: bool,
    /// Whether each address of a target is a node.
    pub each: bool,
    /// Whether only the lowest priority with an address serves.
    pub best_only: bool,
    /// Whether nodes of the first list, of which nothing is known, count as warm.
    pub warm_at_first: bool,
    /// The zone of the nodes.
    pub zone: String,
    /// How long a negative answer must be told in the place of a list, in milliseconds.
    pub empty_for: Millis,
    /// Most nodes; of a longer list the rest is passed over, with a line in the log.
    pub most_nodes: usize,
    /// Nodes of an earlier run: address, and start as Unix time in milliseconds.
    pub known: BTreeMap<String, (SocketAddr, f64)>,
}

impl Options {
    /// The defaults, for one service.
    pub fn of(service: Name) -> Options {
        Options {
            services: vec![service],
            ipv4: true,
            ipv6: true,
            each: false,
            best_only: false,
            warm_at_first: false,
            zone: String::new(),
            empty_for: 10_000,
            most_nodes: 4096,
            known: BTreeMap::new(),
        }
    }

    fn kinds(&self) -> impl Iterator<Item = Kind> {
        let (v4, v6) = (self.ipv4.then_some(Kind::A), self.ipv6.then_some(Kind::Aaaa));
        v4.into_iter().chain(v6)
    }
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// As [`resolver::Action::Datagram`].
    Datagram { query: u64, to: SocketAddr, bytes: Vec<u8> },
    /// As [`resolver::Action::Stream`].
    Stream { query: u64, to: SocketAddr, bytes: Vec<u8> },
    /// As [`resolver::Action::Close`].
    Close { query: u64 },
    /// Hand this to the book of nodes.
    Report(Report),
    /// Say this in the log.
    Log(String),
}

/// A target and its port.
type Place = (Name, u16);

#[derive(Debug)]
struct Service {
    question: Question,
    /// Priority and weight of each place.
    places: Agreed<Place, (u16, u16)>,
    /// A list, or its absence, has been believed.
    believed: bool,
    /// Since when negative answers come in the place of a list.
    negative_since: Option<Millis>,
    /// Second words that were asked for in a row.
    doubts: u32,
    /// The problem that was told, and whether the list was within its lifetime then.
    told: Option<(Problem, bool)>,
}

#[derive(Debug, Default)]
struct Host {
    v4: Agreed<IpAddr, ()>,
    v6: Agreed<IpAddr, ()>,
    /// Kinds that have been answered for, and those of which a believed answer has come.
    heard: BTreeSet<Kind>,
    answered: BTreeSet<Kind>,
    /// Since when negative answers come for a kind.
    negative: BTreeMap<Kind, Millis>,
    /// Second words that were asked for in a row.
    doubts: BTreeMap<Kind, u32>,
    hints: BTreeSet<IpAddr>,
    ports: BTreeSet<u16>,
}

/// The follower of one source's services.
#[derive(Debug)]
pub struct Follower {
    options: Options,
    resolver: Resolver,
    services: Vec<Service>,
    hosts: BTreeMap<Name, Host>,
    /// What is reported, with the number of its last word.
    reported: BTreeMap<Id, Entry>,
    words: u64,
    /// The list has been reported as whole.
    whole: bool,
    too_many: bool,
    hosts_told: bool,
}

impl Follower {
    /// A follower that has asked nothing yet. The seed must be hard to guess.
    pub fn new(options: Options, settings: Settings, seed: [u8; 32]) -> Follower {
        let service = |name: &Name| Service {
            question: Question::new(name, Kind::Srv),
            places: Agreed::default(),
            believed: false,
            negative_since: None,
            doubts: 0,
            told: None,
        };
        Follower {
            services: options.services.iter().map(service).collect(),
            resolver: Resolver::new(settings, seed),
            options,
            hosts: BTreeMap::new(),
            reported: BTreeMap::new(),
            words: 0,
            whole: false,
            too_many: false,
            hosts_told: false,
        }
    }

    /// Begins to ask.
    pub fn begin(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for service in &self.services {
            self.resolver.want(now.monotonic, service.question.clone());
        }
        self.handle(now, Event::Wake, actions);
    }

    /// Asks for every service anew, at once.
    pub fn reread(&mut self, now: Moment, actions: &mut Vec<Action>) {
        for service in &self.services {
            self.resolver.confirm(now.monotonic, &service.question, None);
        }
        self.handle(now, Event::Wake, actions);
    }

    /// When [`Event::Wake`] is due next.
    pub fn next_wake(&self) -> Option<Millis> {
        self.resolver.next_wake()
    }

    /// The resolver, to be looked at.
    pub fn resolver(&self) -> &Resolver {
        &self.resolver
    }

    /// Takes in an event; what follows is added to `actions`.
    pub fn handle(&mut self, now: Moment, event: Event, actions: &mut Vec<Action>) {
        let mut said = Vec::new();
        self.resolver.handle(now.monotonic, event, &mut said);
        loop {
            for action in std::mem::take(&mut said) {
                match action {
                    resolver::Action::Datagram { query, to, bytes } => {
                        actions.push(Action::Datagram { query, to, bytes });
                    }
                    resolver::Action::Stream { query, to, bytes } => {
                        actions.push(Action::Stream { query, to, bytes });
                    }
                    resolver::Action::Close { query } => actions.push(Action::Close { query }),
                    resolver::Action::Answered(question) if question.kind == Kind::Srv => {
                        self.listed(now, &question, &mut said, actions);
                    }
                    resolver::Action::Answered(question) => self.located(now, &question, actions),
                    resolver::Action::Failed(question) => self.failed(now, &question, actions),
                    resolver::Action::Forgotten(question) => {
                        self.forgotten(now, &question, &mut said, actions);
                    }
                }
            }
            // What was wanted or asked again meanwhile has its turn at once.
            let due = self.resolver.next_wake().is_some_and(|at| at <= now.monotonic);
            if said.is_empty() && !due {
                return;
            }
            self.resolver.handle(now.monotonic, Event::Wake, &mut said);
        }
    }

    // ---- What the answers say. ----

    /// A whole answer to the question for a service has come.
    fn listed(
        &mut self,
        now: Moment,
        question: &Question,
        said: &mut Vec<resolver::Action>,
        actions: &mut Vec<Action>,
    ) {
        let Some(at) = self.services.iter().position(|service| service.question == *question) else { return };
        let Some(known) = self.resolver.known(question) else { return };
        let (server, another) = (known.server, self.resolver.has_another(known.server));
        let service = &mut self.services[at];
        if service.told.take().is_some() {
            actions.push(Action::Log(format!("{question} is answered again")));
        }
        if let Some(places) = self.places_of(at, now, actions) {
            let service = &mut self.services[at];
            let heard = service.places.hear(now.monotonic, server, another, places);
            if heard.doubtful {
                let at = now.monotonic + again_in(&mut service.doubts);
                self.resolver.again_by(now.monotonic, question, at, Some(server));
            } else {
                (service.believed, service.doubts) = (true, 0);
            }
            if heard.changed {
                self.settle_hosts(now, said);
            }
            self.take_hints(question);
        }
        self.report(now, None, actions);
    }

    /// The places that an answer lists; `None` if it is not believed yet that there are none.
    fn places_of(
        &mut self,
        at: usize,
        now: Moment,
        actions: &mut Vec<Action>,
    ) -> Option<BTreeMap<Place, (u16, u16)>> {
        let service = &mut self.services[at];
        let known = self.resolver.known(&service.question)?;
        let mut places = BTreeMap::new();
        let (proven, what) = match &known.said {
            Said::Records(records) => {
                service.negative_since = None;
                for datum in records {
                    if let Data::Srv(Srv { priority, weight, port, target }) = datum {
                        // Of two records for one place the lower priority, then the greater weight.
                        if !target.is_root() && *port != 0 {
                            places.entry((target.clone(), *port)).or_insert((*priority, *weight));
                        }
                    }
                }
                let most = self.options.most_nodes;
                if places.len() > most {
                    if !std::mem::replace(&mut self.too_many, true) {
                        let (question, all) = (&service.question, places.len());
                        actions.push(Action::Log(format!(
                            "{question} lists {all} places; the first {most} of them by name count (most_nodes)"
                        )));
                    }
                    places = places.into_iter().take(most).collect();
                } else {
                    self.too_many = false;
                }
                return Some(places);
            }
            Said::NoData { proven } => (*proven, "no SRV record"),
            Said::NoName { proven } => (*proven, "no such name"),
        };
        if mutant!(TrustEmpty) {
            return Some(places);
        }
        let first = service.negative_since.is_none();
        let since = *service.negative_since.get_or_insert(now.monotonic);
        let told_for = now.monotonic.saturating_sub(since);
        let (question, server) = (service.question.clone(), known.server);
        if first {
            let address = self.resolver.server(server);
            let until = match proven {
                true => format!("believed after {} ms of it", self.options.empty_for),
                false => "not believed, as no SOA came with it".to_string(),
            };
            actions.push(Action::Log(format!("{address} says of {question}: {what}; {until}")));
        }
        if proven && told_for >= self.options.empty_for {
            return Some(places);
        }
        // Guards every node against one resolver that is broken, or restored from nothing.
        let again = now.monotonic + (self.options.empty_for / 4).max(250);
        self.resolver.again_by(now.monotonic, &question, again, Some(server));
        None
    }

    /// A whole answer to the question for a host's addresses has come.
    fn located(&mut self, now: Moment, question: &Question, actions: &mut Vec<Action>) {
        let Some(known) = self.resolver.known(question) else { return };
        let another = self.resolver.has_another(known.server);
        let Some(host) = self.hosts.get_mut(&question.name) else { return };
        if let Said::NoData { proven } | Said::NoName { proven } = known.said {
            let since = *host.negative.entry(question.kind).or_insert(now.monotonic);
            let believed = proven && now.monotonic.saturating_sub(since) >= self.options.empty_for;
            if !believed && !mutant!(TrustEmpty) {
                // Guards a node's address as its list is guarded. Where another kind has one, nothing hangs on this.
                let news = host.heard.insert(question.kind);
                if !host.addresses(question.kind).is_empty() || !host.has_address() {
                    let again = now.monotonic + (self.options.empty_for / 4).max(250);
                    let server = known.server;
                    self.resolver.again_by(now.monotonic, question, again, Some(server));
                }
                if news {
                    self.report(now, Some(&question.name), actions);
                }
                return;
            }
        } else {
            host.negative.remove(&question.kind);
        }
        host.heard.insert(question.kind);
        let address = |datum: &Data| match datum {
            Data::Address(at) => Some((*at, ())),
            Data::Srv(_) => None,
        };
        let listed = known.said.records().iter().filter_map(address).collect();
        let hints = host.hints.len();
        host.hints.retain(|at| at.is_ipv4() != (question.kind == Kind::A));
        let first = host.answered.insert(question.kind);
        let heard = host.addresses(question.kind).hear(now.monotonic, known.server, another, listed);
        if heard.doubtful {
            let server = known.server;
            let at = now.monotonic + again_in(host.doubts.entry(question.kind).or_default());
            self.resolver.again_by(now.monotonic, question, at, Some(server));
        } else {
            host.doubts.remove(&question.kind);
        }
        if heard.changed || first || hints != host.hints.len() {
            let name = question.name.clone();
            self.report(now, Some(&name), actions);
        }
    }

    fn failed(&mut self, now: Moment, question: &Question, actions: &mut Vec<Action>) {
        let Some((problem, server)) = self.resolver.problem(question) else { return };
        let known = self.resolver.known(question).map(|known| known.is_fresh(now.monotonic));
        let holds = match known {
            None => "nothing is known of it yet",
            Some(true) => "what it said before is still within its lifetime",
            Some(false) => "what it said before serves on, stale",
        };
        let service = self.services.iter_mut().find(|service| service.question == *question);
        let news = match service {
            Some(service) => {
                let news = Some((problem, known == Some(true)));
                std::mem::replace(&mut service.told, news) != news
            }
            // One line for all hosts: a resolver that is gone fails each of them.
            None => !std::mem::replace(&mut self.hosts_told, true),
        };
        if news {
            actions.push(Action::Log(format!(
                "{question}: {server} {problem}, and no other is better; {holds}"
            )));
        }
    }

    fn forgotten(
        &mut self,
        now: Moment,
        question: &Question,
        said: &mut Vec<resolver::Action>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(service) = self.services.iter_mut().find(|service| service.question == *question) {
            actions.push(Action::Log(format!(
                "{question} has been stale for too long: its nodes are listed no longer"
            )));
            service.places.clear();
            self.settle_hosts(now, said);
        } else if let Some(host) = self.hosts.get_mut(&question.name) {
            host.addresses(question.kind).clear();
            host.answered.remove(&question.kind);
            host.heard.remove(&question.kind);
        }
        self.report(now, None, actions);
    }

    /// Asks for the addresses of the hosts that are listed, and of no others.
    fn settle_hosts(&mut self, now: Moment, said: &mut Vec<resolver::Action>) {
        let mut ports: BTreeMap<Name, BTreeSet<u16>> = BTreeMap::new();
        for ((target, port), _) in self.services.iter().flat_map(|service| service.places.iter()) {
            ports.entry(target.clone()).or_default().insert(*port);
        }
        let gone: Vec<Name> = self.hosts.keys().filter(|name| !ports.contains_key(*name)).cloned().collect();
        for name in gone {
            self.hosts.remove(&name);
            for kind in self.options.kinds() {
                self.resolver.unwant(&Question::new(&name, kind), said);
            }
        }
        for (name, ports) in ports {
            for kind in self.options.kinds() {
                self.resolver.want(now.monotonic, Question::new(&name, kind));
            }
            self.hosts.entry(name).or_default().ports = ports;
        }
    }

    /// Addresses that came along with a list.
    fn take_hints(&mut self, question: &Question) {
        let Some(known) = self.resolver.known(question) else { return };
        for (name, at) in &known.glue {
            let (kind, wanted) = match at {
                IpAddr::V4(_) => (Kind::A, self.options.ipv4),
                IpAddr::V6(_) => (Kind::Aaaa, self.options.ipv6),
            };
            if let Some(host) =
                self.hosts.get_mut(name).filter(|host| wanted && !host.answered.contains(&kind))
            {
                host.hints.insert(*at);
            }
        }
    }

    // ---- What is reported. ----

    /// Reports what has changed: of this host's nodes, or of all.
    fn report(&mut self, now: Moment, host: Option<&Name>, actions: &mut Vec<Action>) {
        let alone = !self.options.best_only;
        let entries = match host.filter(|_| alone) {
            Some(host) => self.entries(now, |name| name == host),
            None => self.entries(now, |_| true),
        };
        let concerns = |id: &Id| host.filter(|_| alone).is_none_or(|host| is_of(id, host));
        let withdrawn: Vec<Id> =
            self.reported.keys().filter(|id| concerns(id) && !entries.contains_key(*id)).cloned().collect();
        withdrawn.iter().for_each(|id| drop(self.reported.remove(id)));
        let mut changed = Vec::new();
        for (id, mut entry) in entries {
            if self.reported.get(&id).is_some_and(|known| is_same(known, &entry)) {
                continue;
            }
            self.words += 1;
            entry.revision = self.words;
            self.reported.insert(id, entry.clone());
            changed.push(entry);
        }
        let first = !self.whole && self.is_whole();
        if first {
            self.whole = true;
            self.hosts_told = false;
            let entries = self.reported.values().cloned().collect();
            actions.push(Action::Report(Report::whole(entries)));
        } else if !changed.is_empty() || !withdrawn.is_empty() || host.is_none() {
            // An answer that changes nothing is passed on too: the book notes that the source was heard.
            actions.push(Action::Report(Report { whole: false, entries: changed, withdrawn }));
        }
    }

    /// Whether every list is believed, and something is known of each place in it.
    fn is_whole(&self) -> bool {
        let kinds = self.options.kinds().count();
        let known = |host: &Host| match self.options.each {
            true => host.answered.len() == kinds || (host.has_address() && host.heard.len() == kinds),
            false => host.answered.len() == kinds || host.has_address(),
        };
        let located = self.hosts.values().all(known) || mutant!(WholeTooSoon);
        located && self.services.iter().all(|service| service.believed)
    }

    /// The nodes of these hosts, as they stand.
    fn entries(&self, now: Moment, of: impl Fn(&Name) -> bool) -> BTreeMap<Id, Entry> {
        let mut places: BTreeMap<&Place, (u16, u16)> = BTreeMap::new();
        for service in &self.services {
            for (place, rank) in service.places.iter().filter(|((name, _), _)| of(name)) {
                places.entry(place).or_insert(*rank);
            }
        }
        let weighted =
            self.services.iter().any(|service| service.places.iter().any(|(_, (_, weight))| *weight > 0));
        let has_address = |place: &Place| self.hosts.get(&place.0).is_some_and(Host::has_address);
        let ranks = places.iter().filter(|(place, _)| has_address(place)).map(|(_, (priority, _))| *priority);
        let best = ranks.min();
        let mut entries = BTreeMap::new();
        for (place, (priority, weight)) in places {
            let Some(host) = self.hosts.get(&place.0) else { continue };
            let name = format!("{}:{}", place.0, place.1);
            for (id, address) in self.nodes_of(host, &name, place.1) {
                let id: Id = id.into();
                let boot_ms = self.start_of(now, &id, address);
                let mut entry = Entry {
                    id: id.clone(),
                    address,
                    zone: self.options.zone.clone(),
                    group: u64::from(priority),
                    size: match (weight, weighted) {
                        (_, false) => 0.0,
                        (0, true) => WEIGHTLESS,
                        (weight, true) => f64::from(weight),
                    },
                    boot_ms,
                    state: State::Ready,
                    revision: 0,
                    note: String::new(),
                };
                if address.is_none() {
                    entry.note = "DNS knows no address of its target".into();
                }
                if self.options.best_only && best.is_some_and(|best| priority > best) {
                    entry.state = State::Draining;
                    entry.note = format!("its priority {priority} stands behind {}", best.unwrap_or(0));
                }
                entries.insert(id, entry);
            }
        }
        entries
    }

    /// The nodes of one place. One whose addresses are not known yet is none, unless it was one before.
    fn nodes_of(&self, host: &Host, name: &str, port: u16) -> Vec<(String, Option<SocketAddr>)> {
        let all: Vec<SocketAddr> = host.all().map(|at| SocketAddr::new(at, port)).collect();
        if self.options.each {
            return all.into_iter().map(|at| (format!("{name}@{}", at.ip()), Some(at))).collect();
        }
        let known = self.reported.get(name);
        // It stays where it is while that is listed: a record that changes its order moves nothing.
        let kept = known.and_then(|entry| entry.address).filter(|at| all.contains(at));
        let address = kept.or(all.first().copied());
        let answered = host.answered.len() == self.options.kinds().count();
        if address.is_none() && known.is_none() && !answered {
            return Vec::new();
        }
        vec![(name.to_string(), address)]
    }

    /// When a node started, as far as can be said: Unix time in milliseconds.
    fn start_of(&self, now: Moment, id: &Id, address: Option<SocketAddr>) -> f64 {
        if let Some(known) = self.reported.get(id) {
            return known.boot_ms;
        }
        let earlier = self.options.known.get(&**id).filter(|(at, _)| Some(*at) == address);
        if let Some((_, start)) = earlier.filter(|_| !self.whole) {
            // Guards against a wall clock that was set back: a node is not cold until a day that has been.
            return start.min(now.unix as f64);
        }
        let first = !self.whole && (self.options.warm_at_first || mutant!(WarmAtFirst));
        if first || mutant!(WarmWhenNew) {
            0.0
        } else {
            now.unix as f64
        }
    }
}

impl Host {
    /// Addresses, those of IPv4 first: answered for, or else those that came along.
    fn all(&self) -> impl Iterator<Item = IpAddr> + '_ {
        let answered = self.v4.iter().chain(self.v6.iter()).map(|(at, ())| *at);
        let all: BTreeSet<IpAddr> = answered.chain(self.hints.iter().copied()).collect();
        all.into_iter()
    }

    fn has_address(&self) -> bool {
        !(self.v4.is_empty() && self.v6.is_empty() && self.hints.is_empty())
    }

    /// The addresses that this kind of record tells.
    fn addresses(&mut self, kind: Kind) -> &mut Agreed<IpAddr, ()> {
        match kind {
            Kind::Aaaa => &mut self.v6,
            Kind::A | Kind::Srv => &mut self.v4,
        }
    }
}

/// In how long a second word is asked for. Guards resolvers that disagree for good against being asked without end.
fn again_in(doubts: &mut u32) -> Millis {
    let pause = match *doubts {
        0 => 0,
        times => (FIRST_AGAIN << (times - 1).min(6)).min(LAST_AGAIN),
    };
    *doubts += 1;
    pause
}

/// Whether a node's name is of this target.
fn is_of(id: &Id, host: &Name) -> bool {
    id.strip_prefix(host.as_str()).is_some_and(|rest| rest.starts_with(':'))
}

fn is_same(known: &Entry, entry: &Entry) -> bool {
    Entry { revision: entry.revision, ..known.clone() } == *entry
}
