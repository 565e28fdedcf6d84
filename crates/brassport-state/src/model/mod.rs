//! The site's state and the effect of changes on it. The model does no I/O and reads no clock: each change carries its
//! time, so that the same changes in the same order produce the same state.

mod refusal;
mod transition;

pub use refusal::Refusal;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum length in bytes of a name, a change id and a requester, as they are written to file rows and log lines.
pub const NAME_LIMIT: usize = 128;
/// Maximum number of nodes in a site. Each change copies the whole list.
pub const NODE_LIMIT: usize = 4096;
/// Maximum number of studios (tenants) with an assigned plan.
pub const STUDIO_LIMIT: usize = 65_536;

/// Whether a node accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// The node accepts requests.
    Ready,
    /// The node completes its in-flight requests and gets no new ones.
    Draining,
}

/// A node as the state stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The address that the node listens on.
    pub endpoint: SocketAddr,
    /// The failure domain; empty if the site has a single zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of the same group share the idempotency keys that they have seen.
    #[serde(default)]
    pub group: u16,
    /// The capacity relative to the other nodes.
    pub size: f64,
    /// Whether the node accepts new requests.
    pub lifecycle: Lifecycle,
    /// When the node was added and its slow start began, Unix time in milliseconds; `None` if it was added without one.
    #[serde(default)]
    pub launched_ms: Option<u64>,
    /// The revision that last changed the node.
    pub revision: u64,
}

/// The durable configuration of the appliance, without its history.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// The number of changes made so far, which is also the revision of the latest change; 0 in a new state.
    pub revision: u64,
    /// The nodes, by name.
    pub nodes: BTreeMap<String, Node>,
    /// Plan names by studio (tenant) number.
    pub plans: BTreeMap<u64, String>,
}

/// A node as an operator specifies it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewNode {
    /// The name, unique within the site.
    pub name: String,
    /// The address that the node listens on.
    pub endpoint: SocketAddr,
    /// The failure domain; empty if the site has a single zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of the same group share the idempotency keys that they have seen.
    #[serde(default)]
    pub group: u16,
    /// The capacity relative to the other nodes; 1 if not given.
    #[serde(default = "default_size")]
    pub size: f64,
}

fn default_size() -> f64 {
    1.0
}

/// The operation of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// Adds a node. Its name must not be in the list yet.
    AddNode {
        /// The name, unique within the site.
        name: String,
        /// The address that the node listens on.
        endpoint: SocketAddr,
        /// The failure domain; empty if the site has a single zone.
        #[serde(default)]
        zone: String,
        /// Nodes of the same group share the idempotency keys that they have seen.
        #[serde(default)]
        group: u16,
        /// The capacity relative to the other nodes; 1 if not given.
        #[serde(default = "default_size")]
        size: f64,
        /// Whether the node is warmed up already, so that slow start is skipped.
        #[serde(default)]
        warm: bool,
    },
    /// Stops sending new requests to a node until it is removed or resumed.
    DrainNode {
        /// The node's name.
        name: String,
    },
    /// Resumes sending requests to a draining node.
    ResumeNode {
        /// The node's name.
        name: String,
    },
    /// Removes a node from the list.
    RemoveNode {
        /// The node's name.
        name: String,
    },
    /// Replaces the node list. Nodes that the new list omits are removed; nodes that remain with the same endpoint keep
    /// their lifecycle.
    ImportNodes {
        /// The complete new list.
        nodes: Vec<NewNode>,
    },
    /// Sets or clears the plan of a studio (tenant).
    SetPlan {
        /// The studio's number.
        studio: u64,
        /// The plan name. With `None`, the plan that the studio's requests name applies, or else the default plan.
        plan: Option<String>,
    },
}

/// A change requested by an operator or a program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The idempotency key, chosen by the requester. A change requested twice with the same id is made once.
    pub id: String,
    /// The requester.
    pub who: String,
    /// The wall-clock time, Unix time in milliseconds, shown to operators. Nothing is ordered by it, as the clock may
    /// be set back.
    pub at_ms: u64,
    /// The node revision that the requester read. If given, the change is rejected unless the node still has it.
    #[serde(default)]
    pub seen: Option<u64>,
    /// The operation.
    pub action: Action,
}
