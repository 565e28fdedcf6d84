//! What Nomad's answers say. Fields that are not used are passed over; one that is missing is taken for what an old
//! server means by leaving it out.
//!
//! Sources: the API pages *Services* (`/v1/service/:name`), *Nodes* (`/v1/nodes`), *Allocations* (`/v1/allocations`)
//! and *Events* (`/v1/event/stream`) of Nomad's documentation.

use crate::table::{Fact, Id};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Why an answer could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(pub String);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(to)
    }
}

/// A registration of a service: one address of one allocation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// `_nomad-task-<allocation>-...`: another one for each allocation.
    #[serde(rename = "ID")]
    pub id: String,
    /// The service's name; an event may tell of other services.
    #[serde(default)]
    pub service_name: String,
    /// Its Nomad client.
    #[serde(default, rename = "NodeID")]
    pub node: String,
    /// Its allocation.
    #[serde(default, rename = "AllocID")]
    pub alloc: String,
    /// `null` stands for none.
    #[serde(default, deserialize_with = "null_is_default")]
    pub tags: Vec<String>,
    /// An IP address.
    #[serde(default)]
    pub address: String,
    /// Its port.
    #[serde(default)]
    pub port: u16,
    /// When it was last written.
    #[serde(default)]
    pub modify_index: u64,
}

/// A Nomad client: a machine, in a list or in an event.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Client {
    /// Its id.
    #[serde(rename = "ID")]
    pub id: String,
    /// `initializing`, `ready`, `disconnected` or `down`.
    #[serde(default)]
    pub status: String,
    /// `eligible` or `ineligible`.
    #[serde(default)]
    pub scheduling_eligibility: String,
    /// Whether it drains, as lists tell it.
    #[serde(default)]
    pub drain: bool,
    /// How it drains, as events tell it; `null` if it does not.
    #[serde(default, deserialize_with = "is_there")]
    pub drain_strategy: bool,
    /// When it was last written.
    #[serde(default)]
    pub modify_index: u64,
}

/// An allocation: one life of a node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Alloc {
    /// Its id.
    #[serde(rename = "ID")]
    pub id: String,
    /// `pending`, `running`, `complete`, `failed`, `lost` or `unknown`.
    #[serde(default)]
    pub client_status: String,
    /// `run`, `stop` or `evict`.
    #[serde(default)]
    pub desired_status: String,
    /// Unix time in nanoseconds.
    #[serde(default)]
    pub create_time: i64,
    /// Its tasks; `null` before they begin.
    #[serde(default, deserialize_with = "null_is_default")]
    pub task_states: BTreeMap<String, Task>,
    /// When it was last written.
    #[serde(default)]
    pub modify_index: u64,
}

/// A task of an allocation.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Task {
    /// When it was last started; a task that was started again in place runs cold.
    #[serde(default, deserialize_with = "null_is_default")]
    pub started_at: String,
}

impl Alloc {
    /// Whether it ended, and will not come back.
    pub fn is_over(&self) -> bool {
        matches!(self.client_status.as_str(), "complete" | "failed" | "lost")
    }

    /// Unix time in milliseconds at which its last task was started, or it was made; 0: not told.
    pub fn boot_ms(&self) -> f64 {
        let started = |task: &Task| {
            let at = OffsetDateTime::parse(&task.started_at, &Rfc3339).ok()?;
            // Go's zero time, of year 1, stands for a task that has not started.
            u64::try_from(at.unix_timestamp_nanos() / 1_000_000).ok().filter(|ms| *ms > 0)
        };
        let last = self.task_states.values().filter_map(started).max();
        last.map_or((self.create_time.max(0) / 1_000_000) as f64, |ms| ms as f64)
    }
}

impl Fact for Service {
    fn holds_back(&self) -> bool {
        false
    }
}

impl Fact for Client {
    fn holds_back(&self) -> bool {
        self.drain || self.drain_strategy || self.status == "down"
    }
}

impl Fact for Alloc {
    fn holds_back(&self) -> bool {
        self.desired_status != "run" || self.is_over()
    }
}

/// A change that a line of the event stream tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A registration was written.
    Registered(Service),
    /// A registration was removed.
    Deregistered(Service),
    /// A client was written.
    Client(Client),
    /// A client was removed.
    ClientGone(Client),
    /// An allocation was written.
    Alloc(Alloc),
}

/// A line of the event stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// `{}`: the stream is alive.
    Heartbeat,
    /// Changes, each with its index.
    Changes(Vec<(u64, Change)>),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawLine<'a> {
    #[serde(default)]
    index: u64,
    #[serde(default, borrow)]
    events: Option<Vec<RawEvent<'a>>>,
    /// What a server says when it ends a stream.
    #[serde(default)]
    error: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawEvent<'a> {
    #[serde(default)]
    topic: String,
    #[serde(default)]
    r#type: String,
    #[serde(default)]
    index: u64,
    #[serde(default, borrow)]
    payload: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ServicePayload {
    #[serde(rename = "Service")]
    service: Service,
}
#[derive(Deserialize)]
struct ClientPayload {
    #[serde(rename = "Node")]
    client: Client,
}
#[derive(Deserialize)]
struct AllocPayload {
    #[serde(rename = "Allocation")]
    alloc: Alloc,
}

/// Reads a list of rows. An answer of `null` is an empty list, as Go writes one.
///
/// # Errors
/// It is no such list; none of it counts.
pub fn list<T: DeserializeOwned>(body: &[u8]) -> Result<Vec<T>, Unreadable> {
    let rows: Option<Vec<T>> = serde_json::from_slice(body).map_err(|error| Unreadable(error.to_string()))?;
    Ok(rows.unwrap_or_default())
}

/// Rows as a table takes them.
pub fn rows<T>(list: Vec<T>, id: impl Fn(&T) -> &str, revision: impl Fn(&T) -> u64) -> Vec<(Id, u64, T)> {
    list.into_iter().map(|row| (id(&row).into(), revision(&row), row)).collect()
}

/// Reads a line of the event stream. Events of other topics are passed over, and so is one that cannot be read: the
/// others of its line still count, and the lists bring what it would have told.
///
/// # Errors
/// The line is not one of the stream, or the server says that it ends it.
pub fn line(line: &[u8]) -> Result<Line, Unreadable> {
    let raw: RawLine = serde_json::from_slice(line).map_err(|error| Unreadable(error.to_string()))?;
    if let Some(error) = raw.error {
        return Err(Unreadable(error));
    }
    let Some(events) = raw.events else { return Ok(Line::Heartbeat) };
    let index = raw.index;
    Ok(Line::Changes(
        events.iter().filter_map(|event| Some((event.index.max(index), change(event)?))).collect(),
    ))
}

fn change(event: &RawEvent) -> Option<Change> {
    let payload = event.payload?.get();
    let gone = event.r#type.ends_with("Deregistration");
    match event.topic.as_str() {
        "Service" => {
            let told: ServicePayload = serde_json::from_str(payload).ok()?;
            Some(if gone { Change::Deregistered(told.service) } else { Change::Registered(told.service) })
        }
        "Node" => {
            let told: ClientPayload = serde_json::from_str(payload).ok()?;
            Some(if gone { Change::ClientGone(told.client) } else { Change::Client(told.client) })
        }
        "Allocation" => {
            serde_json::from_str::<AllocPayload>(payload).ok().map(|told| Change::Alloc(told.alloc))
        }
        _ => None,
    }
}

fn null_is_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(from: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(from)?.unwrap_or_default())
}

fn is_there<'de, D: Deserializer<'de>>(from: D) -> Result<bool, D::Error> {
    Ok(Option::<serde::de::IgnoredAny>::deserialize(from)?.is_some())
}
