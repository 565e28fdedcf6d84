//! The source: the tasks that ask, each at one server at a time.

use crate::http::{get, open, Open, Security};
use brassport::clock::Clock;
use brassport::network::Network;
use brassport_membership::book::{Moment, Report};
use brassport_membership::nomad::follower::{Follower, List, Meta, Next, Options};
use brassport_membership::nomad::lines::Lines;
use brassport_membership::table::Taken;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a connection may take to come up, TLS among it.
const CONNECT: Duration = Duration::from_secs(2);
/// How long an answer may take beyond the wait that was asked for.
const ANSWER: Duration = Duration::from_secs(5);
/// Between two looks at an answer that is not believed yet.
const AGAIN: Duration = Duration::from_millis(250);
/// Least time between two whole lists; and so many times as long as the last one took to take in, so that a large
/// list that changes all the time does not keep the front door from its requests.
const PACE: Duration = Duration::from_millis(20);
const PACE_FACTOR: u32 = 20;
const MOST_PACE: Duration = Duration::from_secs(2);
/// Between two looks at whether the first report is due.
const BEGIN: Duration = Duration::from_millis(100);
const FIRST_BACK_OFF: Duration = Duration::from_millis(200);
const LAST_BACK_OFF: Duration = Duration::from_secs(15);
/// Most bytes of a list, and of a line of the stream.
const LIST_LIMIT: usize = 64 << 20;
const LINE_LIMIT: usize = 1 << 20;

/// An API server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Where it listens; names are not looked up.
    pub address: SocketAddr,
}

/// The token that goes with each call, read anew for each, so that it can be exchanged under a running program.
pub trait Token {
    /// The token; `None` where the API asks for none.
    ///
    /// # Errors
    /// What is wrong, without any part of the token.
    fn read(&self) -> Result<Option<String>, String>;
}

impl Token for () {
    fn read(&self) -> Result<Option<String>, String> {
        Ok(None)
    }
}

/// What the operator chose.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The servers, the first first.
    pub servers: Vec<Server>,
    /// The namespace; `None`: the API's default.
    pub namespace: Option<String>,
    /// The region; `None`: the servers' own.
    pub region: Option<String>,
    /// How long a blocking query waits for news.
    pub wait: Duration,
    /// The stream is given up after so long without a byte; the servers send a heartbeat every 10 s.
    pub silence: Duration,
    /// What is followed, and when strange answers are believed.
    pub options: Options,
}

impl Settings {
    /// The defaults, for this service at these servers.
    pub fn of(service: &str, servers: Vec<Server>) -> Settings {
        Settings {
            servers,
            namespace: None,
            region: None,
            wait: Duration::from_secs(10),
            silence: Duration::from_secs(25),
            options: Options::of(service),
        }
    }
}

/// Why a call brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Two of the same kind are one matter to the operator.
    kind: &'static str,
    text: String,
    /// The server wants to be left alone for so long.
    wait: Option<Duration>,
    status: Option<StatusCode>,
}

impl Problem {
    fn new(kind: &'static str, text: String) -> Problem {
        Problem { kind, text, wait: None, status: None }
    }

    pub(crate) fn unreachable(error: &io::Error) -> Problem {
        Problem::new("unreachable", format!("cannot be reached: {error}"))
    }

    #[cfg(feature = "tls")]
    pub(crate) fn tls(error: &io::Error) -> Problem {
        Problem::new("tls", format!("TLS: {error}; look at ca_file, cert_file and server_name"))
    }

    pub(crate) fn broken() -> Problem {
        Problem::new("broken", "the connection broke".into())
    }

    pub(crate) fn token() -> Problem {
        Problem::new("token", "the token in token_file holds a character that no token has".into())
    }

    pub(crate) fn too_long(most: usize) -> Problem {
        Problem::new("too long", format!("an answer is longer than {most} bytes"))
    }

    /// Whether the server answers, and does not show what was asked for.
    fn is_withheld(&self) -> bool {
        matches!(self.status, Some(StatusCode::FORBIDDEN | StatusCode::NOT_FOUND))
    }

    pub(crate) fn status(status: StatusCode, headers: &HeaderMap) -> Problem {
        let text = match status {
            StatusCode::FORBIDDEN | StatusCode::UNAUTHORIZED => {
                format!(
                    "answers {}: the token in token_file does not allow it, or was revoked",
                    status.as_u16()
                )
            }
            StatusCode::TOO_MANY_REQUESTS => "answers 429: it is asked too often".to_string(),
            _ => format!("answers {}", status.as_u16()),
        };
        let wait = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
        let kind = match status.as_u16() {
            401 | 403 => "forbidden",
            429 => "limited",
            500.. => "error",
            _ => "refused",
        };
        let wait = wait.map(|seconds| Duration::from_secs(seconds).min(LAST_BACK_OFF));
        Problem { wait, status: Some(status), ..Problem::new(kind, text) }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(to)
    }
}

/// What asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Part {
    List(List),
    Stream,
}

impl Part {
    fn word(self) -> &'static str {
        match self {
            Part::List(List::Services) => "the service",
            Part::List(List::Clients) => "the nodes",
            Part::List(List::Allocs) => "the allocations",
            Part::Stream => "the event stream",
        }
    }
}

/// What a source's host brings.
pub struct Host {
    /// `None`: the servers are spoken with in the clear.
    pub security: Security,
    /// The token.
    pub token: Box<dyn Token>,
    /// Spreads the calls.
    pub seed: u64,
    /// Takes the reports.
    pub reader: Box<dyn Fn(Report)>,
    /// Takes a line for the operator when something goes wrong or is well again.
    pub log: Box<dyn Fn(String)>,
}

/// A source that follows a service.
pub struct Source<C: Clock, N: Network> {
    clock: C,
    network: N,
    start: Instant,
    settings: Settings,
    security: Security,
    token: Box<dyn Token>,
    reader: Box<dyn Fn(Report)>,
    log: Box<dyn Fn(String)>,
    follower: RefCell<Follower>,
    server: Cell<usize>,
    random: RefCell<oorandom::Rand32>,
    /// What asks and is in trouble, and which kinds of trouble the operator has been told of since all was well.
    problems: RefCell<(BTreeSet<Part>, BTreeSet<&'static str>)>,
}

impl<C: Clock, N: Network> Source<C, N> {
    /// A source.
    pub fn new(clock: C, network: N, settings: Settings, host: Host) -> Rc<Source<C, N>> {
        let Host { security, token, seed, reader, log } = host;
        let follower = RefCell::new(Follower::new(settings.options.clone()));
        Rc::new(Source {
            start: clock.now(),
            clock,
            network,
            settings,
            security,
            token,
            reader,
            log,
            follower,
            server: Cell::new(0),
            random: RefCell::new(oorandom::Rand32::new(seed)),
            problems: RefCell::default(),
        })
    }

    /// Follows for ever. Must be polled within a `tokio::task::LocalSet`.
    pub async fn follow(self: Rc<Self>) {
        tokio::join!(self.watch(List::Services), self.watch(List::Clients), self.stream(), self.begin());
    }

    /// Sees to the first report where a list does not come.
    async fn begin(&self) {
        while !self.follower.borrow().has_reported() {
            self.clock.sleep(BEGIN).await;
            self.publish();
        }
    }

    fn now(&self) -> Moment {
        let monotonic = self.clock.now().saturating_duration_since(self.start).as_millis() as u64;
        Moment { monotonic, unix: self.clock.unix_time().as_millis() as u64 }
    }

    /// Follows one list by blocking queries.
    async fn watch(&self, list: List) {
        let part = Part::List(list);
        let mut connection = None;
        let (mut index, mut back_off) = (0, FIRST_BACK_OFF);
        loop {
            let (server, asked) = (self.server.get(), self.clock.now());
            match self.list(&mut connection, server, list, index).await {
                Ok((taken, next, took)) => {
                    back_off = FIRST_BACK_OFF;
                    if let Some(strange) = strange(taken) {
                        self.trouble(part, server, &strange);
                        self.leave(server);
                    }
                    match next {
                        Next::From(from) => {
                            if taken == Taken::Anew {
                                self.restored(server);
                            }
                            self.is_well(part);
                            // Guards a server that answers at once with nothing new, whatever it is asked.
                            let idle = from == index && !self.has_waited(asked);
                            let least = if idle { AGAIN } else { PACE };
                            index = from;
                            self.clock.sleep((took * PACE_FACTOR).clamp(least, MOST_PACE)).await;
                        }
                        Next::Again => {
                            (connection, index) = (None, 0);
                            self.clock.sleep(self.spread(AGAIN)).await;
                        }
                        Next::Elsewhere => {
                            (connection, index) = (None, 0);
                            self.clock.sleep(self.spread(AGAIN)).await;
                        }
                    }
                }
                Err(problem) => {
                    (connection, index) = (None, 0);
                    self.failed(part, server, &problem, &mut back_off).await;
                }
            }
        }
    }

    /// Whether a blocking query took at least half of its wait.
    fn has_waited(&self, asked: Instant) -> bool {
        self.clock.now().saturating_duration_since(asked) >= self.settings.wait / 2
    }

    /// Notes a failure, turns to the next server, and waits.
    async fn failed(&self, part: Part, server: usize, problem: &Problem, back_off: &mut Duration) {
        self.trouble(part, server, problem);
        if let (Part::List(list), true) = (part, problem.is_withheld()) {
            self.follower.borrow_mut().excuse(list);
            self.publish();
        }
        self.leave(server);
        self.clock.sleep(self.spread(problem.wait.unwrap_or(*back_off))).await;
        *back_off = (2 * *back_off).min(LAST_BACK_OFF);
    }

    /// Asks for one list and takes the answer in. How long that took.
    async fn list(
        &self,
        connection: &mut Option<Open>,
        server: usize,
        list: List,
        index: u64,
    ) -> Result<(Taken, Next, Duration), Problem> {
        let path = match list {
            List::Services => format!("/v1/service/{}", self.settings.options.service),
            List::Clients => "/v1/nodes".to_string(),
            List::Allocs => "/v1/allocations".to_string(),
        };
        let mut path = self.path(path, list != List::Clients);
        let mut most = ANSWER;
        if index > 0 {
            let wait = self.settings.wait;
            path.push_str(&format!("&index={index}&wait={}ms", wait.as_millis()));
            // The servers add up to a sixteenth of the wait.
            most += wait + wait / 16;
        }
        let call = async {
            let answer = self.get(connection, server, &path).await?;
            let meta = meta(answer.headers())?;
            let open = connection.as_mut().ok_or_else(Problem::broken)?;
            let body =
                open.read_to_end(answer.into_body(), LIST_LIMIT).await.map_err(|_| Problem::broken())?;
            Ok::<_, Problem>((meta, body.ok_or_else(|| Problem::too_long(LIST_LIMIT))?))
        };
        // Guards against a server that is silent, or stops within its answer.
        let (meta, body) = self.in_time(most, call).await?;
        let began = self.clock.now();
        let taken = self.follower.borrow_mut().take_list(self.now(), list, meta, &body);
        let (taken, next) =
            taken.map_err(|error| Problem::new("unreadable", format!("an answer is no list: {error}")))?;
        self.publish();
        Ok((taken, next, self.clock.now().saturating_duration_since(began)))
    }

    async fn get(
        &self,
        connection: &mut Option<Open>,
        server: usize,
        path: &str,
    ) -> Result<Response<Incoming>, Problem> {
        let address = self.settings.servers[server].address;
        let token = self.token.read().map_err(|text| Problem::new("token", text))?;
        if let Some(standing) = connection {
            if !standing.is_reusable().await {
                *connection = None;
            }
        }
        let standing = match connection {
            Some(standing) => standing,
            None => {
                let standing = self.in_time(CONNECT, open(&self.network, address, &self.security)).await?;
                connection.insert(standing)
            }
        };
        get(standing, &address.to_string(), path, token.as_deref()).await
    }

    async fn in_time<T>(
        &self,
        most: Duration,
        work: impl Future<Output = Result<T, Problem>>,
    ) -> Result<T, Problem> {
        let late = || Err(Problem::new("late", format!("did not answer within {} ms", most.as_millis())));
        self.clock.timeout(most, work).await.unwrap_or_else(late)
    }

    fn path(&self, path: String, namespaced: bool) -> String {
        let namespace = self.settings.namespace.as_deref().filter(|_| namespaced).unwrap_or("default");
        let mut path = format!("{path}?namespace={namespace}");
        if let Some(region) = &self.settings.region {
            path.push_str(&format!("&region={region}"));
        }
        path
    }

    /// Follows the event stream, with a list of the allocations at each beginning.
    async fn stream(&self) {
        let mut back_off = FIRST_BACK_OFF;
        loop {
            let server = self.server.get();
            let began = self.clock.now();
            let problem = match self.follow_stream(server).await {
                Ok(never) => match never {},
                Err(problem) => problem,
            };
            if self.clock.now().saturating_duration_since(began) > self.settings.silence {
                back_off = FIRST_BACK_OFF;
            }
            self.failed(Part::Stream, server, &problem, &mut back_off).await;
        }
    }

    async fn follow_stream(&self, server: usize) -> Result<Infallible, Problem> {
        let service = &self.settings.options.service;
        let from = self.follower.borrow().index(List::Services);
        let path = self.path("/v1/event/stream".into(), true);
        let path = format!("{path}&topic=Service:{service}&topic=Node:*&topic=Allocation:*&index={from}");
        let mut connection = None;
        let answer = self.in_time(ANSWER, self.get(&mut connection, server, &path)).await;
        let body = match answer {
            Ok(answer) => answer.into_body(),
            Err(problem) => {
                // The lists go on without the stream, and what runs is looked at all the same, elsewhere.
                self.leave(server);
                self.allocs(self.server.get()).await?;
                return Err(problem);
            }
        };
        let open = connection.ok_or_else(Problem::broken)?;
        // What the stream tells counts from when it is there, whatever becomes of the list meanwhile.
        tokio::select! {
            biased;
            end = self.read_stream(open, body) => end,
            never = self.allocs_until_known() => match never {},
        }
    }

    /// Takes in the lines of a stream until it ends.
    async fn read_stream(&self, mut open: Open, mut body: Incoming) -> Result<Infallible, Problem> {
        let mut lines = Lines::new(LINE_LIMIT);
        loop {
            // Guards against a connection that is open and dead: the servers send heartbeats.
            let bytes = match self.clock.timeout(self.settings.silence, open.next_chunk(&mut body)).await {
                None => {
                    let silence = self.settings.silence.as_secs_f64();
                    return Err(Problem::new("silent", format!("sent nothing for {silence} s")));
                }
                Some(Ok(None)) => return Err(Problem::new("ended", "ended the stream".into())),
                Some(Err(_)) => return Err(Problem::broken()),
                Some(Ok(Some(bytes))) => bytes,
            };
            self.is_well(Part::Stream);
            let (mut follower, now) = (self.follower.borrow_mut(), self.now());
            let mut unreadable = None;
            let cut = lines.push(&bytes, |line| {
                if let Err(error) = follower.take_line(now, line) {
                    unreadable.get_or_insert(error);
                }
            });
            drop(follower);
            self.publish();
            if let Some(error) = unreadable {
                return Err(Problem::new("unreadable", format!("a line of the stream is none: {error}")));
            }
            cut.map_err(|_| Problem::too_long(LINE_LIMIT))?;
        }
    }

    /// Looks once at what runs; events tell the rest. A server that does not show it to this token is gone without.
    async fn allocs(&self, server: usize) -> Result<(), Problem> {
        let part = Part::List(List::Allocs);
        match self.list(&mut None, server, List::Allocs, 0).await {
            Ok((taken, ..)) => match strange(taken) {
                Some(strange) => return Err(strange),
                None => self.is_well(part),
            },
            Err(problem) if problem.is_withheld() => {
                self.trouble(part, server, &problem);
                self.follower.borrow_mut().excuse(List::Allocs);
                self.publish();
            }
            Err(problem) => return Err(problem),
        }
        Ok(())
    }

    /// Looks at what runs until that has succeeded once, and is never ready.
    async fn allocs_until_known(&self) -> Infallible {
        let mut back_off = FIRST_BACK_OFF;
        loop {
            let server = self.server.get();
            match self.allocs(server).await {
                Ok(()) => std::future::pending().await,
                Err(problem) => self.failed(Part::List(List::Allocs), server, &problem, &mut back_off).await,
            }
        }
    }

    fn publish(&self) {
        let report = self.follower.borrow_mut().report(self.now());
        if let Some(report) = report {
            (self.reader)(report);
        }
    }

    /// Turns away from a server, unless another task has already done so.
    fn leave(&self, server: usize) {
        if self.server.get() == server {
            self.server.set((server + 1) % self.settings.servers.len());
        }
    }

    /// Between half and one and a half of a time, so that many front doors do not ask at once.
    fn spread(&self, time: Duration) -> Duration {
        time.mul_f32(0.5 + self.random.borrow_mut().rand_float())
    }

    /// Tells the operator, once for each matter however often and wherever it comes up.
    fn trouble(&self, part: Part, server: usize, problem: &Problem) {
        let mut problems = self.problems.borrow_mut();
        let (parts, told) = &mut *problems;
        parts.insert(part);
        let is_new = told.insert(problem.kind);
        drop(problems);
        if is_new {
            let (what, at) = (part.word(), self.settings.servers[server].address);
            (self.log)(format!("nomad: {at}, asked for {what}, {problem}; what it told last stays in force"));
        }
    }

    fn is_well(&self, part: Part) {
        let mut problems = self.problems.borrow_mut();
        let (parts, told) = &mut *problems;
        if parts.remove(&part) && parts.is_empty() {
            told.clear();
            drop(problems);
            (self.log)("nomad: answers again".into());
        }
    }

    fn restored(&self, server: usize) {
        let at = self.settings.servers[server].address;
        (self.log)(format!(
            "nomad: {at} has told an older state for long: it was restored, and its state counts from now on; what \
             drained or went before stays so until Nomad writes it again"
        ));
    }
}

/// What the operator is told of a list that does not count as it is.
fn strange(taken: Taken) -> Option<Problem> {
    match taken {
        Taken::Whole | Taken::Anew => None,
        Taken::Newer => Some(Problem::new("stale", "is behind its leader, or knows none".into())),
        Taken::Behind => Some(Problem::new("behind", "tells an older state than was told before".into())),
        Taken::Empty => Some(Problem::new("empty", "lists no node at all, which is not believed yet".into())),
    }
}

/// The headers that say what an answer is worth.
fn meta(headers: &HeaderMap) -> Result<Meta, Problem> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
    let index = number("X-Nomad-Index").ok_or_else(|| {
        Problem::new("unreadable", "an answer has no X-Nomad-Index: is this Nomad's API?".into())
    })?;
    // A server that says nothing of its leader vouches for nothing.
    let known_leader = text("X-Nomad-KnownLeader") == Some("true");
    Ok(Meta { index, known_leader, last_contact: number("X-Nomad-LastContact").unwrap_or(u64::MAX) })
}
