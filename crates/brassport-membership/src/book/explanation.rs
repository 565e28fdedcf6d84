//! Why a node is listed as it is, for people.

use super::entry::State;
use super::sources::Sources;
use crate::table::{Id, Millis};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What one source says of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The source's name.
    pub source: String,
    /// The state that it reports.
    pub says: State,
    /// Why, in its terms; may be empty.
    pub note: String,
    /// Its number of this report.
    pub revision: u64,
    /// How long ago it was reported, milliseconds.
    pub age_ms: Millis,
    /// The address that it reports.
    pub address: Option<SocketAddr>,
    /// The start that it reports, as Unix time in milliseconds; 0: none.
    pub boot_ms: f64,
}

/// What keeps requests from a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Nothing: it is ready.
    Nothing,
    /// A source that reports drains reported one of it.
    Drain,
    /// Something that may change at once: its address is another's, or none; it is a reserve.
    Other,
}

/// Why a node is listed as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The node's name.
    pub id: String,
    /// The state in which it is listed.
    pub state: State,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// The rule that decided, in a sentence.
    pub because: String,
    /// How long it has been listed so, milliseconds.
    pub age_ms: Millis,
    /// What each source says, in their order.
    pub words: Vec<Word>,
}

/// The status of a source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SourceNow {
    /// Its name.
    pub name: String,
    /// Whether it has reported a full list.
    pub told: bool,
    /// How long ago it last reported anything, milliseconds.
    pub heard_ms: Option<Millis>,
    /// Nodes that it lists.
    pub nodes: usize,
}

/// The rule that decided a node's listing. A source is named by its position in the configuration.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Reason {
    Listed(usize),
    Reported(usize, State),
    NoAddress(usize),
    AddressOwnedBy(Id),
    /// A drain was reported at the same address, in these words.
    RememberedDrain(String),
    NotListed,
    KeptUntilSettled(usize),
}

impl Reason {
    /// The rule as a sentence; `note` is the deciding source's, may be empty, and is used where a source is the reason.
    pub(super) fn sentence(&self, sources: &Sources, note: &str) -> String {
        let name = |source: &usize| &sources.table(*source).source.name;
        match self {
            Reason::Listed(source) => format!("'{}' lists it", name(source)),
            Reason::Reported(source, state) => {
                format!("'{}' says {}{}", name(source), state.as_str(), after_colon(note))
            }
            Reason::NoAddress(source) => {
                format!("'{}' tells no address for it{}", name(source), after_colon(note))
            }
            Reason::AddressOwnedBy(other) => {
                format!("its address belongs to '{other}', which goes before it")
            }
            Reason::RememberedDrain(because) => {
                format!("{because}, and only sources that tell no drains list a node there now")
            }
            Reason::NotListed => "no source lists it any more".to_string(),
            Reason::KeptUntilSettled(source) => {
                format!("'{}' keeps it until each source has been heard", name(source))
            }
        }
    }
}

/// A note behind a colon, or nothing if it is empty.
pub(super) fn after_colon(note: &str) -> String {
    if note.is_empty() {
        String::new()
    } else {
        format!(": {note}")
    }
}
