//! The tables of the state's file and the encoding of their rows: JSON where a row is a structure.

use crate::database::undecodable;
use redb::{Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;

/// Single numbers by name: [`FORMAT_FACT`] and [`REVISION_FACT`].
pub(super) const FACTS: TableDefinition<&str, u64> = TableDefinition::new("facts");
/// A [`Node`](crate::model::Node) by its name.
pub(super) const NODES: TableDefinition<&str, &[u8]> = TableDefinition::new("nodes");
/// The name of a plan by the studio's number.
pub(super) const PLANS: TableDefinition<u64, &str> = TableDefinition::new("plans");
/// An [`Entry`](super::Entry) by its revision.
pub(super) const HISTORY: TableDefinition<u64, &[u8]> = TableDefinition::new("history");
/// The revision that a change made, by the change's id.
pub(super) const IDS: TableDefinition<&str, u64> = TableDefinition::new("ids");
/// A [`Sent`](super::Sent) by its request: requests in flight in this run of the program.
pub(super) const IN_FLIGHT: TableDefinition<&str, &[u8]> = TableDefinition::new("in_hand");
/// A [`Sent`](super::Sent) by a rising number: requests that were in flight when an earlier run ended.
pub(super) const UNFINISHED: TableDefinition<u64, &[u8]> = TableDefinition::new("unfinished");
/// A [`KnownNode`](crate::known::KnownNode) by its name. Files of versions without a last-known list do not have it; it
/// is created with the first list that is written.
pub(super) const CACHED_NODES: TableDefinition<&str, &[u8]> = TableDefinition::new("known");

pub(super) const FORMAT_FACT: &str = "format";
pub(super) const REVISION_FACT: &str = "revision";

/// A table of JSON rows by name.
type NamedRows<'t> = Table<'t, &'static str, &'static [u8]>;

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data has a form in JSON")
}

pub(super) fn decode<T: DeserializeOwned>(row: &[u8]) -> Result<T, redb::Error> {
    serde_json::from_slice(row).map_err(|error| undecodable(&error))
}

/// Removes the rows that `new` no longer has.
pub(super) fn remove_missing<T>(
    table: &mut NamedRows<'_>,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Result<(), redb::Error> {
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        table.remove(name.as_str())?;
    }
    Ok(())
}

/// Inserts the rows that differ from `old`.
pub(super) fn insert_changed<T: Serialize + PartialEq>(
    table: &mut NamedRows<'_>,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
) -> Result<(), redb::Error> {
    for (name, value) in new.iter().filter(|(name, value)| old.get(*name) != Some(*value)) {
        table.insert(name.as_str(), encode(value).as_slice())?;
    }
    Ok(())
}
