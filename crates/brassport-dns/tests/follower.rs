//! The follower against a zone, on a clock of the test's own.

use brassport_dns::follower::{Action, Follower, Options};
use brassport_membership::book::{Entry, Moment, State};
use brassport_resolver::question::Name;
use brassport_resolver::resolver::{Event, Settings};
use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV};
use hickory_proto::rr::{Name as WireName, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

const UNIX: u64 = 1_800_000_000_000;
const SERVICE: &str = "_render._tcp.example.org";

fn wire(text: &str) -> WireName {
    WireName::from_ascii(format!("{}.", text.trim_end_matches('.'))).expect("a name")
}

/// Places (priority, weight, port, target) and addresses.
#[derive(Clone, Default)]
struct Zone {
    places: Vec<(u16, u16, u16, String)>,
    addresses: BTreeMap<String, Vec<Ipv4Addr>>,
    ttl: u32,
}

impl Zone {
    fn of(nodes: impl IntoIterator<Item = u8>) -> Zone {
        let mut zone = Zone { ttl: 60, ..Zone::default() };
        for node in nodes {
            let target = format!("n{node}.example.org");
            zone.places.push((10, 1, 9000, target.clone()));
            zone.addresses.insert(target, vec![[192, 0, 2, node].into()]);
        }
        zone
    }
}

/// How a resolver answers.
#[derive(Clone, Copy, PartialEq)]
enum Mood {
    Well,
    Silent,
    ServFail,
    /// Truncates to two records, and takes no connection.
    Truncates,
    NoName,
    /// An empty NOERROR.
    Empty,
}

struct Bench {
    follower: Follower,
    now: u64,
    zones: Vec<Zone>,
    moods: Vec<Mood>,
    listed: BTreeMap<String, Entry>,
    whole: u32,
    reports: u32,
    /// When each query was asked.
    asked: Vec<u64>,
    log: Vec<String>,
}

impl Bench {
    fn new(options: Options, resolvers: usize, zone: Zone) -> Bench {
        let servers = (0..resolvers).map(|at| SocketAddr::from(([127, 0, 0, at as u8 + 1], 53))).collect();
        Bench {
            follower: Follower::new(options, Settings::of(servers), [5; 32]),
            now: 0,
            zones: vec![zone; resolvers],
            moods: vec![Mood::Well; resolvers],
            listed: BTreeMap::new(),
            whole: 0,
            reports: 0,
            asked: Vec::new(),
            log: Vec::new(),
        }
    }

    fn start(options: Options, resolvers: usize, zone: Zone) -> Bench {
        let mut bench = Bench::new(options, resolvers, zone);
        let mut actions = Vec::new();
        bench.follower.begin(bench.moment(), &mut actions);
        bench.carry_out(actions);
        bench.run(5_000);
        bench
    }

    fn moment(&self) -> Moment {
        Moment { monotonic: self.now, unix: UNIX + self.now }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.follower.handle(self.moment(), event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        let mut answers = Vec::new();
        for action in actions {
            match action {
                Action::Datagram { query, to, bytes } => {
                    self.asked.push(self.now);
                    if let Some(bytes) = self.answer(to, &bytes, false) {
                        answers.push(Event::Datagram { query, from: to, bytes });
                    }
                }
                Action::Stream { query, to, bytes } => {
                    answers.push(Event::Stream { query, bytes: self.answer(to, &bytes, true) });
                }
                Action::Close { .. } => {}
                Action::Log(line) => self.log.push(line),
                Action::Report(report) => {
                    self.reports += 1;
                    if report.whole {
                        self.whole += 1;
                        self.listed.clear();
                    }
                    report.withdrawn.iter().for_each(|id| drop(self.listed.remove(&**id)));
                    for entry in report.entries {
                        self.listed.insert(entry.id.to_string(), entry);
                    }
                }
            }
        }
        answers.into_iter().for_each(|answer| self.tell(answer));
    }

    fn answer(&self, to: SocketAddr, query: &[u8], stream: bool) -> Option<Vec<u8>> {
        let SocketAddr::V4(v4) = to else { return None };
        let at = usize::from(v4.ip().octets()[3]) - 1;
        let (zone, mood) = (&self.zones[at], self.moods[at]);
        if mood == Mood::Silent || (stream && mood == Mood::Truncates) {
            return None;
        }
        let query = Message::from_vec(query).ok()?;
        let asked = query.queries().first()?.clone();
        let mut answer = Message::new();
        answer.set_id(query.id()).set_message_type(MessageType::Response).add_queries([asked.clone()]);
        let name = asked.name().to_string();
        let name = name.trim_end_matches('.');
        let record = |data| Record::from_rdata(asked.name().clone(), zone.ttl, data);
        let records: Vec<Record> = match asked.query_type() {
            RecordType::SRV if name == SERVICE => {
                let srv = |(priority, weight, port, target): &(u16, u16, u16, String)| {
                    let target = if target == "." { WireName::root() } else { wire(target) };
                    record(RData::SRV(SRV::new(*priority, *weight, *port, target)))
                };
                zone.places.iter().map(srv).collect()
            }
            RecordType::A => {
                zone.addresses.get(name).into_iter().flatten().map(|at| record(RData::A(A(*at)))).collect()
            }
            _ => Vec::new(),
        };
        let negative = records.is_empty() || mood == Mood::NoName;
        match mood {
            Mood::ServFail => drop(answer.set_response_code(ResponseCode::ServFail)),
            Mood::Truncates if !stream && records.len() > 2 => {
                answer.add_answers(records.into_iter().take(2)).set_truncated(true);
            }
            Mood::Empty => {}
            _ if negative => {
                answer.set_response_code(ResponseCode::NXDomain);
                let soa = SOA::new(wire("ns.example.org"), wire("a.example.org"), 1, 60, 60, 600, zone.ttl);
                answer.add_name_server(Record::from_rdata(wire("example.org"), zone.ttl, RData::SOA(soa)));
            }
            _ => drop(answer.add_answers(records)),
        }
        answer.to_vec().ok()
    }

    /// Lets so much time pass.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(at) = self.follower.next_wake().filter(|at| *at <= end) {
            self.now = at.max(self.now);
            self.tell(Event::Wake);
        }
        self.now = end;
    }

    fn change(&mut self, change: impl Fn(&mut Zone)) {
        self.zones.iter_mut().for_each(change);
    }

    fn names(&self) -> String {
        let short = |id: &String| id.trim_end_matches(".example.org:9000").to_string();
        self.listed.keys().map(short).collect::<Vec<_>>().join(" ")
    }
}

fn options() -> Options {
    Options { ipv6: false, ..Options::of(Name::parse(SERVICE).expect("a name")) }
}

#[test]
fn what_the_zone_lists_is_reported_whole_once_its_addresses_are_known() {
    let bench = Bench::start(options(), 2, Zone::of(1..=3));
    assert_eq!((bench.names().as_str(), bench.whole), ("n1 n2 n3", 1));
    let node = &bench.listed["n2.example.org:9000"];
    assert_eq!(node.address, Some("192.0.2.2:9000".parse().unwrap()));
    assert_eq!((node.group, node.size, node.state), (10, 1.0, State::Ready));
}

#[test]
fn a_truncated_answer_that_lists_two_of_forty_drops_no_node() {
    let mut bench = Bench::start(options(), 2, Zone::of(1..=40));
    assert_eq!(bench.listed.len(), 40);
    bench.moods = vec![Mood::Truncates; 2];
    bench.run(600_000);
    assert_eq!(bench.listed.len(), 40);
    assert!(bench.log.iter().any(|line| line.contains("takes no connection over TCP")), "{:?}", bench.log);
    // At a start there is nothing to serve on: two of forty is no list either.
    let mut bench = Bench::new(options(), 2, Zone::of(1..=40));
    bench.moods = vec![Mood::Truncates; 2];
    let mut actions = Vec::new();
    bench.follower.begin(bench.moment(), &mut actions);
    bench.carry_out(actions);
    bench.run(60_000);
    assert_eq!((bench.listed.len(), bench.whole), (0, 0));
    bench.moods[1] = Mood::Well;
    bench.run(60_000);
    assert_eq!((bench.listed.len(), bench.whole), (40, 1));
}

#[test]
fn a_node_goes_when_two_resolvers_say_so_and_not_by_one_that_is_behind_or_lies() {
    let mut bench = Bench::start(options(), 2, Zone::of(1..=4));
    bench.zones[0] = Zone::of([1, 3]);
    bench.run(600_000);
    assert_eq!(bench.names(), "n1 n2 n3 n4");
    bench.zones[1] = Zone::of([1, 3]);
    bench.run(120_000);
    assert_eq!(bench.names(), "n1 n3");
}

#[test]
fn resolvers_that_disagree_for_good_are_not_asked_without_end() {
    let mut bench = Bench::start(options(), 2, Zone::of(1..=4));
    bench.zones[0] = Zone::of(1..=3);
    bench.zones[1] = Zone::of(2..=4);
    bench.run(600_000);
    let from = bench.now;
    bench.run(3_600_000);
    let hour = bench.asked.iter().filter(|at| **at >= from).count();
    // Five questions with lifetimes of 60 s are some 375 queries. A second word each minute adds 60, and of the addresses
    // of n1 and n4 every second refresh comes to the resolver that has none, which adds a question to the other.
    assert!(hour < 560, "{hour} queries in an hour");
    assert_eq!(bench.names(), "n1 n2 n3 n4");
}

#[test]
fn what_the_fastest_resolver_does_not_list_for_good_is_seen_within_two_lifetimes_and_stays() {
    let mut bench = Bench::start(options(), 2, Zone::of(1..=3));
    // Of two that answer alike the first is taken for the fastest.
    bench.zones[1] = Zone::of(1..=4);
    bench.run(2 * 60_000);
    assert_eq!(bench.names(), "n1 n2 n3 n4");
    bench.run(3_600_000);
    assert_eq!(bench.names(), "n1 n2 n3 n4");
}

#[test]
fn failures_silence_and_empty_answers_without_the_zones_word_drop_nothing() {
    for mood in [Mood::Silent, Mood::ServFail, Mood::Empty] {
        let mut bench = Bench::start(options(), 2, Zone::of(1..=3));
        bench.moods = vec![mood; 2];
        bench.run(3_600_000);
        assert_eq!(bench.names(), "n1 n2 n3");
        assert!(bench.listed.values().all(|entry| entry.address.is_some() || mood == Mood::Empty));
        bench.moods = vec![Mood::Well; 2];
        bench.change(|zone| zone.places.retain(|place| place.3 != "n2.example.org"));
        bench.run(120_000);
        assert_eq!(bench.names(), "n1 n3", "what it says counts again");
    }
    let mut bench = Bench::start(options(), 1, Zone::of(1..=3));
    bench.moods = vec![Mood::Silent];
    bench.run(2 * 86_400_000);
    assert!(bench.listed.is_empty(), "stale for a day is too long");
    assert!(bench.log.iter().any(|line| line.contains("stale for too long")));
}

#[test]
fn no_such_name_is_believed_after_a_time_and_no_such_service_at_the_second_word() {
    let mut bench = Bench::start(options(), 2, Zone::of(1..=3));
    bench.moods = vec![Mood::NoName; 2];
    let since = bench.now;
    while !bench.listed.is_empty() {
        bench.run(100);
        assert!(bench.now < since + 120_000, "it must be believed in the end");
    }
    let first = bench.log.iter().filter(|line| line.contains("no such name")).count();
    assert_eq!(first, 1, "{:?}", bench.log);
    assert!(bench.now >= since + 10_000);

    let mut bench = Bench::start(options(), 2, Zone::of(1..=3));
    bench.change(|zone| zone.places = vec![(0, 0, 0, ".".into())]);
    bench.run(60_000);
    assert!(bench.listed.is_empty());
    bench.change(|zone| *zone = Zone::of(1..=3));
    bench.run(120_000);
    assert_eq!(bench.names(), "n1 n2 n3");
}

#[test]
fn a_list_that_comes_back_with_half_of_its_nodes_elsewhere_keeps_their_names() {
    let mut bench = Bench::start(options(), 2, Zone::of(1..=4));
    bench.moods = vec![Mood::Silent; 2];
    bench.run(120_000);
    bench.change(|zone| {
        zone.addresses.insert("n1.example.org".into(), vec![[192, 0, 2, 101].into()]);
        zone.addresses.insert("n2.example.org".into(), vec![[192, 0, 2, 102].into()]);
    });
    bench.moods = vec![Mood::Well; 2];
    bench.run(180_000);
    let at = |node: u8| bench.listed[&format!("n{node}.example.org:9000")].address.unwrap().to_string();
    assert_eq!([at(1), at(2), at(3)], ["192.0.2.101:9000", "192.0.2.102:9000", "192.0.2.3:9000"]);
    assert_eq!(bench.names(), "n1 n2 n3 n4");
}

#[test]
fn a_target_with_several_addresses_is_one_node_that_stays_where_it_is_or_a_node_for_each() {
    let mut zone = Zone::of([1]);
    let addresses = zone.addresses.get_mut("n1.example.org").unwrap();
    addresses.extend([Ipv4Addr::new(192, 0, 2, 50), Ipv4Addr::new(192, 0, 2, 60)]);
    let mut bench = Bench::start(options(), 1, zone.clone());
    assert_eq!(bench.listed["n1.example.org:9000"].address, Some("192.0.2.1:9000".parse().unwrap()));
    bench.change(|zone| zone.addresses.get_mut("n1.example.org").unwrap().insert(0, [192, 0, 2, 0].into()));
    bench.run(120_000);
    assert_eq!(
        bench.listed["n1.example.org:9000"].address,
        Some("192.0.2.1:9000".parse().unwrap()),
        "a lower one"
    );
    bench.change(|zone| zone.addresses.get_mut("n1.example.org").unwrap().retain(|at| at.octets()[3] >= 50));
    bench.run(120_000);
    assert_eq!(bench.listed["n1.example.org:9000"].address, Some("192.0.2.50:9000".parse().unwrap()));
    let bench = Bench::start(Options { each: true, ..options() }, 1, zone);
    let names: Vec<_> = bench.listed.keys().cloned().collect();
    assert_eq!(
        names,
        ["n1.example.org:9000@192.0.2.1", "n1.example.org:9000@192.0.2.50", "n1.example.org:9000@192.0.2.60"]
    );
}

#[test]
fn weights_become_sizes_and_priorities_groups_or_a_reserve() {
    let mut zone = Zone::of(1..=3);
    zone.places[0] = (10, 0, 9000, "n1.example.org".into());
    zone.places[1] = (10, 40, 9000, "n2.example.org".into());
    zone.places[2] = (20, 10, 9000, "n3.example.org".into());
    let bench = Bench::start(options(), 1, zone.clone());
    let of = |bench: &Bench, node: u8| {
        let entry = &bench.listed[&format!("n{node}.example.org:9000")];
        (entry.size, entry.group, entry.state)
    };
    assert_eq!(of(&bench, 1), (0.1, 10, State::Ready));
    assert_eq!(of(&bench, 2), (40.0, 10, State::Ready));
    assert_eq!(of(&bench, 3), (10.0, 20, State::Ready));
    let mut bench = Bench::start(Options { best_only: true, ..options() }, 1, zone);
    assert_eq!(of(&bench, 3).2, State::Draining);
    assert!(bench.listed["n3.example.org:9000"].note.contains("stands behind 10"));
    bench.change(|zone| zone.places.retain(|place| place.0 == 20));
    bench.run(120_000);
    assert_eq!((of(&bench, 3).2, bench.names().as_str()), (State::Ready, "n3"));
    let mut zone = Zone::of(1..=2);
    zone.places.iter_mut().for_each(|place| place.1 = 0);
    assert_eq!(of(&Bench::start(options(), 1, zone), 1).0, 0.0, "where all are 0 no size is told");
}

#[test]
fn a_node_is_cold_from_when_it_was_first_listed_unless_it_is_known() {
    let mut bench = Bench::start(options(), 1, Zone::of(1..=2));
    assert_eq!(bench.listed["n1.example.org:9000"].boot_ms, UNIX as f64, "the first list tells no start");
    bench.change(|zone| *zone = Zone::of(1..=3));
    bench.run(60_000);
    let new = bench.listed["n3.example.org:9000"].boot_ms;
    assert!(new > (UNIX + 5_000) as f64 && new <= (UNIX + 65_000) as f64);
    let known = [
        ("n1.example.org:9000".to_string(), ("192.0.2.1:9000".parse().unwrap(), 7.0)),
        ("n2.example.org:9000".to_string(), ("192.0.2.99:9000".parse().unwrap(), 7.0)),
    ];
    let bench = Bench::start(Options { known: known.into(), ..options() }, 1, Zone::of(1..=2));
    assert_eq!(bench.listed["n1.example.org:9000"].boot_ms, 7.0);
    assert_eq!(bench.listed["n2.example.org:9000"].boot_ms, UNIX as f64, "it is elsewhere: another machine");
    let bench = Bench::start(Options { warm_at_first: true, ..options() }, 1, Zone::of(1..=2));
    assert_eq!(bench.listed["n1.example.org:9000"].boot_ms, 0.0);
}

/// A site of so many nodes, one minute behind its start, and the times of its queries within the hour that follows.
fn hour(nodes: u16, resolvers: usize, ttl: u32) -> (Bench, Vec<u64>) {
    let mut zone = Zone { ttl, ..Zone::default() };
    for node in 0..nodes {
        let target = format!("n{node}.example.org");
        zone.places.push((10, 1, 9000, target.clone()));
        zone.addresses.insert(target, vec![[10, 0, (node >> 8) as u8, node as u8].into()]);
    }
    let mut bench = Bench::start(options(), resolvers, zone);
    bench.run(60_000);
    assert_eq!((bench.listed.len(), bench.whole), (usize::from(nodes), 1));
    let from = bench.now;
    bench.run(3_600_000);
    let asked = bench.asked.iter().copied().filter(|at| *at >= from).collect();
    (bench, asked)
}

/// Most queries within a second.
fn most(asked: &[u64]) -> usize {
    let before = |at: u64| asked.partition_point(|time| *time < at);
    asked.iter().map(|at| before(at + 1000) - before(*at)).max().unwrap_or(0)
}

#[test]
fn a_thousand_targets_are_asked_for_without_a_storm_and_quiet_ones_report_nothing() {
    let (bench, asked) = hour(1000, 3, 60);
    println!(
        "1,000 targets, lifetimes of 60 s: {} queries an hour, {} in a second",
        asked.len(),
        most(&asked)
    );
    assert!(most(&asked) <= 111);
    assert_eq!((bench.listed.len(), bench.whole), (1000, 1));
}

#[test]
fn queries_an_hour_by_the_number_of_nodes() {
    println!("| nodes | queries an hour | most in a second |");
    for nodes in [10, 100, 1000] {
        let (_, asked) = hour(nodes, 2, 300);
        println!("| {nodes} | {} | {} |", asked.len(), most(&asked));
        // Each question is asked again after 70 to 90% of 300 s: 13 to 17 times an hour.
        let each = asked.len() as f64 / f64::from(nodes + 1);
        assert!((12.0..18.0).contains(&each), "{each} queries an hour for each question");
    }
}
