//! Nothing new goes to a node later than the grace after its drain or its leaving was told.

use crate::event::{Door, Nanos, MS};
use crate::rule::{Rule, Verdict};
use crate::GRACE;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Lists of old revisions change nothing until an agent has told nothing newer for so long.
const NEW_EPOCH: Nanos = 3_000 * MS;

/// A list that came to a door.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    pub revision: u64,
    /// Whether it names all nodes, or those alone that changed.
    pub all: bool,
    pub nodes: Vec<Listed>,
}

/// A node in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether the list says when it started.
    pub has_start: bool,
}

#[derive(Debug, Default)]
struct View {
    /// What the door was told of each node: its revision, its address, and since when it must get nothing new.
    told: BTreeMap<String, (u64, SocketAddr, Option<Nanos>)>,
    /// Nodes that staff have taken out here, and since when.
    banned: BTreeMap<String, Nanos>,
    /// Addresses that a node has moved away from, and since when the door knows.
    left: BTreeMap<SocketAddr, Nanos>,
    /// Nodes whose start the door was told of.
    started: BTreeSet<String>,
    /// The newest revision that the door's agent has told, and since when it has told older ones only.
    newest: u64,
    behind_since: Option<Nanos>,
}

/// What each door was told of the nodes.
#[derive(Debug)]
pub struct Lists {
    grace: Nanos,
    doors: BTreeMap<Door, View>,
}

impl Lists {
    /// Within this time after a drain was told nothing new goes there any more.
    pub fn new(grace: Nanos) -> Lists {
        Lists { grace, doors: BTreeMap::new() }
    }

    /// A process of a door starts, knowing this list.
    pub fn door_started(&mut self, door: Door, now: Nanos, known: Option<&List>) {
        self.doors.insert(door, View::default());
        if let Some(known) = known {
            self.told(door, now, known);
        }
    }

    /// A door has taken a node out, or has put it back, as staff asked.
    pub fn banned(&mut self, door: Door, uid: &str, now: Nanos, is_out: bool) {
        let Some(view) = self.doors.get_mut(&door) else { return };
        if is_out {
            view.banned.entry(uid.into()).or_insert(now);
        } else {
            view.banned.remove(uid);
        }
    }

    /// A door was told of a node's start.
    pub fn start_told(&mut self, door: Door, uid: &str) {
        if let Some(view) = self.doors.get_mut(&door) {
            view.started.insert(uid.into());
        }
    }

    /// Whether the door was told of the node's start.
    pub fn knows_start(&self, door: Door, uid: &str) -> bool {
        self.doors.get(&door).is_some_and(|view| view.started.contains(uid))
    }

    /// A node is at this address; the doors may be told of it from now on.
    pub fn node_at(&mut self, uid: &str, address: SocketAddr) {
        for view in self.doors.values_mut() {
            view.told.entry(uid.into()).or_insert((0, address, None));
        }
    }

    /// A door's discovery moves: another agent's revisions are numbers of their own.
    pub fn door_moved(&mut self, door: Door) {
        if let Some(view) = self.doors.get_mut(&door) {
            (view.newest, view.behind_since) = (0, None);
            view.told.values_mut().for_each(|told| told.0 = 0);
        }
    }

    /// A door was told by other means than a list that a node is to get nothing new; whether that is news.
    pub fn told_off(&mut self, door: Door, uid: &str, now: Nanos) -> bool {
        let told = self.doors.get_mut(&door).and_then(|view| view.told.get_mut(uid));
        match told {
            Some((.., since @ None)) => {
                *since = Some(now);
                true
            }
            _ => false,
        }
    }

    /// A list has come to a door, and counts as told.
    pub fn told(&mut self, door: Door, now: Nanos, list: &List) {
        let Some(view) = self.doors.get_mut(&door) else { return };
        // An agent whose revisions stay behind for long enough has begun to count anew.
        if list.revision >= view.newest {
            (view.newest, view.behind_since) = (list.revision, None);
        } else if list.all && now >= view.behind_since.unwrap_or(now) + NEW_EPOCH {
            (view.newest, view.behind_since) = (list.revision, None);
            view.told.values_mut().for_each(|told| told.0 = 0);
        } else {
            view.behind_since = view.behind_since.or(Some(now));
        }
        for node in &list.nodes {
            if node.has_start {
                view.started.insert(node.uid.clone());
            }
            let told = view.told.entry(node.uid.clone()).or_insert((0, node.address, None));
            // An old revision never undoes a newer one.
            if list.revision < told.0 {
                continue;
            }
            let since = if node.ready { None } else { Some(told.2.unwrap_or(now)) };
            if told.1 != node.address {
                view.left.entry(told.1).or_insert(now);
            }
            view.left.remove(&node.address);
            *told = (list.revision, node.address, since);
        }
        if list.all {
            let listed = |uid: &String| list.nodes.iter().any(|node| node.uid == *uid);
            let older = |(uid, told): &(&String, &mut (u64, SocketAddr, Option<Nanos>))| {
                told.0 <= list.revision && !listed(uid)
            };
            for (_, told) in view.told.iter_mut().filter(older) {
                told.2 = Some(told.2.unwrap_or(now));
            }
        }
    }

    /// An attempt of this request begins to be written to this address.
    pub fn begins(&self, id: &str, door: Door, to: SocketAddr, begun: Nanos, verdict: &mut Verdict) {
        let Some(view) = self.doors.get(&door) else { return };
        // Since when each node that was told there is to get nothing new; one that moved away left there.
        // A ban holds from the door's yes, with no grace of its own.
        let banned = |uid: &str| Some(view.banned.get(uid)?.saturating_sub(self.grace));
        let told = view.told.iter().filter(|(_, told)| told.1 == to);
        let told = told.map(|(uid, told)| [told.2, banned(uid)].into_iter().flatten().min());
        let sinces: Vec<Option<Nanos>> = told.chain(view.left.get(&to).map(|at| Some(*at))).collect();
        let late = |since: &Option<Nanos>| since.is_some_and(|at| begun > at + self.grace + GRACE);
        if !sinces.is_empty() && sinces.iter().all(late) {
            let since = sinces.iter().copied().flatten().max().unwrap_or(0);
            let how = if view.left.contains_key(&to) { "was left" } else { "drains" };
            let what = format!("{} ms after door {} was told that {to} {how}", (begun - since) / MS, door.0);
            verdict.break_rule(Rule::Drain, begun, Some(id), what);
        }
    }
}
