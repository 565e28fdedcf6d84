//! Bans: backends that operators have disabled, by name and independently of the list. No I/O.
//!
//! A ban stays in force whatever the list reports: that the backend is ready, gone, back, moved or restarted. It does
//! not change the list; [`Bans::apply_to`] combines a listed entry with the bans.

use brassport_membership::book::{Entry, State};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum number of names that are remembered, so that a backend that left the list can still be banned or enabled.
const MAX_KNOWN_NAMES: usize = 4096;
/// An unknown time of start, as in [`Entry::boot_ms`].
const UNKNOWN_BOOT: f64 = 0.0;

/// The banned backends, the assumed starts of those enabled again, and the names that can be banned.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Bans {
    /// The listed time of start of each banned backend when it was banned.
    banned: BTreeMap<String, f64>,
    /// Backends that were enabled before a new start was listed: the listed time of start, and the one assumed
    /// instead.
    #[serde(rename = "returned")]
    enabled: BTreeMap<String, (f64, f64)>,
    #[serde(rename = "heard")]
    known: BTreeSet<String>,
    /// The names in `known`, the oldest first.
    #[serde(rename = "heard_order")]
    known_order: VecDeque<String>,
}

/// No backend of this name was listed, as far as names are remembered.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownNode;

impl Bans {
    /// Remembers the name of a listed backend.
    pub fn remember(&mut self, id: &str) {
        if self.known.contains(id) {
            return;
        }
        self.known.insert(id.to_string());
        self.known_order.push_back(id.to_string());
        // Limits the memory, as each new backend has a new name. A banned backend can be enabled even if its name was
        // removed.
        if self.known_order.len() > MAX_KNOWN_NAMES {
            if let Some(oldest) = self.known_order.pop_front() {
                self.known.remove(&oldest);
                self.enabled.remove(&oldest);
            }
        }
    }

    /// Bans a backend; has no effect if it is banned already. `boot_ms` is its listed time of start, if it is listed.
    ///
    /// # Errors
    /// The name is unknown.
    pub fn disable(&mut self, id: &str, boot_ms: Option<f64>) -> Result<(), UnknownNode> {
        if self.banned.contains_key(id) {
            return Ok(());
        }
        if !self.known.contains(id) {
            return Err(UnknownNode);
        }
        self.banned.insert(id.to_string(), boot_ms.unwrap_or(UNKNOWN_BOOT));
        Ok(())
    }

    /// Ends a backend's ban, however often it was banned. A backend is restarted while it is banned: until the list
    /// reports another time of start, `now_ms` (Unix time) is assumed.
    ///
    /// # Errors
    /// The name is unknown.
    pub fn enable(&mut self, id: &str, now_ms: f64) -> Result<(), UnknownNode> {
        match self.banned.remove(id) {
            Some(boot_ms) => {
                self.enabled.insert(id.to_string(), (boot_ms, now_ms));
                Ok(())
            }
            None if self.known.contains(id) => Ok(()),
            None => Err(UnknownNode),
        }
    }

    pub fn is_banned(&self, id: &str) -> bool {
        self.banned.contains_key(id)
    }

    /// The entry to use for a backend that is listed as `listed`.
    pub fn apply_to(&self, listed: &Entry) -> Entry {
        let mut effective = listed.clone();
        let id: &str = &listed.id;
        if self.is_banned(id) && listed.state == State::Ready {
            effective.state = State::Draining;
        }
        if let Some((listed_before, assumed)) = self.enabled.get(id) {
            if *listed_before == listed.boot_ms {
                effective.boot_ms = *assumed;
            }
        }
        effective
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn entry(id: &str, state: State, boot_ms: f64) -> Entry {
        let address = "127.0.0.1:1".parse().expect("an address");
        Entry { state, boot_ms, ..Entry::ready(id, address) }
    }

    #[test]
    fn enabling_once_ends_a_ban_that_was_set_twice() {
        let mut bans = Bans::default();
        bans.remember("n1");
        bans.disable("n1", Some(5.0)).expect("known");
        bans.disable("n1", Some(7.0)).expect("known");
        assert_eq!(bans.apply_to(&entry("n1", State::Ready, 5.0)).state, State::Draining);
        bans.enable("n1", 100.0).expect("known");
        assert_eq!(bans.apply_to(&entry("n1", State::Ready, 5.0)).state, State::Ready);
    }

    #[test]
    fn an_unknown_name_is_rejected() {
        let mut bans = Bans::default();
        bans.remember("n1");
        assert_eq!(bans.disable("n2", None), Err(UnknownNode));
        assert_eq!(bans.enable("n2", 0.0), Err(UnknownNode));
        assert_eq!(bans.enable("n1", 0.0), Ok(()), "it was not banned: no effect");
        assert_eq!(bans.apply_to(&entry("n1", State::Ready, 3.0)).boot_ms, 3.0);
    }

    #[test]
    fn an_enabled_backend_without_a_new_listed_start_counts_as_started_now() {
        let mut bans = Bans::default();
        bans.remember("n1");
        bans.disable("n1", Some(5.0)).expect("known");
        bans.enable("n1", 100.0).expect("known");
        assert_eq!(bans.apply_to(&entry("n1", State::Ready, 5.0)).boot_ms, 100.0);
        assert_eq!(
            bans.apply_to(&entry("n1", State::Ready, 60.0)).boot_ms,
            60.0,
            "a new listed start takes precedence"
        );
    }

    #[test]
    fn a_start_listed_during_the_ban_takes_precedence() {
        let mut bans = Bans::default();
        bans.remember("n1");
        bans.disable("n1", Some(5.0)).expect("known");
        bans.enable("n1", 100.0).expect("known");
        assert_eq!(bans.apply_to(&entry("n1", State::Ready, 90.0)).boot_ms, 90.0);
    }

    #[test]
    fn the_oldest_names_are_removed_first_and_bans_never() {
        let mut bans = Bans::default();
        bans.remember("first");
        bans.remember("second");
        bans.disable("first", None).expect("known");
        (0..MAX_KNOWN_NAMES).for_each(|number| bans.remember(&format!("n{number}")));
        assert_eq!(bans.disable("second", None), Err(UnknownNode));
        assert!(bans.is_banned("first"));
        assert_eq!(bans.enable("first", 1.0), Ok(()));
        assert_eq!(bans.known.len(), MAX_KNOWN_NAMES);
    }

    #[derive(Debug, Clone)]
    enum Step {
        Disable(u8),
        Enable(u8),
        List(u8, bool, u8),
    }

    proptest! {
        #[test]
        fn a_backend_is_ready_only_if_it_is_listed_as_ready_and_not_banned(
            steps in prop::collection::vec(prop_oneof![
                (0u8..3).prop_map(Step::Disable),
                (0u8..3).prop_map(Step::Enable),
                (0u8..3, any::<bool>(), 1u8..4).prop_map(|(node, ready, boot)| Step::List(node, ready, boot)),
            ], 0..60)
        ) {
            let mut bans = Bans::default();
            let mut banned = BTreeSet::new();
            let mut listed = BTreeMap::new();
            for (now, step) in steps.into_iter().enumerate() {
                match step {
                    Step::Disable(node) if listed.contains_key(&node) => {
                        bans.disable(&format!("n{node}"), listed.get(&node).map(|entry: &Entry| entry.boot_ms))
                            .expect("known");
                        banned.insert(node);
                    }
                    Step::Enable(node) if listed.contains_key(&node) => {
                        bans.enable(&format!("n{node}"), 1000.0 + now as f64).expect("known");
                        banned.remove(&node);
                    }
                    Step::List(node, ready, boot) => {
                        let state = if ready { State::Ready } else { State::Draining };
                        bans.remember(&format!("n{node}"));
                        listed.insert(node, entry(&format!("n{node}"), state, f64::from(boot)));
                    }
                    _ => {}
                }
                for (node, entry) in &listed {
                    let effective = bans.apply_to(entry);
                    let is_ready = entry.state == State::Ready && !banned.contains(node);
                    prop_assert_eq!(effective.state == State::Ready, is_ready);
                    prop_assert!(effective.boot_ms >= entry.boot_ms, "never an earlier start than the listed one");
                }
            }
        }
    }
}
