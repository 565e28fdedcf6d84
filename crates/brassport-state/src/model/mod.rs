//! The site's state and what a change does to it. No I/O, no clock: a change brings its time, and the same changes in
//! the same order make the same state.

mod refusal;
mod transition;

pub use refusal::Refusal;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The most bytes of a name, of an id and of who made a change: they go into file rows and log lines.
pub const NAME_LIMIT: usize = 128;
/// The most nodes of a site: the list is copied with each change.
pub const NODE_LIMIT: usize = 4096;
/// The most studios (tenants) with a plan of their own.
pub const STUDIO_LIMIT: usize = 65_536;

/// Whether a node takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Finishes the requests in flight; no new ones are sent to it.
    Draining,
}

/// A node of the site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The address it listens on.
    pub endpoint: SocketAddr,
    /// Its failure domain; empty where the site has one zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of one group share the idempotency keys that they have seen.
    #[serde(default)]
    pub group: u16,
    /// Its capacity relative to the other nodes'.
    pub size: f64,
    /// Whether it takes requests.
    pub lifecycle: Lifecycle,
    /// When it was added and started to warm up, Unix time in milliseconds; `None` if it was added warm.
    #[serde(default)]
    pub launched_ms: Option<u64>,
    /// The revision that last changed it.
    pub revision: u64,
}

/// All that the appliance keeps durable of its configuration, the history apart.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// The number of changes so far, and so the number of the last one.
    pub revision: u64,
    /// The nodes, by name.
    pub nodes: BTreeMap<String, Node>,
    /// Plans of studios (tenants), by the studio's number.
    pub plans: BTreeMap<u64, String>,
}

/// A node as an operator names it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewNode {
    /// Its name, unique in the site.
    pub name: String,
    /// The address it listens on.
    pub endpoint: SocketAddr,
    /// Its failure domain; empty where the site has one zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of one group share the idempotency keys that they have seen.
    #[serde(default)]
    pub group: u16,
    /// Its capacity relative to the other nodes'; 1 if not given.
    #[serde(default = "default_size")]
    pub size: f64,
}

fn default_size() -> f64 {
    1.0
}

/// What a change does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Adds a node that the list does not have.
    AddNode {
        /// Its name, unique in the site.
        name: String,
        /// The address it listens on.
        endpoint: SocketAddr,
        /// Its failure domain; empty where the site has one zone.
        #[serde(default)]
        zone: String,
        /// Nodes of one group share the idempotency keys that they have seen.
        #[serde(default)]
        group: u16,
        /// Its capacity relative to the other nodes'; 1 if not given.
        #[serde(default = "default_size")]
        size: f64,
        /// Whether it has been running for long: no slow start.
        #[serde(default)]
        warm: bool,
    },
    /// Sends no new requests to this node, until it is removed or resumed.
    DrainNode {
        /// Its name.
        name: String,
    },
    /// Sends requests to a draining node again.
    ResumeNode {
        /// Its name.
        name: String,
    },
    /// Removes a node from the list.
    RemoveNode {
        /// Its name.
        name: String,
    },
    /// Replaces the list by this one: nodes that it does not name are removed, those that stay keep their lifecycle.
    ImportNodes {
        /// The complete list.
        nodes: Vec<NewNode>,
    },
    /// Sets a studio's plan.
    SetPlan {
        /// The studio's number.
        studio: u64,
        /// The plan; `None`: the one that its requests name, or the default.
        plan: Option<String>,
    },
}

/// A change, as an operator or a program requests it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The idempotency key, chosen by the requester: requested twice under one id, a change is made once.
    pub id: String,
    /// The requester.
    pub who: String,
    /// The wall clock, Unix time in milliseconds: for people to read. Nothing is ordered by it, as it may be set back.
    pub at_ms: u64,
    /// The node's revision that the requester saw: the change is rejected if the node has another one.
    #[serde(default)]
    pub seen: Option<u64>,
    /// What it does.
    pub action: Action,
}
