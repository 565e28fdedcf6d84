//! The table of one source: the order of its updates.

use brassport_membership::table::{Freshness, ListRow, Rules, Table, Taken, Value};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Status {
    is_draining: bool,
    incarnation: u64,
}

const UP: Status = Status { is_draining: false, incarnation: 0 };
const DRAINING: Status = Status { is_draining: true, incarnation: 0 };

impl Value for Status {
    fn is_restrictive(&self) -> bool {
        self.is_draining
    }
    fn is_new_incarnation(&self, old: &Status) -> bool {
        self.incarnation > old.incarnation
    }
}

fn row(id: &str, revision: u64, value: Status) -> ListRow<Status> {
    ListRow { id: id.into(), revision, value }
}

fn apply_list(
    table: &mut Table<Status>,
    now: u64,
    index: u64,
    freshness: Freshness,
    list: &[ListRow<Status>],
) -> Taken {
    table.apply_list(now, index, freshness, list.to_vec(), &mut Vec::new())
}

fn table() -> Table<Status> {
    Table::new(Rules { behind_for: 1_000, empty_for: 500, max_removed: 8 })
}

#[test]
fn an_older_list_from_a_restarted_server_restores_no_draining_row_and_removes_none() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP), row("b", 10, UP)]);
    table.apply(1, "a", 12, Some(DRAINING));
    let old = [row("a", 1, UP)];
    assert_eq!(apply_list(&mut table, 100, 5, Freshness::Fresh, &old), Taken::Behind);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINING), Some(&UP)));
    assert_eq!(apply_list(&mut table, 1_099, 5, Freshness::Fresh, &old), Taken::Behind);
    // Caught up in time: nothing was lost.
    let caught_up = [row("a", 12, DRAINING), row("b", 10, UP)];
    assert_eq!(apply_list(&mut table, 1_100, 12, Freshness::Fresh, &caught_up), Taken::Whole);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINING), Some(&UP)));
    // The wait begins again with the next one that is behind.
    assert_eq!(apply_list(&mut table, 1_200, 5, Freshness::Fresh, &old), Taken::Behind);
    assert_eq!(apply_list(&mut table, 2_199, 5, Freshness::Fresh, &old), Taken::Behind);
}

#[test]
fn a_restored_source_is_accepted_after_a_delay_and_draining_rows_wait_for_a_new_write() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP), row("b", 10, UP), row("c", 2, UP)]);
    table.apply(1, "a", 12, Some(DRAINING));
    table.apply(1, "c", 13, None);
    let restored = [row("a", 1, UP), row("c", 2, UP), row("d", 3, UP)];
    assert_eq!(apply_list(&mut table, 100, 5, Freshness::Fresh, &restored), Taken::Behind);
    assert_eq!(apply_list(&mut table, 1_100, 5, Freshness::Fresh, &restored), Taken::Anew);
    assert_eq!(
        table.get("a"),
        Some(&DRAINING),
        "it drained after the state to which the server was restored"
    );
    assert_eq!((table.get("b"), table.get("c"), table.get("d")), (None, None, Some(&UP)));
    // Its numbers count from there on.
    assert!(table.apply(1_200, "d", 6, Some(DRAINING)));
    assert_eq!(apply_list(&mut table, 1_300, 7, Freshness::Fresh, &restored), Taken::Whole);
    assert_eq!(table.get("a"), Some(&DRAINING), "nothing was written of it since");
    assert!(table.apply(1_400, "a", 8, Some(UP)), "and now it was");
    assert!(table.apply(1_400, "c", 8, Some(UP)));
}

#[test]
fn a_row_retained_over_a_restore_is_replaced_by_a_new_incarnation() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 10, DRAINING)]);
    let restarted = Status { incarnation: 1, ..UP };
    apply_list(&mut table, 0, 5, Freshness::Fresh, &[row("a", 5, restarted)]);
    assert_eq!(apply_list(&mut table, 1_000, 5, Freshness::Fresh, &[row("a", 5, restarted)]), Taken::Anew);
    assert_eq!(table.get("a"), Some(&restarted));
}

#[test]
fn a_stale_list_removes_nothing_and_only_its_newer_rows_apply() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP), row("b", 2, UP)]);
    table.apply(1, "b", 12, Some(DRAINING));
    let stale = [row("b", 11, UP), row("c", 14, UP)];
    assert_eq!(apply_list(&mut table, 2, 14, Freshness::Stale, &stale), Taken::Newer);
    assert_eq!((table.get("a"), table.get("b"), table.get("c")), (Some(&UP), Some(&DRAINING), Some(&UP)));
    assert_eq!(table.index(), Some(10));
}

#[test]
fn an_old_or_repeated_event_changes_nothing() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP)]);
    assert!(table.apply(1, "a", 12, Some(DRAINING)));
    assert!(!table.apply(2, "a", 12, Some(DRAINING)));
    assert!(!table.apply(3, "a", 11, Some(UP)));
    assert!(!table.apply(3, "x", 9, Some(UP)), "the list of index 10 would have it");
    assert_eq!(table.get("a"), Some(&DRAINING));
    assert_eq!(table.row("a").map(|row| row.since_ms), Some(1), "since the first event");
    // One that went before it was known is not restored by an older update.
    assert!(!table.apply(4, "y", 20, None));
    assert!(!table.apply(4, "y", 19, Some(UP)));
    assert_eq!(table.get("y"), None);
}

#[test]
fn a_list_older_than_an_event_keeps_the_event() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP)]);
    table.apply(1, "a", 15, Some(DRAINING));
    table.apply(1, "b", 16, Some(UP));
    assert_eq!(apply_list(&mut table, 2, 14, Freshness::Fresh, &[row("a", 1, UP)]), Taken::Whole);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINING), Some(&UP)));
}

#[test]
fn a_row_known_by_event_alone_is_dropped_when_lists_lack_it_past_the_delay() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP)]);
    table.apply(1, "b", 16, Some(UP));
    table.apply(1, "a", 17, Some(DRAINING));
    assert_eq!(apply_list(&mut table, 1_000, 10, Freshness::Fresh, &[row("a", 1, UP)]), Taken::Whole);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINING), Some(&UP)));
    assert_eq!(apply_list(&mut table, 1_001, 10, Freshness::Fresh, &[row("a", 1, UP)]), Taken::Anew);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINING), None));
}

#[test]
fn an_empty_list_is_accepted_after_a_delay_and_not_for_a_moment() {
    let mut table = table();
    apply_list(&mut table, 0, 10, Freshness::Fresh, &[row("a", 1, UP)]);
    // Faulty: empty for a moment, then complete again.
    assert_eq!(apply_list(&mut table, 100, 11, Freshness::Fresh, &[]), Taken::Empty);
    assert_eq!(apply_list(&mut table, 300, 11, Freshness::Fresh, &[row("a", 1, UP)]), Taken::Whole);
    assert_eq!(table.get("a"), Some(&UP));
    // Scaled to zero: empty, and empty again.
    assert_eq!(apply_list(&mut table, 400, 12, Freshness::Fresh, &[]), Taken::Empty);
    assert_eq!(table.get("a"), Some(&UP));
    assert_eq!(apply_list(&mut table, 900, 12, Freshness::Fresh, &[]), Taken::Whole);
    assert!(table.is_empty());
    // Nor is a first list accepted at once: an event behind it still applies.
    let mut new = self::table();
    assert_eq!(apply_list(&mut new, 0, 30, Freshness::Fresh, &[]), Taken::Empty);
    assert!(new.apply(1, "a", 20, Some(DRAINING)));
    assert_eq!(apply_list(&mut new, 500, 30, Freshness::Fresh, &[]), Taken::Whole);
    assert!(new.is_empty());
}

#[test]
fn removed_rows_are_remembered_within_a_bound() {
    let mut table = table();
    apply_list(&mut table, 0, 1, Freshness::Fresh, &[row("a", 1, UP)]);
    for round in 0..1_000 {
        let id = format!("n{round}");
        assert!(table.apply(round, &id, 2 * round + 2, Some(UP)));
        assert!(table.apply(round, &id, 2 * round + 3, None));
        assert!(table.remembered() <= 10, "{}", table.remembered());
    }
    assert!(!table.apply(5_000, "n3", 8, Some(UP)), "forgotten, and still gone");
}

/// A history of one source: a change of a row at each index from 1 on.
fn history() -> impl Strategy<Value = Vec<(usize, Option<Status>)>> {
    let status = prop_oneof![Just(None), Just(Some(UP)), Just(Some(DRAINING))];
    prop::collection::vec((0usize..5, status), 1..40)
}

#[derive(Debug, Clone)]
enum Input {
    Event(u64),
    List(u64, Freshness),
}

fn at_index(history: &[(usize, Option<Status>)], index: u64) -> BTreeMap<usize, (u64, Option<Status>)> {
    let changes = history.iter().zip(1u64..).take(index as usize);
    changes.map(|((row, status), revision)| (*row, (revision, *status))).collect()
}

fn apply_input(table: &mut Table<Status>, history: &[(usize, Option<Status>)], input: &Input) {
    match *input {
        Input::Event(index) => {
            let (row, status) = history[index as usize - 1];
            table.apply(0, &format!("r{row}"), index, status);
        }
        Input::List(index, freshness) => {
            let rows = at_index(history, index);
            let present = rows.into_iter().filter_map(|(row, (revision, status))| {
                Some(ListRow { id: format!("r{row}").as_str().into(), revision, value: status? })
            });
            // The rule for empty lists is of time; it has tests of its own.
            table.apply_list(0, index, freshness, present.collect(), &mut Vec::new());
        }
    }
}

proptest! {
    #[test]
    fn any_order_and_repetition_of_the_same_updates_converges(
        history in history(),
        picks in prop::collection::vec((any::<prop::sample::Index>(), 0u8..3), 0..60),
        shuffle in any::<u64>(),
    ) {
        let last = history.len() as u64;
        let mut inputs: Vec<Input> = (1..=last).map(Input::Event).collect();
        for (index, kind) in picks {
            let index = index.index(history.len()) as u64 + 1;
            inputs.push(match kind {
                0 => Input::Event(index),
                1 => Input::List(index, Freshness::Fresh),
                _ => Input::List(index, Freshness::Stale),
            });
        }
        let mut random = oorandom::Rand64::new(shuffle.into());
        for position in (1..inputs.len()).rev() {
            inputs.swap(position, random.rand_range(0..position as u64 + 1) as usize);
        }
        let mut table = Table::new(Rules { empty_for: 0, ..Rules::default() });
        inputs.iter().for_each(|input| apply_input(&mut table, &history, input));
        let expected: BTreeMap<String, Status> = at_index(&history, last)
            .into_iter()
            .filter_map(|(row, (_, status))| Some((format!("r{row}"), status?)))
            .collect();
        let ended: BTreeMap<String, Status> =
            table.present().map(|(id, status)| (id.to_string(), *status)).collect();
        prop_assert_eq!(ended, expected);
    }

    #[test]
    fn no_update_undoes_a_later_one(history in history(), picks in prop::collection::vec((any::<prop::sample::Index>(), 0u8..3), 1..60)) {
        let mut table = Table::new(Rules { empty_for: 0, ..Rules::default() });
        let mut newest = 0;
        for (index, kind) in picks {
            let index = index.index(history.len()) as u64 + 1;
            let input = match kind {
                0 => Input::Event(index),
                1 => Input::List(index, Freshness::Fresh),
                _ => Input::List(index, Freshness::Stale),
            };
            apply_input(&mut table, &history, &input);
            newest = newest.max(index);
            // What each row is known to be was true at some moment no earlier than its revision.
            for (id, _) in table.present() {
                let row: usize = id[1..].parse().unwrap();
                let known = table.row(id).unwrap();
                let (revision, status) = at_index(&history, known.revision)[&row];
                prop_assert!(revision == known.revision && status == known.value, "{id}: {known:?}");
                prop_assert!(known.revision <= newest);
            }
        }
    }
}
