//! Reads Nomad's answers. Fields that are not used are ignored; one that is missing is read as what an old server means
//! by leaving it out.
//!
//! Sources: the API pages *Services* (`/v1/service/:name`), *Nodes* (`/v1/nodes`), *Allocations* (`/v1/allocations`)
//! and *Events* (`/v1/event/stream`) of Nomad's documentation.

use crate::table::{ListRow, Value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Why an answer could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// It is not the JSON that was expected.
    Malformed(serde_json::Error),
    /// The server ends the stream, with this reason.
    StreamEnded(String),
}

impl fmt::Display for ReadError {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Malformed(error) => error.fmt(to),
            ReadError::StreamEnded(reason) => reason.fmt(to),
        }
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ReadError::Malformed(error) => Some(error),
            ReadError::StreamEnded(_) => None,
        }
    }
}

impl From<serde_json::Error> for ReadError {
    fn from(error: serde_json::Error) -> ReadError {
        ReadError::Malformed(error)
    }
}

/// A registration of a service: one address of one allocation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// `_nomad-task-<allocation>-...`: another one for each allocation.
    #[serde(rename = "ID")]
    pub id: String,
    /// The service's name; an event may be of other services.
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
    /// Whether it is draining, as lists have it.
    #[serde(default)]
    pub drain: bool,
    /// Whether it has a drain strategy, as events have it; `null` if it is not draining.
    #[serde(default, deserialize_with = "is_present")]
    pub drain_strategy: bool,
    /// When it was last written.
    #[serde(default)]
    pub modify_index: u64,
}

/// An allocation: one incarnation of a node.
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
    /// When it was last started; a task that was started again in place is warming up.
    #[serde(default, deserialize_with = "null_is_default")]
    pub started_at: String,
}

impl Alloc {
    /// Whether it is terminated, for good.
    pub fn is_terminated(&self) -> bool {
        matches!(self.client_status.as_str(), "complete" | "failed" | "lost")
    }

    /// Unix time in milliseconds at which its last task was started, or it was created; 0: not reported.
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

impl Value for Service {
    fn is_restrictive(&self) -> bool {
        false
    }
}

impl Value for Client {
    fn is_restrictive(&self) -> bool {
        self.drain || self.drain_strategy || self.status == "down"
    }
}

impl Value for Alloc {
    fn is_restrictive(&self) -> bool {
        self.desired_status != "run" || self.is_terminated()
    }
}

/// A change in a line of the event stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A registration was written.
    Registered(Service),
    /// A registration was removed.
    Deregistered(Service),
    /// A client was written.
    Client(Client),
    /// A client was removed.
    ClientRemoved(Client),
    /// An allocation was written.
    Alloc(Alloc),
}

/// A change, with Nomad's index of it.
#[derive(Debug, Clone, PartialEq)]
pub struct IndexedChange {
    /// The index.
    pub index: u64,
    /// The change.
    pub change: Change,
}

/// A line of the event stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Line {
    /// `{}`: the stream is alive.
    Heartbeat,
    /// Changes, in the stream's order.
    Changes(Vec<IndexedChange>),
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
/// It is no such list; none of it applies.
pub fn parse_list<T: DeserializeOwned>(body: &[u8]) -> Result<Vec<T>, ReadError> {
    let rows: Option<Vec<T>> = serde_json::from_slice(body)?;
    Ok(rows.unwrap_or_default())
}

/// A value that Nomad's lists have in rows.
pub trait Listed: DeserializeOwned {
    /// Its id.
    fn id(&self) -> &str;
    /// When it was last written.
    fn modify_index(&self) -> u64;
}

impl Listed for Service {
    fn id(&self) -> &str {
        &self.id
    }
    fn modify_index(&self) -> u64 {
        self.modify_index
    }
}

impl Listed for Client {
    fn id(&self) -> &str {
        &self.id
    }
    fn modify_index(&self) -> u64 {
        self.modify_index
    }
}

impl Listed for Alloc {
    fn id(&self) -> &str {
        &self.id
    }
    fn modify_index(&self) -> u64 {
        self.modify_index
    }
}

/// Reads a list as the rows of a [`Table`](crate::table::Table).
///
/// # Errors
/// It is no such list; none of it applies.
pub fn parse_rows<T: Listed>(body: &[u8]) -> Result<Vec<ListRow<T>>, ReadError> {
    let row = |value: T| ListRow { id: value.id().into(), revision: value.modify_index(), value };
    Ok(parse_list(body)?.into_iter().map(row).collect())
}

/// Reads a line of the event stream. Events of other topics are ignored, and so is one that cannot be read: the
/// others of its line still apply, and the lists bring what it would have changed.
///
/// # Errors
/// The line is not one of the stream, or the server says that it ends it.
pub fn parse_line(line: &[u8]) -> Result<Line, ReadError> {
    let raw: RawLine = serde_json::from_slice(line)?;
    if let Some(reason) = raw.error {
        return Err(ReadError::StreamEnded(reason));
    }
    let Some(events) = raw.events else { return Ok(Line::Heartbeat) };
    let indexed =
        |event: &RawEvent| Some(IndexedChange { index: event.index.max(raw.index), change: change(event)? });
    Ok(Line::Changes(events.iter().filter_map(indexed).collect()))
}

fn change(event: &RawEvent) -> Option<Change> {
    let payload = event.payload?.get();
    let is_removed = event.r#type.ends_with("Deregistration");
    match event.topic.as_str() {
        "Service" => {
            let payload: ServicePayload = serde_json::from_str(payload).ok()?;
            Some(if is_removed {
                Change::Deregistered(payload.service)
            } else {
                Change::Registered(payload.service)
            })
        }
        "Node" => {
            let payload: ClientPayload = serde_json::from_str(payload).ok()?;
            Some(if is_removed {
                Change::ClientRemoved(payload.client)
            } else {
                Change::Client(payload.client)
            })
        }
        "Allocation" => {
            serde_json::from_str::<AllocPayload>(payload).ok().map(|payload| Change::Alloc(payload.alloc))
        }
        _ => None,
    }
}

fn null_is_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(from: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(from)?.unwrap_or_default())
}

fn is_present<'de, D: Deserializer<'de>>(from: D) -> Result<bool, D::Error> {
    Ok(Option::<serde::de::IgnoredAny>::deserialize(from)?.is_some())
}
