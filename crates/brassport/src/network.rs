//! The seam to the network: listen, connect, and streams that read, write, close and reset.
//!
//! Production uses [`Tcp`], which is `tokio::net` and nothing else: the code is compiled against its types, so
//! the seam costs no call per byte.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// A network of stream sockets. Clones are handles of one network.
///
/// The host of an implementation owes, as TCP does:
/// - bytes arrive in order and unchanged, or not at all;
/// - a stream that is dropped is closed at once, and reset if it held bytes that nobody had read;
/// - `poll_shutdown` ends the sending and leaves the reading as it is.
pub trait Network: Clone + 'static {
    /// One connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A socket that listens.
    type Listener: Listener<Stream = Self::Stream>;

    /// Listens on this address only.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Opens a connection. May take for ever: the caller sets the bound.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A socket that listens. Connections wait in its backlog until they are accepted.
pub trait Listener: 'static {
    /// One connection.
    type Stream;

    /// The next connection. Dropping the future before it is ready loses none.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// TCP of the system, without Nagle's delay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn listen(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        // A connection that is gone already says so when it is read.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
