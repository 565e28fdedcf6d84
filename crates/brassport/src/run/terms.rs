//! The classes, plans and figures in force, and how they change at SIGHUP. No I/O.
//!
//! Classes and plans are known by name and keep their index for as long as the process lives: one that a file no longer
//! names keeps its settings, for the requests that are under way, and takes no further one.

use crate::config::Names;
use brassport_policy::Settings;
use serde::{Deserialize, Serialize};

/// Most names of classes, or of plans, that are told apart in the life of a process. Guards the memory.
const MOST_NAMES: usize = 1024;

/// What is in force.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// All names since the start, at their index.
    names: Names,
    /// Whether the newest file names each.
    class_is_named: Vec<bool>,
    plan_is_named: Vec<bool>,
    settings: Settings,
}

impl Terms {
    /// What a file says, at the start.
    pub fn new(names: Names, settings: Settings) -> Terms {
        let (class_is_named, plan_is_named) =
            (vec![true; names.classes.len()], vec![true; names.plans.len()]);
        Terms { names, class_is_named, plan_is_named, settings }
    }

    /// Whether this can be gone on with: another process told it.
    pub fn is_sound(&self) -> bool {
        let (classes, plans) = (self.settings.classes.len(), self.settings.plans.len());
        self.settings.validate().is_ok()
            && [self.names.classes.len(), self.class_is_named.len()] == [classes; 2]
            && [self.names.plans.len(), self.plan_is_named.len()] == [plans; 2]
    }

    /// The settings, with every class and plan since the start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The names of the classes that are in use.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        let named = self.names.classes.iter().zip(&self.class_is_named);
        named.filter(|(_, is_named)| **is_named).map(|(name, _)| name.as_str())
    }

    /// The index of a class that takes requests.
    pub fn class(&self, name: &str) -> Option<usize> {
        index(&self.names.classes, &self.class_is_named, name)
    }

    /// The index of a plan that is in use.
    pub fn plan(&self, name: &str) -> Option<usize> {
        index(&self.names.plans, &self.plan_is_named, name)
    }

    /// What holds once this file, which was checked, is taken.
    ///
    /// # Errors
    /// There were too many names since the start.
    pub fn changed(&self, names: &Names, settings: &Settings) -> Result<Terms, String> {
        let mut next = Terms { settings: settings.clone(), ..self.clone() };
        let old = &self.settings;
        let known = (&mut next.names.classes, &mut next.class_is_named);
        next.settings.classes = merged("classes", known, &old.classes, &names.classes, &settings.classes)?;
        let known = (&mut next.names.plans, &mut next.plan_is_named);
        next.settings.plans = merged("plans", known, &old.plans, &names.plans, &settings.plans)?;
        next.names.zones.clone_from(&names.zones);
        Ok(next)
    }
}

fn index(names: &[String], is_named: &[bool], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name).filter(|index| is_named[*index])
}

/// The settings of all names known, after those of a file are laid over them.
fn merged<T: Copy>(
    what: &str,
    (known, is_named): (&mut Vec<String>, &mut Vec<bool>),
    old: &[T],
    names: &[String],
    new: &[T],
) -> Result<Vec<T>, String> {
    let mut all = old.to_vec();
    is_named.fill(false);
    for (name, setting) in names.iter().zip(new) {
        match known.iter().position(|known| known == name) {
            Some(index) => (all[index], is_named[index]) = (*setting, true),
            None if known.len() == MOST_NAMES => {
                return Err(format!(
                    "settings.{what}: '{name}' is one name more than the {MOST_NAMES} that a process tells apart; start anew"
                ))
            }
            None => {
                known.push(name.clone());
                is_named.push(true);
                all.push(*setting);
            }
        }
    }
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;
    use brassport_policy::{Class, Plan, RetrySafety};
    use proptest::prelude::*;

    fn file(classes: &[(&str, f64)], plans: &[&str]) -> (Names, Settings) {
        let class = |worth| Class {
            value: worth,
            latency_target: 1.0,
            deadline: 2.0,
            late_value_fraction: 0.0,
            retry_safety: RetrySafety::Idempotent,
        };
        let names = Names {
            classes: classes.iter().map(|(name, _)| name.to_string()).collect(),
            plans: plans.iter().map(|name| name.to_string()).collect(),
            zones: Vec::new(),
        };
        let settings = Settings {
            classes: classes.iter().map(|(_, worth)| class(*worth)).collect(),
            plans: vec![Plan::default(); plans.len()],
            ..Settings::default()
        };
        (names, settings)
    }

    #[test]
    fn a_class_that_vanishes_keeps_its_index_and_takes_no_request() {
        let (names, settings) = file(&[("a", 1.0), ("b", 2.0)], &["p"]);
        let terms = Terms::new(names, settings);
        let (names, settings) = file(&[("c", 3.0), ("b", 5.0)], &["p"]);
        let next = terms.changed(&names, &settings).expect("room");
        assert_eq!((next.class("a"), next.class("b"), next.class("c")), (None, Some(1), Some(2)));
        let worths: Vec<f64> = next.settings().classes.iter().map(|class| class.value).collect();
        assert_eq!(worths, [1.0, 5.0, 3.0]);
        let back =
            next.changed(&file(&[("a", 4.0)], &["p"]).0, &file(&[("a", 4.0)], &["p"]).1).expect("room");
        assert_eq!(
            (back.class("a"), back.class("b"), back.settings().classes[0].value),
            (Some(0), None, 4.0)
        );
        assert_eq!(back.class_names().collect::<Vec<_>>(), ["a"]);
    }

    #[test]
    fn names_without_end_are_turned_down() {
        let (names, settings) = file(&[("a", 1.0)], &["p"]);
        let mut terms = Terms::new(names, settings);
        for number in 1..MOST_NAMES {
            let (names, settings) = file(&[(&format!("c{number}"), 1.0)], &["p"]);
            terms = terms.changed(&names, &settings).expect("room");
        }
        let (names, settings) = file(&[("a", 1.0), ("one-more", 1.0)], &["p"]);
        assert!(terms.changed(&names, &settings).expect_err("full").contains("'one-more'"));
        let (names, settings) = file(&[("a", 1.0), ("c7", 1.0)], &["p"]);
        assert!(terms.changed(&names, &settings).is_ok());
    }

    proptest! {
        #[test]
        fn an_index_means_the_same_name_for_ever_and_only_what_is_named_is_found(
            files in prop::collection::vec(prop::collection::btree_set(0u8..6, 1..5), 1..12),
        ) {
            let mut terms: Option<Terms> = None;
            let mut indices = std::collections::BTreeMap::new();
            for (round, file_names) in files.into_iter().enumerate() {
                let names: Vec<String> = file_names.iter().map(|name| format!("c{name}")).collect();
                let classes: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), round as f64)).collect();
                let (told, settings) = file(&classes, &["p"]);
                let next = match &terms {
                    None => Terms::new(told, settings),
                    Some(terms) => terms.changed(&told, &settings).expect("room"),
                };
                for name in 0..6 {
                    let index = next.class(&format!("c{name}"));
                    prop_assert_eq!(index.is_some(), file_names.contains(&name));
                    if let Some(index) = index {
                        prop_assert_eq!(*indices.entry(name).or_insert(index), index);
                        prop_assert_eq!(next.settings().classes[index].value, round as f64);
                    }
                }
                terms = Some(next);
            }
        }
    }
}
