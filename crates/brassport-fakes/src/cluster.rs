//! A Nomad cluster's state: registrations, clients and allocations, each change at an index of its own. No I/O.
//!
//! For the simulation's oracle each answer says at its end, in a field that Nomad does not have, what it tells:
//! `#name#` a registration, `~name~` that it is gone, `@name@` that it is to get nothing new.

use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Events that are kept for streams that begin behind them.
const EVENTS: usize = 10_000;

/// One kind of rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// Registrations of services.
    Services,
    /// Nomad clients.
    Clients,
    /// Allocations.
    Allocs,
}

/// A moment of the state. Rows are shared between moments.
#[derive(Debug, Clone, Default)]
pub struct Moment {
    /// The index of the last change.
    pub index: u64,
    tables: BTreeMap<Table, BTreeMap<String, Rc<Value>>>,
    changed: BTreeMap<Table, u64>,
    /// Nodes that are not to get anything new at this moment, by the names of their registrations.
    pub off: BTreeSet<String>,
}

/// One event of the stream.
#[derive(Debug, Clone)]
pub struct Event {
    /// Its index.
    pub index: u64,
    /// Its line, without the end.
    pub line: Rc<str>,
    /// The registration that must get nothing new from here on.
    pub off: Option<String>,
}

/// A cluster.
#[derive(Debug, Default)]
pub struct Cluster {
    now: Moment,
    /// Earlier moments, if they are kept.
    past: Vec<Moment>,
    keeps: bool,
    events: VecDeque<Event>,
}

impl Cluster {
    /// An empty cluster. One that keeps its past can show it, which takes memory with each change.
    pub fn new(keeps: bool) -> Cluster {
        Cluster { keeps, ..Cluster::default() }
    }

    /// The state.
    pub fn now(&self) -> &Moment {
        &self.now
    }

    /// The state so many changes ago, or the first that is kept.
    pub fn ago(&self, changes: u64) -> &Moment {
        let wanted = self.now.index.saturating_sub(changes);
        self.past
            .iter()
            .rev()
            .find(|moment| moment.index <= wanted)
            .or(self.past.first())
            .unwrap_or(&self.now)
    }

    /// Events behind an index.
    pub fn events_behind(&self, index: u64) -> impl Iterator<Item = &Event> {
        let first = self.events.partition_point(|event| event.index <= index);
        self.events.range(first..)
    }

    /// A node comes up: its client if that is new, its allocation and its registration. `started` is Unix time in
    /// milliseconds.
    pub fn start(&mut self, name: &str, client: &str, address: SocketAddr, tags: &[&str], started: u64) {
        if self.now.row(Table::Clients, client).is_none() {
            self.write_client(client, false, "ready", None);
        }
        self.write_alloc(name, "run", "running", started, None);
        self.register(name, client, address, tags);
    }

    /// Writes a registration alone.
    pub fn register(&mut self, name: &str, client: &str, address: SocketAddr, tags: &[&str]) {
        let row = json!({
            "ID": name, "ServiceName": "render", "Namespace": "default", "NodeID": client,
            "AllocID": format!("alloc-{name}"), "Tags": tags, "JobID": "render", "Datacenter": "dc1",
            "Address": address.ip().to_string(), "Port": address.port(),
        });
        self.now.off.remove(name);
        self.write(Table::Services, name, "Service", "ServiceRegistration", row, None);
    }

    /// Marks a client as draining.
    pub fn drain(&mut self, client: &str, name: &str) {
        self.write_client(client, true, "ready", Some(name));
    }

    /// Writes a client: whether it drains, and its status.
    pub fn write_client(&mut self, client: &str, drains: bool, status: &str, off: Option<&str>) {
        let strategy =
            if drains { json!({"DrainSpec": {"Deadline": 3_600_000_000_000u64}}) } else { Value::Null };
        let row = json!({
            "ID": client, "Name": client, "Status": status, "Drain": drains, "DrainStrategy": strategy,
            "SchedulingEligibility": if drains { "ineligible" } else { "eligible" },
        });
        let kind = if drains { "NodeDrain" } else { "NodeRegistration" };
        self.write(Table::Clients, client, "Node", kind, row, off);
    }

    /// Writes an allocation. `off` is its registration, if it must get nothing new from here on.
    pub fn write_alloc(&mut self, name: &str, desired: &str, status: &str, started: u64, off: Option<&str>) {
        let id = format!("alloc-{name}");
        let known = self.now.row(Table::Allocs, &id).and_then(|row| row["CreateTime"].as_u64());
        let row = json!({
            "ID": id, "JobID": "render", "Namespace": "default", "DesiredStatus": desired, "ClientStatus": status,
            "CreateTime": known.unwrap_or(started * 1_000_000), "TaskStates": Value::Null,
        });
        self.write(Table::Allocs, &id, "Allocation", "AllocationUpdated", row, off);
    }

    /// A registration is removed, and its allocation is over.
    pub fn stop(&mut self, name: &str) {
        let Some(row) = self.now.row(Table::Services, name).cloned() else { return };
        self.now.index += 1;
        let index = self.now.index;
        self.now.table(Table::Services).remove(name);
        self.now.changed.insert(Table::Services, index);
        self.now.off.insert(name.into());
        let payload = json!({"Service": *row});
        self.tell("Service", "ServiceDeregistration", &payload, Some(name));
        self.write_alloc(name, "stop", "complete", 0, Some(name));
    }

    fn write(&mut self, table: Table, id: &str, topic: &str, kind: &str, mut row: Value, off: Option<&str>) {
        self.now.index += 1;
        let index = self.now.index;
        let made =
            self.now.row(table, id).map_or(index, |known| known["CreateIndex"].as_u64().unwrap_or(index));
        row["CreateIndex"] = made.into();
        row["ModifyIndex"] = index.into();
        let word = match table {
            Table::Services => "Service",
            Table::Clients => "Node",
            Table::Allocs => "Allocation",
        };
        let payload = json!({ word: row.clone() });
        self.now.table(table).insert(id.into(), Rc::new(row));
        self.now.changed.insert(table, index);
        if let Some(name) = off {
            self.now.off.insert(name.into());
        }
        self.tell(topic, kind, &payload, off);
    }

    fn tell(&mut self, topic: &str, kind: &str, payload: &Value, off: Option<&str>) {
        let index = self.now.index;
        // What is told stands last in the line, where a line that is cut has lost it.
        let word = match (kind, off) {
            ("ServiceDeregistration", Some(name)) => format!("~{name}~"),
            (_, Some(name)) => format!("@{name}@"),
            ("ServiceRegistration", None) => {
                format!("#{}#", payload["Service"]["ID"].as_str().unwrap_or_default())
            }
            _ => String::new(),
        };
        let told = if word.is_empty() { word } else { format!(",\"Told\":\"{word}\"") };
        let event = json!({"Topic": topic, "Type": kind, "Index": index, "Payload": payload});
        let line = format!("{{\"Index\":{index},\"Events\":[{event}]{told}}}");
        self.events.push_back(Event { index, line: line.into(), off: off.map(str::to_string) });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
        if self.keeps {
            self.past.push(self.now.clone());
        }
    }
}

impl Moment {
    fn table(&mut self, table: Table) -> &mut BTreeMap<String, Rc<Value>> {
        self.tables.entry(table).or_default()
    }

    /// A row.
    pub fn row(&self, table: Table, id: &str) -> Option<&Rc<Value>> {
        self.tables.get(&table)?.get(id)
    }

    /// The index of the last change of a table; 1 before there was one.
    pub fn changed(&self, table: Table) -> u64 {
        self.changed.get(&table).copied().unwrap_or(1)
    }

    /// A table's rows as the API lists them. What they tell of nodes that must get nothing new stands behind
    /// everything else; an absence tells something only if the server vouches for its state.
    pub fn list(&self, table: Table, vouches: bool) -> String {
        let rows: Vec<&Value> =
            self.tables.get(&table).into_iter().flatten().map(|(_, row)| &**row).collect();
        let mut text = serde_json::to_string(&rows).unwrap_or_default();
        let is_told = |name: &&String| match table {
            Table::Services => vouches && self.row(Table::Services, name).is_none(),
            Table::Clients => {
                let client = self.row(Table::Services, name).and_then(|row| row["NodeID"].as_str());
                client.and_then(|id| self.row(Table::Clients, id)).is_some_and(|row| row["Drain"] == true)
            }
            Table::Allocs => false,
        };
        let mark = if table == Table::Services { '~' } else { '@' };
        let mut told: Vec<String> =
            self.off.iter().filter(is_told).map(|name| format!("{mark}{name}{mark}")).collect();
        if table == Table::Services {
            told.extend(self.tables.get(&table).into_iter().flatten().map(|(name, _)| format!("#{name}#")));
        }
        if !told.is_empty() && text.ends_with("}]") {
            text.truncate(text.len() - 2);
            text.push_str(&format!(",\"Told\":\"{}\"}}]", told.concat()));
        }
        text
    }
}
