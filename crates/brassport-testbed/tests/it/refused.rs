//! One real gateway before one backend that misbehaves as the protocol allows: what is answered with 408, 421, 429 or 503
//! has not run.
//!
//! `TESTBED_FAULTY=50 TESTBED_FIRST=1 cargo test --release -p brassport-testbed --test it refused:: -- --nocapture`
//!
//! With `BRASSPORT_GATEWAY_LOG=debug`, a failure shows what the node logged of the request.

use crate::common::{gateway_program, number_from, ONE_SITE_AT_A_TIME, STARTUP_TIMEOUT};
use brassport_testbed::configuration::{Plan, HOST};
use brassport_testbed::faulty_backend::{Fault, FaultyBackend};
use brassport_testbed::header::{FAULT, TIME_LEFT, TRY_ID};
use brassport_testbed::history::{Attempt, AttemptOutcome, Recorder};
use brassport_testbed::http::{request, Connection, Failure};
use brassport_testbed::operator::Operator;
use brassport_testbed::play::block_on;
use brassport_testbed::rules::{refused_never_ran, unsafe_runs_once};
use brassport_testbed::site::{Layout, Site, ZONES};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use strum::VariantArray;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Seeds in CI; clients of each, and requests of each client.
const SEEDS: u64 = 2;
const CLIENTS: u64 = 4;
const REQUESTS: u64 = 125;
/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// How long a client waits that has sent a part of its request: longer than the gateway waits for the rest.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(20);
/// Length of a body that is forwarded while it is being received, and how much of it the client sends before it waits for
/// the response, in bytes.
const LONG_BODY: usize = 400_000;
const LONG_BODY_SENT: usize = 100_000;
/// Requests that the backend serves before each fault, so that the retry budget is not empty; and attempts at them.
const SERVED_BEFORE: usize = 8;
const MAX_SENT_BEFORE: usize = 200;

/// How often a fault led to a status; no status if there was no response.
type Seen = BTreeMap<(Fault, Option<u16>), u64>;

/// A site of one node and one backend, of the service that the non-idempotent route leads to.
struct FaultySite {
    site: Site,
    recorder: Rc<Recorder>,
    key: String,
    // Dropped, it crashes.
    _backend: FaultyBackend,
}

impl FaultySite {
    async fn start() -> FaultySite {
        let layout = Layout { counted: 1, others: 0, program: gateway_program().into(), has_relays: false };
        let mut site = Site::new(&layout).expect("free ports");
        let recorder = Recorder::begin();
        site.start_all().expect("the node starts");
        let backend = FaultyBackend::start("cedar", ZONES[0], site.controls(), recorder.clone()).await;
        let plan = Plan::first(1);
        let key = plan.key("elm").expect("elm has a key").to_owned();
        let response = Operator::new(site.controls(), recorder.clone()).put(plan, STARTUP_TIMEOUT).await;
        assert!(response.is_some_and(|response| response.status == 200), "{response:?}\n{}", site.logs());
        let started = FaultySite { site, recorder, key, _backend: backend.expect("it listens") };
        started.client().serve_some(1).await;
        started
    }

    fn client(&self) -> FaultyClient<'_> {
        FaultyClient { site: self, connection: None }
    }

    fn front(&self) -> SocketAddrV4 {
        self.site.nodes[0].front()
    }

    /// The attempts that were answered with a promise that they have not run, and ran.
    fn refused_but_ran(&self) -> Vec<Attempt> {
        let history = self.recorder.history();
        let refused = |attempt: &Attempt| {
            let ended = attempt.ended.as_ref().map(|(_, outcome)| outcome);
            matches!(ended, Some(AttemptOutcome::Answer { status: 408 | 421 | 429 | 503, .. }))
        };
        let ran = |attempt: &Attempt| history.runs.iter().any(|run| run.id == attempt.id);
        history.attempts.iter().filter(|attempt| refused(attempt) && ran(attempt)).cloned().collect()
    }

    fn has_run(&self, id: &str) -> bool {
        self.recorder.history().runs.iter().any(|run| run.id == id)
    }

    /// What the node logged of an attempt.
    fn log_of(&self, id: &str) -> String {
        let log = self.site.nodes[0].log();
        log.lines().filter(|line| line.contains(id)).map(|line| format!("{line}\n")).collect()
    }
}

/// A client of the site with one connection at a time.
struct FaultyClient<'a> {
    site: &'a FaultySite,
    connection: Option<Connection>,
}

/// What a client knows of its attempt.
struct Attempted {
    id: String,
    status: Option<u16>,
}

impl FaultyClient<'_> {
    /// Sends requests without a fault until this many are served: some are lost to surplus responses, or come while the
    /// backend is ejected.
    async fn serve_some(&mut self, count: usize) {
        let mut served = 0;
        for _ in 0..MAX_SENT_BEFORE {
            match self.send(Fault::None).await.status {
                Some(200) => served += 1,
                _ => sleep(Duration::from_millis(50)).await,
            }
            if served == count {
                return;
            }
        }
        panic!("{served} of {MAX_SENT_BEFORE} requests are served\n{}", self.site.site.logs());
    }

    async fn send(&mut self, fault: Fault) -> Attempted {
        let recorder = &self.site.recorder;
        let id = recorder.new_id();
        let path = format!("/orders/{id}");
        let index = self.record_attempt(&id, &path);
        let (time_left, bearer) = (DEADLINE.as_millis().to_string(), format!("Bearer {}", self.site.key));
        let headers =
            [(TRY_ID, &*id), (TIME_LEFT, &*time_left), ("authorization", &*bearer), (FAULT, fault.name())];
        let result = if fault.is_early() {
            self.send_incomplete(&path, &headers).await
        } else {
            self.send_complete(&path, &headers).await
        };
        let outcome = match &result {
            Ok(status) => AttemptOutcome::Answer { status: *status, seal: None, id: None, is_complete: true },
            Err(failure) => AttemptOutcome::Failed(*failure),
        };
        let now = recorder.now();
        recorder.record(|history| history.attempts[index].ended = Some((now, outcome)));
        Attempted { id, status: result.ok() }
    }

    /// Sends a request on the connection of the last one if it is open.
    async fn send_complete(&mut self, path: &str, headers: &[(&str, &str)]) -> Result<u16, Failure> {
        let mut connection = match self.connection.take().filter(Connection::is_open) {
            Some(connection) => connection,
            None => Connection::open(self.site.front(), DEADLINE).await?,
        };
        let request = request("POST", path, HOST, headers, b"an order".to_vec());
        let answer = connection.send(request, DEADLINE).await?;
        if !answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close")) {
            self.connection = Some(connection);
        }
        Ok(answer.status)
    }

    /// Sends a request without the end of its body, and waits for the response.
    async fn send_incomplete(&self, path: &str, headers: &[(&str, &str)]) -> Result<u16, Failure> {
        let stream = TcpStream::connect(self.site.front()).await;
        let mut stream = stream.map_err(|_| Failure::NoConnection)?;
        let mut head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {LONG_BODY}\r\n");
        headers.iter().for_each(|(name, value)| head.push_str(&format!("{name}: {value}\r\n")));
        let request = [head.as_bytes(), b"\r\n", &[b'x'; LONG_BODY_SENT]].concat();
        stream.write_all(&request).await.map_err(|_| Failure::Closed)?;
        // `HTTP/1.1 504`
        let mut status_line = [0; 12];
        match timeout(UPLOAD_DEADLINE, stream.read_exact(&mut status_line)).await {
            Ok(Ok(_)) => {
                let status = std::str::from_utf8(&status_line[9..]).ok().and_then(|text| text.parse().ok());
                Ok(status.expect("a status line"))
            }
            Ok(Err(_)) => Err(Failure::Closed),
            Err(_) => Err(Failure::Silence),
        }
    }

    /// Records an attempt as in flight; returns its index.
    fn record_attempt(&self, id: &str, path: &str) -> usize {
        let recorder = &self.site.recorder;
        let attempt = Attempt {
            id: id.into(),
            tenant: Some("elm".into()),
            host: HOST.into(),
            path: path.into(),
            is_safe: false,
            node: self.site.front(),
            sent: recorder.now(),
            ended: None,
        };
        recorder.record(|history| {
            history.attempts.push(attempt);
            history.attempts.len() - 1
        })
    }
}

fn print(seen: &Seen) {
    for ((fault, status), count) in seen {
        let status = status.map_or_else(|| "none".to_owned(), |status| status.to_string());
        println!("{:24} {status:>5} {count:>5}", fault.name());
    }
}

/// Prints the attempts that were refused and ran, and returns their number.
fn report(site: &FaultySite) -> usize {
    let broken = site.refused_but_ran();
    for attempt in &broken {
        println!("refused, and ran: {attempt:?}\n{}", site.log_of(&attempt.id));
    }
    broken.len()
}

#[test]
fn no_fault_of_a_backend_turns_a_request_that_ran_into_a_refused_one() {
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    block_on(async {
        let site = FaultySite::start().await;
        let mut client = site.client();
        let mut seen = Seen::new();
        for fault in Fault::VARIANTS.iter().copied() {
            client.serve_some(SERVED_BEFORE).await;
            let attempted = client.send(fault).await;
            let has_run = site.has_run(&attempted.id);
            assert!(has_run || fault.is_rejection(), "{fault:?}: the backend did not get the request");
            *seen.entry((fault, attempted.status)).or_insert(0) += 1;
        }
        print(&seen);
        assert_eq!(report(&site), 0, "answered with a promise, and ran");
        assert_eq!(unsafe_runs_once(&site.recorder.history()), Ok(()));
    })
    .expect("a runtime");
}

/// Sends requests, each third one with a fault.
async fn send_random_faults(site: &FaultySite, seed: u64, seen: &RefCell<Seen>) {
    let (mut client, mut rng) = (site.client(), Rand64::new(u128::from(seed)));
    // These take as long as the client waits.
    let is_slow = |fault: &Fault| matches!(fault, Fault::SilentWhileRunning | Fault::EarlyRunSilent);
    let faults: Vec<Fault> = Fault::VARIANTS.iter().copied().filter(|fault| !is_slow(fault)).collect();
    for _ in 0..REQUESTS {
        let drawn = faults[rng.rand_range(0..faults.len() as u64) as usize];
        let fault = if rng.rand_range(0..3) == 0 { drawn } else { Fault::None };
        let attempted = client.send(fault).await;
        *seen.borrow_mut().entry((fault, attempted.status)).or_insert(0) += 1;
    }
}

/// Suspends the node for moments, until the requests are over.
async fn suspend_at_random(site: Rc<FaultySite>, seed: u64, is_over: Rc<Cell<bool>>) {
    let mut rng = Rand64::new(u128::from(seed) << 8);
    while !is_over.get() {
        sleep(Duration::from_millis(rng.rand_range(50..600))).await;
        site.site.nodes[0].suspend();
        sleep(Duration::from_millis(rng.rand_range(1..300))).await;
        site.site.nodes[0].resume();
    }
}

/// Returns how many requests were refused and ran, and how many ran again.
async fn play_random_faults(seed: u64) -> usize {
    let site = Rc::new(FaultySite::start().await);
    let (seen, is_over) = (Rc::new(RefCell::default()), Rc::new(Cell::new(false)));
    let suspending = spawn_local(suspend_at_random(site.clone(), seed, is_over.clone()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (site, seen) = (site.clone(), seen.clone());
            spawn_local(async move { send_random_faults(&site, seed << 8 | client, &seen).await })
        })
        .collect();
    for client in clients {
        client.await.expect("a client ends");
    }
    is_over.set(true);
    suspending.await.expect("the node runs on");
    print(&seen.borrow());
    let history = site.recorder.history();
    let refused_and_ran = report(&site);
    println!("seed {seed}: {} ran, {refused_and_ran} were refused and ran", history.runs.len());
    let rules = [refused_never_ran(&history), unsafe_runs_once(&history)];
    let violations = rules.iter().filter_map(|rule| rule.as_ref().err());
    violations.inspect(|violation| println!("{violation}")).count().max(refused_and_ran)
}

#[test]
fn nothing_refused_has_run_under_random_faults_of_a_backend() {
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    let (first, count) = (number_from("TESTBED_FIRST", 1), number_from("TESTBED_FAULTY", SEEDS));
    let play = |seed| (seed, block_on(play_random_faults(seed)).expect("a runtime"));
    let broken: Vec<(u64, usize)> =
        (first..first + count).map(play).filter(|(_, broken)| *broken > 0).collect();
    assert!(broken.is_empty(), "seeds with requests that were refused and ran, or ran again: {broken:?}");
}
