//! The admin listener: a thread that serves the operators' HTTP calls independently of the load of the data path.
//!
//! It holds no state of the gateway: it passes each call to the data path as a [`Command`] and returns the reply.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{AbortHandle, LocalSet};

/// Maximum number of descriptors of the listener: its socket, its runtime's, one for each connection, and some that
/// are being closed.
pub const DESCRIPTORS: usize = MAX_CONNECTIONS + 8;
/// Maximum number of connections. At the limit, the oldest connection without a complete call is closed for a new
/// one.
const MAX_CONNECTIONS: usize = 16;
/// How long a client may take to send its call. A connection may take this, [`REPLY_TIMEOUT`] and [`WRITE_TIMEOUT`]
/// in all.
const READ_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long the data path may take to reply: operators get a response within a second.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a client may take to read its response.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum size of a call's head, in bytes; hyper's minimum.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a call's body, in bytes. The body is discarded.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Capacity of the channel to the data path.
const COMMAND_QUEUE: usize = 2 * MAX_CONNECTIONS;
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Stack size of the listener's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// A call of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Return the metrics.
    Metrics,
    /// Send no new requests to this backend.
    Disable(String),
    /// End the ban of this backend.
    Enable(String),
    /// As `Disable`, but also if the backend was not listed yet.
    Ban(String),
}

/// The data path's reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The metrics, one line each.
    Metrics(String),
    /// The call has taken effect.
    Done,
    /// No backend of this name is known.
    UnknownNode,
}

/// A call, and the channel for its reply.
#[derive(Debug)]
pub struct Command {
    pub call: Call,
    pub reply: oneshot::Sender<Reply>,
}

/// The data path's side of the listener.
#[derive(Debug)]
pub struct AdminHandle {
    pub commands: mpsc::Receiver<Command>,
    /// Whether the gateway serves clients; set by the data path.
    pub ready: Arc<AtomicBool>,
}

/// State shared by the listener's connections.
struct AdminServer {
    commands: mpsc::Sender<Command>,
    ready: Arc<AtomicBool>,
    /// Whether the host has taken the gateway out of service.
    out_of_service: Arc<AtomicBool>,
    /// The tasks of connections without a complete call, by connection number, which increases with each accept.
    reading: RefCell<BTreeMap<u64, AbortHandle>>,
    connections: Cell<usize>,
    closed: Notify,
}

/// Listens at this address, on a thread of its own that runs until the process ends. While the host sets
/// `out_of_service`, the gateway is reported as not ready.
///
/// # Errors
/// A one-line message, if the address cannot be bound or the thread cannot be started.
pub fn listen(at: SocketAddr, out_of_service: Arc<AtomicBool>) -> Result<AdminHandle, String> {
    let bind_error = |error| {
        format!(
            "BALANCER_ADMIN_ADDR or admin_addr: cannot listen on {at}: {error}; name a free address of this \
             machine, or leave both out"
        )
    };
    let listener = TcpListener::bind(at).map_err(bind_error)?;
    listener.set_nonblocking(true).map_err(bind_error)?;
    let (sender, commands) = mpsc::channel(COMMAND_QUEUE);
    let ready = Arc::new(AtomicBool::new(false));
    let shared_ready = ready.clone();
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the admin listener needs a runtime");
        let server = Rc::new(AdminServer {
            commands: sender,
            ready: shared_ready,
            out_of_service,
            reading: RefCell::default(),
            connections: Cell::new(0),
            closed: Notify::new(),
        });
        LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            accept(&listener, &server).await;
        });
    };
    let thread = thread::Builder::new().name("operators".into()).stack_size(STACK_BYTES).spawn(serve);
    thread.map_err(|error| format!("cannot start the admin listener's thread: {error}"))?;
    Ok(AdminHandle { commands, ready })
}

async fn accept(listener: &tokio::net::TcpListener, server: &Rc<AdminServer>) {
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        };
        server.make_room().await;
        server.connections.set(server.connections.get() + 1);
        let connection = Connection { server: server.clone(), number };
        let task = tokio::task::spawn_local(async move {
            let _ = tokio::time::timeout(
                READ_TIMEOUT + REPLY_TIMEOUT + WRITE_TIMEOUT,
                serve(stream, &connection),
            )
            .await;
        });
        server.reading.borrow_mut().insert(number, task.abort_handle());
    }
}

impl AdminServer {
    /// Waits until a further connection is below the limit. Closes the oldest connection without a complete call, so
    /// that idle clients cannot block others.
    async fn make_room(&self) {
        while self.connections.get() >= MAX_CONNECTIONS {
            if let Some((_, oldest)) = self.reading.borrow_mut().pop_first() {
                oldest.abort();
            }
            self.closed.notified().await;
        }
    }

    async fn execute(&self, call: Call) -> Option<Reply> {
        let (reply, replied) = oneshot::channel();
        let execute = async {
            self.commands.send(Command { call, reply }).await.ok()?;
            replied.await.ok()
        };
        tokio::time::timeout(REPLY_TIMEOUT, execute).await.ok().flatten()
    }
}

/// One connection; dropping it frees its place below the limit.
struct Connection {
    server: Rc<AdminServer>,
    number: u64,
}

impl Connection {
    fn finish_reading(&self) {
        self.server.reading.borrow_mut().remove(&self.number);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.finish_reading();
        self.server.connections.set(self.server.connections.get() - 1);
        self.server.closed.notify_one();
    }
}

/// Reads one call and responds to it.
async fn serve(stream: TcpStream, connection: &Connection) {
    let service = service_fn(|request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        connection.finish_reading();
        let response = match body {
            Ok(_) => respond(&head.method, head.uri.path(), &connection.server).await,
            Err(_) => text(StatusCode::BAD_REQUEST, "the call's body is broken or too long\n"),
        };
        Ok::<_, Infallible>(response)
    });
    // A client may shut down its sending side after its call. Errors of the connection need no handling.
    let _ = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond(method: &Method, path: &str, server: &AdminServer) -> Response<Full<Bytes>> {
    let (allowed, call) = match path.strip_prefix("/-/").unwrap_or_default() {
        "ready" => (Method::GET, None),
        "metrics" => (Method::GET, Some(Call::Metrics)),
        other => {
            let command = other.strip_prefix("backends/").and_then(|rest| rest.rsplit_once('/'));
            let call = match command {
                Some((id, "disable")) if !id.is_empty() => Call::Disable(id.to_string()),
                Some((id, "enable")) if !id.is_empty() => Call::Enable(id.to_string()),
                _ => return text(StatusCode::NOT_FOUND, "no such call\n"),
            };
            (Method::PUT, Some(call))
        }
    };
    if *method != allowed && !(allowed == Method::GET && *method == Method::HEAD) {
        let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "this call has another method\n");
        let allow = if allowed == Method::GET { "GET, HEAD" } else { "PUT" };
        response.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        return response;
    }
    let Some(call) = call else {
        return match server.ready.load(Ordering::Relaxed) && !server.out_of_service.load(Ordering::Relaxed) {
            true => text(StatusCode::OK, "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
    };
    match server.execute(call).await {
        Some(Reply::Metrics(metrics)) => text(StatusCode::OK, metrics),
        Some(Reply::Done) => text(StatusCode::OK, "done\n"),
        Some(Reply::UnknownNode) => {
            text(StatusCode::NOT_FOUND, "no such backend; /-/metrics counts the listed ones\n")
        }
        None => text(StatusCode::SERVICE_UNAVAILABLE, "no reply of the data path\n"),
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
