//! What is said on the control socket: one JSON object a line, each request with one answer of the same `id`.
//!
//! `{"v":1,"id":7,"ask":"nodes"}` is answered by `{"id":7,"ok":{...}}` or
//! `{"id":7,"error":{"code":"conflict","message":"..."}}`. Behind `subscribe` come lines `{"event":{...}}`.

use brassport_membership::book::{Book, Explanation, Moment, SourceNow};
use brassport_state::model::{Change, Lifecycle, Node};
use brassport_state::store::{Entry, Sent};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of this protocol. A program of another one is refused with a clear answer.
pub const VERSION: u32 = 1;
/// Most bytes of a line, either way.
pub const LINE_LIMIT: usize = 4 << 20;

#[derive(Debug, Serialize, Deserialize)]
pub struct Question {
    pub v: u32,
    pub id: u64,
    #[serde(flatten)]
    pub ask: Ask,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Ask {
    /// Everything that a console shows.
    Status,
    /// The book of nodes: every source, and why each node is listed as it is.
    Book,
    Nodes,
    Plans,
    /// A change of the state. `who` is filled in by the program from the caller's user.
    Change {
        change: Change,
    },
    /// Changes before a revision, the latest first.
    History {
        before: u64,
        limit: usize,
    },
    /// Unsafe requests of earlier lives that may have run.
    Unfinished,
    ClearUnfinished {
        upto: u64,
    },
    /// A copy of the state, beside it in the directory given.
    Backup {
        directory: String,
        name: String,
    },
    /// End in order; `now` cuts short an end that is under way.
    Stop {
        now: bool,
    },
    /// Events from now on, on this connection.
    Subscribe,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ok: Option<serde_json::Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Problem>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<Event>,
}

/// Why a question has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A word for programs.
    pub code: String,
    /// What, where, and the way out.
    pub message: String,
}

impl Problem {
    pub fn new(code: &str, message: impl ToString) -> Problem {
        Problem { code: code.to_string(), message: message.to_string() }
    }
}

/// Something that an operator may want to know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Counts from the start of the program.
    pub number: u64,
    /// The wall clock, Unix time in milliseconds.
    pub at_ms: u64,
    pub text: String,
}

/// The list of nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    pub revision: u64,
    pub nodes: BTreeMap<String, Node>,
}

/// Which plans there are, and which studios have one of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plans {
    /// Empty if the program is not running: they stand in its file.
    pub plans: Vec<PlanRow>,
    /// By the studio's number in hexadecimal, as its cookie says it.
    pub studios: BTreeMap<String, String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanRow {
    pub name: String,
    pub units_per_s: f64,
    pub burst: f64,
    pub open: u32,
    pub default: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct History {
    pub entries: Vec<Entry>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Unfinished {
    pub number: u64,
    #[serde(flatten)]
    pub sent: Sent,
}

/// How requests ended, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Their clients left first.
    pub left: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NodeRow {
    pub name: String,
    pub endpoint: String,
    pub lifecycle: Lifecycle,
    /// The one that last changed it; 0 if it is no longer in the list.
    pub revision: u64,
    /// Of its size, from 0 to 1.
    pub warmth: f64,
    pub in_flight: u32,
    pub served: u64,
    /// Errors, resets, time-outs.
    pub troubled: u64,
    pub turned_away: u64,
    /// The mean time of its answers, milliseconds.
    pub answer_ms: Option<f64>,
    /// How its latest attempt ended, and how long ago.
    pub last: Option<(String, u64)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StudioRow {
    pub studio: String,
    pub plan: String,
    /// Its use in the last whole second, as a share of its quota.
    pub used: Option<f64>,
    #[serde(flatten)]
    pub counts: Counts,
    /// Why it was refused last, and how long ago in milliseconds.
    pub last_refusal: Option<(String, u64)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestRow {
    pub name: String,
    pub class: String,
    pub studio: String,
    pub node: Option<String>,
    pub attempts: u32,
    pub age_ms: u64,
}

/// Everything that a console shows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub version: String,
    pub pid: u32,
    pub listen: String,
    pub uptime_ms: u64,
    /// Whether it is ending.
    pub ending: bool,
    pub in_flight: usize,
    /// Most that the decision module would have in flight now: it grows with timely answers.
    pub limit: f64,
    /// The part of what the quotas admit that the nodes have room for, from 0 to 1.
    pub room: f64,
    pub client_connections: usize,
    pub revision: u64,
    /// Why changes are not taken, if they are not.
    pub read_only: Option<String>,
    /// Requests of earlier lives that may have run.
    pub unfinished: u64,
    /// Unsafe requests that were sent without a durable record, as the disk was slow or broken.
    pub unrecorded: u64,
    /// Rows of the last-known list that are durable.
    #[serde(default)]
    pub last_known: usize,
    /// The sources of nodes; none where the stored list is the only one.
    #[serde(default)]
    pub sources: Vec<SourceNow>,
    /// Nodes on which the sources disagree: how many, and the names of some.
    #[serde(default)]
    pub disputed: (usize, Vec<String>),
    pub classes: BTreeMap<String, Counts>,
    pub nodes: Vec<NodeRow>,
    pub studios: Vec<StudioRow>,
    pub requests: Vec<RequestRow>,
    pub events: Vec<Event>,
}

/// The book of nodes as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BookNow {
    pub sources: Vec<SourceNow>,
    pub nodes: Vec<Explanation>,
}

impl BookNow {
    pub fn of(book: &Book, now: Moment) -> BookNow {
        let nodes = book.nodes().filter_map(|entry| book.explain(&entry.id, now));
        BookNow { sources: book.sources(now), nodes: nodes.collect() }
    }
}
