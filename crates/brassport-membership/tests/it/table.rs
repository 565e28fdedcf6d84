//! What one source has told: the order of its words.

use brassport_membership::table::{Fact, Id, Rules, Standing, Table, Taken};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq)]
struct Word {
    drains: bool,
    life: u64,
}

const UP: Word = Word { drains: false, life: 0 };
const DRAINS: Word = Word { drains: true, life: 0 };

impl Fact for Word {
    fn holds_back(&self) -> bool {
        self.drains
    }
    fn is_another_life(&self, old: &Word) -> bool {
        self.life > old.life
    }
}

fn rows(rows: &[(&str, u64, Word)]) -> Vec<(Id, u64, Word)> {
    rows.iter().map(|(id, revision, word)| ((*id).into(), *revision, *word)).collect()
}

fn tell(
    table: &mut Table<Word>,
    now: u64,
    index: u64,
    standing: Standing,
    list: &[(&str, u64, Word)],
) -> Taken {
    table.tell_all(now, index, standing, rows(list), &mut Vec::new())
}

fn table() -> Table<Word> {
    Table::new(Rules { behind_for: 1_000, empty_for: 500, most_gone: 8 })
}

#[test]
fn an_older_list_from_a_restarted_server_restores_no_draining_row_and_removes_none() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP), ("b", 10, UP)]);
    table.tell(1, "a", 12, Some(DRAINS));
    let old = [("a", 1, UP)];
    assert_eq!(tell(&mut table, 100, 5, Standing::Fresh, &old), Taken::Behind);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINS), Some(&UP)));
    assert_eq!(tell(&mut table, 1_099, 5, Standing::Fresh, &old), Taken::Behind);
    // Caught up in time: nothing was lost.
    let caught_up = [("a", 12, DRAINS), ("b", 10, UP)];
    assert_eq!(tell(&mut table, 1_100, 12, Standing::Fresh, &caught_up), Taken::Whole);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINS), Some(&UP)));
    // The wait begins again with the next one that is behind.
    assert_eq!(tell(&mut table, 1_200, 5, Standing::Fresh, &old), Taken::Behind);
    assert_eq!(tell(&mut table, 2_199, 5, Standing::Fresh, &old), Taken::Behind);
}

#[test]
fn a_restored_source_is_accepted_after_a_delay_and_draining_rows_wait_for_a_new_write() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP), ("b", 10, UP), ("c", 2, UP)]);
    table.tell(1, "a", 12, Some(DRAINS));
    table.tell(1, "c", 13, None);
    let restored = [("a", 1, UP), ("c", 2, UP), ("d", 3, UP)];
    assert_eq!(tell(&mut table, 100, 5, Standing::Fresh, &restored), Taken::Behind);
    assert_eq!(tell(&mut table, 1_100, 5, Standing::Fresh, &restored), Taken::Anew);
    assert_eq!(table.get("a"), Some(&DRAINS), "it drained in a time that the server has forgotten");
    assert_eq!((table.get("b"), table.get("c"), table.get("d")), (None, None, Some(&UP)));
    // Its numbers count from there on.
    assert!(table.tell(1_200, "d", 6, Some(DRAINS)));
    assert_eq!(tell(&mut table, 1_300, 7, Standing::Fresh, &restored), Taken::Whole);
    assert_eq!(table.get("a"), Some(&DRAINS), "nothing was written of it since");
    assert!(table.tell(1_400, "a", 8, Some(UP)), "and now it was");
    assert!(table.tell(1_400, "c", 8, Some(UP)));
}

#[test]
fn a_row_retained_over_a_restore_is_replaced_by_a_new_incarnation() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 10, DRAINS)]);
    let reborn = Word { life: 1, ..UP };
    tell(&mut table, 0, 5, Standing::Fresh, &[("a", 5, reborn)]);
    assert_eq!(tell(&mut table, 1_000, 5, Standing::Fresh, &[("a", 5, reborn)]), Taken::Anew);
    assert_eq!(table.get("a"), Some(&reborn));
}

#[test]
fn a_stale_list_removes_nothing_and_only_its_newer_rows_apply() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP), ("b", 2, UP)]);
    table.tell(1, "b", 12, Some(DRAINS));
    let stale = [("b", 11, UP), ("c", 14, UP)];
    assert_eq!(tell(&mut table, 2, 14, Standing::Stale, &stale), Taken::Newer);
    assert_eq!((table.get("a"), table.get("b"), table.get("c")), (Some(&UP), Some(&DRAINS), Some(&UP)));
    assert_eq!(table.index(), Some(10));
}

#[test]
fn an_old_or_repeated_event_changes_nothing() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP)]);
    assert!(table.tell(1, "a", 12, Some(DRAINS)));
    assert!(!table.tell(2, "a", 12, Some(DRAINS)));
    assert!(!table.tell(3, "a", 11, Some(UP)));
    assert!(!table.tell(3, "x", 9, Some(UP)), "the list of index 10 would have it");
    assert_eq!(table.get("a"), Some(&DRAINS));
    assert_eq!(table.row("a").map(|row| row.at), Some(1), "told first then");
    // One that went before it was known does not come up by an older word.
    assert!(!table.tell(4, "y", 20, None));
    assert!(!table.tell(4, "y", 19, Some(UP)));
    assert_eq!(table.get("y"), None);
}

#[test]
fn a_list_older_than_an_event_keeps_the_event() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP)]);
    table.tell(1, "a", 15, Some(DRAINS));
    table.tell(1, "b", 16, Some(UP));
    assert_eq!(tell(&mut table, 2, 14, Standing::Fresh, &[("a", 1, UP)]), Taken::Whole);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINS), Some(&UP)));
}

#[test]
fn a_row_known_by_event_alone_is_dropped_when_lists_lack_it_past_the_delay() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP)]);
    table.tell(1, "b", 16, Some(UP));
    table.tell(1, "a", 17, Some(DRAINS));
    assert_eq!(tell(&mut table, 1_000, 10, Standing::Fresh, &[("a", 1, UP)]), Taken::Whole);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINS), Some(&UP)));
    assert_eq!(tell(&mut table, 1_001, 10, Standing::Fresh, &[("a", 1, UP)]), Taken::Anew);
    assert_eq!((table.get("a"), table.get("b")), (Some(&DRAINS), None));
}

#[test]
fn an_empty_list_is_accepted_after_a_delay_and_not_for_a_moment() {
    let mut table = table();
    tell(&mut table, 0, 10, Standing::Fresh, &[("a", 1, UP)]);
    // Broken: empty for a moment, then whole again.
    assert_eq!(tell(&mut table, 100, 11, Standing::Fresh, &[]), Taken::Empty);
    assert_eq!(tell(&mut table, 300, 11, Standing::Fresh, &[("a", 1, UP)]), Taken::Whole);
    assert_eq!(table.get("a"), Some(&UP));
    // Scaled to zero: empty, and empty again.
    assert_eq!(tell(&mut table, 400, 12, Standing::Fresh, &[]), Taken::Empty);
    assert_eq!(table.get("a"), Some(&UP));
    assert_eq!(tell(&mut table, 900, 12, Standing::Fresh, &[]), Taken::Whole);
    assert!(table.is_empty());
    // Nor is a first list believed at once: an event behind it still counts.
    let mut new = self::table();
    assert_eq!(tell(&mut new, 0, 30, Standing::Fresh, &[]), Taken::Empty);
    assert!(new.tell(1, "a", 20, Some(DRAINS)));
    assert_eq!(tell(&mut new, 500, 30, Standing::Fresh, &[]), Taken::Whole);
    assert!(new.is_empty());
}

#[test]
fn removed_rows_are_remembered_within_a_bound() {
    let mut table = table();
    tell(&mut table, 0, 1, Standing::Fresh, &[("a", 1, UP)]);
    for life in 0..1_000 {
        let id = format!("n{life}");
        assert!(table.tell(life, &id, 2 * life + 2, Some(UP)));
        assert!(table.tell(life, &id, 2 * life + 3, None));
        assert!(table.remembered() <= 10, "{}", table.remembered());
    }
    assert!(!table.tell(5_000, "n3", 8, Some(UP)), "forgotten, and still gone");
}

/// A history of one source: a change of a row at each index from 1 on.
fn history() -> impl Strategy<Value = Vec<(usize, Option<Word>)>> {
    let word = prop_oneof![Just(None), Just(Some(UP)), Just(Some(DRAINS))];
    prop::collection::vec((0usize..5, word), 1..40)
}

#[derive(Debug, Clone)]
enum Told {
    Event(u64),
    List(u64, Standing),
}

fn at_index(history: &[(usize, Option<Word>)], index: u64) -> BTreeMap<usize, (u64, Option<Word>)> {
    let changes = history.iter().zip(1u64..).take(index as usize);
    changes.map(|((row, word), revision)| (*row, (revision, *word))).collect()
}

fn take(table: &mut Table<Word>, history: &[(usize, Option<Word>)], told: &Told) {
    match *told {
        Told::Event(index) => {
            let (row, word) = history[index as usize - 1];
            table.tell(0, &format!("r{row}"), index, word);
        }
        Told::List(index, standing) => {
            let rows = at_index(history, index);
            let there = rows.into_iter().filter_map(|(row, (revision, word))| {
                Some((format!("r{row}").as_str().into(), revision, word?))
            });
            // The rule for empty lists is of time; it has tests of its own.
            table.tell_all(0, index, standing, there.collect(), &mut Vec::new());
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
        let mut told: Vec<Told> = (1..=last).map(Told::Event).collect();
        for (index, kind) in picks {
            let index = index.index(history.len()) as u64 + 1;
            told.push(match kind {
                0 => Told::Event(index),
                1 => Told::List(index, Standing::Fresh),
                _ => Told::List(index, Standing::Stale),
            });
        }
        let mut random = oorandom::Rand64::new(shuffle.into());
        for place in (1..told.len()).rev() {
            told.swap(place, random.rand_range(0..place as u64 + 1) as usize);
        }
        let mut table = Table::new(Rules { empty_for: 0, ..Rules::default() });
        told.iter().for_each(|word| take(&mut table, &history, word));
        let expected: BTreeMap<String, Word> = at_index(&history, last)
            .into_iter()
            .filter_map(|(row, (_, word))| Some((format!("r{row}"), word?)))
            .collect();
        let ended: BTreeMap<String, Word> =
            table.living().map(|(id, word)| (id.to_string(), *word)).collect();
        prop_assert_eq!(ended, expected);
    }

    #[test]
    fn no_update_undoes_a_later_one(history in history(), words in prop::collection::vec((any::<prop::sample::Index>(), 0u8..3), 1..60)) {
        let mut table = Table::new(Rules { empty_for: 0, ..Rules::default() });
        let mut newest = 0;
        for (index, kind) in words {
            let index = index.index(history.len()) as u64 + 1;
            let word = match kind {
                0 => Told::Event(index),
                1 => Told::List(index, Standing::Fresh),
                _ => Told::List(index, Standing::Stale),
            };
            take(&mut table, &history, &word);
            newest = newest.max(index);
            // What each row is known to be was true at some moment no earlier than its revision.
            for (id, _) in table.living() {
                let row: usize = id[1..].parse().unwrap();
                let known = table.row(id).unwrap();
                let (revision, word) = at_index(&history, known.revision)[&row];
                prop_assert!(revision == known.revision && word == known.told, "{id}: {known:?}");
                prop_assert!(known.revision <= newest);
            }
        }
    }
}
