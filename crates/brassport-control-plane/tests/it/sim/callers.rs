//! The operator and the backends, as the protocol says: they follow 307 twice, move to another node after a failure, a
//! 5xx or a second of silence, and pause for a growing time.

use super::script::{Ask, Flaw, Millis};
use super::{machine, Sim, Step, CALLER, HEARTBEAT_INTERVAL};
use brassport_config_store::consensus::{ChangeScope, RequestDigest};
use brassport_control_plane::call::{Call, Reply};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The operator's list of nodes lags by so much (`seedDelayS`): then one that is down is off it.
const LIST_LAG: Millis = 3_000;
/// So long an operator goes on, and a backend that leaves.
const OPERATOR: Millis = 15_000;
const LEAVING: Millis = 5_000;

#[derive(Clone)]
pub struct Put {
    pub scope: ChangeScope,
    pub version: u32,
    pub base_version: u32,
    pub body: Arc<Vec<u8>>,
}

impl Put {
    pub fn digest(&self) -> RequestDigest {
        RequestDigest::of(self.scope, self.base_version, &self.body)
    }
}

#[derive(Clone)]
pub enum What {
    Put(Put),
    Read,
    Heartbeat(String),
    Empty(String),
    SignOff(String),
}

/// One thing that a caller wants, over all its tries.
pub struct Session {
    pub name: String,
    what: What,
    once: bool,
    via: Option<usize>,
    since: Millis,
    tries: u32,
    hops: u32,
    /// The try whose answer is awaited, and the node that it went to.
    open: Option<(u64, usize)>,
    /// The node that was asked last.
    last: Option<usize>,
    /// The answer; 0: none.
    pub code: Option<u16>,
    pub body: Arc<Vec<u8>>,
}

pub struct Server {
    service: String,
    node: usize,
    count: u64,
    state: &'static str,
    alive: bool,
}

#[derive(Default)]
pub struct Callers {
    pub sessions: Vec<Session>,
    tries: BTreeMap<u64, usize>,
    last_try: u64,
    servers: BTreeMap<String, Server>,
    /// The highest version that was ever asked for.
    highest: u32,
}

impl Callers {
    pub fn session(&self, name: &str) -> Option<&Session> {
        self.sessions.iter().find(|session| session.name == name)
    }

    /// The put behind a name.
    pub fn put(&self, name: &str) -> Option<Put> {
        match &self.session(name)?.what {
            What::Put(put) => Some(put.clone()),
            _ => None,
        }
    }
}

impl Sim {
    pub fn ask(&mut self, ask: &Ask, via: Option<usize>, once: bool, name: &str) -> Result<(), String> {
        let next = self.next_put(ask);
        let what = match next.as_ref().unwrap_or(ask) {
            Ask::Put { scope, version, base_version, flaw, routes } => {
                self.callers.highest = self.callers.highest.max(*version);
                let body = Arc::new(body(*scope, *version, *flaw, *routes, name));
                What::Put(Put { scope: *scope, version: *version, base_version: *base_version, body })
            }
            Ask::Repeat(of) => {
                What::Put(self.callers.put(of).ok_or_else(|| format!("{of} is no put that was sent"))?)
            }
            Ask::Read | Ask::Next | Ask::Append => What::Read,
            Ask::Empty(id) | Ask::SignOff(id) => {
                let server = self.callers.servers.get_mut(id);
                let server = server.ok_or_else(|| format!("there is no backend {id}"))?;
                if matches!(ask, Ask::Empty(_)) {
                    server.state = "emptying";
                    What::Empty(id.clone())
                } else {
                    server.alive = false;
                    What::SignOff(id.clone())
                }
            }
        };
        self.begin_session(what, via, once, name);
        Ok(())
    }

    /// The put that stands for the next version, where that is asked for.
    fn next_put(&mut self, ask: &Ask) -> Option<Ask> {
        let base_version = match ask {
            Ask::Next => {
                let node = self.any_node(None);
                Some(self.judge.version(node))
            }
            Ask::Append => {
                Some(self.judge.acknowledged.iter().map(|(version, ..)| *version).max().unwrap_or_default())
            }
            _ => None,
        };
        let (scope, version) = (ChangeScope::Full, self.callers.highest + 1);
        base_version.map(|base_version| Ask::Put { scope, version, base_version, flaw: None, routes: 2 })
    }

    pub fn begin_session(&mut self, what: What, via: Option<usize>, once: bool, name: &str) {
        let (since, body) = (self.now, Arc::default());
        let name = name.to_owned();
        let session = Session {
            name,
            what,
            once,
            via,
            since,
            tries: 0,
            hops: 0,
            open: None,
            last: None,
            code: None,
            body,
        };
        self.callers.sessions.push(session);
        self.retry(self.callers.sessions.len() - 1);
    }

    pub fn begin_backend(&mut self, id: &str, service: &str, via: Option<usize>) {
        let node = via.unwrap_or_else(|| self.any_node(None));
        let service = service.to_owned();
        let server = Server { service, node, count: 0, state: "ready", alive: true };
        self.callers.servers.insert(id.to_owned(), server);
        self.heartbeat(id);
    }

    pub fn dies(&mut self, id: &str) {
        if let Some(server) = self.callers.servers.get_mut(id) {
            server.alive = false;
        }
    }

    /// A heartbeat that was sent before the last one comes now.
    pub fn late_heartbeat(&mut self, id: &str, to: usize) -> Result<(), String> {
        let server = self.callers.servers.get(id).ok_or_else(|| format!("there is no backend {id}"))?;
        let call = heartbeat(id, server, server.count.saturating_sub(1), "ready");
        self.callers.last_try += 1;
        let number = self.callers.last_try;
        self.at(0, Step::Call(to, number, call));
        Ok(())
    }

    pub fn heartbeat(&mut self, id: &str) {
        let Some(server) = self.callers.servers.get(id) else { return };
        if server.alive {
            let (name, what) = (format!("beat of {id}"), What::Heartbeat(id.to_owned()));
            let node = server.node;
            self.begin_session(what, Some(node), false, &name);
            self.at(HEARTBEAT_INTERVAL, Step::Heartbeat(id.to_owned()));
        }
    }

    /// A node of the operator's list, which lags: it may be down. Not the one that was asked last: a caller moves on.
    fn any_node(&mut self, last: Option<usize>) -> usize {
        let (now, machines) = (self.now, &self.machines);
        let is_listed = |one: &usize| {
            let machine = &machines[*one];
            let is_gone = machine.control.is_none() && now >= machine.ended + LIST_LAG;
            machine.starts > 0 && !machine.retired && !is_gone
        };
        let mut started: Vec<usize> = (0..machines.len()).filter(is_listed).collect();
        if started.len() > 1 {
            started.retain(|one| Some(*one) != last);
        }
        let drawn = self.draw(started.len() as u64) as usize;
        started.get(drawn).copied().unwrap_or_default()
    }

    /// The next try of a session, at its node or at any.
    pub fn retry(&mut self, index: usize) {
        let last = self.callers.sessions[index].last;
        let any = self.any_node(last);
        let session = &mut self.callers.sessions[index];
        if session.code.is_some() {
            return;
        }
        let node = session.via.take().unwrap_or(any);
        session.tries += 1;
        session.hops = 0;
        self.attempt_at(index, node);
    }

    fn attempt_at(&mut self, index: usize, node: usize) {
        self.callers.last_try += 1;
        let number = self.callers.last_try;
        self.callers.tries.insert(number, index);
        let session = &mut self.callers.sessions[index];
        session.open = Some((number, node));
        session.last = Some(node);
        let mut timeout = 1_000;
        let call = match &session.what {
            What::Put(put) => {
                timeout += put.body.len() as u64 / 50;
                let path = match put.scope {
                    ChangeScope::Full => "/Config.Replace",
                    ChangeScope::Partial => "/Config.Change",
                };
                let base_version = format!("{:08x}", put.base_version);
                Call::decode("POST", path, Some(&base_version), put.body.to_vec())
            }
            What::Read => Call::decode("GET", "/Config.Read", None, Vec::new()),
            What::SignOff(id) => Call::decode("POST", &format!("/Servers.SignOff/{id}"), None, Vec::new()),
            What::Heartbeat(id) | What::Empty(id) => {
                let Some(server) = self.callers.servers.get_mut(id) else { return };
                server.count += 1;
                server.node = node;
                Ok(heartbeat(id, server, server.count, server.state))
            }
        };
        match call {
            Ok(call) => {
                self.at(CALLER, Step::Call(node, number, call));
                self.at(timeout, Step::Timeout(number));
            }
            Err(fault) => self.failed.push(format!("a call could not be decoded: {fault}")),
        }
    }

    /// An answer came, or none did.
    pub fn on_answer(&mut self, number: u64, reply: Option<Reply>) {
        let Some(index) = self.callers.tries.get(&number).copied() else { return };
        // An answer that is lost on its way: the caller goes on once its timeout is over.
        let is_order = matches!(self.callers.sessions[index].what, What::Put(_));
        if reply.is_some() && is_order && self.draw(100) < self.answers_lost {
            return;
        }
        self.callers.tries.remove(&number);
        let now = self.now;
        let session = &mut self.callers.sessions[index];
        let Some((_, _)) = session.open.take_if(|(open, _)| *open == number) else { return };
        let code = match reply {
            Some(Reply::Done(body)) => {
                session.body = body;
                200
            }
            Some(Reply::Invalid(_)) => 400,
            Some(Reply::VersionConflict) => 412,
            Some(Reply::Redirect(ip)) if session.hops < 2 && !session.once => {
                session.hops += 1;
                return self.attempt_at(index, machine(ip));
            }
            Some(Reply::Unavailable(_)) => 503,
            Some(Reply::Redirect(_)) => 307,
            None => 0,
        };
        let timeout = match &session.what {
            What::Heartbeat(_) => HEARTBEAT_INTERVAL,
            What::Empty(_) | What::SignOff(_) => LEAVING,
            What::Put(_) | What::Read => OPERATOR,
        };
        if matches!(code, 200 | 400 | 412) || session.once || now >= session.since + timeout {
            session.code = Some(code);
            return self.concluded(index, code);
        }
        let pause = (50 << session.tries.min(4)).min(800);
        let pause = if matches!(session.what, What::Heartbeat(_)) { 0 } else { pause };
        self.at(pause, Step::Again(index));
    }

    fn concluded(&mut self, index: usize, code: u16) {
        let now = self.now;
        let session = &self.callers.sessions[index];
        let name = session.name.clone();
        match (session.what.clone(), code) {
            (What::Put(put), 200) => {
                self.judge.acknowledge(&name, (put.version, put.digest(), put.base_version), now);
            }
            (What::Put(put), 400 | 412) => self.judge.refuse(&name, put.digest(), now),
            (What::Empty(id) | What::SignOff(id), 200) => self.judge.end_known(&id, now),
            _ => {}
        }
        self.triggers();
    }
}

fn heartbeat(id: &str, server: &Server, count: u64, state: &str) -> Call {
    let body = json!({
        "address": "10.128.0.9:8080",
        "details": {"service": server.service, "version": "v1", "zone": "a", "capacity": 4},
        "status": {"state": state, "callCount": count, "warmupLeftS": 0}
    });
    let path = format!("/Servers.CheckIn/{id}");
    Call::decode("POST", &path, None, body.to_string().into_bytes()).expect("a heartbeat can be decoded")
}

/// A configuration; each name gives another.
fn body(scope: ChangeScope, version: u32, flaw: Option<Flaw>, routes: usize, name: &str) -> Vec<u8> {
    let route = |number: usize| {
        let unknown = flaw == Some(Flaw::UnknownService) && number == 0;
        let index = if flaw == Some(Flaw::PrefixTwice) { 0 } else { number };
        json!({
            "name": format!("r-{number}"), "pathStart": format!("/p{index}/"), "kind": "safe", "giveUpS": 2,
            "goalS": 0.3, "rank": 1, "service": if unknown { "nobody" } else { "svc" }, "tries": 2,
            "public": false
        })
    };
    let hosts: Value = json!([{"host": "h.example", "paths": (0..routes).map(route).collect::<Vec<_>>()}]);
    let key =
        |number: usize| if flaw == Some(Flaw::KeyTwice) { "k1".to_owned() } else { format!("k{number}") };
    let customers = json!([
        {"name": "one", "keys": [key(1)], "rank": 0, "ratePerS": 100, "burst": 10},
        {"name": "two", "keys": [key(2)], "rank": 1, "ratePerS": 50, "burst": 5}
    ]);
    let services = json!([{"name": "svc", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false}]);
    let version = format!("{version:08x}");
    let whole = match scope {
        ChangeScope::Full => json!({
            "version": version, "note": name, "services": services, "limits": {}, "customers": customers,
            "hosts": hosts
        }),
        ChangeScope::Partial => {
            let path = json!({
                "name": format!("r-{name}"), "pathStart": format!("/{name}/"), "kind": "safe", "giveUpS": 2,
                "goalS": 0.3, "rank": 1, "service": "svc", "tries": 2, "public": false
            });
            json!({"version": version, "put": {"hosts": [{"host": "h.example", "paths": [path]}]}, "remove": {}})
        }
    };
    let mut bytes = whole.to_string().into_bytes();
    if flaw == Some(Flaw::CutOff) {
        bytes.truncate(bytes.len() / 2);
    }
    bytes
}
