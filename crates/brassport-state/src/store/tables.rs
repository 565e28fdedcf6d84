//! The tables of the state file and the encoding of their rows. Structures are encoded as JSON.

use crate::database::undecodable;
use redb::{Table, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;

/// Scalar metadata by name: [`FORMAT_FACT`] and [`REVISION_FACT`].
pub(super) const FACTS: TableDefinition<&str, u64> = TableDefinition::new("facts");
/// Maps a node's name to its [`Node`](crate::model::Node).
pub(super) const NODES: TableDefinition<&str, &[u8]> = TableDefinition::new("nodes");
/// Maps a studio (tenant) number to the name of its plan.
pub(super) const PLANS: TableDefinition<u64, &str> = TableDefinition::new("plans");
/// Maps a revision to its [`Entry`](super::Entry).
pub(super) const HISTORY: TableDefinition<u64, &[u8]> = TableDefinition::new("history");
/// Maps the id of a change to the revision that it made.
pub(super) const IDS: TableDefinition<&str, u64> = TableDefinition::new("ids");
/// Maps a request identifier to its [`Sent`](super::Sent), for requests in flight in the current run of the program.
pub(super) const IN_FLIGHT: TableDefinition<&str, &[u8]> = TableDefinition::new("in_hand");
/// Maps an ascending number to a [`Sent`](super::Sent), for requests that were in flight when an earlier run ended.
pub(super) const UNFINISHED: TableDefinition<u64, &[u8]> = TableDefinition::new("unfinished");
/// Maps a node's name to its [`KnownNode`](crate::known::KnownNode). Files of versions without a last-known list do not
/// have this table; it is created when the first list is written.
pub(super) const CACHED_NODES: TableDefinition<&str, &[u8]> = TableDefinition::new("known");

pub(super) const FORMAT_FACT: &str = "format";
pub(super) const REVISION_FACT: &str = "revision";

/// A table that maps names to JSON rows.
type NamedRows<'t> = Table<'t, &'static str, &'static [u8]>;

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data can be encoded as JSON")
}

pub(super) fn decode<T: DeserializeOwned>(row: &[u8]) -> Result<T, redb::Error> {
    serde_json::from_slice(row).map_err(|error| undecodable(&error))
}

/// Removes the rows of `old` whose names are not in `new`.
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

/// Writes the rows of `new` that are missing from `old` or differ there.
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
