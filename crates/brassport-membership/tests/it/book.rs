//! The membership list: the rules between several sources.

use brassport_membership::book::{Book, Entry, Moment, Report, Source, State, Word};
use brassport_membership::table::Id;
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Moment { monotonic: ms, unix: 1_000_000 + ms }
}

fn node(id: &str, port: u16, state: State) -> Entry {
    Entry { state, ..Entry::ready(id, ([127, 0, 0, 1], port).into()) }
}

fn two() -> Book {
    Book::new(vec![Source::authority("nomad"), Source::authority("file")])
}

fn state(book: &Book, id: &str) -> Option<State> {
    book.nodes().find(|entry| &*entry.id == id).map(|entry| entry.state)
}

fn withdraw(ids: &[&str]) -> Report {
    Report { withdrawn: ids.iter().map(|id| Id::from(*id)).collect(), ..Report::changes(Vec::new()) }
}

#[test]
fn draining_by_any_authority_takes_effect_at_once_in_either_source_order() {
    for (says, other) in [(0, 1), (1, 0)] {
        let mut book = two();
        book.take(at(0), other, Report::whole(vec![node("a", 1, State::Ready)]));
        book.take(at(1), says, Report::whole(vec![node("a", 1, State::Ready)]));
        let update = book.take(at(2), says, Report::changes(vec![node("a", 1, State::Draining)]));
        assert_eq!(update.nodes, [node("a", 1, State::Draining)]);
        // The other repeats its report: the node stays draining.
        assert_eq!(book.take(at(3), other, Report::whole(vec![node("a", 1, State::Ready)])).nodes, []);
        assert_eq!(state(&book, "a"), Some(State::Draining));
        // The source that reported the drain ends it.
        book.take(at(4), says, Report::changes(vec![node("a", 1, State::Ready)]));
        assert_eq!(state(&book, "a"), Some(State::Ready));
    }
}

#[test]
fn a_node_reported_gone_stays_gone_while_another_source_lists_it() {
    let mut book = two();
    book.take(at(0), 0, Report::whole(vec![node("a", 1, State::Ready)]));
    book.take(at(0), 1, Report::whole(vec![node("a", 1, State::Ready)]));
    let update = book.take(at(1), 0, Report::changes(vec![node("a", 1, State::Gone)]));
    assert_eq!(update.nodes[0].state, State::Gone);
    assert_eq!(book.explain("a", at(5)).unwrap().because, "'nomad' says gone");
    assert_eq!(book.len(), 1, "remembered against the other's report");
    book.take(at(2), 1, withdraw(&["a"]));
    assert_eq!(book.len(), 0);
    assert_eq!(book.explain("a", at(5)).unwrap().state, State::Gone, "and explained for a while");
}

#[test]
fn a_node_is_removed_when_the_last_source_withdraws_it() {
    let mut book = two();
    book.take(at(0), 0, Report::whole(vec![node("a", 1, State::Ready), node("b", 2, State::Ready)]));
    book.take(at(0), 1, Report::whole(vec![node("a", 1, State::Ready)]));
    assert_eq!(book.take(at(1), 0, withdraw(&["a"])).nodes, []);
    let update = book.take(at(2), 1, Report::whole(vec![]));
    assert_eq!(update.nodes, [node("a", 1, State::Gone)]);
    assert!(!update.whole, "the other source's nodes are not in it");
    let why = book.explain("a", at(10)).unwrap();
    assert_eq!((why.because.as_str(), why.age_ms), ("no source lists it any more", 8));
    assert_eq!(state(&book, "b"), Some(State::Ready));
}

#[test]
fn a_new_incarnation_is_not_bound_by_reports_of_the_previous_one() {
    let mut book = two();
    let old = Entry { boot_ms: 100.0, ..node("a", 1, State::Draining) };
    book.take(at(0), 0, Report::whole(vec![old]));
    book.take(at(0), 1, Report::whole(vec![Entry { boot_ms: 100.0, ..node("a", 1, State::Ready) }]));
    assert_eq!(state(&book, "a"), Some(State::Draining));
    let restarted = Entry { boot_ms: 200.0, ..node("a", 1, State::Ready) };
    let update = book.take(at(1), 1, Report::changes(vec![restarted]));
    assert_eq!(
        (update.nodes[0].state, update.nodes[0].boot_ms),
        (State::Ready, 200.0),
        "and warming up from then"
    );
}

#[test]
fn an_advisory_list_counts_until_each_authority_has_reported_and_never_against_one() {
    let mut book =
        Book::new(vec![Source::authority("nomad"), Source::authority("file"), Source::advisory("kept")]);
    let kept = ["a", "b", "c"].map(|id| node(id, id.as_bytes()[0].into(), State::Ready));
    assert_eq!(book.take(at(0), 2, Report::whole(kept.to_vec())).nodes.len(), 3);
    assert_eq!(book.explain("a", at(0)).unwrap().because, "'kept' keeps it until each source has been heard");
    book.take(at(1), 0, Report::whole(vec![node("a", 97, State::Draining)]));
    assert_eq!((state(&book, "a"), state(&book, "b")), (Some(State::Draining), Some(State::Ready)));
    let update = book.take(at(2), 1, Report::whole(vec![node("b", 98, State::Ready)]));
    assert_eq!(update.nodes, [node("c", 99, State::Gone)]);
    assert!(book.is_settled());
    // An advisory report does not count against an authority's.
    let mut book = Book::new(vec![Source::authority("nomad"), Source::advisory("kept")]);
    book.take(at(0), 1, Report::whole(vec![node("a", 97, State::Draining)]));
    book.take(at(1), 0, Report::whole(vec![node("a", 97, State::Ready)]));
    assert_eq!(state(&book, "a"), Some(State::Ready));
}

#[test]
fn of_two_nodes_at_one_address_the_later_started_owns_it() {
    let mut book = two();
    let old = Entry { boot_ms: 100.0, ..node("old", 1, State::Ready) };
    let new = Entry { boot_ms: 200.0, ..node("new", 1, State::Ready) };
    book.take(at(0), 0, Report::whole(vec![old.clone()]));
    let update = book.take(at(1), 1, Report::whole(vec![new.clone()]));
    assert_eq!(update.nodes, [new.clone(), Entry { state: State::Draining, ..old.clone() }]);
    assert_eq!(
        book.explain("old", at(2)).unwrap().because,
        "its address belongs to 'new', which goes before it"
    );
    // The order of the reports does not matter.
    let mut other = two();
    other.take(at(0), 1, Report::whole(vec![new.clone()]));
    other.take(at(1), 0, Report::whole(vec![old.clone()]));
    assert!(other.nodes().eq(book.nodes()));
    // A repeated report does not give it to the old one, which owns it again when the other is removed.
    assert_eq!(book.take(at(3), 0, Report::whole(vec![old.clone()])).nodes, []);
    let update = book.take(at(4), 1, withdraw(&["new"]));
    assert_eq!(update.nodes, [Entry { state: State::Gone, ..new }, old]);
}

#[test]
fn the_first_source_decides_the_address_and_a_moved_node_counts_as_newly_started() {
    let mut book = two();
    book.take(at(0), 0, Report::whole(vec![node("a", 1, State::Ready)]));
    assert_eq!(book.take(at(1), 1, Report::whole(vec![node("a", 2, State::Ready)])).nodes, []);
    let words = book.explain("a", at(1)).unwrap().words;
    assert_ne!(words[0].address, words[1].address, "the disagreement can be seen");
    let update = book.take(at(2), 0, Report::changes(vec![node("a", 3, State::Ready)]));
    assert_eq!(update.nodes[0].address.unwrap().port(), 3);
    assert_eq!(update.nodes[0].boot_ms, 1_000_002.0, "taken for started when it moved");
    // Its start stays so, whoever reports next.
    book.take(at(50), 1, Report::changes(vec![node("a", 2, State::Draining)]));
    assert_eq!(book.nodes().next().unwrap().boot_ms, 1_000_002.0);
}

#[test]
fn a_node_without_an_address_is_draining() {
    let mut book = two();
    let update =
        book.take(at(0), 0, Report::whole(vec![Entry { address: None, ..node("a", 1, State::Ready) }]));
    assert_eq!(update.nodes[0].state, State::Draining);
    assert_eq!(book.explain("a", at(0)).unwrap().because, "'nomad' tells no address for it");
}

#[test]
fn a_sole_verbatim_source_is_passed_through_in_its_order() {
    let mut book = Book::new(vec![Source::as_told("platform")]);
    let list = [node("b", 1, State::Ready), node("a", 1, State::Ready), node("c", 2, State::Draining)];
    let update = book.take(at(0), 0, Report::whole(list.to_vec()));
    assert!(update.whole);
    assert_eq!(update.nodes, list);
    // Repeated: the policy is notified again, as a full list shows it that the source is alive.
    assert_eq!(book.take(at(1), 0, Report::whole(list.to_vec())).nodes, list);
    let update = book.take(at(2), 0, Report::changes(vec![node("a", 1, State::Gone)]));
    assert_eq!((update.whole, update.nodes), (false, vec![node("a", 1, State::Gone)]));
}

#[test]
fn removed_nodes_are_remembered_within_a_bound() {
    let mut book = two();
    book.take(at(0), 0, Report::whole(vec![]));
    for round in 0..2_000u64 {
        let id = format!("n{round}");
        book.take(at(round), 0, Report::changes(vec![node(&id, 1, State::Ready)]));
        book.take(at(round), 0, Report::changes(vec![node(&id, 1, State::Gone)]));
    }
    assert_eq!(book.len(), 0);
    assert_eq!(book.sources(at(3_000))[0].nodes, 0);
    assert!(book.explain("n1999", at(3_000)).is_some());
    assert!(book.explain("n0", at(3_000)).is_none());
}

/// An entry reported by one of two authorities.
fn reported() -> impl Strategy<Value = (usize, Entry)> {
    let states = prop_oneof![Just(State::Ready), Just(State::Draining), Just(State::Gone)];
    (0usize..2, 0u8..4, 1u16..4, states, 0u8..3).prop_map(|(source, id, port, state, boot)| {
        let mut entry = node(&format!("n{id}"), port, state);
        entry.boot_ms = f64::from(boot) * 100.0;
        (source, entry)
    })
}

proptest! {
    #[test]
    fn the_list_depends_on_the_last_reports_and_not_on_their_interleaving(
        reports in prop::collection::vec(reported(), 1..40),
        first in any::<bool>(),
    ) {
        // Addresses are fixed by name: a move counts from when it was seen, which is a matter of order.
        let reports: Vec<_> = reports.into_iter().map(|(source, mut entry)| {
            let number = u16::from(entry.id.as_bytes()[1] - b'0');
            entry.address = Some(([127, 0, 0, 1], 1 + number / 2).into());
            (source, entry)
        }).collect();
        let of = |source: usize| reports.iter().filter(move |(from, _)| *from == source).map(|(_, entry)| entry.clone());
        // In the order reported, interleaved.
        let mut mixed = two();
        for source in 0..2 { mixed.take(at(0), source, Report::whole(vec![])); }
        for (source, entry) in &reports { mixed.take(at(1), *source, Report::changes(vec![entry.clone()])); }
        // One source after the other, each report twice.
        let mut apart = two();
        for source in 0..2 { apart.take(at(0), source, Report::whole(vec![])); }
        for source in if first { [0, 1] } else { [1, 0] } {
            for entry in of(source) {
                apart.take(at(1), source, Report::changes(vec![entry.clone()]));
                apart.take(at(1), source, Report::changes(vec![entry]));
            }
        }
        // A node that all report gone is forgotten at once, and with it the other source's earlier report.
        let all_gone = |id: &Id| (0..2).any(|source| of(source).any(|entry| entry.id == *id && entry.state == State::Gone));
        let listed = |book: &Book| book.nodes().filter(|entry| !all_gone(&entry.id)).cloned().collect::<Vec<_>>();
        let shares = |entry: &Entry| (0..4u8).any(|n| all_gone(&format!("n{n}").as_str().into()) && entry.address == Some(([127, 0, 0, 1], 1 + u16::from(n) / 2).into()));
        let (mixed, apart) = (listed(&mixed), listed(&apart));
        let plain = |list: Vec<Entry>| list.into_iter().filter(|entry| !shares(entry)).collect::<Vec<_>>();
        prop_assert_eq!(plain(mixed), plain(apart));
    }

    #[test]
    fn the_precedence_rule_holds_after_every_report(reports in prop::collection::vec(reported(), 1..60)) {
        let mut book = two();
        for source in 0..2 { book.take(at(0), source, Report::whole(vec![])); }
        let mut notified: std::collections::BTreeMap<Id, State> = Default::default();
        for (now, (source, entry)) in reports.into_iter().enumerate() {
            let update = book.take(at(now as u64), source, Report::changes(vec![entry]));
            for node in update.nodes { notified.insert(node.id, node.state); }
            for entry in book.nodes() {
                let why = book.explain(&entry.id, at(now as u64)).unwrap();
                // What the policy was notified of is what is listed.
                prop_assert_eq!(notified.get(&entry.id), Some(&entry.state));
                if entry.state == State::Ready {
                    // Every report against it is of an earlier incarnation.
                    let earlier = |boot: f64| boot > 0.0 && boot < entry.boot_ms;
                    let agrees = |word: &Word| word.says == State::Ready || earlier(word.boot_ms);
                    prop_assert!(why.words.iter().all(agrees), "{:?}", why);
                    let rivals = book.nodes().filter(|other| {
                        other.address == entry.address && other.id != entry.id && other.state == State::Ready
                    });
                    prop_assert_eq!(rivals.count(), 0, "two at one address");
                }
            }
        }
    }
}

mod sources_that_only_list {
    use super::*;

    fn at_ms(ms: u64) -> Moment {
        Moment { monotonic: ms, unix: 1_800_000_000_000 + ms }
    }

    fn address(port: u16) -> std::net::SocketAddr {
        std::net::SocketAddr::from(([192, 0, 2, 1], port))
    }

    fn book() -> Book {
        Book::new(vec![Source::authority("nomad"), Source::lists_only("dns")])
    }

    fn draining(id: &str, port: u16) -> Entry {
        Entry { state: State::Draining, boot_ms: 1.0, ..Entry::ready(id, address(port)) }
    }

    fn found(id: &str, port: u16, since: f64) -> Entry {
        Entry { boot_ms: since, ..Entry::ready(id, address(port)) }
    }

    #[test]
    fn a_node_drained_and_withdrawn_by_nomad_stays_draining_until_dns_withdraws_it() {
        let mut book = book();
        book.take(at_ms(0), 1, Report::whole(vec![found("n1:1", 1, 1e12)]));
        book.take(at_ms(1), 0, Report::whole(vec![draining("alloc", 1)]));
        let why = book.explain("n1:1", at_ms(1)).unwrap();
        assert_eq!(why.state, State::Draining, "however late DNS first saw it: {}", why.because);
        book.take(at_ms(2), 0, Report::whole(vec![]));
        let why = book.explain("n1:1", at_ms(3)).unwrap();
        assert_eq!(why.state, State::Draining);
        assert!(why.because.contains("'nomad' said draining of 'alloc' there"), "{}", why.because);
        // For as long as it is listed, which may be long.
        book.take(at_ms(20_000_000), 1, Report::whole(vec![found("n1:1", 1, 1e12)]));
        assert_eq!(book.explain("n1:1", at_ms(20_000_000)).unwrap().state, State::Draining);
        book.take(at_ms(20_000_001), 1, Report::whole(vec![]));
        let update = book.take(at_ms(20_000_002), 1, Report::whole(vec![found("n2:1", 1, 2e12)]));
        assert_eq!(update.nodes.last().map(|node| node.state), Some(State::Ready), "another machine");
    }

    #[test]
    fn a_remembered_drain_of_the_same_name_ends_when_nomad_lists_the_address_ready() {
        let mut book = book();
        book.take(at_ms(0), 1, Report::whole(vec![found("n1:1", 1, 1e12)]));
        book.take(at_ms(1), 0, Report::whole(vec![draining("n1:1", 1)]));
        book.take(at_ms(2), 0, Report::whole(vec![]));
        assert_eq!(book.explain("n1:1", at_ms(3)).unwrap().state, State::Draining);
        book.take(at_ms(4), 0, Report::whole(vec![found("again", 1, 5.0)]));
        assert_eq!(book.explain("again", at_ms(5)).unwrap().state, State::Ready);
        assert_eq!(
            book.explain("n1:1", at_ms(5)).unwrap().because,
            "its address belongs to 'again', which goes before it"
        );
        book.take(at_ms(6), 0, Report::whole(vec![]));
        assert_eq!(book.explain("n1:1", at_ms(7)).unwrap().state, State::Ready, "it left without a drain");
    }

    #[test]
    fn a_terminated_node_listed_late_by_dns_stays_draining() {
        let mut book = book();
        book.take(at_ms(0), 0, Report::whole(vec![found("alloc", 1, 1.0)]));
        book.take(at_ms(1), 1, Report::whole(vec![]));
        book.take(at_ms(2), 0, Report::changes(vec![Entry { state: State::Gone, ..found("alloc", 1, 1.0) }]));
        book.take(at_ms(60_000), 1, Report::changes(vec![found("n1:1", 1, 1e12)]));
        assert_eq!(book.explain("n1:1", at_ms(60_000)).unwrap().state, State::Draining);
        // Where nothing was listed there for an hour, what comes is another.
        let mut book = self::book();
        book.take(at_ms(0), 0, Report::whole(vec![found("alloc", 1, 1.0)]));
        book.take(at_ms(2), 0, Report::changes(vec![Entry { state: State::Gone, ..found("alloc", 1, 1.0) }]));
        book.take(at_ms(3_600_002), 1, Report::whole(vec![found("n1:1", 1, 1e12)]));
        assert_eq!(book.explain("n1:1", at_ms(3_600_002)).unwrap().state, State::Ready);
    }

    #[test]
    fn a_denied_address_is_listed_with_the_reason_and_another_source_may_supply_one() {
        let mut book = book();
        let mut report = Report::whole(vec![found("n1:1", 1, 0.0), found("n2:2", 2, 0.0)]);
        report.shut_out(|_| Err::<(), _>("192.0.2.1 is within 192.0.2.0/24, which 'deny' names"));
        book.take(at_ms(0), 1, report);
        let why = book.explain("n1:1", at_ms(0)).unwrap();
        assert_eq!((why.state, why.address), (State::Draining, None));
        assert!(why.because.contains("'deny' names"), "{}", why.because);
        book.take(at_ms(1), 0, Report::whole(vec![Entry::ready("n1:1", address(9))]));
        let why = book.explain("n1:1", at_ms(1)).unwrap();
        assert_eq!((why.state, why.address), (State::Ready, Some(address(9))));
    }

    #[test]
    fn remembered_drains_are_bounded_and_those_in_effect_are_evicted_last() {
        let mut book = book();
        book.take(at_ms(0), 1, Report::whole(vec![found("n1:1", 1, 0.0)]));
        book.take(at_ms(0), 0, Report::whole(vec![draining("first", 1)]));
        for round in 0..3_u64 {
            let many = (2..3000).map(|port| draining(&format!("{round}-{port}"), port + 3000 * round as u16));
            book.take(at_ms(1 + round), 0, Report::whole(many.collect()));
        }
        book.take(at_ms(9), 0, Report::whole(vec![]));
        assert!(book.drained().count() <= 4096);
        assert_eq!(book.explain("n1:1", at_ms(10)).unwrap().state, State::Draining);
    }
}
