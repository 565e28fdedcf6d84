//! The operators' listener: a thread that reads their calls and answers them, whatever the load of the data path.
//!
//! It decides and knows nothing: what is asked goes to the data path as a [`Command`], and the reply comes back.

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

/// Descriptors that the listener may hold: itself, its runtime's, its callers', and some that are about to close.
pub const DESCRIPTORS: usize = MOST_CALLERS + 8;
/// Callers at once. One more, and the oldest that has not said its call gives way.
const MOST_CALLERS: usize = 16;
/// How long a call may take to come, and the whole of a caller's connection.
const CALLING: Duration = Duration::from_millis(2000);
/// How long the data path may take to reply: an answer is due within a second.
const REPLY: Duration = Duration::from_millis(800);
/// How long a caller may take to read its answer.
const READING: Duration = Duration::from_millis(2000);
/// Most bytes of a call's head, the least that hyper takes, and of its body, of which nothing is read.
const HEAD_LIMIT: usize = 8 * 1024;
const BODY_LIMIT: usize = 16 * 1024;
/// Calls that wait for the data path.
const WAITING: usize = 2 * MOST_CALLERS;
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(20);
const STACK: usize = 256 * 1024;

/// What the data path is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// The figures.
    Metrics,
    /// Leave this node out.
    Disable(String),
    /// Put this node back.
    Enable(String),
    /// Leave this node out, also if no list has named it yet.
    Ban(String),
}

/// What the data path replies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The figures, a line each.
    Metrics(String),
    /// It is so from now on.
    Done,
    /// There is no such node.
    UnknownNode,
}

/// A call with the place for its reply.
#[derive(Debug)]
pub struct Command {
    pub call: Call,
    pub reply: oneshot::Sender<Reply>,
}

/// The data path's side of the listener.
#[derive(Debug)]
pub struct AdminHandle {
    pub commands: mpsc::Receiver<Command>,
    /// Whether clients are served; the data path sets it.
    pub ready: Arc<AtomicBool>,
}

struct Desk {
    commands: mpsc::Sender<Command>,
    ready: Arc<AtomicBool>,
    /// Whether the host keeps the door from acting.
    out: Arc<AtomicBool>,
    /// Those who have not said all of their call, in the order in which they came.
    calling: RefCell<BTreeMap<u64, AbortHandle>>,
    callers: Cell<usize>,
    left: Notify,
}

/// Listens at this address, on a thread of its own that lives as long as the process. While the host says that the door
/// is `out`, it is not ready.
///
/// # Errors
/// One plain line, if it cannot listen there.
pub fn listen(at: SocketAddr, out: Arc<AtomicBool>) -> Result<AdminHandle, String> {
    let fault = |error| {
        format!(
            "BALANCER_ADMIN_ADDR or admin_addr: cannot listen on {at}: {error}; name a free address of this \
             machine, or leave both out"
        )
    };
    let listener = TcpListener::bind(at).map_err(fault)?;
    listener.set_nonblocking(true).map_err(fault)?;
    let (sender, commands) = mpsc::channel(WAITING);
    let ready = Arc::new(AtomicBool::new(false));
    let told = ready.clone();
    let serve = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("the operators' listener needs an event queue");
        let desk = Rc::new(Desk {
            commands: sender,
            ready: told,
            out,
            calling: RefCell::default(),
            callers: Cell::new(0),
            left: Notify::new(),
        });
        LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            accept(&listener, &desk).await;
        });
    };
    let thread = thread::Builder::new().name("operators".into()).stack_size(STACK).spawn(serve);
    thread.map_err(|error| format!("cannot start the operators' listener: {error}"))?;
    Ok(AdminHandle { commands, ready })
}

async fn accept(listener: &tokio::net::TcpListener, desk: &Rc<Desk>) {
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(_) => tokio::time::sleep(BACK_OFF).await,
            }
        };
        desk.make_room().await;
        desk.callers.set(desk.callers.get() + 1);
        let caller = Caller { desk: desk.clone(), number };
        let task = tokio::task::spawn_local(async move {
            let _ = tokio::time::timeout(CALLING + REPLY + READING, serve(stream, &caller)).await;
        });
        desk.calling.borrow_mut().insert(number, task.abort_handle());
    }
}

impl Desk {
    /// Guards against callers who say nothing and keep others out.
    async fn make_room(&self) {
        while self.callers.get() >= MOST_CALLERS {
            if let Some((_, oldest)) = self.calling.borrow_mut().pop_first() {
                oldest.abort();
            }
            self.left.notified().await;
        }
    }

    async fn ask(&self, call: Call) -> Option<Reply> {
        let (reply, replied) = oneshot::channel();
        let ask = async {
            self.commands.send(Command { call, reply }).await.ok()?;
            replied.await.ok()
        };
        tokio::time::timeout(REPLY, ask).await.ok().flatten()
    }
}

/// One caller among all; its place is free again when this is dropped.
struct Caller {
    desk: Rc<Desk>,
    number: u64,
}

impl Caller {
    fn has_called(&self) {
        self.desk.calling.borrow_mut().remove(&self.number);
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.has_called();
        self.desk.callers.set(self.desk.callers.get() - 1);
        self.desk.left.notify_one();
    }
}

/// Reads one call and answers it.
async fn serve(stream: TcpStream, caller: &Caller) {
    let service = service_fn(|request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, BODY_LIMIT).collect().await;
        caller.has_called();
        let answer = match body {
            Ok(_) => answer(&head.method, head.uri.path(), &caller.desk).await,
            Err(_) => text(StatusCode::BAD_REQUEST, "the call's body is broken or too long\n"),
        };
        Ok::<_, Infallible>(answer)
    });
    // A caller may end its sending behind its call. How its connection ends is all the same here.
    let _ = http1::Builder::new()
        .max_buf_size(HEAD_LIMIT)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(method: &Method, path: &str, desk: &Desk) -> Response<Full<Bytes>> {
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
        let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, "this call has another method\n");
        let allow = if allowed == Method::GET { "GET, HEAD" } else { "PUT" };
        answer.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
        return answer;
    }
    let Some(call) = call else {
        return match desk.ready.load(Ordering::Relaxed) && !desk.out.load(Ordering::Relaxed) {
            true => text(StatusCode::OK, "ready\n"),
            false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
    };
    match desk.ask(call).await {
        Some(Reply::Metrics(figures)) => text(StatusCode::OK, figures),
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
