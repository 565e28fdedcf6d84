//! Links to other nodes. Short frames are sent as UDP datagrams. Long frames are sent over TCP connections that are
//! opened on demand and carry frames in one direction only; each frame is preceded by its length, four bytes in network
//! byte order.
//!
//! A frame that can't be sent is dropped. All nodes use the same port.
//!
//! # Tasks and sockets
//! [`Links`] owns all tasks and, through them, all sockets:
//!
//! | task | socket | ends |
//! | --- | --- | --- |
//! | datagram receiver | the datagram socket, shared with [`Links::send`] | at the first datagram after the inbound channel was closed |
//! | listener | the listening socket; it also owns the readers | when the links are dropped |
//! | reader, one per incoming connection | that connection | at the end of the connection, on an error or an oversized length, after 12 s without a frame, or when the inbound channel is closed |
//! | writer, one per peer that long frames are sent to | the connection to that peer | after 6 s without a frame; a failed write closes the connection, and the next frame opens a new one |
//!
//! Dropping the links aborts all tasks. The sockets are closed when the `LocalSet` runs next or is dropped.

mod listener;
mod writer;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpSocket, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use writer::{Queues, Writer};

/// Maximum length of a frame that is sent as a datagram. It fits into one packet on common networks.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Size of the receive buffer: the maximum length of an IPv4 datagram.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after a failed receive, so that a persistent error does not keep the thread busy.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(5);
/// A writer closes its connection and ends after this time without a frame.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 256;

/// The channel to which received frames are sent.
pub type InboundFrames = mpsc::UnboundedSender<Vec<u8>>;

/// The address of this node, and the addresses at which peers are reached.
struct Addresses {
    local: Ipv4Addr,
    port: u16,
    address_overrides: BTreeMap<Ipv4Addr, Ipv4Addr>,
}

impl Addresses {
    fn of(&self, peer: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(self.address_overrides.get(&peer).copied().unwrap_or(peer), self.port)
    }
}

/// The links of this node. Owns all their tasks and sockets (see the [module](self)).
pub struct Links {
    addresses: Rc<Addresses>,
    datagrams: Rc<UdpSocket>,
    queues: Rc<Queues>,
    tasks: RefCell<JoinSet<()>>,
}

impl Links {
    /// Opens the links of the node with the address `local`. Received frames are sent to `inbound`. `address_overrides`
    /// maps the addresses of peers to the addresses at which they are reached instead.
    ///
    /// # Errors
    /// The address and port can't be bound for UDP or TCP.
    ///
    /// # Panics
    /// Panics outside of a [`tokio::task::LocalSet`].
    pub async fn open(
        local: Ipv4Addr,
        port: u16,
        address_overrides: BTreeMap<Ipv4Addr, Ipv4Addr>,
        inbound: InboundFrames,
    ) -> io::Result<Rc<Links>> {
        let addresses = Rc::new(Addresses { local, port, address_overrides });
        let local_address = SocketAddrV4::new(local, port);
        let datagrams = Rc::new(UdpSocket::bind(local_address).await?);
        let socket = TcpSocket::new_v4()?;
        // A restarted process must be able to bind the port while connections of its predecessor are in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(local_address.into())?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let mut tasks = JoinSet::new();
        tasks.spawn_local(listener::accept(listener, inbound.clone()));
        tasks.spawn_local(receive_datagrams(datagrams.clone(), inbound));
        Ok(Rc::new(Links { addresses, datagrams, queues: Rc::default(), tasks: RefCell::new(tasks) }))
    }

    /// Sends a frame. It is dropped if the socket does not accept the datagram at once, or if the queue for the peer's
    /// connection is full.
    ///
    /// # Panics
    /// Panics outside of a [`tokio::task::LocalSet`].
    pub fn send(self: &Rc<Self>, to: Ipv4Addr, frame: Vec<u8>) {
        if frame.len() <= MAX_DATAGRAM_BYTES {
            // Delivery is best effort.
            let _ = self.datagrams.try_send_to(&frame, self.addresses.of(to).into());
            return;
        }
        let queue = self.queues.get_or_insert(to, |frames| self.spawn_writer(to, frames));
        if let Err(mpsc::error::TrySendError::Full(_)) = queue.try_send(frame) {
            log::debug!("frame dropped: queue full peer={to}");
        }
    }

    fn spawn_writer(&self, to: Ipv4Addr, frames: mpsc::Receiver<Vec<u8>>) {
        let mut tasks = self.tasks.borrow_mut();
        // Joins finished writers, which otherwise stay in the set.
        while tasks.try_join_next().is_some() {}
        let writer = Writer::new(to, self.addresses.clone());
        tasks.spawn_local(writer.run(frames, self.queues.clone()));
    }
}

async fn receive_datagrams(datagrams: Rc<UdpSocket>, inbound: InboundFrames) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        match datagrams.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                if inbound.send(buffer[..length].to_vec()).is_err() {
                    return;
                }
            }
            // An ICMP error for an earlier datagram is reported here; the socket remains usable.
            Err(_) => tokio::time::sleep(RECEIVE_BACKOFF).await,
        }
    }
}
