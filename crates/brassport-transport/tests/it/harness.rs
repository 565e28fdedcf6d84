//! Records of peers, and links with a peer's sockets at the same port.

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

/// The address under which the peer is known, and at which it is not reached.
pub const PEER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const LOCAL: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const PEER_REACHED_AT: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const TIMEOUT: Duration = Duration::from_secs(5);

/// A record of the machine 10.0.0.`number`.
pub fn peer_record(number: u8) -> PeerRecord {
    PeerRecord {
        ip: [10, 0, 0, number].into(),
        incarnation: Incarnation(u64::MAX),
        zone: format!("zone-{number}"),
        disk: DiskId(u64::from(number) - 1),
        is_core: number > 1,
    }
}

/// A frame of so many bytes, which count up from zero.
pub fn counting(length: usize) -> Vec<u8> {
    (0..length).map(|position| position as u8).collect()
}

/// Runs a test on one thread, as hosts run links.
pub fn block_on<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// The result of what must not take long.
pub async fn in_time<T>(future: impl Future<Output = T>) -> T {
    timeout(TIMEOUT, future).await.expect("it takes too long")
}

/// A node's links, and the sockets of a peer.
pub struct Setup {
    pub links: Rc<Links>,
    pub inbound: UnboundedReceiver<Vec<u8>>,
    pub peer_datagrams: UdpSocket,
    pub peer_listener: TcpListener,
}

impl Setup {
    pub async fn open() -> Setup {
        for _ in 0..20 {
            let peer_datagrams = UdpSocket::bind((PEER_REACHED_AT, 0)).await.expect("a port");
            let port = peer_datagrams.local_addr().expect("it has one").port();
            let Ok(peer_listener) = TcpListener::bind((PEER_REACHED_AT, port)).await else { continue };
            let (sender, inbound) = unbounded_channel();
            let reached_at = BTreeMap::from([(PEER, PEER_REACHED_AT)]);
            if let Ok(links) = Links::open(LOCAL, port, reached_at, sender).await {
                return Setup { links, inbound, peer_datagrams, peer_listener };
            }
        }
        panic!("no port is free at both addresses");
    }

    /// Where the links listen.
    pub fn local(&self) -> SocketAddrV4 {
        SocketAddrV4::new(LOCAL, self.peer_datagrams.local_addr().expect("it has one").port())
    }

    /// A connection from the peer to the links.
    pub async fn connect(&self) -> TcpStream {
        in_time(TcpStream::connect(self.local())).await.expect("the links listen")
    }

    /// The connection that the links open to the peer.
    pub async fn accept(&self) -> TcpStream {
        in_time(self.peer_listener.accept()).await.expect("a connection").0
    }

    /// The next frame that comes in at the links.
    pub async fn next_frame(&mut self) -> Option<Vec<u8>> {
        in_time(self.inbound.recv()).await
    }

    /// Sends a datagram until the peer has it: one that the system does not take at once is dropped, as one right behind
    /// the start may be.
    pub async fn exchange_datagram(&self, frame: &[u8]) -> Vec<u8> {
        let mut buffer = vec![0; 4096];
        let mut length = 0;
        for _ in 0..100 {
            self.links.send(PEER, frame.to_vec());
            let received = self.peer_datagrams.recv_from(&mut buffer);
            if let Ok(received) = timeout(Duration::from_millis(50), received).await {
                (length, _) = received.expect("the peer's socket is sound");
            }
            if buffer[..length] == *frame {
                break;
            }
        }
        buffer.truncate(length);
        buffer
    }
}
