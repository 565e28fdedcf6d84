//! The HTTP/1 listeners outside the request path: control calls of backends and operators ([`serve_control`]), the
//! readiness check of the deployment platform ([`serve_ready`]), and metrics ([`serve_metrics`]).

mod control;
mod metrics;
mod ready;

pub use control::{serve_control, PendingCall, MAX_BODY_BYTES};
pub use metrics::serve_metrics;
pub use ready::serve_ready;

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

/// The number of connections that the kernel queues until they are accepted: enough for all clients that connect during
/// one slow iteration of the event loop.
const BACKLOG: u32 = 1024;
/// The size limit of the read buffer of a connection, and with it of a request head.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The time limit of an idle connection, and of receiving the head of its next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause after a failed accept. Without it, the loop would spin while the process has no free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Opens a listening socket.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(address: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address.into())?;
    socket.listen(BACKLOG)
}

/// The request handler of a listener.
trait Handler: Clone + 'static {
    /// Returns the response to a request.
    async fn handle(self, request: Request<Incoming>) -> Response<Full<Bytes>>;
}

/// Accepts connections until the task is dropped, and serves each in a task of its own.
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
    // Errors are caused by the client, which has disconnected or sent invalid HTTP, and need no handling here.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Returns a plain-text response with one line.
fn text_response(status: StatusCode, line: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{line}\n"))));
    *response.status_mut() = status;
    response
}
