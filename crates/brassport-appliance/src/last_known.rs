//! The last-known list: from the state into the book of nodes at a start, and back again while the program runs.

use crate::keeper::Job;
use crate::sources::Known;
use brassport::config::SourceConfig;
use brassport::Control;
use brassport_membership::book::{Book, Entry, Hold, Moment, Report, Source, State};
use brassport_state::known::{KnownList, KnownNode, Worth};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The source's name in the book.
pub const NAME: &str = "last-known";
/// Between two looks at whether the book has changed.
const LOOK: Duration = Duration::from_secs(1);
/// Behind so many looks a list that has not changed is looked at all the same: its rows age.
const AGED: u32 = 60;
/// Marks a drain that is remembered of an address, and of no node that is listed.
const ADDRESS: char = '@';

/// The advisory source that begins with what was last known, and what its sources may take from it.
pub fn origin(known: &KnownList, now_ms: u64) -> (SourceConfig, Known) {
    let mut entries = Vec::new();
    let mut starts = Known::new();
    for (name, node) in known {
        let worth = node.worth(now_ms);
        if worth == Worth::Forgotten {
            continue;
        }
        let age = now_ms.checked_sub(node.heard_ms).map(|age| Duration::from_millis(age).as_secs());
        let heard =
            age.map_or("heard at a time that has not been yet".into(), |age| format!("heard {age} s ago"));
        entries.push(Entry {
            zone: node.zone.clone(),
            group: node.group,
            size: node.size,
            boot_ms: node.start(now_ms),
            state: match node.draining {
                // Of an address no node is listed: that a drain was told there is all.
                _ if name.starts_with(ADDRESS) => State::Gone,
                true => State::Draining,
                false => State::Ready,
            },
            note: heard,
            ..Entry::ready(name, node.endpoint)
        });
        // An old start is no reason to take a node for warm.
        if worth == Worth::Node && !name.starts_with(ADDRESS) {
            starts.insert(name.clone(), (node.endpoint, node.started_ms));
        }
    }
    let source = Source::advisory(NAME);
    (SourceConfig { source, initial_report: Some(Report::whole(entries)), feed: None }, starts)
}

/// What the book holds, as it is kept. Rows that no source has confirmed in this life keep the time that they had, and
/// rows that are young enough are kept as they are.
fn kept(book: &Book, now: Moment, before: &KnownList) -> KnownList {
    let mut known = KnownList::new();
    for (entry, confirmed, hold) in book.listed() {
        // Guards a node that is a reserve, or whose address is another's now, against being kept as one that drains.
        let Some(endpoint) = entry.address.filter(|_| hold != Hold::Other) else { continue };
        let old = before.get(&*entry.id);
        let heard_ms = match old {
            Some(old) if !confirmed => old.heard_ms,
            _ => now.unix,
        };
        let node = KnownNode {
            endpoint,
            zone: entry.zone.clone(),
            group: entry.group,
            size: entry.size,
            started_ms: entry.boot_ms,
            draining: hold == Hold::Drain,
            heard_ms,
        };
        let node = old.filter(|old| node.is_kept_by(old)).cloned().unwrap_or(node);
        known.insert(entry.id.to_string(), node);
    }
    for (_, at, _) in book.drained() {
        let name = format!("{ADDRESS}{at}");
        let node = before.get(&name).cloned().unwrap_or_else(|| drained_at(at, now.unix));
        known.insert(name, node);
    }
    known
}

fn drained_at(endpoint: SocketAddr, heard_ms: u64) -> KnownNode {
    KnownNode {
        endpoint,
        zone: String::new(),
        group: 0,
        size: 0.0,
        started_ms: 0.0,
        draining: true,
        heard_ms,
    }
}

/// Keeps the list durable, a second behind the book, for as long as the front door and the keeper live. `tell` hears
/// how many rows are durable.
pub async fn keep(
    known: KnownList,
    controls: mpsc::UnboundedSender<Control>,
    jobs: SyncSender<Job>,
    tell: impl Fn(usize),
) {
    tell(known.len());
    let (mut known, mut seen, mut looks) = (Rc::new(known), None, 0);
    loop {
        tokio::time::sleep(LOOK).await;
        looks += 1;
        let (aged, before) = (looks % AGED == 0, known.clone());
        let (reply, looked) = oneshot::channel();
        let look = move |book: &Book, now: Moment| {
            let changes = book.changes();
            let next = (seen != Some(changes) || aged).then(|| (changes, kept(book, now, &before)));
            drop(reply.send(next));
        };
        if controls.send(Control::InspectMembership(Box::new(look))).is_err() {
            return;
        }
        let Ok(Some((changes, next))) = looked.await else { continue };
        if next != *known {
            let (reply, durable) = oneshot::channel();
            // A keeper that is busy, or whose disk fails, is handed the list again by the next look.
            if jobs.try_send(Job::Known(next.clone(), reply)).is_err() || durable.await != Ok(true) {
                continue;
            }
            tell(next.len());
            known = Rc::new(next);
        }
        seen = Some(changes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use brassport_state::known::{FORGOTTEN_AFTER, GENTLE_AFTER};

    const NOW: u64 = 1_800_000_000_000;

    fn at(ms: u64) -> Moment {
        Moment { monotonic: ms, unix: NOW + ms }
    }

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// A book with Nomad and DNS, begun with a list.
    fn begun(known: &KnownList, now_ms: u64) -> Book {
        let (origin, _) = origin(known, now_ms);
        let mut book = Book::new(vec![origin.source, Source::authority("nomad"), Source::lists_only("dns")]);
        book.take(at(now_ms - NOW), 0, origin.initial_report.expect("a list"));
        book
    }

    #[test]
    fn what_the_book_held_is_what_the_next_life_begins_with_and_a_drain_survives() {
        let mut book = begun(&KnownList::new(), NOW);
        let nomad = vec![
            Entry { boot_ms: 5.0, ..Entry::ready("a", address(1)) },
            Entry { state: State::Draining, ..Entry::ready("b", address(2)) },
        ];
        book.take(at(0), 1, Report::whole(nomad));
        let known = kept(&book, at(0), &KnownList::new());
        let mut next = begun(&known, NOW + 1000);
        let listed: Vec<_> = next.nodes().map(|entry| (&*entry.id, entry.state, entry.boot_ms)).collect();
        assert_eq!(listed, [("a", State::Ready, 5.0), ("b", State::Draining, 0.0)]);
        // DNS is back first, and lists the drained node, under its own name for it.
        let dns =
            vec![Entry::ready("b.example.org:2", address(2)), Entry::ready("c.example.org:3", address(3))];
        next.take(at(2000), 2, Report::whole(dns));
        let why = next.explain("b.example.org:2", at(2000)).expect("listed");
        assert_eq!(why.state, State::Draining, "{why:?}");
        // Nomad is back, and has forgotten the node: the drain stands against DNS all the same.
        next.take(at(3000), 1, Report::whole(vec![Entry::ready("a", address(1))]));
        let why = next.explain("b.example.org:2", at(3000)).expect("listed");
        assert!(why.state == State::Draining && why.because.contains("said draining of 'b'"), "{why:?}");
        // And against a third life, whose Nomad never knew the node.
        let mut third = begun(&kept(&next, at(4000), &known), NOW + 5000);
        third.take(at(6000), 1, Report::whole(vec![Entry::ready("a", address(1))]));
        let dns =
            vec![Entry::ready("b.example.org:2", address(2)), Entry::ready("c.example.org:3", address(3))];
        third.take(at(6000), 2, Report::whole(dns));
        assert_eq!(third.explain("b.example.org:2", at(6000)).expect("listed").state, State::Draining);
        assert_eq!(third.explain("c.example.org:3", at(6000)).expect("listed").state, State::Ready);
    }

    #[test]
    fn only_a_drain_that_was_told_is_kept_as_one() {
        let mut book = begun(&KnownList::new(), NOW);
        let reserve = Entry { state: State::Draining, ..Entry::ready("r.example.org:3", address(3)) };
        let listed = vec![Entry::ready("a.example.org:1", address(1)), reserve];
        book.take(at(0), 2, Report::whole(listed));
        book.take(at(0), 1, Report::whole(vec![Entry::ready("alloc", address(1))]));
        let known = kept(&book, at(0), &KnownList::new());
        assert_eq!(
            known.keys().collect::<Vec<_>>(),
            ["alloc"],
            "one with another's address and a reserve are not kept"
        );
        // Nomad is out of reach; what was a reserve serves now, and so does the address that only DNS tells of.
        let mut next = begun(&known, NOW + 1000);
        let listed = ["a.example.org:1", "r.example.org:3"].into_iter().zip([1, 3]);
        next.take(
            at(2000),
            2,
            Report::whole(listed.map(|(id, port)| Entry::ready(id, address(port))).collect()),
        );
        next.take(at(3000), 1, Report::whole(Vec::new()));
        let states: Vec<_> = next.nodes().map(|entry| (&*entry.id, entry.state)).collect();
        assert_eq!(states, [("a.example.org:1", State::Ready), ("r.example.org:3", State::Ready)]);
    }

    #[test]
    fn an_old_list_is_tried_gently_and_a_row_that_nobody_confirms_does_not_grow_young() {
        let mut book = begun(&KnownList::new(), NOW);
        book.take(at(0), 1, Report::whole(vec![Entry { boot_ms: 5.0, ..Entry::ready("a", address(1)) }]));
        let known = kept(&book, at(0), &KnownList::new());
        let late = NOW + GENTLE_AFTER + 1;
        let next = begun(&known, late);
        assert_eq!(next.nodes().next().expect("listed").boot_ms, late as f64, "as if it started now");
        let again = kept(&next, at(late - NOW), &known);
        assert_eq!(again["a"].heard_ms, NOW, "no source has listed it since");
        assert!(begun(&again, NOW + FORGOTTEN_AFTER + 1).is_empty());
    }

    #[test]
    fn only_a_young_row_tells_a_source_when_a_node_started() {
        let mut known = KnownList::new();
        known.insert(
            "a:1".into(),
            KnownNode { draining: false, started_ms: 7.0, ..drained_at(address(1), NOW) },
        );
        assert_eq!(origin(&known, NOW + 1).1["a:1"], (address(1), 7.0));
        assert!(origin(&known, NOW + GENTLE_AFTER + 1).1.is_empty());
        assert!(origin(&known, NOW - 1).1.is_empty(), "its time has not been yet");
    }
}
