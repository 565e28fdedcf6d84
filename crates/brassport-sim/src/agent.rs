//! A scripted discovery agent: it tells one front door the list of nodes, and each change when it hears of it.

use crate::http::Parser;
use crate::kernel::{End, Host, Kernel, Nanos, Script, MS};
use crate::script::Kind;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A line of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The node's name.
    pub uid: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Unix time of its start, in milliseconds; 0 for long ago.
    pub boot_ms: f64,
}

/// Every revision of the list.
#[derive(Debug, Default)]
pub struct Registry {
    revisions: Vec<Vec<Entry>>,
}

impl Registry {
    /// A registry whose first revision is this list.
    pub fn new(first: Vec<Entry>) -> Registry {
        Registry { revisions: vec![first] }
    }

    /// The newest revision.
    pub fn revision(&self) -> u64 {
        self.revisions.len() as u64
    }

    /// Notes a change, as a new revision.
    pub fn change(&mut self, entry: Entry) {
        let mut list = self.revisions[self.revisions.len() - 1].clone();
        list.retain(|known| known.uid != entry.uid);
        list.push(entry);
        self.revisions.push(list);
    }

    /// The newest list.
    pub fn now(&self) -> &[Entry] {
        self.list(self.revision())
    }

    fn list(&self, revision: u64) -> &[Entry] {
        &self.revisions[(revision.max(1) - 1) as usize]
    }

    /// The whole list at a revision.
    pub fn whole(&self, revision: u64) -> Value {
        let alive: Vec<&Entry> = self.list(revision).iter().filter(|entry| entry.state != "gone").collect();
        render(revision, true, &alive)
    }

    fn changes(&self, after: u64, to: u64) -> Value {
        let old = self.list(after);
        let changed: Vec<&Entry> = self.list(to).iter().filter(|entry| !old.contains(entry)).collect();
        render(to, false, &changed)
    }
}

fn render(revision: u64, all: bool, entries: &[&Entry]) -> Value {
    let targets: Vec<Value> = entries
        .iter()
        .map(|entry| {
            json!({"uid": entry.uid, "endpoint": entry.address.to_string(), "az": "a", "model": "m",
                   "pod_group": 0, "state": entry.state, "capacity_hint": 1.0, "boot_ms": entry.boot_ms})
        })
        .collect();
    json!({"rev": revision, "all": all, "targets": targets})
}

struct Watch {
    end: End,
    after: u64,
    call: u64,
}

/// An agent.
pub struct Agent {
    /// Its machine.
    pub host: Host,
    /// The addresses it may listen at; a reload moves the door to the next.
    pub addresses: [SocketAddr; 2],
    /// The revision that it has been sent.
    pub revision: u64,
    /// It tells a list so many revisions old.
    pub stale: u64,
    /// It says nothing.
    pub silent: bool,
    /// It answers so late.
    pub late: Nanos,
    /// Its next watch is answered with an older change behind the newer one.
    pub reorder: bool,
    conns: BTreeMap<End, Parser>,
    watches: Vec<Watch>,
    delayed: BTreeMap<u64, (End, String)>,
    calls: u64,
}

impl Agent {
    /// An agent that listens at both of its addresses.
    pub fn start(kernel: &Kernel, host: Host, addresses: [SocketAddr; 2]) -> Agent {
        kernel.add_machine(host, false);
        addresses.iter().for_each(|at| kernel.listen_scripted(host, *at));
        Agent {
            host,
            addresses,
            revision: 1,
            stale: 0,
            silent: false,
            late: 0,
            reorder: false,
            conns: BTreeMap::new(),
            watches: Vec::new(),
            delayed: BTreeMap::new(),
            calls: 0,
        }
    }

    fn shown(&self) -> u64 {
        self.revision.saturating_sub(self.stale).max(1)
    }

    /// A connection was accepted.
    pub fn accepted(&mut self, end: End) {
        self.conns.insert(end, Parser::default());
    }

    /// A connection has ended.
    pub fn gone(&mut self, kernel: &Kernel, end: End) {
        self.conns.remove(&end);
        self.watches.retain(|watch| watch.end != end);
        kernel.close(end, false);
    }

    /// Closes all connections, as a restart does.
    pub fn reset(&mut self, kernel: &Kernel) {
        for end in std::mem::take(&mut self.conns).into_keys() {
            kernel.close(end, true);
        }
        self.watches.clear();
    }

    /// Bytes have come.
    pub fn data(&mut self, kernel: &Kernel, registry: &Registry, end: End) {
        let bytes = kernel.read_all(end);
        let Some(parser) = self.conns.get_mut(&end) else { return };
        parser.push(&bytes);
        while let Some(Ok(message)) = self.conns.get_mut(&end).and_then(Parser::next_message) {
            let after = message.line.split("after=").nth(1).and_then(|rest| rest.split(['&', ' ']).next());
            let wait = message.line.split("wait_ms=").nth(1).and_then(|rest| rest.split(['&', ' ']).next());
            let after = after.and_then(|text| text.parse().ok());
            let wait: Nanos = wait.and_then(|text| text.parse().ok()).unwrap_or(0);
            match after {
                None => self.answer(kernel, end, registry.whole(self.shown())),
                Some(after) if after > self.shown() => self.answer(kernel, end, registry.whole(self.shown())),
                Some(after) => {
                    self.calls += 1;
                    self.watches.push(Watch { end, after, call: self.calls });
                    let over = Script {
                        kind: Kind::WatchOver as u32,
                        whose: u64::from(self.host.0),
                        which: self.calls,
                    };
                    kernel.plan(kernel.now() + wait * MS, over);
                }
            }
        }
        self.tell(kernel, registry);
    }

    /// Answers the watches for which there is news.
    pub fn tell(&mut self, kernel: &Kernel, registry: &Registry) {
        let shown = self.shown();
        let (ready, waiting): (Vec<Watch>, Vec<Watch>) =
            std::mem::take(&mut self.watches).into_iter().partition(|watch| watch.after < shown);
        self.watches = waiting;
        for watch in ready {
            self.answer(kernel, watch.end, registry.changes(watch.after, shown));
        }
        if self.reorder && shown > 1 {
            if let Some(place) = self.watches.iter().position(|watch| watch.after == shown) {
                let watch = self.watches.remove(place);
                self.reorder = false;
                let old = registry.changes(shown.saturating_sub(2).max(1), shown - 1);
                self.answer(kernel, watch.end, old);
            }
        }
    }

    /// A watch has waited as long as it asked to.
    pub fn watch_over(&mut self, kernel: &Kernel, registry: &Registry, call: u64) {
        if let Some(place) = self.watches.iter().position(|watch| watch.call == call) {
            let watch = self.watches.remove(place);
            self.answer(kernel, watch.end, registry.changes(watch.after, watch.after));
        }
    }

    fn answer(&mut self, kernel: &Kernel, end: End, list: Value) {
        if self.silent {
            return;
        }
        let body = list.to_string();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if self.late == 0 {
            kernel.write_all(end, text.as_bytes());
            return;
        }
        self.calls += 1;
        self.delayed.insert(self.calls, (end, text));
        let late = Script { kind: Kind::LateAnswer as u32, whose: u64::from(self.host.0), which: self.calls };
        kernel.plan(kernel.now() + self.late, late);
    }

    /// A late answer is due.
    pub fn late_answer(&mut self, kernel: &Kernel, call: u64) {
        if let Some((end, text)) = self.delayed.remove(&call) {
            if self.conns.contains_key(&end) {
                kernel.write_all(end, text.as_bytes());
            }
        }
    }
}
