//! The operator: sends configurations until they are taken, and reads back.

use crate::configuration::{digits, read, Plan};
use crate::header::BUILT_ON;
use crate::history::{ReadBack, Recorder, SubmittedConfiguration};
use crate::http::{self, Answer};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long an answer is waited for.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Redirections that are followed.
const MAX_REDIRECTS: usize = 2;

/// A clear answer, and the node that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalResponse {
    /// The status.
    pub status: u16,
    /// Who answered.
    pub by: SocketAddrV4,
}

/// One operator.
#[derive(Debug)]
pub struct Operator {
    controls: Vec<SocketAddrV4>,
    next: usize,
    recorder: Rc<Recorder>,
    /// The newest configuration that was acknowledged to it.
    pub plan: Option<Plan>,
    /// Who acknowledged last.
    pub last_by: Option<SocketAddrV4>,
}

/// One call at one node, redirections followed; nothing where no answer came.
pub async fn call(
    node: SocketAddrV4,
    method: &str,
    path: &str,
    built_on: Option<u32>,
    body: &[u8],
) -> Option<(SocketAddrV4, Answer)> {
    let (mut at, mut path) = (node, path.to_owned());
    let built_on = built_on.map(digits);
    let mut headers = vec![("content-type", "application/json")];
    headers.extend(built_on.as_deref().map(|version| (BUILT_ON, version)));
    for redirect in 0..=MAX_REDIRECTS {
        let answer = http::call(at, method, &path, &headers, body.to_vec(), CALL_TIMEOUT).await.ok()?;
        if answer.status != 307 || redirect == MAX_REDIRECTS {
            return Some((at, answer));
        }
        let to = answer.header("location")?.strip_prefix("http://")?;
        let (host, rest) = to.split_once('/')?;
        at = host.parse().ok()?;
        path = format!("/{rest}");
    }
    None
}

/// What a node reports of itself (`Status`).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The version of the configuration that its own replica holds.
    pub version: u32,
    /// The addresses of the voters, as it has them.
    pub voters: Vec<Ipv4Addr>,
}

/// Queries a node's status; nothing if it gives none.
pub async fn node_status(control: SocketAddrV4) -> Option<NodeStatus> {
    let answer = http::call(control, "GET", "/Status", &[], Vec::new(), CALL_TIMEOUT).await.ok()?;
    let status: Value = serde_json::from_slice(&answer.body).ok().filter(|_| answer.status == 200)?;
    let voters = status["voters"].as_array()?.iter().filter_map(|voter| voter["ip"].as_str()?.parse().ok());
    let version = u32::from_str_radix(status["version"].as_str()?, 16).ok()?;
    Some(NodeStatus { version, voters: voters.collect() })
}

impl Operator {
    /// One that calls the nodes at these addresses.
    pub fn new(controls: Vec<SocketAddrV4>, recorder: Rc<Recorder>) -> Operator {
        Operator { controls, next: 0, recorder, plan: None, last_by: None }
    }

    /// Sends one body until there is a clear answer, each time to the next node; nothing when the time is over.
    pub async fn send(
        &mut self,
        path: &str,
        built_on: u32,
        body: &[u8],
        limit: Duration,
    ) -> Option<FinalResponse> {
        let since = Instant::now();
        let mut pause = Duration::from_millis(50);
        while since.elapsed() < limit {
            let node = self.controls[self.next % self.controls.len()];
            if let Some((by, answer)) = call(node, "POST", path, Some(built_on), body).await {
                if matches!(answer.status, 200 | 400 | 409 | 412 | 413 | 422) {
                    return Some(FinalResponse { status: answer.status, by });
                }
            }
            self.next += 1;
            sleep(pause).await;
            pause = (pause * 3 / 2).min(Duration::from_millis(500));
        }
        None
    }

    /// Sends a configuration: the first one complete, each later one as a change. Returns the response.
    pub async fn put(&mut self, plan: Plan, limit: Duration) -> Option<FinalResponse> {
        let (path, built_on, body): (_, _, Value) = match &self.plan {
            None => ("/Config.Replace", 0, plan.replace_body()),
            Some(older) => ("/Config.Change", older.version, plan.change_body(older)),
        };
        let sent = SubmittedConfiguration { plan: plan.clone(), at: self.recorder.now(), acknowledged: None };
        let index = self.recorder.record(|history| {
            history.sent.push(sent);
            history.sent.len() - 1
        });
        let response = self.send(path, built_on, body.to_string().as_bytes(), limit).await?;
        if response.status == 200 {
            let now = self.recorder.now();
            self.recorder.record(|history| history.sent[index].acknowledged = Some(now));
            self.plan = Some(plan);
            self.last_by = Some(response.by);
        }
        Some(response)
    }

    /// Reads the configuration in force, one node after another, and records it.
    pub async fn read_back(&mut self, limit: Duration) -> Option<ReadBack> {
        let since = Instant::now();
        while since.elapsed() < limit {
            let node = self.controls[self.next % self.controls.len()];
            if let Some((_, answer)) = call(node, "GET", "/Config.Read", None, &[]).await {
                if answer.status == 200 {
                    let found = read(&answer.body);
                    self.recorder.record(|history| history.read_back.clone_from(&found));
                    return found;
                }
            }
            self.next += 1;
            sleep(Duration::from_millis(100)).await;
        }
        None
    }
}
