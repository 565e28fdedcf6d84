//! Client of the platform's discovery agent: follows the list of backends by long polling and passes on each change.

use crate::clock::Clock;
use crate::log;
use crate::mutants::mutant;
use crate::network::Network;
use crate::revisions::Revisions;
use brassport_membership::book::{self, Entry, Report};
use brassport_proxy::upstream::UpstreamConnection;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long the agent may hold a long poll open while nothing changes.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// How long the response may take beyond [`POLL_WAIT`] before the poll is abandoned.
const POLL_GRACE: Duration = Duration::from_millis(1000);
/// Connect timeout; the agent runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between a response and the next poll. The agent continues a watch if the next poll comes within 200 ms; the
/// delay keeps an agent that always responds at once from occupying the gateway.
const POLL_DELAY: Duration = Duration::from_millis(20);
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// One list may take this fraction of the memory limit, as a divisor: 2 MiB of 32, enough for 1,024 backends of 2 kB
/// each. Up to eight lists may be in transfer at once.
const LIST_MEMORY_DIVISOR: usize = 16;
/// The limit on a list's size is at least this, in bytes.
const MIN_LIST_LIMIT: usize = 1 << 20;

/// Maximum size of a list, in bytes, for a gateway with this memory limit.
pub fn max_list_bytes(memory_bytes: usize) -> usize {
    (memory_bytes / LIST_MEMORY_DIVISOR).max(MIN_LIST_LIMIT)
}

/// The agent's response: the whole list of backends if `all` is set, otherwise the entries that changed. The name of
/// the struct occurs in the error messages of `serde`.
#[derive(Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

/// One backend of a [`List`]. The name of the struct occurs in the error messages of `serde`.
#[derive(Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    /// An identifier without further meaning. Wider than the values in use, so that one out of range does not make
    /// the whole list unreadable.
    #[serde(default)]
    pub pod_group: u64,
    pub state: State,
    /// 0 or missing: unknown.
    #[serde(default)]
    pub capacity_hint: f64,
    /// Unix time of the backend's start in milliseconds; 0 or missing: unknown.
    #[serde(default)]
    pub boot_ms: f64,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
    Gone,
    /// A state that this version does not know; treated as draining, so the backend gets no new requests.
    #[serde(other)]
    Unknown,
}

impl List {
    /// Converts the list to a report for the membership book.
    pub fn into_report(self) -> Report {
        let revision = self.rev;
        let to_entry = |target: Target| Entry {
            id: target.uid.into(),
            address: target.endpoint.parse().ok(),
            zone: target.az,
            group: target.pod_group,
            size: target.capacity_hint,
            boot_ms: target.boot_ms,
            state: match target.state {
                State::Ready => book::State::Ready,
                State::Draining | State::Unknown => book::State::Draining,
                State::Gone => book::State::Gone,
            },
            revision,
            note: if target.state == State::Unknown { "in no known word".into() } else { String::new() },
        };
        Report {
            whole: self.all,
            entries: self.targets.into_iter().map(to_entry).collect(),
            withdrawn: Vec::new(),
        }
    }
}

/// Receives the lists.
pub trait ListSink {
    /// Applies a whole list, or a change to it.
    fn apply(&self, report: Report);
}

/// A revision of the list, and the agent it came from: each agent has its own sequence of revisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastRevision {
    pub agent: SocketAddr,
    pub revision: u64,
}

/// Follows the list at one agent at a time.
pub struct DiscoveryWatch<C, N: Network, S> {
    pub clock: C,
    pub network: N,
    pub sink: S,
    /// The last revision applied, by this process or by its predecessor.
    pub last_revision: Rc<Cell<Option<LastRevision>>>,
    /// Where the registry pushes lists: while a request for the whole list has no response, a further request is
    /// started at this interval. `None` where the registry computes lists on request, as each request costs it work.
    pub retry_interval: Option<Duration>,
    /// Maximum size of a list, in bytes.
    pub max_list_bytes: usize,
    /// Whether the rejection of a list was logged since the last list that was applied: repeated rejections are
    /// logged once.
    pub rejection_logged: Cell<bool>,
}

impl<C: Clock, N: Network, S: ListSink> DiscoveryWatch<C, N, S> {
    /// Follows the list until the sender of `address` is dropped; starts anew at each new address.
    pub async fn follow(self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let current = *address.borrow_and_update();
            tokio::select! {
                biased;
                moved = address.changed() => if moved.is_err() { return },
                () = self.follow_agent(current) => {}
            }
        }
    }

    /// Follows the list at one agent. The last list stays in force while the agent fails.
    async fn follow_agent(&self, address: SocketAddr) {
        let mut connection = None;
        let mut last = None;
        // Another agent's revisions are not comparable: against them, a newer list of this agent, and a drain in it,
        // could be taken for an old one.
        let own =
            self.last_revision.get().filter(|last| last.agent == address || mutant!(RevisionsOfAnother));
        let mut revisions = Revisions::from(own.map(|last| last.revision));
        let mut backoff = MIN_BACKOFF;
        loop {
            // A poll without a response is abandoned after a timeout, and its connection closed.
            let response = match (last, self.retry_interval) {
                (None, Some(interval)) => {
                    let (open, list) = self.poll_until_answered(address, interval).await;
                    connection = Some(open);
                    Some(Some(list))
                }
                _ => {
                    self.clock
                        .timeout(POLL_WAIT + POLL_GRACE, self.poll(&mut connection, address, last))
                        .await
                }
            };
            match response {
                Some(Some(list))
                    if revisions.accept(list.rev, list.all, self.clock.now()) || mutant!(StaleListTaken) =>
                {
                    if mutant!(DrainLate) {
                        self.clock.sleep(Duration::from_millis(700)).await;
                    }
                    last = Some(list.rev);
                    self.last_revision.set(Some(LastRevision { agent: address, revision: list.rev }));
                    backoff = MIN_BACKOFF;
                    self.rejection_logged.set(false);
                    self.sink.apply(list.into_report());
                    self.clock.sleep(POLL_DELAY).await;
                }
                Some(Some(_)) => {
                    // The agent responds, but with an old list, which may become current at any moment: the delay
                    // does not grow.
                    (connection, last) = (None, None);
                    self.clock.sleep(MIN_BACKOFF).await;
                }
                _ => {
                    (connection, last) = (None, None);
                    self.clock.sleep(backoff).await;
                    backoff = (2 * backoff).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Requests the whole list, with several requests in flight, and returns the first response.
    ///
    /// A request that was sent while the agent did not respond may never be answered. Waiting for it alone would let
    /// the gateway go on sending to backends whose drain the agent has already published.
    async fn poll_until_answered(
        &self,
        address: SocketAddr,
        interval: Duration,
    ) -> (UpstreamConnection<N::Stream>, List) {
        let mut polls = FuturesUnordered::new();
        loop {
            polls.push(self.clock.timeout(POLL_WAIT + POLL_GRACE, async {
                let mut connection = None;
                let list = self.poll(&mut connection, address, None).await?;
                connection.map(|open| (open, list))
            }));
            let mut next = pin!(self.clock.sleep(interval));
            loop {
                tokio::select! {
                    biased;
                    Some(response) = polls.next() => if let Some(Some(list)) = response { return list },
                    () = &mut next => break,
                }
            }
        }
    }

    /// One poll: the whole list or, if `after` is given, the changes since that revision. `None` if it failed.
    async fn poll(
        &self,
        connection: &mut Option<UpstreamConnection<N::Stream>>,
        address: SocketAddr,
        after: Option<u64>,
    ) -> Option<List> {
        let path = match after {
            None => "/v1/servers".to_string(),
            Some(rev) => format!("/v1/servers?after={rev}&wait_ms={}", POLL_WAIT.as_millis()),
        };
        let request =
            Request::get(path).header(HOST, address.to_string()).body(Full::<Bytes>::default()).ok()?;
        if let Some(open) = connection {
            if !open.is_reusable().await {
                *connection = None;
            }
        }
        let open = match connection {
            Some(open) => open,
            None => {
                let open =
                    async { UpstreamConnection::handshake(self.network.connect(address).await?).await };
                connection.insert(self.clock.timeout(CONNECT_TIMEOUT, open).await?.ok()?)
            }
        };
        let (head, body) = open.send(request).await.ok()?.into_parts();
        if head.status != StatusCode::OK {
            return self.reject(format!("the agent responded with status {}", head.status));
        }
        let Some(body) = open.read_to_end(body, self.max_list_bytes).await.ok()? else {
            return self.reject(format!(
                "the agent's list is longer than {} bytes, a fixed share of limits.memory_mb; raise that limit",
                self.max_list_bytes
            ));
        };
        match serde_json::from_slice::<List>(&body) {
            Ok(list) => (list.all || after.is_some()).then_some(list),
            Err(error) => self.reject(format!("the agent's list cannot be read: {error}")),
        }
    }

    /// Logs why a list is rejected, once until a list is applied.
    fn reject(&self, reason: String) -> Option<List> {
        if !self.rejection_logged.replace(true) {
            log::write_line(format!("discovery: {reason}; the last good list stays in force"));
        }
        None
    }
}
