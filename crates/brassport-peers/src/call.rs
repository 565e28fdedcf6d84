//! Calls between processes of a fleet: HTTP/1.1 with JSON, sealed both ways, bounded in size, number and time.

use crate::seal::{Call, Gate, Key, Refused};
use brassport::log;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Bytes of a call and of an answer at most: a snapshot of the shared state with some tens of settings.
const LARGEST: usize = 16 * 1024 * 1024;
/// Connections at once, and how long one may stand without a call.
const CONNECTIONS: usize = 1024;
const IDLE: Duration = Duration::from_secs(60);
/// Between two lines about calls that were refused.
const QUIET: Duration = Duration::from_secs(10);

/// What a test has this process's wall clock be off by.
static SKEW_MS: AtomicI64 = AtomicI64::new(0);

/// From now on the wall clock tells so many milliseconds more: for tests, whose processes share one machine's.
pub fn skew_wall_clock(ms: i64) {
    SKEW_MS.store(ms, Ordering::Relaxed);
}

/// Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0).saturating_add_signed(SKEW_MS.load(Ordering::Relaxed))
}

/// A number that nobody else draws.
pub fn draw() -> u64 {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).expect("the system has random numbers");
    u64::from_be_bytes(bytes)
}

/// One who calls, and is called.
#[derive(Debug, Clone)]
pub struct Site {
    pub key: Key,
    /// The caller's name.
    pub name: String,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Said {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Said {
    pub fn json(value: &impl serde::Serialize) -> Said {
        Said { status: 200, body: serde_json::to_vec(value).expect("plain data has a form in JSON") }
    }

    pub fn problem(status: u16, what: &str) -> Said {
        Said { status, body: what.as_bytes().to_vec() }
    }

    /// # Errors
    /// The words that came in the place of an answer.
    pub fn read<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        if self.status != 200 {
            return Err(String::from_utf8_lossy(&self.body).into_owned());
        }
        serde_json::from_slice(&self.body).map_err(|error| format!("its answer makes no sense: {error}"))
    }
}

/// A connection to one process, made when it is needed. One call at a time.
pub struct Line {
    site: Site,
    address: Cell<SocketAddr>,
    kept: RefCell<Option<SendRequest<Full<Bytes>>>>,
}

impl Line {
    pub fn new(site: Site, address: SocketAddr) -> Line {
        Line { site, address: Cell::new(address), kept: RefCell::new(None) }
    }

    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Calls from now on there.
    pub fn turn_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.kept.take();
        }
    }

    /// # Errors
    /// One plain line: no connection, no answer in time, or one that is not sealed with the site's key.
    pub async fn call(&self, path: &str, body: Vec<u8>, patience: Duration) -> Result<Said, String> {
        let address = self.address.get();
        match timeout(patience, self.exchange(path, body)).await {
            Ok(said) => said.map_err(|problem| format!("{address}: {problem}")),
            Err(_) => Err(format!("{address}: no answer within {} ms", patience.as_millis())),
        }
    }

    async fn exchange(&self, path: &str, body: Vec<u8>) -> Result<Said, String> {
        let (at_ms, number) = (wall_ms(), format!("{:016x}{:016x}", draw(), draw()));
        let call = Call { path, from: &self.site.name, at_ms, number: &number, body: &body };
        let seal = self.site.key.seal(&call);
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header("host", "fleet")
            .header("x-fleet-from", &self.site.name)
            .header("x-fleet-at", at_ms)
            .header("x-fleet-number", &number)
            .header("x-fleet-seal", seal)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_string())?;
        // Taken out meanwhile: a call that is given up takes its connection with it.
        let kept = self.kept.take().filter(|kept| !kept.is_closed());
        let mut sender = match kept {
            Some(kept) => kept,
            None => self.connect().await?,
        };
        sender.ready().await.map_err(|error| error.to_string())?;
        let answer = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, LARGEST).collect().await.map_err(|error| error.to_string())?.to_bytes();
        let seal = head.headers.get("x-fleet-seal").and_then(|seal| seal.to_str().ok()).unwrap_or_default();
        let status = head.status.as_u16();
        if !self.site.key.fits_answer(&number, status, &body, seal) {
            return Err(format!(
                "its answer ({status}) is not sealed with this site's key: another site, or another program; {}",
                String::from_utf8_lossy(&body[..body.len().min(200)])
            ));
        }
        self.kept.replace(Some(sender));
        Ok(Said { status, body: body.to_vec() })
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, String> {
        let stream = TcpStream::connect(self.address.get()).await.map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        spawn_local(connection);
        Ok(sender)
    }
}

/// Answers calls: who called, what, and with which body.
pub trait Answers {
    fn answer(&self, from: String, path: String, body: Bytes) -> Pin<Box<dyn Future<Output = Said>>>;
}

/// Serves calls for as long as it is polled.
pub async fn serve(listener: TcpListener, site: Site, answers: Rc<dyn Answers>) {
    let desk = Rc::new(Server {
        site,
        answers,
        gate: RefCell::default(),
        open: Cell::new(0),
        told: Cell::new(None),
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if desk.open.get() >= CONNECTIONS {
            continue;
        }
        let _ = stream.set_nodelay(true);
        desk.open.set(desk.open.get() + 1);
        let desk = desk.clone();
        spawn_local(async move {
            let service = service_fn(|request| desk.clone().take(request));
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(IDLE);
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
            desk.open.set(desk.open.get() - 1);
        });
    }
}

struct Server {
    site: Site,
    answers: Rc<dyn Answers>,
    gate: RefCell<Gate>,
    open: Cell<usize>,
    told: Cell<Option<std::time::Instant>>,
}

impl Server {
    async fn take(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        let header =
            |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let (path, from, number) = (head.uri.path(), header("x-fleet-from"), header("x-fleet-number"));
        let said = match timeout(IDLE, Limited::new(body, LARGEST).collect()).await {
            Ok(Ok(body)) => {
                let body = body.to_bytes();
                let at_ms = header("x-fleet-at").parse().unwrap_or(0);
                let call = Call { path, from, at_ms, number, body: &body };
                let taken =
                    self.gate.borrow_mut().take(&self.site.key, &call, header("x-fleet-seal"), wall_ms());
                match taken {
                    Ok(()) => self.answers.answer(from.into(), path.into(), body).await,
                    Err(why) => self.refuse(from, path, why),
                }
            }
            _ => Said::problem(413, "the call is too long, or takes too long to come"),
        };
        let seal = self.site.key.seal_answer(number, said.status, &said.body);
        let mut answer = Response::new(Full::new(Bytes::from(said.body)));
        *answer.status_mut() = StatusCode::from_u16(said.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if let Ok(seal) = seal.parse() {
            answer.headers_mut().insert("x-fleet-seal", seal);
        }
        Ok(answer)
    }

    fn refuse(&self, from: &str, path: &str, why: Refused) -> Said {
        let is_due = self.told.get().is_none_or(|told| told.elapsed() > QUIET);
        if is_due {
            self.told.set(Some(std::time::Instant::now()));
            let from: String = from.chars().filter(|c| !c.is_control()).take(64).collect();
            log::write_line(format!("fleet: a call of '{from}' to {path} was refused: {why}"));
        }
        Said::problem(403, &why.to_string())
    }
}
