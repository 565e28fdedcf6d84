//! The classes, plans and settings in force, and how a reload changes them. No I/O.
//!
//! Classes and plans are identified by name and keep their index for the life of the process. One that the
//! configuration no longer contains keeps its settings for the requests in flight, and accepts no new requests.

use crate::config::Names;
use brassport_policy::Settings;
use serde::{Deserialize, Serialize};

/// Maximum number of different class names, and of plan names, during the life of a process. Limits the memory.
const MAX_NAMES: usize = 1024;

/// The settings in force. The order and outer names of the fields are part of the handover protocol.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ActiveSettings {
    /// All names since the start of the process, in the order of their indices.
    names: Names,
    /// Whether the current configuration contains the class or plan of each index.
    class_is_named: Vec<bool>,
    plan_is_named: Vec<bool>,
    settings: Settings,
}

impl ActiveSettings {
    /// The settings of a configuration at the start of the process.
    pub fn new(names: Names, settings: Settings) -> ActiveSettings {
        let (class_is_named, plan_is_named) =
            (vec![true; names.classes.len()], vec![true; names.plans.len()]);
        ActiveSettings { names, class_is_named, plan_is_named, settings }
    }

    /// Whether the settings received from another process are valid and their parts agree.
    pub fn is_consistent(&self) -> bool {
        let (classes, plans) = (self.settings.classes.len(), self.settings.plans.len());
        self.settings.validate().is_ok()
            && [self.names.classes.len(), self.class_is_named.len()] == [classes; 2]
            && [self.names.plans.len(), self.plan_is_named.len()] == [plans; 2]
    }

    /// The settings, with every class and plan since the start of the process.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The names of the classes that the current configuration contains.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        let named = self.names.classes.iter().zip(&self.class_is_named);
        named.filter(|(_, is_named)| **is_named).map(|(name, _)| name.as_str())
    }

    /// The index of a class, if the current configuration contains it.
    pub fn class(&self, name: &str) -> Option<usize> {
        index_of(&self.names.classes, &self.class_is_named, name)
    }

    /// The index of a plan, if the current configuration contains it.
    pub fn plan(&self, name: &str) -> Option<usize> {
        index_of(&self.names.plans, &self.plan_is_named, name)
    }

    /// The settings after a reload with this configuration, which must be valid.
    ///
    /// # Errors
    /// There were more than `MAX_NAMES` names since the start of the process.
    pub fn reloaded(&self, names: &Names, settings: &Settings) -> Result<ActiveSettings, String> {
        let mut next = ActiveSettings { settings: settings.clone(), ..self.clone() };
        let old = &self.settings;
        let known = (&mut next.names.classes, &mut next.class_is_named);
        next.settings.classes = merge("classes", known, &old.classes, &names.classes, &settings.classes)?;
        let known = (&mut next.names.plans, &mut next.plan_is_named);
        next.settings.plans = merge("plans", known, &old.plans, &names.plans, &settings.plans)?;
        next.names.zones.clone_from(&names.zones);
        Ok(next)
    }
}

fn index_of(names: &[String], is_named: &[bool], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name).filter(|index| is_named[*index])
}

/// The settings by index after a reload: those of `new` by name, and the old ones of names that `names` lacks.
fn merge<T: Copy>(
    kind: &str,
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
            None if known.len() == MAX_NAMES => {
                return Err(format!(
                "settings.{kind}: '{name}' exceeds the limit of {MAX_NAMES} names in the life of a process; \
                     restart the process"
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

    fn configuration(classes: &[(&str, f64)], plans: &[&str]) -> (Names, Settings) {
        let class = |value| Class {
            value,
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
            classes: classes.iter().map(|(_, value)| class(*value)).collect(),
            plans: vec![Plan::default(); plans.len()],
            ..Settings::default()
        };
        (names, settings)
    }

    #[test]
    fn a_removed_class_keeps_its_index_and_accepts_no_request() {
        let (names, settings) = configuration(&[("a", 1.0), ("b", 2.0)], &["p"]);
        let active_settings = ActiveSettings::new(names, settings);
        let (names, settings) = configuration(&[("c", 3.0), ("b", 5.0)], &["p"]);
        let next = active_settings.reloaded(&names, &settings).expect("room");
        assert_eq!((next.class("a"), next.class("b"), next.class("c")), (None, Some(1), Some(2)));
        let values: Vec<f64> = next.settings().classes.iter().map(|class| class.value).collect();
        assert_eq!(values, [1.0, 5.0, 3.0]);
        let back = next
            .reloaded(&configuration(&[("a", 4.0)], &["p"]).0, &configuration(&[("a", 4.0)], &["p"]).1)
            .expect("room");
        assert_eq!(
            (back.class("a"), back.class("b"), back.settings().classes[0].value),
            (Some(0), None, 4.0)
        );
        assert_eq!(back.class_names().collect::<Vec<_>>(), ["a"]);
    }

    #[test]
    fn names_beyond_the_limit_are_rejected() {
        let (names, settings) = configuration(&[("a", 1.0)], &["p"]);
        let mut active_settings = ActiveSettings::new(names, settings);
        for number in 1..MAX_NAMES {
            let (names, settings) = configuration(&[(&format!("c{number}"), 1.0)], &["p"]);
            active_settings = active_settings.reloaded(&names, &settings).expect("room");
        }
        let (names, settings) = configuration(&[("a", 1.0), ("one-more", 1.0)], &["p"]);
        assert!(active_settings.reloaded(&names, &settings).expect_err("full").contains("'one-more'"));
        let (names, settings) = configuration(&[("a", 1.0), ("c7", 1.0)], &["p"]);
        assert!(active_settings.reloaded(&names, &settings).is_ok());
    }

    proptest! {
        #[test]
        fn an_index_never_changes_its_name_and_only_configured_names_are_found(
            files in prop::collection::vec(prop::collection::btree_set(0u8..6, 1..5), 1..12),
        ) {
            let mut active_settings: Option<ActiveSettings> = None;
            let mut indices = std::collections::BTreeMap::new();
            for (round, file_names) in files.into_iter().enumerate() {
                let names: Vec<String> = file_names.iter().map(|name| format!("c{name}")).collect();
                let classes: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), round as f64)).collect();
                let (names, settings) = configuration(&classes, &["p"]);
                let next = match &active_settings {
                    None => ActiveSettings::new(names, settings),
                    Some(active_settings) => active_settings.reloaded(&names, &settings).expect("room"),
                };
                for name in 0..6 {
                    let index = next.class(&format!("c{name}"));
                    prop_assert_eq!(index.is_some(), file_names.contains(&name));
                    if let Some(index) = index {
                        prop_assert_eq!(*indices.entry(name).or_insert(index), index);
                        prop_assert_eq!(next.settings().classes[index].value, round as f64);
                    }
                }
                active_settings = Some(next);
            }
        }
    }
}
