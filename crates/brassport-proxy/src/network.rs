//! The seam to the network: listen, connect, streams that read, write, close and reset, and datagrams.
//!
//! Production uses [`Tcp`], which is `tokio::net` and nothing else: the code is compiled against its types, so
//! the seam costs no call per byte.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Connections that wait to be accepted: the figure of std and tokio.
const BACKLOG: u32 = 1024;

/// A network of sockets. Clones are handles of one network.
///
/// An implementation must keep, as TCP does:
/// - bytes arrive in order and unchanged, or not at all;
/// - a stream that is dropped is closed at once, and reset if it held bytes that nobody had read;
/// - `poll_shutdown` ends the sending and leaves the reading as it is.
pub trait Network: Clone + 'static {
    /// One connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A socket that listens.
    type Listener: Listener<Stream = Self::Stream>;
    /// A socket for datagrams.
    type Datagrams: Datagrams;

    /// Listens on this address only.
    fn listen(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// As [`listen`](Network::listen), beside another process of this user that does the same.
    fn listen_reuse_port(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> {
        self.listen(at)
    }

    /// A handle of the listening socket, for another process. Connections that wait in its queue stay there.
    ///
    /// # Errors
    /// This network's sockets cannot be passed to another process, or the system refuses to duplicate it.
    fn duplicate_listener(listener: &Self::Listener) -> io::Result<OwnedFd> {
        let _ = listener;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Adopts a listening socket of another process.
    ///
    /// # Errors
    /// As [`duplicate_listener`](Network::duplicate_listener).
    fn listener_from_fd(&self, socket: OwnedFd) -> io::Result<Self::Listener> {
        let _ = socket;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Releases a connection, for another process.
    ///
    /// # Errors
    /// As [`duplicate_listener`](Network::duplicate_listener).
    fn stream_into_fd(stream: Self::Stream) -> io::Result<OwnedFd> {
        let _ = stream;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Adopts a connection of another process.
    ///
    /// # Errors
    /// As [`duplicate_listener`](Network::duplicate_listener).
    fn stream_from_fd(&self, socket: OwnedFd) -> io::Result<Self::Stream> {
        let _ = socket;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Opens a connection. It may never be ready: the caller sets the time-out.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Opens a socket for datagrams at this address. With port 0 the host chooses one, which must be hard to guess.
    fn datagrams(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Datagrams>>;
}

/// A socket for datagrams, as UDP has: each arrives complete, or not at all, perhaps twice, in any order, from anybody.
pub trait Datagrams: 'static {
    /// Sends one.
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<()>>;

    /// The next one that came: its length, and where it says that it comes from. What does not fit the buffer is
    /// lost. Dropping the future before it is ready loses none.
    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

/// A socket that listens. Connections wait in its backlog until they are accepted.
pub trait Listener: 'static {
    /// One connection.
    type Stream;

    /// The next connection. Dropping the future before it is ready loses none.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// TCP of the system, without Nagle's delay, and UDP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Datagrams = UdpSocket;

    async fn listen(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn listen_reuse_port(&self, at: SocketAddr) -> io::Result<TcpListener> {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Without it one process alone can listen here, as everywhere.
        let _ = socket.set_reuseport(true);
        socket.bind(at)?;
        socket.listen(BACKLOG)
    }

    fn duplicate_listener(listener: &TcpListener) -> io::Result<OwnedFd> {
        listener.as_fd().try_clone_to_owned()
    }

    fn listener_from_fd(&self, socket: OwnedFd) -> io::Result<TcpListener> {
        TcpListener::from_std(std::net::TcpListener::from(socket))
    }

    fn stream_into_fd(stream: TcpStream) -> io::Result<OwnedFd> {
        stream.into_std().map(OwnedFd::from)
    }

    fn stream_from_fd(&self, socket: OwnedFd) -> io::Result<TcpStream> {
        TcpStream::from_std(std::net::TcpStream::from(socket))
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<UdpSocket> {
        UdpSocket::bind(at).await
    }
}

impl Datagrams for UdpSocket {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        UdpSocket::send_to(self, bytes, to).await.map(drop)
    }

    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        UdpSocket::recv_from(self, buffer).await
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        // A connection that has ended already reports it when it is read.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
