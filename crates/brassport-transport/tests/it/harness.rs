//! Test helpers: peer records, and the links of one node together with the sockets of a peer.

use brassport_transport::links::Links;
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, Incarnation};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::timeout;

/// The peer's address. It is reached at [`PEER_REACHED_AT`] instead.
pub const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const LOCAL: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const PEER_REACHED_AT: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const TIMEOUT: Duration = Duration::from_secs(5);

/// The record of the node 10.0.0.`number`.
pub fn peer_record(number: u8) -> PeerRecord {
    PeerRecord {
        ip: [10, 0, 0, number].into(),
        incarnation: Incarnation(u64::MAX),
        zone: format!("zone-{number}"),
        disk: DiskId(u64::from(number) - 1),
        is_core: number > 1,
    }
}

/// A frame of `length` bytes with the values 0, 1, 2, … modulo 256.
pub fn sequential_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|position| position as u8).collect()
}

/// Runs a test on a single-threaded runtime with a `LocalSet`, which links require.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// Awaits a future, and panics after [`TIMEOUT`].
pub async fn in_time<T>(future: impl Future<Output = T>) -> T {
    timeout(TIMEOUT, future).await.expect("timed out")
}

/// The links of a node, and the sockets of a peer at the same port.
pub struct Setup {
    pub links: Rc<Links>,
    pub inbound: UnboundedReceiver<Vec<u8>>,
    pub peer_datagrams: UdpSocket,
    pub peer_listener: TcpListener,
}

impl Setup {
    pub async fn open() -> Setup {
        for _ in 0..20 {
            let peer_datagrams = UdpSocket::bind((PEER_REACHED_AT, 0)).await.expect("a free UDP port");
            let port = peer_datagrams.local_addr().expect("a bound address").port();
            let Ok(peer_listener) = TcpListener::bind((PEER_REACHED_AT, port)).await else { continue };
            let (sender, inbound) = unbounded_channel();
            let reached_at = BTreeMap::from([(PEER, PEER_REACHED_AT)]);
            if let Ok(links) = Links::open(LOCAL, port, reached_at, sender).await {
                return Setup { links, inbound, peer_datagrams, peer_listener };
            }
        }
        panic!("no port is free at both addresses");
    }

    /// The address that the links are bound to.
    pub fn links_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(LOCAL, self.peer_datagrams.local_addr().expect("a bound address").port())
    }

    /// Connects to the links, as the peer does.
    pub async fn connect(&self) -> TcpStream {
        in_time(TcpStream::connect(self.links_address())).await.expect("the links listen")
    }

    /// Accepts the connection that the links open to the peer.
    pub async fn accept(&self) -> TcpStream {
        in_time(self.peer_listener.accept()).await.expect("a connection").0
    }

    /// The next frame that the links receive.
    pub async fn next_frame(&mut self) -> Option<Vec<u8>> {
        in_time(self.inbound.recv()).await
    }

    /// Sends a datagram until the peer receives it: the links drop a datagram that the socket does not accept at once,
    /// which may happen right after the socket was opened.
    pub async fn exchange_datagram(&self, frame: &[u8]) -> Vec<u8> {
        let mut buffer = vec![0; 4096];
        let mut length = 0;
        for _ in 0..100 {
            self.links.send(PEER, frame.to_vec());
            let received = self.peer_datagrams.recv_from(&mut buffer);
            if let Ok(received) = timeout(Duration::from_millis(50), received).await {
                (length, _) = received.expect("the peer's socket can receive");
            }
            if buffer[..length] == *frame {
                break;
            }
        }
        buffer.truncate(length);
        buffer
    }
}
