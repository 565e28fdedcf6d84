//! HTTP/1.1 to one API server: a call for a whole answer, and one for a stream.

use crate::source::Problem;
use brassport::network::Network;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{ACCEPT, AUTHORIZATION, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::{spawn_local, JoinHandle};

/// Most bytes of a head.
const HEAD_LIMIT: usize = 32 * 1024;

pub trait Io: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// How bytes are made secret on their way.
#[cfg(feature = "tls")]
pub type Security = Option<crate::tls::Tls>;
#[cfg(not(feature = "tls"))]
pub type Security = Option<std::convert::Infallible>;

/// A connection. Dropping it closes the socket.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    pub async fn open<N: Network>(
        network: &N,
        at: SocketAddr,
        security: &Security,
    ) -> Result<Connection, Problem> {
        let stream = network.connect(at).await.map_err(|error| Problem::unreachable(&error))?;
        let stream: Box<dyn Io> = match security {
            None => Box::new(stream),
            #[cfg(feature = "tls")]
            Some(tls) => Box::new(tls.connect(stream).await.map_err(|error| Problem::tls(&error))?),
            #[cfg(not(feature = "tls"))]
            Some(never) => match *never {},
        };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT);
        let shake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = shake.map_err(|_| Problem::broken())?;
        let driver = spawn_local(async move {
            // Its end is seen by whoever uses the connection.
            let _ = driver.await;
        });
        Ok(Connection { sender, driver })
    }

    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// The head of the answer to a GET, if it is a good one.
    pub async fn get(
        &mut self,
        host: &str,
        path: &str,
        token: Option<&str>,
    ) -> Result<Response<Incoming>, Problem> {
        let mut request = Request::get(path).header(HOST, host).header(ACCEPT, "application/json");
        if let Some(token) = token {
            request = request.header("X-Nomad-Token", token);
        }
        debug_assert!(request.headers_ref().is_none_or(|headers| !headers.contains_key(AUTHORIZATION)));
        // A token that is no header is the operator's mistake, and is not shown.
        let request = request.body(Empty::new()).map_err(|_| Problem::token())?;
        let answer = self.sender.send_request(request).await.map_err(|_| Problem::broken())?;
        match answer.status() {
            StatusCode::OK => Ok(answer),
            status => Err(Problem::status(status, answer.headers())),
        }
    }
}

/// The whole body of an answer.
pub async fn whole(answer: Response<Incoming>, most: usize) -> Result<Bytes, Problem> {
    match Limited::new(answer.into_body(), most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Problem::too_long(most)),
        Err(_) => Err(Problem::broken()),
    }
}
