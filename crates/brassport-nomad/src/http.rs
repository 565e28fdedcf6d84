//! HTTP/1.1 to one API server.
//!
//! A connection is driven by the task that uses it. Guards the 500 ms of a drain: after a standstill of the program
//! what came first is read first, and a drain is not behind a request in the queue of the tasks.

use crate::source::Problem;
use brassport::network::Network;
use brassport::UpstreamConnection;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{ACCEPT, HOST};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};

pub trait Io: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// A connection, secret or not.
pub type Open = UpstreamConnection<Box<dyn Io>>;

/// How bytes are made secret on their way.
#[cfg(feature = "tls")]
pub type Security = Option<crate::tls::Tls>;
#[cfg(not(feature = "tls"))]
pub type Security = Option<std::convert::Infallible>;

pub async fn open<N: Network>(network: &N, at: SocketAddr, security: &Security) -> Result<Open, Problem> {
    let stream = network.connect(at).await.map_err(|error| Problem::unreachable(&error))?;
    let stream: Box<dyn Io> = match security {
        None => Box::new(stream),
        #[cfg(feature = "tls")]
        Some(tls) => Box::new(tls.connect(stream).await.map_err(|error| Problem::tls(&error))?),
        #[cfg(not(feature = "tls"))]
        Some(never) => match *never {},
    };
    UpstreamConnection::handshake(stream).await.map_err(|_| Problem::broken())
}

/// The head of the answer to a GET, if it is a good one.
pub async fn get(
    connection: &mut Open,
    host: &str,
    path: &str,
    token: Option<&str>,
) -> Result<Response<Incoming>, Problem> {
    let mut request = Request::get(path).header(HOST, host).header(ACCEPT, "application/json");
    if let Some(token) = token {
        request = request.header("X-Nomad-Token", token);
    }
    // A token that is no header is the operator's mistake, and is not shown.
    let request = request.body(Full::<Bytes>::default()).map_err(|_| Problem::token())?;
    let answer = connection.send(request).await.map_err(|_| Problem::broken())?;
    match answer.status() {
        StatusCode::OK => Ok(answer),
        status => Err(Problem::status(status, answer.headers())),
    }
}
