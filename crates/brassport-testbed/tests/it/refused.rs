//! One real gateway before one backend that misbehaves as the protocol allows: what is answered with 408, 421, 429 or 503
//! has not run.
//!
//! `cargo test --release -p brassport-testbed --test it refused:: -- --nocapture`

use crate::common::{gateway_program, ONE_SITE_AT_A_TIME, STARTUP_TIMEOUT};
use brassport_testbed::configuration::{Plan, HOST};
use brassport_testbed::faulty_backend::{Fault, FaultyBackend};
use brassport_testbed::header::{FAULT, TIME_LEFT, TRY_ID};
use brassport_testbed::history::{Attempt, AttemptOutcome, Recorder};
use brassport_testbed::http::{request, Connection, Failure};
use brassport_testbed::operator::Operator;
use brassport_testbed::play::block_on;
use brassport_testbed::rules::unsafe_runs_once;
use brassport_testbed::site::{Layout, Site, ZONES};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

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
const MAX_SENT_BEFORE: usize = 40;

/// A site of one node and one backend, of the service that the non-idempotent route leads to.
struct FaultySite {
    site: Site,
    recorder: Rc<Recorder>,
    key: String,
    connection: Option<Connection>,
    sent: u64,
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
        assert!(site.is_ready_within(0, STARTUP_TIMEOUT).await, "the node is not ready\n{}", site.logs());
        let backend = backend.expect("it listens");
        let mut started = FaultySite { site, recorder, key, connection: None, sent: 0, _backend: backend };
        started.wait_for_backend().await;
        started
    }

    async fn wait_for_backend(&mut self) {
        for _ in 0..100 {
            if self.send(Fault::None).await == Some(200) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("the backend gets no requests\n{}", self.site.logs());
    }

    /// Sends requests without a fault until enough are served: some are lost to surplus responses.
    async fn serve_some(&mut self) {
        let mut served = 0;
        for _ in 0..MAX_SENT_BEFORE {
            served += usize::from(self.send(Fault::None).await == Some(200));
            if served == SERVED_BEFORE {
                return;
            }
        }
        panic!("{served} of {MAX_SENT_BEFORE} requests are served\n{}", self.site.logs());
    }

    /// Sends one request. Returns the status of the response.
    async fn send(&mut self, fault: Fault) -> Option<u16> {
        self.sent += 1;
        let (id, path) = (self.recorder.new_id(), format!("/orders/{}", self.sent));
        let index = self.record_attempt(&id, &path);
        let (time_left, bearer) = (DEADLINE.as_millis().to_string(), format!("Bearer {}", self.key));
        let headers =
            [(TRY_ID, &*id), (TIME_LEFT, &*time_left), ("authorization", &*bearer), (FAULT, &*fault.name())];
        let result = if fault.is_early() {
            self.send_incomplete(&path, &headers).await
        } else {
            self.send_complete(&path, &headers).await
        };
        let outcome = match &result {
            Ok(status) => {
                AttemptOutcome::Answer { status: *status, seal: None, id: Some(id), is_complete: true }
            }
            Err(failure) => AttemptOutcome::Failed(*failure),
        };
        let now = self.recorder.now();
        self.recorder.record(|history| history.attempts[index].ended = Some((now, outcome)));
        result.ok()
    }

    /// Sends a request on the connection of the last one if it is open.
    async fn send_complete(&mut self, path: &str, headers: &[(&str, &str)]) -> Result<u16, Failure> {
        let mut connection = match self.connection.take().filter(Connection::is_open) {
            Some(connection) => connection,
            None => Connection::open(self.site.nodes[0].front(), DEADLINE).await?,
        };
        let answer =
            connection.send(request("POST", path, HOST, headers, b"an order".to_vec()), DEADLINE).await?;
        if !answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close")) {
            self.connection = Some(connection);
        }
        Ok(answer.status)
    }

    /// Sends a request without the end of its body, and waits for the response.
    async fn send_incomplete(&self, path: &str, headers: &[(&str, &str)]) -> Result<u16, Failure> {
        let mut stream =
            TcpStream::connect(self.site.nodes[0].front()).await.map_err(|_| Failure::NoConnection)?;
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
        let attempt = Attempt {
            id: id.into(),
            tenant: Some("elm".into()),
            host: HOST.into(),
            path: path.into(),
            is_safe: false,
            node: self.site.nodes[0].front(),
            sent: self.recorder.now(),
            ended: None,
        };
        self.recorder.record(|history| {
            history.attempts.push(attempt);
            history.attempts.len() - 1
        })
    }

    /// What the node logged of the last request, if it logs the ends of attempts (`BRASSPORT_GATEWAY_LOG=debug`).
    fn last_attempts(&self) -> String {
        let last = self.recorder.history().attempts.last().map(|attempt| format!("request={}", attempt.id));
        let log = self.site.nodes[0].log();
        log.lines()
            .filter(|line| last.as_ref().is_some_and(|last| line.contains(last)))
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// How many requests were answered with a promise that they have not run, and ran.
    fn refused_but_ran(&self) -> usize {
        let history = self.recorder.history();
        let ran = |id: &str| history.runs.iter().any(|run| run.id == id);
        let refused = |attempt: &&Attempt| {
            let ended = attempt.ended.as_ref().map(|(_, outcome)| outcome);
            matches!(ended, Some(AttemptOutcome::Answer { status: 408 | 421 | 429 | 503, .. }))
        };
        history.attempts.iter().filter(refused).filter(|attempt| ran(&attempt.id)).count()
    }
}

/// Prints how often each fault had which status.
fn print(seen: &BTreeMap<(Fault, Option<u16>), u64>) {
    for ((fault, status), count) in seen {
        let status = status.map_or_else(|| "none".to_owned(), |status| status.to_string());
        println!("{:24} {status:>5} {count:>5}", fault.name());
    }
}

#[test]
fn no_fault_of_a_backend_turns_a_request_that_ran_into_a_refused_one() {
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    block_on(async {
        let mut site = FaultySite::start().await;
        let (mut seen, mut broken) = (BTreeMap::new(), Vec::new());
        for fault in Fault::ALL {
            site.serve_some().await;
            let before = site.refused_but_ran();
            let status = site.send(fault).await;
            *seen.entry((fault, status)).or_insert(0) += 1;
            if site.refused_but_ran() > before {
                broken.push((fault, status));
                println!("{}", site.last_attempts());
            }
        }
        print(&seen);
        assert!(broken.is_empty(), "answered with a promise, and ran: {broken:?}");
        assert_eq!(unsafe_runs_once(&site.recorder.history()), Ok(()));
    })
    .expect("a runtime");
}
