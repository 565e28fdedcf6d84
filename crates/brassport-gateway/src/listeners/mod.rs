//! The HTTP/1 listeners beside the request path: calls of backends and operators ([`control`]), the platform's readiness
//! check ([`ready`]), and the metrics page ([`metrics`]).

mod control;
mod metrics;
mod ready;

pub use control::{control, PendingCall};
pub use metrics::metrics;
pub use ready::ready;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

/// Connections that the system keeps until they are accepted: more than all clients that come within one slow tick.
const BACKLOG: u32 = 1024;
/// Most bytes that a connection buffers for a head.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// For an idle connection, and for the head of its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// After a failed accept, which for want of descriptors would fail again at once.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Binds a listener.
///
/// # Errors
/// The address can't be bound.
pub fn bind(at: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at.into())?;
    socket.listen(BACKLOG)
}

/// What answers the requests of one listener.
trait Handler: Clone + 'static {
    /// Answers one request.
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>>;
}

/// Accepts connections until the task is dropped.
async fn serve(listener: TcpListener, handler: impl Handler) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        spawn_local(serve_connection(stream, handler.clone()));
    }
}

async fn serve_connection(stream: TcpStream, handler: impl Handler) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES).auto_date_header(false);
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    // An error is the client's: it has left, or sent what is no HTTP.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// A response of one line.
fn text(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response
}
