//! What a change does to a state. No I/O, no clock: a change brings its time, and the same changes in the same order
//! make the same state.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Most bytes of a name, of an id and of who made a change.
pub const NAME_LIMIT: usize = 128;
/// Most nodes of a site.
pub const NODE_LIMIT: usize = 4096;
/// Most studios with a plan of their own.
pub const STUDIO_LIMIT: usize = 65_536;

/// Whether a node takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Finishes what it has; nothing new is sent to it.
    Draining,
}

/// A node of the site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Where it stands; empty where the site has one zone.
    #[serde(default)]
    pub zone: String,
    /// Nodes of one group share which keyed requests they have seen.
    #[serde(default)]
    pub group: u16,
    /// Its size against the others'.
    pub size: f64,
    pub lifecycle: Lifecycle,
    /// When it was added cold, Unix time in milliseconds; `None` if it was warm.
    #[serde(default)]
    pub launched_ms: Option<u64>,
    /// The revision that last changed it.
    pub revision: u64,
}

/// All that the appliance must not forget, the history apart.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct State {
    /// Counts the changes; each has the number that it made.
    pub revision: u64,
    /// By name.
    pub nodes: BTreeMap<String, Node>,
    /// Plans of studios, by the studio's number.
    pub plans: BTreeMap<u64, String>,
}

/// A node as an operator names it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewNode {
    pub name: String,
    pub endpoint: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub group: u16,
    #[serde(default = "one")]
    pub size: f64,
}

fn one() -> f64 {
    1.0
}

/// What a change asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Action {
    /// A node that the list does not have.
    AddNode {
        name: String,
        endpoint: SocketAddr,
        #[serde(default)]
        zone: String,
        #[serde(default)]
        group: u16,
        #[serde(default = "one")]
        size: f64,
        /// It has been running for long: no slow start.
        #[serde(default)]
        warm: bool,
    },
    /// Nothing new goes to this node. Stays so until the node is removed or resumed.
    DrainNode { name: String },
    /// A draining node takes requests again.
    ResumeNode { name: String },
    /// The node is no more.
    RemoveNode { name: String },
    /// The list becomes this one, whole: nodes that it does not name are removed, those it has keep their drain.
    ImportNodes { nodes: Vec<NewNode> },
    /// The studio's plan; `None`: what its requests say, or the default.
    SetPlan { studio: u64, plan: Option<String> },
}

/// A change, as asked for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Chosen by who asks. Asked for twice under one id, a change is made once.
    pub id: String,
    /// Who asks.
    pub who: String,
    /// The wall clock, Unix time in milliseconds: for people to read. Nothing is ordered by it, as it may be set back.
    pub at_ms: u64,
    /// The node's revision that the operator was looking at: the change is refused if there is a later one.
    #[serde(default)]
    pub seen: Option<u64>,
    pub action: Action,
}

/// Why a change was refused. The state is as it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// What was asked makes no sense.
    Invalid(String),
    /// A node of that name is there already.
    Exists(String),
    /// No node has that name.
    NoSuchNode(String),
    /// Another change of the node came in between.
    Conflict { name: String, revision: u64 },
    /// The id was used for another change.
    IdUsed { id: String, revision: u64 },
}

impl Refusal {
    /// A word for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Invalid(_) => "invalid",
            Refusal::Exists(_) => "exists",
            Refusal::NoSuchNode(_) => "no_such_node",
            Refusal::Conflict { .. } => "conflict",
            Refusal::IdUsed { .. } => "id_used",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Invalid(problem) => f.write_str(problem),
            Refusal::Exists(name) => write!(f, "a node named '{name}' is in the list already"),
            Refusal::NoSuchNode(name) => write!(f, "no node is named '{name}'; see `nodes list`"),
            Refusal::Conflict { name, revision } => {
                write!(f, "'{name}' was changed meanwhile (revision {revision}); look at it again")
            }
            Refusal::IdUsed { id, revision } => {
                write!(f, "the id '{id}' was used for another change (revision {revision}); choose a new one")
            }
        }
    }
}

impl std::error::Error for Refusal {}

fn valid_name(what: &str, name: &str) -> Result<(), Refusal> {
    let known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:@".contains(&byte);
    if name.is_empty() || name.len() > NAME_LIMIT || !name.bytes().all(known) {
        return Err(Refusal::Invalid(format!(
            "{what}: '{}' is not 1 to {NAME_LIMIT} letters, digits and - _ . : @",
            name.escape_default()
        )));
    }
    Ok(())
}

fn valid_node(name: &str, zone: &str, size: f64) -> Result<(), Refusal> {
    valid_name("node", name)?;
    if !zone.is_empty() {
        valid_name("zone", zone)?;
    }
    if !size.is_finite() || size <= 0.0 || size > 1e6 {
        return Err(Refusal::Invalid(format!("size of '{name}': {size} is not above 0 and at most 1000000")));
    }
    Ok(())
}

impl State {
    /// The state behind a change. Whole or not at all: a refused change leaves no trace.
    ///
    /// # Errors
    /// Why the change is refused.
    pub fn after(&self, change: &Change) -> Result<State, Refusal> {
        valid_name("id of the change", &change.id)?;
        valid_name("who", &change.who)?;
        let mut next = self.clone();
        next.revision += 1;
        let revision = next.revision;
        match &change.action {
            Action::AddNode { name, endpoint, zone, group, size, warm } => {
                valid_node(name, zone, *size)?;
                if next.nodes.contains_key(name) {
                    return Err(Refusal::Exists(name.clone()));
                }
                let node = Node {
                    endpoint: *endpoint,
                    zone: zone.clone(),
                    group: *group,
                    size: *size,
                    lifecycle: Lifecycle::Ready,
                    launched_ms: (!warm).then_some(change.at_ms),
                    revision,
                };
                next.nodes.insert(name.clone(), node);
            }
            Action::DrainNode { name } => {
                next.node(name, change.seen)?.lifecycle = Lifecycle::Draining;
                next.node(name, None)?.revision = revision;
            }
            Action::ResumeNode { name } => {
                next.node(name, change.seen)?.lifecycle = Lifecycle::Ready;
                next.node(name, None)?.revision = revision;
            }
            Action::RemoveNode { name } => {
                next.node(name, change.seen)?;
                next.nodes.remove(name);
            }
            Action::ImportNodes { nodes } => {
                next.nodes.clear();
                for new in nodes {
                    valid_node(&new.name, &new.zone, new.size)?;
                    let known = self.nodes.get(&new.name);
                    // A node that moved is another one: it starts cold and without the old one's drain.
                    let known = known.filter(|known| known.endpoint == new.endpoint);
                    let mut node = Node {
                        endpoint: new.endpoint,
                        zone: new.zone.clone(),
                        group: new.group,
                        size: new.size,
                        lifecycle: known.map_or(Lifecycle::Ready, |known| known.lifecycle),
                        launched_ms: known.map_or(Some(change.at_ms), |known| known.launched_ms),
                        revision: known.map_or(revision, |known| known.revision),
                    };
                    if known.is_some_and(|known| *known != node) {
                        node.revision = revision;
                    }
                    if next.nodes.insert(new.name.clone(), node).is_some() {
                        return Err(Refusal::Invalid(format!("'{}' is named twice", new.name)));
                    }
                }
            }
            Action::SetPlan { studio, plan } => {
                match plan {
                    Some(plan) => {
                        valid_name("plan", plan)?;
                        next.plans.insert(*studio, plan.clone());
                    }
                    None => drop(next.plans.remove(studio)),
                };
            }
        }
        if next.nodes.len() > NODE_LIMIT {
            return Err(Refusal::Invalid(format!("a site has at most {NODE_LIMIT} nodes")));
        }
        if next.plans.len() > STUDIO_LIMIT {
            return Err(Refusal::Invalid(format!("at most {STUDIO_LIMIT} studios have plans of their own")));
        }
        Ok(next)
    }

    fn node(&mut self, name: &str, seen: Option<u64>) -> Result<&mut Node, Refusal> {
        let node = self.nodes.get_mut(name).ok_or_else(|| Refusal::NoSuchNode(name.to_string()))?;
        if seen.is_some_and(|seen| seen != node.revision) {
            return Err(Refusal::Conflict { name: name.to_string(), revision: node.revision });
        }
        Ok(node)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(id: &str, seen: Option<u64>, action: Action) -> Change {
        Change { id: id.into(), who: "test".into(), at_ms: 1000, seen, action }
    }

    fn add(name: &str) -> Action {
        let endpoint = "127.0.0.1:9000".parse().expect("an address");
        Action::AddNode { name: name.into(), endpoint, zone: String::new(), group: 0, size: 1.0, warm: false }
    }

    fn import(nodes: &[(&str, &str)]) -> Action {
        let node = |(name, endpoint): &(&str, &str)| NewNode {
            name: (*name).into(),
            endpoint: endpoint.parse().expect("an address"),
            zone: String::new(),
            group: 0,
            size: 1.0,
        };
        Action::ImportNodes { nodes: nodes.iter().map(node).collect() }
    }

    fn made(actions: &[Action]) -> State {
        actions.iter().fold(State::default(), |state, action| {
            state.after(&change("x", None, action.clone())).expect("the change is sound")
        })
    }

    #[test]
    fn two_consoles_that_change_one_node_do_not_overwrite_each_other() {
        let state = made(&[add("a")]);
        let seen = Some(state.nodes["a"].revision);
        let first =
            state.after(&change("1", seen, Action::DrainNode { name: "a".into() })).expect("the first");
        let second = first.after(&change("2", seen, Action::RemoveNode { name: "a".into() }));
        assert_eq!(second, Err(Refusal::Conflict { name: "a".into(), revision: 2 }));
    }

    #[test]
    fn an_import_is_the_whole_list_and_undoes_no_drain() {
        let drain = |name: &str| Action::DrainNode { name: name.into() };
        let state = made(&[add("a"), add("b"), add("c"), drain("a"), drain("c")]);
        let list = import(&[("a", "127.0.0.1:9000"), ("c", "127.0.0.1:9999"), ("d", "127.0.0.1:9001")]);
        let state = state.after(&change("9", None, list)).expect("a sound list");
        assert_eq!(state.nodes.keys().collect::<Vec<_>>(), ["a", "c", "d"]);
        assert_eq!(state.nodes["a"].lifecycle, Lifecycle::Draining);
        assert_eq!(state.nodes["c"].lifecycle, Lifecycle::Ready, "it is another machine");
    }

    #[test]
    fn a_list_with_one_bad_node_changes_nothing() {
        let state = made(&[add("a")]);
        let list = import(&[("b", "127.0.0.1:9000"), ("b", "127.0.0.1:9001")]);
        assert!(matches!(state.after(&change("1", None, list)), Err(Refusal::Invalid(_))));
        let list = import(&[("b", "127.0.0.1:9000"), ("no good", "127.0.0.1:9001")]);
        assert!(matches!(state.after(&change("1", None, list)), Err(Refusal::Invalid(_))));
    }

    #[test]
    fn what_makes_no_sense_is_refused() {
        let state = made(&[add("a")]);
        let refused = |action| state.after(&change("1", None, action)).expect_err("no sense").code();
        assert_eq!(refused(add("a")), "exists");
        assert_eq!(refused(add("")), "invalid");
        assert_eq!(refused(add("a\u{1b}[2J")), "invalid");
        assert_eq!(refused(Action::DrainNode { name: "b".into() }), "no_such_node");
        assert_eq!(refused(Action::SetPlan { studio: 1, plan: Some("a b".into()) }), "invalid");
        assert!(state.after(&change("", None, add("b"))).is_err(), "a change without an id");
    }
}
