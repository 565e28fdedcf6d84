//! The resolver against scripted answers, on a clock of the test's own.

use brassport_resolver::message::{self, Verdict};
use brassport_resolver::question::{Data, Kind, Name, Question, Said};
use brassport_resolver::resolver::{Action, Event, Problem, Resolver, Settings};
use brassport_resolver::Millis;
use hickory_proto::op::{Message, MessageType, ResponseCode};
use hickory_proto::rr::rdata::{A, CNAME, SOA, SRV};
use hickory_proto::rr::{Name as WireName, RData, Record};
use proptest::prelude::*;
use std::net::SocketAddr;

fn name(text: &str) -> Name {
    Name::parse(text).expect("a name")
}

fn wire(text: &str) -> WireName {
    WireName::from_ascii(format!("{text}.")).expect("a name")
}

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 53))
}

fn service() -> Question {
    Question::new(&name("_render._tcp.example.org"), Kind::Srv)
}

fn srv(target: &str, port: u16) -> Record {
    let data = SRV::new(10, 1, port, wire(target));
    Record::from_rdata(wire("_render._tcp.example.org"), 60, RData::SRV(data))
}

fn a(owner: &str, last: u8, ttl: u32) -> Record {
    Record::from_rdata(wire(owner), ttl, RData::A(A([192, 0, 2, last].into())))
}

fn soa(zone: &str, ttl: u32) -> Record {
    let data = SOA::new(wire("ns.example.org"), wire("admin.example.org"), 1, 60, 60, 600, 7);
    Record::from_rdata(wire(zone), ttl, RData::SOA(data))
}

/// The answer to a query with these records.
fn reply(query: &[u8], records: Vec<Record>) -> Message {
    let query = Message::from_vec(query).expect("the query can be read");
    let mut answer = Message::new();
    answer.set_id(query.id()).set_message_type(MessageType::Response);
    answer.add_queries(query.queries().to_vec());
    answer.add_answers(records);
    answer
}

fn bytes(message: &Message) -> Vec<u8> {
    message.to_vec().expect("it can be written")
}

/// A query: its number, whom it went to, and its bytes.
type Sent = (u64, SocketAddr, Vec<u8>);

/// A resolver and what it has out.
struct Bench {
    resolver: Resolver,
    now: Millis,
    said: Vec<Action>,
}

impl Bench {
    fn new(servers: u8) -> Bench {
        let settings = Settings::of((1..=servers).map(server).collect());
        Bench { resolver: Resolver::new(settings, [3; 32]), now: 1000, said: Vec::new() }
    }

    fn want(&mut self, question: &Question) -> Sent {
        self.resolver.want(self.now, question.clone());
        self.tell(Event::Wake);
        self.query()
    }

    fn tell(&mut self, event: Event) {
        self.resolver.handle(self.now, event, &mut self.said);
    }

    fn answer(&mut self, (query, from, sent): &Sent, records: Vec<Record>) {
        let bytes = bytes(&reply(sent, records));
        self.tell(Event::Datagram { query: *query, from: *from, bytes });
    }

    /// Goes to the next time at which something is due.
    fn wake(&mut self) {
        self.now = self.resolver.next_wake().expect("something is due").max(self.now);
        self.tell(Event::Wake);
    }

    /// The latest query over UDP, once.
    fn query(&mut self) -> Sent {
        self.latest().unwrap_or_else(|| panic!("no query in {:?}", self.said))
    }

    fn latest(&mut self) -> Option<Sent> {
        let at = self.said.iter().rposition(|action| matches!(action, Action::Datagram { .. }))?;
        match self.said.remove(at) {
            Action::Datagram { query, to, bytes } => Some((query, to, bytes)),
            _ => None,
        }
    }

    /// The next one that nobody has answered yet, now or once something is due.
    fn next_query(&mut self) -> Sent {
        loop {
            if let Some(query) = self.latest() {
                return query;
            }
            self.wake();
        }
    }

    fn stream(&mut self) -> Sent {
        let found = self.said.iter().rev().find_map(|action| match action {
            Action::Stream { query, to, bytes } => Some((*query, *to, bytes.clone())),
            _ => None,
        });
        found.unwrap_or_else(|| panic!("no exchange over TCP in {:?}", self.said))
    }

    fn targets(&self) -> Vec<String> {
        let known = self.resolver.known(&service()).map(|known| known.said.records().to_vec());
        let target = |data: &Data| match data {
            Data::Srv(srv) => Some(srv.target.to_string()),
            Data::Address(_) => None,
        };
        known.unwrap_or_default().iter().filter_map(target).collect()
    }
}

#[test]
fn an_answer_is_kept_for_its_lifetime_and_asked_for_again_before_that_ends() {
    let mut bench = Bench::new(1);
    let first = bench.want(&service());
    bench.now += 20;
    bench.answer(&first, vec![srv("a.example.org", 9000)]);
    assert_eq!(bench.targets(), ["a.example.org"]);
    let answered = bench.now;
    let again = bench.next_query();
    let waited = bench.now - answered;
    assert!((42_000..=54_000).contains(&waited), "asked again after {waited} ms of 60 s");
    assert_ne!(Message::from_vec(&first.2).unwrap().id(), Message::from_vec(&again.2).unwrap().id());
    assert!(bench.resolver.known(&service()).unwrap().is_fresh(bench.now));
}

#[test]
fn a_lifetime_of_nothing_and_one_of_a_century_are_held_to_the_bounds() {
    for (ttl, least, most) in
        [(0, 1000, 1000), (u32::MAX, 1000, 1000), (i32::MAX as u32, 3_600_000, 3_600_000)]
    {
        let mut bench = Bench::new(1);
        let question = Question::new(&name("a.example.org"), Kind::A);
        let query = bench.want(&question);
        bench.answer(&query, vec![a("a.example.org", 1, ttl), a("a.example.org", 2, i32::MAX as u32)]);
        let lifetime = bench.resolver.known(&question).unwrap().lifetime;
        assert!(
            (least..=most).contains(&lifetime),
            "{ttl} s became {lifetime} ms; the least of the records counts"
        );
    }
}

#[test]
fn a_truncated_answer_goes_on_over_tcp_and_counts_for_nothing() {
    let mut bench = Bench::new(2);
    let query = bench.want(&service());
    let mut answer = reply(&query.2, vec![srv("a.example.org", 9000), srv("b.example.org", 9000)]);
    answer.set_truncated(true);
    // Cut within a record, as some servers do: it cannot be read, and still says that it is truncated.
    let mut cut = bytes(&answer);
    cut.truncate(cut.len() - 7);
    bench.tell(Event::Datagram { query: query.0, from: query.1, bytes: cut });
    assert!(bench.targets().is_empty());
    let stream = bench.stream();
    assert_eq!(stream.1, query.1, "the same resolver");
    // Truncated again: the other resolver is asked, over UDP.
    let mut again = reply(&stream.2, vec![srv("a.example.org", 9000)]);
    again.set_truncated(true);
    bench.said.clear();
    bench.tell(Event::Stream { query: stream.0, bytes: Some(bytes(&again)) });
    let other = bench.query();
    assert_ne!(other.1, query.1);
    let mut answer = reply(&other.2, Vec::new());
    answer.set_truncated(true);
    bench.tell(Event::Datagram { query: other.0, from: other.1, bytes: bytes(&answer) });
    let stream = bench.stream();
    bench.tell(Event::Stream { query: stream.0, bytes: None });
    assert_eq!(bench.resolver.problem(&service()), Some((Problem::NoStream, other.1)));
    assert!(bench.targets().is_empty());
    // Forty over TCP, at last.
    while bench.resolver.known(&service()).is_none() {
        let query = bench.next_query();
        let records = (0..40).map(|number| srv(&format!("n{number}.example.org"), 9000)).collect();
        bench.answer(&query, records);
    }
    assert_eq!(bench.targets().len(), 40);
}

#[test]
fn what_does_not_fit_the_query_is_no_answer() {
    let mut bench = Bench::new(1);
    let query = bench.want(&service());
    let forged = vec![srv("evil.example.org", 666)];
    let good = reply(&query.2, forged.clone());
    let mut other_id = good.clone();
    other_id.set_id(good.id().wrapping_add(1));
    let mut other_question = good.clone();
    other_question.queries_mut()[0].set_name(wire("_other._tcp.example.org"));
    let tell = |bench: &mut Bench, from: SocketAddr, bytes: Vec<u8>| {
        bench.tell(Event::Datagram { query: query.0, from, bytes });
        assert!(bench.targets().is_empty());
    };
    tell(&mut bench, query.1, bytes(&other_id));
    tell(&mut bench, server(99), bytes(&good));
    tell(&mut bench, query.1, bytes(&other_question));
    let mut moved = Bench::new(1);
    let own = moved.want(&service());
    moved.tell(Event::Datagram { query: own.0, from: own.1, bytes: own.2.clone() });
    assert!(moved.targets().is_empty(), "a query that comes back is no answer");
    assert_eq!(bench.resolver.servers()[0].ignored, 3);
    // The right one still counts, and what follows it does not.
    bench.answer(&query, vec![srv("a.example.org", 9000)]);
    tell_again(&mut bench, &query, &good);
    assert_eq!(bench.targets(), ["a.example.org"], "a second answer, under the right id, came late");
}

fn tell_again(bench: &mut Bench, query: &Sent, message: &Message) {
    bench.tell(Event::Datagram { query: query.0, from: query.1, bytes: bytes(message) });
}

#[test]
fn guessing_on_and_on_makes_the_query_go_over_tcp() {
    let mut bench = Bench::new(1);
    let query = bench.want(&service());
    let mut wrong = reply(&query.2, vec![srv("evil.example.org", 666)]);
    for guess in 1..=4 {
        wrong.set_id(wrong.id().wrapping_add(guess));
        tell_again(&mut bench, &query, &wrong);
    }
    let stream = bench.stream();
    assert!(bench.said.contains(&Action::Close { query: query.0 }));
    let answer = reply(&stream.2, vec![srv("a.example.org", 9000)]);
    bench.tell(Event::Stream { query: stream.0, bytes: Some(bytes(&answer)) });
    assert_eq!(bench.targets(), ["a.example.org"]);
}

#[test]
fn failures_say_nothing_of_the_records_and_what_was_known_serves_on() {
    let mut bench = Bench::new(2);
    let query = bench.want(&service());
    bench.answer(&query, vec![srv("a.example.org", 9000)]);
    let mut failed = 0;
    while bench.resolver.known(&service()).unwrap().is_fresh(bench.now) || failed < 3 {
        let query = bench.next_query();
        let mut answer = reply(&query.2, Vec::new());
        answer.set_response_code(ResponseCode::ServFail);
        tell_again(&mut bench, &query, &answer);
        failed += bench.said.iter().filter(|action| matches!(action, Action::Failed(_))).count();
        bench.said.retain(|action| !matches!(action, Action::Failed(_)));
        assert_eq!(bench.targets(), ["a.example.org"], "stale, and still there");
    }
    assert!(matches!(bench.resolver.problem(&service()), Some((Problem::Code(2), _))));
    let query = bench.next_query();
    bench.answer(&query, vec![srv("b.example.org", 9000)]);
    assert_eq!(
        (bench.targets(), bench.resolver.problem(&service())),
        (vec!["b.example.org".to_string()], None)
    );
}

#[test]
fn silence_ends_in_a_failure_and_a_growing_pause_and_stale_data_ends_in_its_time() {
    let mut bench = Bench::new(1);
    let query = bench.want(&service());
    bench.answer(&query, vec![srv("a.example.org", 9000)]);
    let begun = bench.now;
    let mut queries = 0;
    bench.said.clear();
    while !bench.said.contains(&Action::Forgotten(service())) {
        bench.said.clear();
        bench.wake();
        queries += bench.said.iter().filter(|action| matches!(action, Action::Datagram { .. })).count();
    }
    assert_eq!(bench.now - begun, 60_000 + 86_400_000);
    // Two rounds a lookup, and 15 to 30 s between two lookups at last.
    assert!((6_000..13_000).contains(&queries), "{queries} queries in a day of silence");
    assert!(bench.targets().is_empty());
}

#[test]
fn aliases_are_followed_within_an_answer_and_from_one_to_the_next_to_a_limit() {
    let question = Question::new(&name("www.example.org"), Kind::A);
    let alias = |from: &str, to: &str| Record::from_rdata(wire(from), 30, RData::CNAME(CNAME(wire(to))));
    let mut bench = Bench::new(1);
    let query = bench.want(&question);
    bench.answer(&query, vec![alias("www.example.org", "b.example.org"), a("b.example.org", 1, 300)]);
    let known = bench.resolver.known(&question).unwrap();
    assert_eq!(
        (known.said.records().len(), known.lifetime),
        (1, 30_000),
        "the alias's lifetime is the shorter one"
    );

    let mut bench = Bench::new(1);
    let query = bench.want(&question);
    bench.said.clear();
    bench.answer(&query, vec![alias("www.example.org", "c.example.net")]);
    let next = bench.query();
    assert_eq!(Message::from_vec(&next.2).unwrap().queries()[0].name(), &wire("c.example.net"));
    bench.answer(&next, vec![a("c.example.net", 9, 300)]);
    let known = bench.resolver.known(&question).unwrap();
    assert_eq!((known.said.records().len(), known.lifetime), (1, 30_000));

    let mut bench = Bench::new(1);
    let mut query = bench.want(&question);
    for turn in 0..20 {
        bench.said.clear();
        let asked = Message::from_vec(&query.2).unwrap().queries()[0].name().to_string();
        bench.answer(&query, vec![alias(asked.trim_end_matches('.'), &format!("x{turn}.example.org"))]);
        if bench.said.contains(&Action::Failed(question.clone())) {
            assert_eq!(bench.resolver.problem(&question), Some((Problem::Aliases, server(1))));
            assert_eq!(turn, 8);
            return;
        }
        query = bench.query();
    }
    panic!("aliases without an end were followed");
}

#[test]
fn negative_answers_tell_whether_the_zone_vouches_for_them_and_live_as_it_says() {
    let mut bench = Bench::new(1);
    let query = bench.want(&service());
    let mut answer = reply(&query.2, Vec::new());
    answer.set_response_code(ResponseCode::NXDomain);
    answer.add_name_server(soa("example.org", 3600));
    tell_again(&mut bench, &query, &answer);
    let known = bench.resolver.known(&service()).unwrap();
    assert_eq!((&known.said, known.lifetime), (&Said::NoName { proven: true }, 7_000), "the SOA's minimum");

    let mut bench = Bench::new(1);
    let query = bench.want(&service());
    let mut answer = reply(&query.2, Vec::new());
    answer.add_name_server(soa("example.net", 3600));
    tell_again(&mut bench, &query, &answer);
    let known = bench.resolver.known(&service()).unwrap();
    assert_eq!(known.said, Said::NoData { proven: false }, "another zone's SOA");
}

#[test]
fn of_what_comes_along_counts_only_what_is_in_the_services_own_domain() {
    let mut bench = Bench::new(1);
    let query = bench.want(&service());
    let mut answer = reply(&query.2, vec![srv("a.example.org", 9000), srv("b.example.net", 9000)]);
    answer.add_additional(a("a.example.org", 1, 60));
    answer.add_additional(a("b.example.net", 2, 60));
    answer.add_additional(a("c.example.org", 3, 60));
    tell_again(&mut bench, &query, &answer);
    let glue = &bench.resolver.known(&service()).unwrap().glue;
    assert_eq!(glue, &[(name("a.example.org"), "192.0.2.1".parse().unwrap())]);
}

#[test]
fn a_thousand_questions_at_once_are_no_storm() {
    let mut bench = Bench::new(3);
    for number in 0..1000 {
        bench.resolver.want(bench.now, Question::new(&name(&format!("n{number}.example.org")), Kind::A));
    }
    let begun = bench.now;
    let (mut times, mut out): (Vec<Millis>, Vec<Sent>) = (Vec::new(), Vec::new());
    while times.len() < 1000 {
        bench.said.clear();
        match out.pop() {
            Some((query, to, sent)) => {
                let asked = Message::from_vec(&sent).unwrap().queries()[0].name().to_string();
                bench.answer(&(query, to, sent), vec![a(asked.trim_end_matches('.'), 1, 3600)]);
            }
            None => bench.wake(),
        }
        for action in &bench.said {
            if let Action::Datagram { query, to, bytes } = action {
                times.push(bench.now);
                out.push((*query, *to, bytes.clone()));
            }
        }
        assert!(out.len() <= 8, "at most eight are out");
    }
    let most =
        times.iter().map(|at| times.iter().filter(|time| (*at..at + 1000).contains(*time)).count()).max();
    assert!(most.unwrap() <= 111, "{most:?} queries in a second");
    let took = times.last().unwrap() - begun;
    assert!((9_000..11_000).contains(&took), "all were asked after {took} ms");
    // Equal lifetimes: asked again over a fifth of them, not at once.
    let mut again = Vec::new();
    while again.len() < 1000 {
        bench.said.clear();
        bench.wake();
        for action in bench.said.clone() {
            if let Action::Datagram { query, to, bytes } = action {
                again.push(bench.now);
                let asked = Message::from_vec(&bytes).unwrap().queries()[0].name().to_string();
                bench.answer(&(query, to, bytes), vec![a(asked.trim_end_matches('.'), 1, 3600)]);
            }
        }
    }
    let span = again[999] - again[0];
    assert!(span > 600_000, "spread over {} s", span / 1000);
}

#[test]
fn a_second_word_is_asked_of_another_resolver() {
    let mut bench = Bench::new(2);
    let query = bench.want(&service());
    bench.answer(&query, vec![srv("a.example.org", 9000)]);
    bench.now += 1000;
    bench.resolver.confirm(bench.now, &service(), Some(usize::from(query.1 == server(2))));
    bench.said.clear();
    bench.tell(Event::Wake);
    assert_ne!(bench.query().1, query.1);
}

proptest! {
    /// Any order, loss and repetition of datagrams ends in what the last whole answer said.
    #[test]
    fn any_order_loss_and_repetition_ends_in_the_last_whole_answer(
        seed in any::<[u8; 32]>(),
        steps in proptest::collection::vec((0..7u8, 0..4u8), 1..60),
    ) {
        let mut bench = Bench::new(3);
        bench.resolver = Resolver::new(Settings::of((1..=3).map(server).collect()), seed);
        let mut sent = vec![bench.want(&service())];
        let mut last: Option<Vec<String>> = None;
        for (step, which) in steps {
            bench.said.clear();
            let target = format!("n{which}.example.org");
            // Answers go to any query there ever was; only the one that is out can take one.
            let query = sent[usize::from(which) * 7 % sent.len()].clone();
            let open = sent.last().cloned().unwrap();
            match step {
                0 => bench.wake(),
                1 => bench.answer(&open, vec![srv(&target, 9000)]),
                2 => bench.answer(&query, vec![srv(&target, 9000)]),
                3 => {
                    let mut answer = reply(&open.2, vec![srv(&target, 9000)]);
                    answer.set_truncated(true);
                    tell_again(&mut bench, &open, &answer);
                }
                4 => {
                    let mut answer = reply(&open.2, Vec::new());
                    answer.set_response_code(ResponseCode::ServFail);
                    tell_again(&mut bench, &open, &answer);
                }
                5 => bench.tell(Event::Stream { query: open.0, bytes: None }),
                _ => bench.now += 10_000,
            }
            if bench.said.contains(&Action::Answered(service())) {
                prop_assert!(matches!(step, 1 | 2), "step {} brought an answer", step);
                last = Some(vec![target]);
            }
            for action in &bench.said {
                if let Action::Datagram { query, to, bytes } | Action::Stream { query, to, bytes } = action {
                    sent.push((*query, *to, bytes.clone()));
                }
            }
            prop_assert_eq!(bench.targets(), last.clone().unwrap_or_default());
        }
    }

    /// Any bytes are an answer, or none: no panic, and no more kept than came.
    #[test]
    fn any_bytes_are_read_or_refused(mut junk in proptest::collection::vec(any::<u8>(), 0..600), flips in proptest::collection::vec((any::<u16>(), any::<u8>()), 0..8)) {
        let asked = service();
        let sent = message::query(7, &asked);
        let read = message::answer(&junk, 7, &asked);
        prop_assert!(read.is_none() || junk.starts_with(&[0, 7]), "it has another id");
        let mut good = bytes(&reply(&sent, (0..20).map(|number| srv(&format!("n{number}.example.org"), 1)).collect()));
        for (at, byte) in flips {
            let at = usize::from(at) % good.len();
            good[at] = byte;
        }
        if let Some(Verdict::Said { said, .. }) = message::answer(&good, 7, &asked) {
            prop_assert!(said.records().len() <= 20);
        }
        junk.splice(0..0, good);
        let _ = message::answer(&junk, 7, &asked);
    }
}

/// These tests can fail: each deliberate fault of the resolver makes one of them red.
#[cfg(feature = "mutants")]
#[test]
fn every_mutant_of_the_resolver_is_found() {
    use brassport_resolver::mutants::{choose, Mutant, ALL};
    for mutant in ALL {
        let test: fn() = match mutant {
            Mutant::TrustTruncated => a_truncated_answer_goes_on_over_tcp_and_counts_for_nothing,
            Mutant::IgnoreLifetime => an_answer_is_kept_for_its_lifetime_and_asked_for_again_before_that_ends,
            Mutant::FailureIsEmpty => failures_say_nothing_of_the_records_and_what_was_known_serves_on,
            Mutant::IgnoreQuestion | Mutant::IgnoreId | Mutant::IgnoreSender => {
                what_does_not_fit_the_query_is_no_answer
            }
            Mutant::NoStale => silence_ends_in_a_failure_and_a_growing_pause_and_stale_data_ends_in_its_time,
        };
        choose(Some(mutant));
        let found = std::panic::catch_unwind(test).is_err();
        choose(None);
        assert!(found, "{mutant:?} passed its test");
    }
}
