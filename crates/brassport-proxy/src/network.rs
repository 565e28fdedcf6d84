//! The abstraction of the network: listening and connecting TCP sockets, streams and datagrams.
//!
//! Production uses [`Tcp`], a thin wrapper of `tokio::net`. The code is generic over the network, so there is no
//! dynamic dispatch on reads and writes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Maximum number of connections in the listen queue; the default of std and tokio.
const BACKLOG: u32 = 1024;

/// A network of sockets. Clones are handles of the same network.
///
/// An implementation must provide the guarantees of TCP:
/// - bytes are delivered in order and unmodified, or not at all;
/// - dropping a stream closes it immediately, and resets it if received bytes have not been read;
/// - `poll_shutdown` closes the sending direction only.
pub trait Network: Clone + 'static {
    /// A TCP connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// A listening TCP socket.
    type Listener: Listener<Stream = Self::Stream>;
    /// A UDP socket.
    type Datagrams: Datagrams;

    /// Binds a socket to this address and listens on it. Fails if another process already listens on the address.
    fn listen(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>>;

    /// Listens on an address with `SO_REUSEPORT`, so that several processes of the same user can listen on it.
    fn listen_reuse_port(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> {
        self.listen(address)
    }

    /// Duplicates the descriptor of a listening socket, to pass it to another process. Connections in the listen queue
    /// are kept.
    ///
    /// # Errors
    /// The sockets of this network cannot be passed to another process, or the system call fails.
    fn duplicate_listener(listener: &Self::Listener) -> io::Result<OwnedFd> {
        let _ = listener;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Creates a listener from a descriptor that was passed by another process.
    ///
    /// # Errors
    /// As [`duplicate_listener`](Network::duplicate_listener).
    fn listener_from_fd(&self, socket: OwnedFd) -> io::Result<Self::Listener> {
        let _ = socket;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Converts a connection into its descriptor, to pass it to another process.
    ///
    /// # Errors
    /// As [`duplicate_listener`](Network::duplicate_listener).
    fn stream_into_fd(stream: Self::Stream) -> io::Result<OwnedFd> {
        let _ = stream;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Creates a connection from a descriptor that was passed by another process.
    ///
    /// # Errors
    /// As [`duplicate_listener`](Network::duplicate_listener).
    fn stream_from_fd(&self, socket: OwnedFd) -> io::Result<Self::Stream> {
        let _ = socket;
        Err(io::ErrorKind::Unsupported.into())
    }

    /// Opens a connection. The future may never complete; the caller has to apply a timeout.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Opens a UDP socket on this address. Port 0 selects a free port, which must be hard to guess.
    fn datagrams(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Datagrams>>;
}

/// A UDP socket. Datagrams may be lost, duplicated or reordered, and the source address may be forged.
pub trait Datagrams: 'static {
    /// Sends one datagram.
    fn send_to(&self, bytes: &[u8], address: SocketAddr) -> impl Future<Output = io::Result<()>>;

    /// Receives the next datagram; returns its length and its claimed source address. Bytes beyond the buffer are
    /// discarded. Cancel safe: dropping the future loses no datagram.
    fn recv_from(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

/// A listening socket. Incoming connections wait in its queue until they are accepted.
pub trait Listener: 'static {
    /// An accepted connection.
    type Stream;

    /// Accepts the next connection. Cancel safe: dropping the future loses no connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// The TCP and UDP sockets of the operating system, with `TCP_NODELAY` set on connections.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type Datagrams = UdpSocket;

    async fn listen(&self, address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    async fn listen_reuse_port(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Best effort: if it fails, only one process can listen on the address.
        let _ = socket.set_reuseport(true);
        socket.bind(address)?;
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

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn datagrams(&self, address: SocketAddr) -> io::Result<UdpSocket> {
        UdpSocket::bind(address).await
    }
}

impl Datagrams for UdpSocket {
    async fn send_to(&self, bytes: &[u8], address: SocketAddr) -> io::Result<()> {
        UdpSocket::send_to(self, bytes, address).await.map(drop)
    }

    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        UdpSocket::recv_from(self, buffer).await
    }
}

impl Listener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        // Fails if the connection has already been closed; the error is then reported by the next read.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
