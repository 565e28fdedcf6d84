//! The listeners for backends and operators (`control`) and for the platform (`ready`).

use brassport_control_plane::call::{Call, DecodeError, Reply};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Most bytes of a call: a configuration of 35,000 routes has some 10 MB.
const MOST: usize = 24 << 20;
/// A call that has not come by then, or is not answered, is given up.
const PATIENCE: Duration = Duration::from_secs(4);
/// Where the counters are read.
const METRICS_PATH: &str = "/metrics";
/// Of an idle connection.
const IDLE: Duration = Duration::from_secs(20);

/// A call and where its answer goes.
pub type Called = (Call, oneshot::Sender<Reply>);

/// Binds a listener.
///
/// # Errors
/// The address is not to be had.
pub fn bind(at: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at.into())?;
    socket.listen(1024)
}

/// Answers one request.
trait Answers: Clone + 'static {
    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>>;
}

async fn serve(listener: TcpListener, answers: impl Answers) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answers = answers.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let answers = answers.clone();
                async move { Ok::<_, Infallible>(answers.answer(request).await) }
            });
            let mut builder = http1::Builder::new();
            builder.max_buf_size(64 * 1024).auto_date_header(false);
            builder.timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(IDLE);
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

#[derive(Clone)]
struct ControlPlane {
    calls: mpsc::UnboundedSender<Called>,
    port: u16,
}

/// Serves backends and operators for good.
pub async fn control(listener: TcpListener, calls: mpsc::UnboundedSender<Called>) {
    let port = listener.local_addr().map_or(0, |at| at.port());
    serve(listener, ControlPlane { calls, port }).await;
}

impl Answers for ControlPlane {
    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let body = match timeout(PATIENCE, Limited::new(body, MOST).collect()).await {
            Ok(Ok(body)) => body.to_bytes().to_vec(),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                return text(StatusCode::PAYLOAD_TOO_LARGE, "more than 24 MiB")
            }
            // It was cut off in the middle: whatever it was, it is none.
            Ok(Err(_)) => return text(StatusCode::BAD_REQUEST, "the body did not come whole"),
            Err(_) => return text(StatusCode::REQUEST_TIMEOUT, "the body did not come"),
        };
        let base_version = head.headers.get("x-built-on").and_then(|value| value.to_str().ok());
        let call = match Call::decode(head.method.as_str(), head.uri.path(), base_version, body) {
            Ok(call) => call,
            Err(DecodeError::UnknownCall) => return text(StatusCode::NOT_FOUND, "there is no such call"),
            Err(fault) => return text(StatusCode::BAD_REQUEST, &fault.to_string()),
        };
        let (to, reply) = oneshot::channel();
        if self.calls.send((call, to)).is_err() {
            return not_now("it ends");
        }
        match timeout(PATIENCE, reply).await {
            Ok(Ok(Reply::Done(body))) => {
                let mut response =
                    Response::new(Full::new(Bytes::from(std::sync::Arc::unwrap_or_clone(body))));
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
            Ok(Ok(Reply::Redirect(ip))) => {
                let mut response = text(StatusCode::TEMPORARY_REDIRECT, "another machine does this");
                if let Ok(at) =
                    HeaderValue::from_str(&format!("http://{ip}:{}{}", self.port, head.uri.path()))
                {
                    response.headers_mut().insert(LOCATION, at);
                }
                response
            }
            Ok(Ok(Reply::Invalid(why))) => text(StatusCode::BAD_REQUEST, &why),
            Ok(Ok(Reply::VersionConflict)) => {
                text(StatusCode::PRECONDITION_FAILED, "another version is in place")
            }
            Ok(Ok(Reply::Unavailable(why))) => not_now(why),
            _ => not_now("no answer in time"),
        }
    }
}

fn text(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response
}

fn not_now(why: &str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, why);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("0.2"));
    response
}

#[derive(Clone)]
struct Metrics<F>(F);

/// Tells operators for good what this door counts.
pub async fn metrics(listener: TcpListener, text: impl Fn() -> String + Clone + 'static) {
    serve(listener, Metrics(text)).await;
}

impl<F: Fn() -> String + Clone + 'static> Answers for Metrics<F> {
    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != METRICS_PATH {
            return text(StatusCode::NOT_FOUND, "only /metrics is here");
        }
        let mut response = Response::new(Full::new(Bytes::from((self.0)())));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
        response
    }
}

#[derive(Clone)]
struct Ready<F>(F);

/// Tells the platform for good whether clients are to come.
pub async fn ready(listener: TcpListener, is_ready: impl Fn() -> bool + Clone + 'static) {
    serve(listener, Ready(is_ready)).await;
}

impl<F: Fn() -> bool + Clone + 'static> Answers for Ready<F> {
    async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.uri().path(), (self.0)()) {
            ("/ready", true) => text(StatusCode::OK, "ready"),
            ("/ready", false) => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            _ => text(StatusCode::NOT_FOUND, "only /ready is here"),
        }
    }
}
