//! Clients, and the platform that leads them to nodes.

use crate::configuration::HOST;
use crate::faulty_backend::Fault;
use crate::header::{FAULT, SERVER_SEAL, TIME_LEFT, TRY_ID, WORK_MS};
use crate::history::{Attempt, AttemptOutcome, CompletedRequest, Recorder, RequestOutcome};
use crate::http::{self, Answer, Connection, Failure};
use crate::site::is_ready;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use oorandom::Rand32;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

/// How long a client waits for a request, with all its attempts.
const DEADLINE: Duration = Duration::from_secs(2);
/// How long a new connection is waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a response to an idempotent attempt is waited for.
const IDEMPOTENT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Length of a body that the gateway forwards while it receives it, in bytes.
const LONG_BODY: usize = 200_000;
/// Attempts of a request at most.
const MAX_ATTEMPTS: usize = 5;

/// The platform: checks each second which nodes are ready, and leads new connections there.
pub struct Platform {
    fronts: Vec<SocketAddrV4>,
    in_rotation: RefCell<Vec<bool>>,
    health_checks: RefCell<Vec<JoinHandle<()>>>,
}

impl Platform {
    /// Begins to check these nodes: `ready` address and `front` address.
    pub fn watch(nodes: &[(SocketAddrV4, SocketAddrV4)]) -> Rc<Platform> {
        let platform = Rc::new(Platform {
            fronts: nodes.iter().map(|(_, front)| *front).collect(),
            in_rotation: RefCell::new(vec![false; nodes.len()]),
            health_checks: RefCell::default(),
        });
        for (node, (ready, _)) in nodes.iter().copied().enumerate() {
            let weak = Rc::downgrade(&platform);
            let health_checks = spawn_local(async move {
                let mut misses = 0;
                loop {
                    let is_ready = is_ready(ready).await;
                    misses = if is_ready { 0 } else { misses + 1 };
                    let Some(platform) = weak.upgrade() else { return };
                    if is_ready || misses >= 2 {
                        platform.in_rotation.borrow_mut()[node] = is_ready;
                    }
                    drop(platform);
                    sleep(Duration::from_secs(1)).await;
                }
            });
            platform.health_checks.borrow_mut().push(health_checks);
        }
        platform
    }

    /// Whether a node receives clients.
    pub fn in_rotation(&self, node: usize) -> bool {
        self.in_rotation.borrow()[node]
    }

    /// How many nodes receive clients.
    pub fn in_rotation_count(&self) -> usize {
        self.in_rotation.borrow().iter().filter(|in_rotation| **in_rotation).count()
    }

    /// The node of a new connection: one of those that are in, or any if none is.
    fn front(&self, point: u32) -> SocketAddrV4 {
        let in_rotation = self.in_rotation.borrow();
        let all = self.fronts.iter().zip(in_rotation.iter());
        let mut nodes: Vec<SocketAddrV4> =
            all.filter(|(_, in_rotation)| **in_rotation).map(|(at, _)| *at).collect();
        if nodes.is_empty() {
            nodes.clone_from(&self.fronts);
        }
        nodes[point as usize % nodes.len()]
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.health_checks.borrow().iter().for_each(JoinHandle::abort);
    }
}

/// What a client requests.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The beginning of the paths.
    pub path_start: String,
    /// Whether the route is safe.
    pub is_safe: bool,
    /// Tenant and key.
    pub tenant: Option<(String, String)>,
    /// Whether the request should be served: within the quota, and with a key where one is needed.
    pub is_due: bool,
    /// How long the backend is to work, if not as long as it does by itself.
    pub work: Option<Duration>,
    /// When the client leaves, if it does not wait.
    pub leaves_after: Option<Duration>,
    /// What a faulty backend does with it; others ignore this.
    pub fault: Fault,
}

impl RequestSpec {
    fn new(path_start: &str, is_safe: bool) -> RequestSpec {
        RequestSpec {
            path_start: path_start.into(),
            is_safe,
            tenant: None,
            is_due: false,
            work: None,
            leaves_after: None,
            fault: Fault::None,
        }
    }

    /// A request of an idempotent route; without key, not due, with the backend's usual work.
    pub fn idempotent(path_start: &str) -> RequestSpec {
        RequestSpec::new(path_start, true)
    }

    /// The same of a route whose requests run once at most.
    pub fn non_idempotent(path_start: &str) -> RequestSpec {
        RequestSpec::new(path_start, false)
    }

    /// With a tenant's name and key.
    #[must_use]
    pub fn with_key(self, tenant: Option<(String, String)>) -> RequestSpec {
        RequestSpec { tenant, ..self }
    }

    /// It should be served.
    #[must_use]
    pub fn due(self) -> RequestSpec {
        RequestSpec { is_due: true, ..self }
    }

    /// The backend is to work for so long.
    #[must_use]
    pub fn with_work(self, work: Duration) -> RequestSpec {
        RequestSpec { work: Some(work), ..self }
    }

    /// The client departs after so long.
    #[must_use]
    pub fn leaving_after(self, after: Duration) -> RequestSpec {
        RequestSpec { leaves_after: Some(after), ..self }
    }

    /// A faulty backend does this with it.
    #[must_use]
    pub fn with_fault(self, fault: Fault) -> RequestSpec {
        RequestSpec { fault, ..self }
    }

    /// How long a response to one attempt is waited for, of the time that is left.
    fn response_timeout(&self, left: Duration) -> Duration {
        let limit = if self.is_safe {
            left.min(IDEMPOTENT_ATTEMPT_TIMEOUT.max(self.work.unwrap_or_default() * 2))
        } else {
            left
        };
        self.leaves_after.map_or(limit, |after| after.min(limit))
    }

    /// Method and body of the attempt with this id.
    fn method_and_body(&self, id: &str) -> (&'static str, Vec<u8>) {
        match self {
            RequestSpec { is_safe: true, .. } => ("GET", Vec::new()),
            RequestSpec { fault, .. } if fault.is_early() => ("POST", vec![b'x'; LONG_BODY]),
            _ => ("POST", format!("order {id}").into_bytes()),
        }
    }
}

/// One client with one connection at a time.
pub struct Client {
    platform: Rc<Platform>,
    recorder: Rc<Recorder>,
    random: Rand32,
    connection: Option<Connection>,
    /// Always this node, to observe which configuration is in force there.
    pub only: Option<SocketAddrV4>,
}

/// What a client does after an attempt.
enum NextStep {
    Done(RequestOutcome),
    Again(Duration, RequestOutcome),
}

impl Client {
    /// A client; the number seeds its choices.
    pub fn new(number: u64, platform: Rc<Platform>, recorder: Rc<Recorder>) -> Client {
        Client { platform, recorder, random: Rand32::new(number), connection: None, only: None }
    }

    /// Sends a request with as many attempts as it takes, and records it.
    pub async fn send_request(&mut self, spec: &RequestSpec) -> RequestOutcome {
        let since = Instant::now();
        let path = format!("{}{:x}", spec.path_start, self.random.rand_u32() & 0xffff);
        let mut outcome = RequestOutcome::Failed("no time".into());
        for _ in 0..MAX_ATTEMPTS {
            let left = DEADLINE.saturating_sub(since.elapsed());
            if left < Duration::from_millis(20) {
                break;
            }
            match self.attempt(spec, &path, left).await {
                NextStep::Done(at_last) => {
                    outcome = at_last;
                    break;
                }
                NextStep::Again(pause, so_far) => {
                    outcome = so_far;
                    sleep(pause.min(left / 3)).await;
                }
            }
        }
        let completed = CompletedRequest { is_due: spec.is_due, outcome: outcome.clone() };
        self.recorder.record(|history| history.requests.push(completed));
        outcome
    }

    async fn attempt(&mut self, spec: &RequestSpec, path: &str, left: Duration) -> NextStep {
        let mut connection = match self.connect(left).await {
            Ok(connection) => connection,
            Err(failure) => {
                let outcome = RequestOutcome::Failed(failure.to_string());
                return NextStep::Again(Duration::from_millis(30), outcome);
            }
        };
        let id = self.recorder.new_id();
        let (method, body) = spec.method_and_body(&id);
        let request = request_of(spec, &id, (method, path), left, body.clone());
        let index = self.record_attempt(spec, &id, path, connection.node());
        let result = connection.send(request, spec.response_timeout(left)).await;
        let (now, outcome) = (self.recorder.now(), outcome_of(&result, &id, &body));
        self.recorder.record(|history| history.attempts[index].ended = Some((now, outcome)));
        match result {
            Ok(answer) => {
                let next = judge(&answer, spec.is_safe);
                let closes = answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
                // A retry takes a new connection.
                if !closes && matches!(next, NextStep::Done(_)) {
                    self.connection = Some(connection);
                }
                next
            }
            Err(failure) => after_failure(failure, spec),
        }
    }

    /// The connection of the last request while it is open, or a new one.
    async fn connect(&mut self, left: Duration) -> Result<Connection, Failure> {
        if let Some(connection) = self.connection.take().filter(Connection::is_open) {
            return Ok(connection);
        }
        let node = self.only.unwrap_or_else(|| self.platform.front(self.random.rand_u32()));
        Connection::open(node, CONNECT_TIMEOUT.min(left)).await
    }

    /// Records an attempt as in flight; returns its index.
    fn record_attempt(&self, spec: &RequestSpec, id: &str, path: &str, node: SocketAddrV4) -> usize {
        let attempt = Attempt {
            id: id.into(),
            tenant: spec.tenant.as_ref().map(|(name, _)| name.clone()),
            host: HOST.into(),
            path: path.into(),
            is_safe: spec.is_safe,
            node,
            sent: self.recorder.now(),
            ended: None,
        };
        self.recorder.record(|history| {
            history.attempts.push(attempt);
            history.attempts.len() - 1
        })
    }
}

fn request_of(
    spec: &RequestSpec,
    id: &str,
    (method, path): (&str, &str),
    left: Duration,
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let time_left = left.as_millis().to_string();
    let bearer = spec.tenant.as_ref().map(|(_, key)| format!("Bearer {key}"));
    let work = spec.work.map(|work| work.as_millis().to_string());
    let mut headers = vec![(TRY_ID, id), (TIME_LEFT, time_left.as_str())];
    headers.extend(bearer.as_deref().map(|bearer| ("authorization", bearer)));
    headers.extend(work.as_deref().map(|work| (WORK_MS, work)));
    headers.extend((spec.fault != Fault::None).then_some((FAULT, spec.fault.name())));
    http::request(method, path, HOST, &headers, body)
}

fn outcome_of(result: &Result<Answer, Failure>, id: &str, body: &[u8]) -> AttemptOutcome {
    match result {
        Ok(answer) => AttemptOutcome::Answer {
            status: answer.status,
            seal: answer.header(SERVER_SEAL).map(str::to_owned),
            id: answer.header(TRY_ID).map(str::to_owned),
            is_complete: answer.body.strip_prefix(format!("{id}\n").as_bytes()) == Some(body),
        },
        Err(failure) => AttemptOutcome::Failed(*failure),
    }
}

/// What a client does when no response came: it retries what can't have run, and what may run again.
fn after_failure(failure: Failure, spec: &RequestSpec) -> NextStep {
    let outcome = RequestOutcome::Failed(failure.to_string());
    let may_retry = spec.is_safe || failure == Failure::NotRead;
    if spec.leaves_after.is_none() && may_retry {
        NextStep::Again(Duration::from_millis(20), outcome)
    } else {
        NextStep::Done(outcome)
    }
}

/// What a response means to a client.
fn judge(answer: &Answer, is_safe: bool) -> NextStep {
    let refused = RequestOutcome::Refused(answer.status);
    match answer.status {
        200..=299 if answer.header(SERVER_SEAL).is_some() => NextStep::Done(RequestOutcome::Served),
        200..=299 => NextStep::Done(RequestOutcome::Failed("no seal".into())),
        400 | 401 | 404 | 413 | 431 => NextStep::Done(refused),
        408 | 421 | 429 | 503 => {
            let wait = answer.header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.05);
            NextStep::Again(Duration::try_from_secs_f64(wait).unwrap_or_default(), refused)
        }
        status if is_safe => {
            NextStep::Again(Duration::from_millis(20), RequestOutcome::Failed(status.to_string()))
        }
        status => NextStep::Done(RequestOutcome::Failed(status.to_string())),
    }
}

/// A client that sends so many requests per second until `stop` is true.
pub fn run_client(
    mut client: Client,
    per_s: f64,
    stop: Rc<Cell<bool>>,
    mut spec: impl FnMut(u32) -> Option<RequestSpec> + 'static,
) -> JoinHandle<()> {
    spawn_local(async move {
        let gap = Duration::from_secs_f64(1.0 / per_s);
        // Not all at one moment.
        sleep(gap.mul_f32(client.random.rand_float())).await;
        while !stop.get() {
            let since = Instant::now();
            let point = client.random.rand_u32();
            if let Some(spec) = spec(point) {
                client.send_request(&spec).await;
            }
            sleep(gap.saturating_sub(since.elapsed())).await;
        }
    })
}
