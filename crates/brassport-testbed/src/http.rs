//! A client's connection, as short as it can be.

use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn, JoinHandle};
use tokio::time::timeout;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Answer {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No connection came up.
    NoConnection,
    /// The connection closed before the request was sent on it.
    NotRead,
    /// The connection closed before an answer.
    Closed,
    /// The answer was cut off.
    CutOff,
    /// No answer in time.
    Silence,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Failure::NoConnection => "no connection",
            Failure::NotRead => "closed unread",
            Failure::Closed => "closed",
            Failure::CutOff => "cut off",
            Failure::Silence => "silence",
        })
    }
}

/// A connection that may serve many requests. It closes when dropped.
#[derive(Debug)]
pub struct Connection {
    node: SocketAddrV4,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    /// No connection came up in time.
    pub async fn open(at: SocketAddrV4, limit: Duration) -> Result<Connection, Failure> {
        let stream = timeout(limit, TcpStream::connect(at)).await;
        let stream = stream.map_err(|_| Failure::NoConnection)?.map_err(|_| Failure::NoConnection)?;
        let _ = stream.set_nodelay(true);
        let made = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = made.map_err(|_| Failure::NoConnection)?;
        let driver = spawn(async move {
            // Whoever waits for a response is notified of its end.
            let _ = connection.await;
        });
        Ok(Connection { node: at, sender, driver })
    }

    /// Whom it leads to.
    pub fn node(&self) -> SocketAddrV4 {
        self.node
    }

    /// Whether it may take another request.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    /// There was none in time.
    pub async fn send(&mut self, request: Request<Full<Bytes>>, limit: Duration) -> Result<Answer, Failure> {
        let exchange = async {
            self.sender.ready().await.map_err(|_| Failure::NotRead)?;
            let sent = self.sender.try_send_request(request).await;
            let response = sent.map_err(|mut error| match error.take_message() {
                Some(_) => Failure::NotRead,
                None => Failure::Closed,
            })?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|_| Failure::CutOff)?.to_bytes();
            Ok(Answer { status: head.status.as_u16(), headers: head.headers, body })
        };
        timeout(limit, exchange).await.unwrap_or(Err(Failure::Silence))
    }
}

/// One request on a connection of its own.
///
/// # Errors
/// There was no answer in time.
pub async fn call(
    at: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    limit: Duration,
) -> Result<Answer, Failure> {
    let mut connection = Connection::open(at, limit).await?;
    let request = request(method, path, &at.to_string(), headers, body);
    connection.send(request, limit).await
}

/// Puts a request together.
///
/// # Panics
/// Method, path or headers are none: they come from this package.
pub fn request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Request<Full<Bytes>> {
    let mut request = Request::builder().method(method).uri(path).header(HOST, host);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(body))).expect("method, path and headers are sound")
}
