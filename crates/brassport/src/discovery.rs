//! Discovery: follows the list of backends and hands on each change.

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

/// How long a watch may wait for news, and how long its answer may take beyond that.
const WAIT: Duration = Duration::from_millis(1000);
const OVERDUE: Duration = Duration::from_millis(1000);
/// How long a connection may take to come up: the agent is on this machine.
const CONNECT: Duration = Duration::from_millis(500);
/// Between an answer and the next call: a watch goes on if the call comes within 200 ms, and an agent that
/// answers at once, whatever it is asked, must not keep the door busy.
const PACE: Duration = Duration::from_millis(20);
const FIRST_BACK_OFF: Duration = Duration::from_millis(100);
const LAST_BACK_OFF: Duration = Duration::from_millis(800);
/// Part of the memory that one list may take as it comes: 2 MiB of 32, room for 1,024 nodes of 2 kB each. Up to eight may be
/// on their way at once.
const LIST_PART: usize = 16;
const LEAST_LIST: usize = 1 << 20;

/// Most bytes of a list, of a door with so many bytes of memory.
pub fn most_of_a_list(memory: usize) -> usize {
    (memory / LIST_PART).max(LEAST_LIST)
}

/// The list of backends, or what changed in it.
#[derive(Deserialize)]
pub struct List {
    pub rev: u64,
    pub all: bool,
    pub targets: Vec<Target>,
}

#[derive(Deserialize)]
pub struct Target {
    pub uid: String,
    pub endpoint: String,
    #[serde(default)]
    pub az: String,
    /// Which, no more: one that is out of range must not cost the whole list.
    #[serde(default)]
    pub pod_group: u64,
    pub state: State,
    /// 0, as where it is missing, says nothing of the size.
    #[serde(default)]
    pub capacity_hint: f64,
    #[serde(default)]
    pub boot_ms: f64,
}

#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Ready,
    Draining,
    Gone,
    /// A word that is not in the protocol: nothing is sent there.
    #[serde(other)]
    Unknown,
}

impl List {
    /// As the book of nodes takes it.
    pub fn report(self) -> Report {
        let revision = self.rev;
        let entry = |target: Target| Entry {
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
            entries: self.targets.into_iter().map(entry).collect(),
            withdrawn: Vec::new(),
        }
    }
}

/// Who is told of the list.
pub trait ListReader {
    /// Takes in the whole list, or what changed in it.
    fn take(&self, report: Report);
}

/// A revision of the list, and the agent that told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Newest {
    pub agent: SocketAddr,
    pub revision: u64,
}

/// The watch on the list, at one agent at a time.
pub struct Watch<C, N: Network, R> {
    pub clock: C,
    pub network: N,
    pub reader: R,
    /// The newest revision taken in, also by a process whose place this one took.
    pub newest: Rc<Cell<Option<Newest>>>,
    /// Where lists are pushed: a call for the whole list that has no answer is not waited for alone, but joined by
    /// another each time this has passed. `None` where lists are asked for, as each call is work there.
    pub again: Option<Duration>,
    /// Most bytes of a list.
    pub most: usize,
    /// Whether it was said that a list is not taken: once, until one is.
    pub complained: Cell<bool>,
}

impl<C: Clock, N: Network, R: ListReader> Watch<C, N, R> {
    /// Watches for ever, from the start again wherever discovery moves to.
    pub async fn follow(self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let at = *address.borrow_and_update();
            tokio::select! {
                biased;
                moved = address.changed() => if moved.is_err() { return },
                () = self.watch_at(at) => {}
            }
        }
    }

    /// Watches at one address. Whatever the agent does, the list held stays in force.
    async fn watch_at(&self, address: SocketAddr) {
        let mut connection = None;
        let mut last = None;
        // Guards against passing over a drain: another agent's revisions are numbers of their own.
        let own = self.newest.get().filter(|told| told.agent == address || mutant!(RevisionsOfAnother));
        let mut revisions = Revisions::from(own.map(|told| told.revision));
        let mut back_off = FIRST_BACK_OFF;
        loop {
            // Guards against an agent that is silent: a call is given up and its connection closed.
            let answer = match (last, self.again) {
                (None, Some(again)) => {
                    let (open, list) = self.ask_until_told(address, again).await;
                    connection = Some(open);
                    Some(Some(list))
                }
                _ => self.clock.timeout(WAIT + OVERDUE, self.ask(&mut connection, address, last)).await,
            };
            match answer {
                Some(Some(list))
                    if revisions.is_news(list.rev, list.all, self.clock.now()) || mutant!(StaleListTaken) =>
                {
                    if mutant!(DrainLate) {
                        self.clock.sleep(Duration::from_millis(700)).await;
                    }
                    last = Some(list.rev);
                    self.newest.set(Some(Newest { agent: address, revision: list.rev }));
                    back_off = FIRST_BACK_OFF;
                    self.complained.set(false);
                    self.reader.take(list.report());
                    self.clock.sleep(PACE).await;
                }
                Some(Some(_)) => {
                    // It answers, and with an old list: it may know better any moment.
                    (connection, last) = (None, None);
                    self.clock.sleep(FIRST_BACK_OFF).await;
                }
                _ => {
                    (connection, last) = (None, None);
                    self.clock.sleep(back_off).await;
                    back_off = (2 * back_off).min(LAST_BACK_OFF);
                }
            }
        }
    }

    /// The whole list, from the first of several calls that is answered.
    ///
    /// Guards against sending to drained nodes behind an agent that was silent: what it has counts as told from
    /// the moment it has it, and a call that came while it was silent may stay without an answer for good.
    async fn ask_until_told(
        &self,
        address: SocketAddr,
        again: Duration,
    ) -> (UpstreamConnection<N::Stream>, List) {
        let mut calls = FuturesUnordered::new();
        loop {
            calls.push(self.clock.timeout(WAIT + OVERDUE, async {
                let mut connection = None;
                let list = self.ask(&mut connection, address, None).await?;
                connection.map(|open| (open, list))
            }));
            let mut next = pin!(self.clock.sleep(again));
            loop {
                tokio::select! {
                    biased;
                    Some(answer) = calls.next() => if let Some(Some(told)) = answer { return told },
                    () = &mut next => break,
                }
            }
        }
    }

    /// One call: the whole list, or what is newer than the version `after`.
    async fn ask(
        &self,
        connection: &mut Option<UpstreamConnection<N::Stream>>,
        address: SocketAddr,
        after: Option<u64>,
    ) -> Option<List> {
        let path = match after {
            None => "/v1/servers".to_string(),
            Some(rev) => format!("/v1/servers?after={rev}&wait_ms={}", WAIT.as_millis()),
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
                connection.insert(self.clock.timeout(CONNECT, open).await?.ok()?)
            }
        };
        let (head, body) = open.send(request).await.ok()?.into_parts();
        if head.status != StatusCode::OK {
            return self.complain(format!("it answers {}", head.status));
        }
        let Some(body) = open.read_to_end(body, self.most).await.ok()? else {
            return self.complain(format!(
                "its list is longer than {} bytes, a part of limits.memory_mb; give the door more memory",
                self.most
            ));
        };
        match serde_json::from_slice::<List>(&body) {
            Ok(list) => (list.all || after.is_some()).then_some(list),
            Err(error) => self.complain(format!("its list cannot be read: {error}")),
        }
    }

    /// Says why a list is not taken, once until one is taken.
    fn complain(&self, why: String) -> Option<List> {
        if !self.complained.replace(true) {
            log::write_line(format!("discovery: {why}; the last good list stays in force"));
        }
        None
    }
}
