//! Reads what passed on the simulated wire as plain events, for `brassport-checkers` to judge. Nothing here asks the front
//! door.

use crate::api::is_api;
use crate::dns::is_dns;
use crate::http::{Message, Parser};
use crate::kernel::{End, Host, Kernel, Nanos, Passed};
use crate::places::node_of_answer;
use brassport_checkers::event::{Answer, Seen};
use brassport_checkers::lists::{List, Listed};
use brassport_checkers::{Figures, Judge, Rule};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

enum Role {
    Client {
        asked: Parser,
        answers: Parser,
        open: VecDeque<Option<String>>,
        gone: bool,
    },
    Node {
        address: SocketAddr,
        out: Parser,
        back: Parser,
        current: Option<(String, usize)>,
        begun: Option<Nanos>,
    },
    Discovery {
        back: Parser,
        broken: bool,
    },
    /// Bytes of Nomad's API that may begin a word of what must get nothing new.
    Api(Vec<u8>),
}

#[derive(Deserialize)]
struct ListText {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: String,
    state: String,
    boot_ms: f64,
}

/// What Nomad told a door: nodes whose registration it knows, and nodes of which it was told that they are off.
#[derive(Default)]
struct Api {
    registered: BTreeSet<String>,
    off: BTreeSet<String>,
}

/// Watches a run.
pub struct Oracle {
    /// Judges what was seen.
    pub judge: Judge,
    ends: BTreeMap<End, Role>,
    apis: BTreeMap<Host, Api>,
}

impl Oracle {
    /// An oracle that knows the site's figures.
    pub fn new(figures: Figures) -> Oracle {
        Oracle { judge: Judge::new(figures), ends: BTreeMap::new(), apis: BTreeMap::new() }
    }

    /// A door starts, knowing this list.
    pub fn door_started(&mut self, door: Host, now: Nanos, known: &str) {
        self.apis.remove(&door);
        self.judge.door_started(door.door(), now, list(known.as_bytes()).as_ref());
    }

    /// The connections of a request's attempts, for the trace.
    pub fn attempts(&self, id: &str) -> Vec<(Host, End, Nanos)> {
        let attempts = self.judge.attempts(id).into_iter();
        attempts.map(|(door, connection, begun)| (Host(door.0), End::of(connection), begun)).collect()
    }

    /// Takes in what passed since the last event.
    pub fn watch(&mut self, kernel: &Kernel, passed: Vec<(Nanos, Passed)>) {
        for (now, passed) in passed {
            match passed {
                Passed::Taken(end) => {
                    self.role(kernel, end);
                }
                Passed::Came(end, bytes) => self.came(kernel, end, &bytes, now),
                Passed::Wrote(end, bytes) => self.wrote(kernel, end, &bytes, now),
                Passed::Ended(end) | Passed::Broke(end) => self.gone(kernel, end, now, false),
                Passed::Closed(end) => {
                    self.gone(kernel, end, now, true);
                    self.ends.remove(&end);
                }
                Passed::Finished(_) => {}
            }
        }
        self.judge.pass_time(kernel.now(), |connection| kernel.is_silent(End::of(connection).conn));
    }

    fn role(&mut self, kernel: &Kernel, end: End) -> &mut Role {
        let (_, to) = kernel.peers(end.conn);
        self.ends.entry(end).or_insert_with(|| {
            if end.side == 1 {
                Role::Client {
                    asked: Parser::default(),
                    answers: Parser::default(),
                    open: VecDeque::new(),
                    gone: false,
                }
            } else if node_of_answer(to).is_some() {
                Role::Node {
                    address: to,
                    out: Parser::default(),
                    back: Parser::default(),
                    current: None,
                    begun: None,
                }
            } else if is_api(to) || is_dns(to) {
                Role::Api(Vec::new())
            } else {
                Role::Discovery { back: Parser::default(), broken: false }
            }
        })
    }

    fn came(&mut self, kernel: &Kernel, end: End, bytes: &[u8], now: Nanos) {
        let door = kernel.peers(end.conn).0[end.side];
        match self.role(kernel, end) {
            Role::Client { asked, open, .. } => {
                asked.push(bytes);
                let mut taken = Vec::new();
                while let Some(message) = asked.next_message() {
                    let Ok(message) = message else {
                        open.push_back(None);
                        *asked = Parser::default();
                        break;
                    };
                    let id = message.header("x-request-id").to_string();
                    open.push_back((!id.is_empty()).then(|| id.clone()));
                    taken.push(id);
                }
                for id in taken {
                    let (door, connection) = (door.door(), end.connection());
                    self.judge.see(now, &id, Seen::Taken { door, connection });
                }
            }
            Role::Node { back, current, .. } => {
                back.push(bytes);
                let mut over = None;
                while let Some(message) = back.next_message() {
                    let Ok(message) = message else {
                        // The attempt is over once its connection is.
                        *back = Parser::default();
                        break;
                    };
                    if (100..200).contains(&message.status()) {
                        continue;
                    }
                    // A second copy behind the first says nothing.
                    if let Some(current) = current.take() {
                        over = Some((current, message));
                    }
                }
                if let Some(((id, attempt), message)) = over {
                    let status = message.status();
                    let never_ran = matches!(status, 503 | 504) && message.header("x-not-run") == "1";
                    self.judge.see(now, &id, Seen::Ended { attempt, status, never_ran });
                }
            }
            Role::Api(begun) => {
                begun.extend_from_slice(bytes);
                // A mark counts once its line, or its list, is whole.
                let whole = begun.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
                let rest = begun.split_off(whole);
                let told = told_by_api(begun);
                *begun = rest;
                let api = self.apis.entry(door).or_default();
                for (mark, uid) in told {
                    // A drain of a client tells of a node once the door knows its registration.
                    let is_told = match mark {
                        b'#' => {
                            api.registered.insert(uid.clone());
                            api.off.contains(&uid)
                        }
                        b'@' => {
                            api.off.insert(uid.clone());
                            api.registered.contains(&uid)
                        }
                        _ => true,
                    };
                    if is_told {
                        self.judge.told_off(door.door(), &uid, now);
                    }
                }
            }
            Role::Discovery { back, broken } => {
                if *broken {
                    return;
                }
                back.push(bytes);
                let mut lists = Vec::new();
                while let Some(message) = back.next_message() {
                    match message {
                        Ok(message) => lists.push(message.body),
                        Err(_) => {
                            *broken = true;
                            break;
                        }
                    }
                }
                for list in lists.iter().filter_map(|text| list(text)) {
                    self.judge.lists.told(door.door(), now, &list);
                }
            }
        }
    }

    fn wrote(&mut self, kernel: &Kernel, end: End, bytes: &[u8], now: Nanos) {
        let door = kernel.peers(end.conn).0[end.side];
        match self.role(kernel, end) {
            Role::Client { answers, open, asked, .. } => {
                answers.push(bytes);
                let mut given = Vec::new();
                while let Some(Ok(message)) = answers.next_message() {
                    if (100..200).contains(&message.status()) {
                        continue;
                    }
                    given.push((open.pop_front(), message, asked.begun()));
                }
                let begins = if answers.begun() { open.front().cloned().flatten() } else { None };
                for (id, message, begun) in given {
                    self.answered(door, id, &message, begun, now);
                }
                if let Some(id) = begins {
                    self.judge.see(now, &id, Seen::AnswerBegins);
                }
            }
            Role::Node { address, out, current, begun, .. } => {
                let address = *address;
                out.push(bytes);
                let begun = *begun.get_or_insert(now);
                let known = match current {
                    Some(_) => None,
                    None => out.head().map(|head| head.header("x-request-id").to_string()),
                };
                if let Some(id) = known {
                    let (number, connection) = (self.judge.attempts_of(&id), end.connection());
                    let seen = Seen::Begins { door: door.door(), connection, to: address, begun };
                    self.judge.see(now, &id, seen);
                    if let Role::Node { current, .. } = self.role(kernel, end) {
                        *current = Some((id, number));
                    }
                }
                if let Role::Node { out, current, begun, .. } = self.role(kernel, end) {
                    if out.next_message().is_some() {
                        *begun = None;
                        let whole = current.clone();
                        if let Some((id, attempt)) = whole {
                            self.judge.see(now, &id, Seen::Written { attempt });
                        }
                    }
                }
            }
            Role::Discovery { .. } | Role::Api(_) => {}
        }
    }

    fn answered(
        &mut self,
        door: Host,
        id: Option<Option<String>>,
        message: &Message,
        begun: bool,
        now: Nanos,
    ) {
        let status = message.status();
        let id = match id {
            Some(Some(id)) => id,
            // To what cannot be read, or is still coming.
            Some(None) => return,
            None if begun || status == 408 || status == 400 => return,
            None => {
                self.judge.break_rule(Rule::Answer, now, None, format!("an answer {status} to no request"));
                return;
            }
        };
        let advised = !message.header("retry-after").is_empty();
        let fits = message.body == format!("made for {id}").as_bytes();
        let answer = Answer { status, advised, fits };
        self.judge.see(now, &id, Seen::Answered { door: door.door(), answer });
    }

    /// An end of a door's is over: closed by the door, or the other side has ended or broken it.
    fn gone(&mut self, kernel: &Kernel, end: End, now: Nanos, by_door: bool) {
        match self.role(kernel, end) {
            Role::Client { open, gone, .. } => {
                let left: Vec<String> = open.iter().flatten().cloned().collect();
                let client_first = std::mem::replace(gone, true);
                for id in left {
                    let client_is_gone = !by_door || client_first || kernel.is_silent(end.conn);
                    self.judge.see(now, &id, if client_is_gone { Seen::ClientGone } else { Seen::Closed });
                }
            }
            Role::Node { current, .. } => {
                if let Some((id, attempt)) = current.clone() {
                    self.judge.see(now, &id, Seen::Over { attempt });
                }
            }
            Role::Discovery { .. } | Role::Api(_) => {}
        }
    }
}

/// A list as discovery words it.
fn list(text: &[u8]) -> Option<List> {
    let list: ListText = serde_json::from_slice(text).ok()?;
    let node = |target: Target| {
        let address = target.endpoint.parse().ok()?;
        let (ready, has_start) = (target.state == "ready", target.boot_ms > 0.0);
        Some(Listed { uid: target.uid, address, ready, has_start })
    };
    let nodes = list.targets.into_iter().filter_map(node).collect();
    Some(List { revision: list.rev, all: list.all, nodes })
}

/// Names that stand between two marks in what an API server sent, as its stand-in writes what it tells, each with its
/// mark.
fn told_by_api(bytes: &[u8]) -> Vec<(u8, String)> {
    let mut told = Vec::new();
    let mut rest = bytes;
    while let Some(from) = rest.iter().position(|byte| b"@#~".contains(byte)) {
        let mark = rest[from];
        let Some(long) = rest[from + 1..].iter().position(|byte| *byte == mark) else { return told };
        told.push((mark, String::from_utf8_lossy(&rest[from + 1..from + 1 + long]).into_owned()));
        rest = &rest[from + long + 2..];
    }
    told
}
