//! The operators and backends that call the nodes, as the protocol specifies: they follow up to two 307 redirects, move
//! to another node after a failure, a 5xx or a timeout of one second, and back off exponentially between attempts.

use super::script::{CallSpec, Flaw, Millis};
use super::{machine, Sim, SimEvent, CALLER_LATENCY_MS, HEARTBEAT_INTERVAL_MS};
use brassport_config_store::consensus::{ChangeScope, RequestDigest};
use brassport_control_plane::call::{Call, Reply};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Delay until a node that is down is removed from the callers' list of nodes (`seedDelayS`).
const NODE_LIST_DELAY_MS: Millis = 3_000;
/// How long an operator retries a call.
const OPERATOR_DEADLINE_MS: Millis = 15_000;
/// How long a backend retries to drain or to deregister.
const DEPARTURE_DEADLINE_MS: Millis = 5_000;

/// A request to replace or change the configuration.
#[derive(Clone)]
pub struct ConfigChange {
    pub scope: ChangeScope,
    pub version: u32,
    pub base_version: u32,
    pub body: Arc<Vec<u8>>,
}

impl ConfigChange {
    pub fn digest(&self) -> RequestDigest {
        RequestDigest::of(self.scope, self.base_version, &self.body)
    }
}

/// What a caller calls. The strings are IDs of backends.
#[derive(Clone)]
pub enum Operation {
    Configure(ConfigChange),
    Read,
    Heartbeat(String),
    Drain(String),
    Deregister(String),
}

/// One operation of a caller, with all its attempts.
pub struct Session {
    pub name: String,
    operation: Operation,
    /// Whether the caller neither retries nor follows redirects.
    is_single_attempt: bool,
    /// The node for the first attempt; `None`: a random one.
    via: Option<usize>,
    started_at: Millis,
    attempts: u32,
    /// Redirects that the current attempt has followed.
    redirects: u32,
    /// The attempt that awaits a reply, and the node that it was sent to.
    pending: Option<(u64, usize)>,
    /// The node of the last attempt.
    last_node: Option<usize>,
    /// The final HTTP status; 0 if there was no reply, `None` while the session is open.
    pub status: Option<u16>,
    pub body: Arc<Vec<u8>>,
}

/// A simulated backend, which calls the node that it called last.
pub struct SimBackend {
    service: String,
    node: usize,
    call_count: u64,
    state: &'static str,
    is_alive: bool,
}

#[derive(Default)]
pub struct Callers {
    pub sessions: Vec<Session>,
    /// The session of each attempt, by the number of the attempt.
    attempts: BTreeMap<u64, usize>,
    last_attempt: u64,
    backends: BTreeMap<String, SimBackend>,
    /// The highest version that any request contained.
    highest_version: u32,
}

impl Callers {
    pub fn session(&self, name: &str) -> Option<&Session> {
        self.sessions.iter().find(|session| session.name == name)
    }

    /// The configuration change that was sent under this name.
    pub fn config_change(&self, name: &str) -> Option<ConfigChange> {
        match &self.session(name)?.operation {
            Operation::Configure(change) => Some(change.clone()),
            _ => None,
        }
    }
}

impl Sim {
    pub fn begin_call(
        &mut self,
        spec: &CallSpec,
        via: Option<usize>,
        is_single_attempt: bool,
        name: &str,
    ) -> Result<(), String> {
        let next = self.next_config_change(spec);
        let operation = match next.as_ref().unwrap_or(spec) {
            CallSpec::Configure { scope, version, base_version, flaw, routes } => {
                self.callers.highest_version = self.callers.highest_version.max(*version);
                let body = Arc::new(body(*scope, *version, *flaw, *routes, name));
                Operation::Configure(ConfigChange {
                    scope: *scope,
                    version: *version,
                    base_version: *base_version,
                    body,
                })
            }
            CallSpec::Repeat(of) => Operation::Configure(
                self.callers.config_change(of).ok_or_else(|| format!("no configuration was sent as {of}"))?,
            ),
            CallSpec::Read | CallSpec::Next | CallSpec::Append => Operation::Read,
            CallSpec::Drain(id) | CallSpec::Deregister(id) => {
                let backend = self.callers.backends.get_mut(id);
                let backend = backend.ok_or_else(|| format!("there is no backend {id}"))?;
                if matches!(spec, CallSpec::Drain(_)) {
                    backend.state = "emptying";
                    Operation::Drain(id.clone())
                } else {
                    backend.is_alive = false;
                    Operation::Deregister(id.clone())
                }
            }
        };
        self.begin_session(operation, via, is_single_attempt, name);
        Ok(())
    }

    /// The change to the next version, for the statements that ask for the next version.
    fn next_config_change(&mut self, spec: &CallSpec) -> Option<CallSpec> {
        let base_version = match spec {
            CallSpec::Next => {
                let node = self.draw_listed_node(None);
                Some(self.invariants.version(node))
            }
            CallSpec::Append => Some(
                self.invariants.acknowledged.iter().map(|(version, ..)| *version).max().unwrap_or_default(),
            ),
            _ => None,
        };
        let (scope, version) = (ChangeScope::Full, self.callers.highest_version + 1);
        base_version.map(|base_version| CallSpec::Configure {
            scope,
            version,
            base_version,
            flaw: None,
            routes: 2,
        })
    }

    pub fn begin_session(
        &mut self,
        operation: Operation,
        via: Option<usize>,
        is_single_attempt: bool,
        name: &str,
    ) {
        let (started_at, body) = (self.now, Arc::default());
        let name = name.to_owned();
        let session = Session {
            name,
            operation,
            is_single_attempt,
            via,
            started_at,
            attempts: 0,
            redirects: 0,
            pending: None,
            last_node: None,
            status: None,
            body,
        };
        self.callers.sessions.push(session);
        self.retry(self.callers.sessions.len() - 1);
    }

    pub fn start_backend(&mut self, id: &str, service: &str, via: Option<usize>) {
        let node = via.unwrap_or_else(|| self.draw_listed_node(None));
        let service = service.to_owned();
        let backend = SimBackend { service, node, call_count: 0, state: "ready", is_alive: true };
        self.callers.backends.insert(id.to_owned(), backend);
        self.heartbeat(id);
    }

    pub fn kill_backend(&mut self, id: &str) {
        if let Some(backend) = self.callers.backends.get_mut(id) {
            backend.is_alive = false;
        }
    }

    /// Delivers an earlier heartbeat of a backend after its last one.
    pub fn late_heartbeat(&mut self, id: &str, to: usize) -> Result<(), String> {
        let backend = self.callers.backends.get(id).ok_or_else(|| format!("there is no backend {id}"))?;
        let call = heartbeat(id, backend, backend.call_count.saturating_sub(1), "ready");
        self.callers.last_attempt += 1;
        let number = self.callers.last_attempt;
        self.schedule(0, SimEvent::CallArrives(to, number, call));
        Ok(())
    }

    pub fn heartbeat(&mut self, id: &str) {
        let Some(backend) = self.callers.backends.get(id) else { return };
        if backend.is_alive {
            let (name, operation) = (format!("beat of {id}"), Operation::Heartbeat(id.to_owned()));
            let node = backend.node;
            self.begin_session(operation, Some(node), false, &name);
            self.schedule(HEARTBEAT_INTERVAL_MS, SimEvent::SendHeartbeat(id.to_owned()));
        }
    }

    /// Draws a node from the callers' list, which lags behind, so the node may be down. The node of the last attempt is
    /// excluded if there are others.
    fn draw_listed_node(&mut self, last: Option<usize>) -> usize {
        let (now, machines) = (self.now, &self.machines);
        let is_listed = |node: &usize| {
            let machine = &machines[*node];
            let is_gone = machine.control.is_none() && now >= machine.ended + NODE_LIST_DELAY_MS;
            machine.starts > 0 && !machine.retired && !is_gone
        };
        let mut started: Vec<usize> = (0..machines.len()).filter(is_listed).collect();
        if started.len() > 1 {
            started.retain(|node| Some(*node) != last);
        }
        let drawn = self.draw(started.len() as u64) as usize;
        started.get(drawn).copied().unwrap_or_default()
    }

    /// Makes the next attempt of a session: the first at its given node, if any, the others at a random one.
    pub fn retry(&mut self, index: usize) {
        let last_node = self.callers.sessions[index].last_node;
        let random_node = self.draw_listed_node(last_node);
        let session = &mut self.callers.sessions[index];
        if session.status.is_some() {
            return;
        }
        let node = session.via.take().unwrap_or(random_node);
        session.attempts += 1;
        session.redirects = 0;
        self.attempt_at(index, node);
    }

    fn attempt_at(&mut self, index: usize, node: usize) {
        self.callers.last_attempt += 1;
        let number = self.callers.last_attempt;
        self.callers.attempts.insert(number, index);
        let session = &mut self.callers.sessions[index];
        session.pending = Some((number, node));
        session.last_node = Some(node);
        let mut timeout = 1_000;
        let call = match &session.operation {
            Operation::Configure(change) => {
                timeout += change.body.len() as u64 / 50;
                let path = match change.scope {
                    ChangeScope::Full => "/Config.Replace",
                    ChangeScope::Partial => "/Config.Change",
                };
                let base_version = format!("{:08x}", change.base_version);
                Call::decode("POST", path, Some(&base_version), change.body.to_vec())
            }
            Operation::Read => Call::decode("GET", "/Config.Read", None, Vec::new()),
            Operation::Deregister(id) => {
                Call::decode("POST", &format!("/Servers.SignOff/{id}"), None, Vec::new())
            }
            Operation::Heartbeat(id) | Operation::Drain(id) => {
                let Some(backend) = self.callers.backends.get_mut(id) else { return };
                backend.call_count += 1;
                backend.node = node;
                Ok(heartbeat(id, backend, backend.call_count, backend.state))
            }
        };
        match call {
            Ok(call) => {
                self.schedule(CALLER_LATENCY_MS, SimEvent::CallArrives(node, number, call));
                self.schedule(timeout, SimEvent::CallTimesOut(number));
            }
            Err(error) => self.unmet_expectations.push(format!("a call could not be decoded: {error}")),
        }
    }

    /// Handles the reply to an attempt; `None` after a failed connection or a timeout.
    pub fn on_reply(&mut self, number: u64, reply: Option<Reply>) {
        let Some(index) = self.callers.attempts.get(&number).copied() else { return };
        // The reply is lost; the caller retries after its timeout.
        let is_config_change = matches!(self.callers.sessions[index].operation, Operation::Configure(_));
        if reply.is_some() && is_config_change && self.draw(100) < self.reply_loss {
            return;
        }
        self.callers.attempts.remove(&number);
        let now = self.now;
        let session = &mut self.callers.sessions[index];
        let Some((_, _)) = session.pending.take_if(|(attempt, _)| *attempt == number) else { return };
        let status = match reply {
            Some(Reply::Done(body)) => {
                session.body = body;
                200
            }
            Some(Reply::Invalid(_)) => 400,
            Some(Reply::VersionConflict) => 412,
            Some(Reply::Redirect(ip)) if session.redirects < 2 && !session.is_single_attempt => {
                session.redirects += 1;
                return self.attempt_at(index, machine(ip));
            }
            Some(Reply::Unavailable(_)) => 503,
            Some(Reply::Redirect(_)) => 307,
            None => 0,
        };
        let deadline = match &session.operation {
            Operation::Heartbeat(_) => HEARTBEAT_INTERVAL_MS,
            Operation::Drain(_) | Operation::Deregister(_) => DEPARTURE_DEADLINE_MS,
            Operation::Configure(_) | Operation::Read => OPERATOR_DEADLINE_MS,
        };
        if matches!(status, 200 | 400 | 412)
            || session.is_single_attempt
            || now >= session.started_at + deadline
        {
            session.status = Some(status);
            return self.on_concluded(index, status);
        }
        let pause = (50 << session.attempts.min(4)).min(800);
        let pause = if matches!(session.operation, Operation::Heartbeat(_)) { 0 } else { pause };
        self.schedule(pause, SimEvent::RetryCall(index));
    }

    fn on_concluded(&mut self, index: usize, status: u16) {
        let now = self.now;
        let session = &self.callers.sessions[index];
        let name = session.name.clone();
        match (session.operation.clone(), status) {
            (Operation::Configure(change), 200) => {
                self.invariants.on_request_acknowledged(
                    &name,
                    (change.version, change.digest(), change.base_version),
                    now,
                );
            }
            (Operation::Configure(change), 400 | 412) => {
                self.invariants.on_request_rejected(&name, change.digest(), now);
            }
            (Operation::Drain(id) | Operation::Deregister(id), 200) => {
                self.invariants.on_departure_acknowledged(&id, now);
            }
            _ => {}
        }
        self.fire_conditions();
    }
}

fn heartbeat(id: &str, backend: &SimBackend, call_count: u64, state: &str) -> Call {
    let body = json!({
        "address": "10.128.0.9:8080",
        "details": {"service": backend.service, "version": "v1", "zone": "a", "capacity": 4},
        "status": {"state": state, "callCount": call_count, "warmupLeftS": 0}
    });
    let path = format!("/Servers.CheckIn/{id}");
    Call::decode("POST", &path, None, body.to_string().into_bytes()).expect("a heartbeat can be decoded")
}

/// The body of a configuration request. Its contents depend on the name of the call.
fn body(scope: ChangeScope, version: u32, flaw: Option<Flaw>, routes: usize, name: &str) -> Vec<u8> {
    let route = |number: usize| {
        let unknown = flaw == Some(Flaw::UnknownService) && number == 0;
        let index = if flaw == Some(Flaw::DuplicatePrefix) { 0 } else { number };
        json!({
            "name": format!("r-{number}"), "pathStart": format!("/p{index}/"), "kind": "safe", "giveUpS": 2,
            "goalS": 0.3, "rank": 1, "service": if unknown { "nobody" } else { "svc" }, "tries": 2,
            "public": false
        })
    };
    let hosts: Value = json!([{"host": "h.example", "paths": (0..routes).map(route).collect::<Vec<_>>()}]);
    let key =
        |number: usize| if flaw == Some(Flaw::DuplicateKey) { "k1".to_owned() } else { format!("k{number}") };
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
    if flaw == Some(Flaw::Truncated) {
        bytes.truncate(bytes.len() / 2);
    }
    bytes
}
