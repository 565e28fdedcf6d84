//! When what an answer lists, or lists no longer, counts. No I/O.
//!
//! One answer may be forged, behind, or a slip. So:
//! - what is listed for the first time counts at once: a node too many costs an attempt, a node too few costs work;
//! - what is listed no longer counts until a second whole answer lacks it too, of another resolver while another may
//!   answer. One answer that lists it again ends the doubt;
//! - what went within [`REMEMBERED`] and is listed again needs a second answer in the same way: a resolver that is
//!   behind must not bring back, turn by turn, what the others no longer list.

use crate::mutants::mutant;
use brassport_resolver::Millis;
use std::collections::BTreeMap;

/// How long what went is remembered, in milliseconds: longer than resolvers are usually apart.
pub const REMEMBERED: Millis = 120_000;

/// What the whole answers of several resolvers list.
#[derive(Debug, Clone)]
pub struct Agreed<K, V> {
    items: BTreeMap<K, Item<V>>,
    /// When each went, and who has listed it again since.
    gone: BTreeMap<K, (Millis, Option<usize>)>,
}

#[derive(Debug, Clone)]
struct Item<V> {
    value: V,
    /// Whose answer lacked it.
    doubted: Option<usize>,
}

/// What an answer has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Heard {
    /// Something is listed otherwise.
    pub changed: bool,
    /// A second answer is needed.
    pub doubtful: bool,
}

impl<K, V> Default for Agreed<K, V> {
    fn default() -> Agreed<K, V> {
        Agreed { items: BTreeMap::new(), gone: BTreeMap::new() }
    }
}

impl<K: Ord + Clone, V: PartialEq> Agreed<K, V> {
    /// What is listed, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.items.iter().map(|(key, item)| (key, &item.value))
    }

    /// What is listed under a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.items.get(key).map(|item| &item.value)
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Forgets all of it.
    pub fn clear(&mut self) {
        *self = Agreed::default();
    }

    /// Takes in a whole answer of a resolver; `another`: whether another may well answer now.
    pub fn hear(&mut self, now: Millis, server: usize, another: bool, listed: BTreeMap<K, V>) -> Heard {
        let mut heard = Heard::default();
        self.gone.retain(|_, (went, _)| now.saturating_sub(*went) < REMEMBERED);
        // A word of the same resolver is a second one only where nobody else can give it.
        let seconds = |first: usize| first != server || !another;
        let mut absent = Vec::new();
        for (key, item) in &mut self.items {
            if listed.contains_key(key) {
                item.doubted = None;
                continue;
            }
            if item.doubted.is_some_and(seconds) || mutant!(DropAtFirstAbsence) {
                absent.push(key.clone());
            } else {
                item.doubted = Some(item.doubted.unwrap_or(server));
                heard.doubtful = true;
            }
        }
        for (_, again) in self.gone.iter_mut().filter(|(key, _)| !listed.contains_key(key)) {
            again.1 = None;
        }
        for (key, value) in listed {
            if let Some(item) = self.items.get_mut(&key) {
                heard.changed |= item.value != value;
                item.value = value;
                continue;
            }
            if let Some((_, again)) = self.gone.get_mut(&key) {
                if !again.is_some_and(seconds) {
                    *again = Some(again.unwrap_or(server));
                    heard.doubtful = true;
                    continue;
                }
            }
            self.gone.remove(&key);
            heard.changed = true;
            self.items.insert(key, Item { value, doubted: None });
        }
        for key in absent {
            heard.changed = true;
            self.items.remove(&key);
            self.gone.insert(key, (now, None));
        }
        heard
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(names: &str) -> BTreeMap<char, ()> {
        names.chars().map(|name| (name, ())).collect()
    }

    fn listed(agreed: &Agreed<char, ()>) -> String {
        agreed.iter().map(|(name, ())| *name).collect()
    }

    #[test]
    fn an_absence_counts_when_a_second_resolver_says_it() {
        let mut agreed = Agreed::default();
        assert_eq!(agreed.hear(0, 0, true, set("abc")), Heard { changed: true, doubtful: false });
        assert_eq!(agreed.hear(1, 0, true, set("ab")), Heard { changed: false, doubtful: true });
        assert_eq!(
            agreed.hear(2, 0, true, set("ab")),
            Heard { changed: false, doubtful: true },
            "the same one"
        );
        assert_eq!(listed(&agreed), "abc");
        assert_eq!(agreed.hear(3, 1, true, set("ab")), Heard { changed: true, doubtful: false });
        assert_eq!(listed(&agreed), "ab");
    }

    #[test]
    fn a_lie_told_once_and_a_resolver_that_is_behind_drop_nothing() {
        let mut agreed = Agreed::default();
        agreed.hear(0, 0, true, set("abc"));
        agreed.hear(1, 1, true, set("x"));
        assert_eq!(listed(&agreed), "abcx", "what is new counts at once");
        agreed.hear(2, 0, true, set("abc"));
        agreed.hear(3, 0, true, set("abc"));
        assert_eq!(listed(&agreed), "abcx", "the one that lacks it is one");
        agreed.hear(4, 1, true, set("abc"));
        assert_eq!(listed(&agreed), "abc");
        for turn in 0..10 {
            agreed.hear(10 + 2 * turn, 0, true, set("abcd"));
            agreed.hear(11 + 2 * turn, 1, true, set("abc"));
            assert_eq!(listed(&agreed), "abcd", "turn {turn}");
        }
    }

    #[test]
    fn a_lone_resolver_confirms_itself() {
        let mut agreed = Agreed::default();
        agreed.hear(0, 0, false, set("ab"));
        assert!(agreed.hear(1, 0, false, set("a")).doubtful);
        assert!(agreed.hear(2, 0, false, set("a")).changed);
        assert_eq!(listed(&agreed), "a");
    }

    #[test]
    fn what_went_does_not_come_back_by_one_resolver_that_is_behind() {
        let mut agreed = Agreed::default();
        agreed.hear(0, 0, true, set("ab"));
        agreed.hear(1, 0, true, set("a"));
        agreed.hear(2, 1, true, set("a"));
        assert!(agreed.hear(3, 2, true, set("ab")).doubtful, "a third one is behind");
        agreed.hear(4, 0, true, set("a"));
        agreed.hear(5, 2, true, set("ab"));
        assert_eq!(listed(&agreed), "a");
        agreed.hear(6, 1, true, set("ab"));
        assert_eq!(listed(&agreed), "ab", "two agree");
        agreed.hear(10, 0, true, set("a"));
        agreed.hear(11, 1, true, set("a"));
        assert!(agreed.hear(11 + REMEMBERED, 2, true, set("ab")).changed, "long ago");
    }
}
