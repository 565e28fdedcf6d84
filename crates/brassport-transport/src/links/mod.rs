//! Links to other machines: short frames are datagrams (UDP), long ones go over a connection (TCP) that is opened on demand
//! and is used in one direction. On a connection each frame comes behind its length, four bytes in network order.
//!
//! A frame that can't be sent is dropped. All machines use the same port.
//!
//! # Tasks and sockets
//! [`Links`] owns every task and, by them, every socket:
//!
//! | task | socket | ends |
//! | --- | --- | --- |
//! | datagram receiver | shares the datagram socket with [`Links::send`] | at the first datagram for which nobody receives |
//! | listener | the listening socket; its readers | with the links |
//! | reader, one a connection that came in | that connection | at its end, a fault, an oversized length, 12 s without a frame, or when nobody receives |
//! | writer, one a peer with long frames | the connection to that peer | 6 s without a frame; a failed write closes the connection, and the next frame opens another |
//!
//! When the links are dropped, all tasks are aborted; the sockets are closed when the `LocalSet` runs next or ends.

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

/// Longest frame that goes as a datagram, in bytes: it fits into one packet of any usual network.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Room for a datagram that comes in, in bytes: the longest that IPv4 has.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after a failed receive, so that a lasting fault does not busy the thread.
const RECEIVE_BACKOFF: Duration = Duration::from_millis(5);
/// A writer without a frame for so long closes its connection and ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Connections that the system keeps until they are accepted.
const LISTEN_BACKLOG: u32 = 256;

/// Where the bytes of frames that came in are sent to.
pub type InboundFrames = mpsc::UnboundedSender<Vec<u8>>;

/// This machine's address, and how others are reached.
struct Addresses {
    local: Ipv4Addr,
    port: u16,
    reached_at: BTreeMap<Ipv4Addr, Ipv4Addr>,
}

impl Addresses {
    fn of(&self, peer: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(self.reached_at.get(&peer).copied().unwrap_or(peer), self.port)
    }
}

/// All links of this machine. It is the one owner of their tasks and sockets (see the [module](self)).
pub struct Links {
    addresses: Rc<Addresses>,
    datagrams: Rc<UdpSocket>,
    queues: Rc<Queues>,
    tasks: RefCell<JoinSet<()>>,
}

impl Links {
    /// Opens the links at this machine's address and port. Frames that come go to `inbound`. Machines in `reached_at` are
    /// reached at the address that stands there in place of their own.
    ///
    /// # Errors
    /// The address and port can't be bound, for datagrams or for connections.
    ///
    /// # Panics
    /// If it is called outside of a [`tokio::task::LocalSet`].
    pub async fn open(
        me: Ipv4Addr,
        port: u16,
        reached_at: BTreeMap<Ipv4Addr, Ipv4Addr>,
        inbound: InboundFrames,
    ) -> io::Result<Rc<Links>> {
        let addresses = Rc::new(Addresses { local: me, port, reached_at });
        let at = SocketAddrV4::new(me, port);
        let datagrams = Rc::new(UdpSocket::bind(at).await?);
        let socket = TcpSocket::new_v4()?;
        // A process that starts anew must get its port while connections of the one before linger.
        socket.set_reuseaddr(true)?;
        socket.bind(at.into())?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let mut tasks = JoinSet::new();
        tasks.spawn_local(listener::accept(listener, inbound.clone()));
        tasks.spawn_local(receive_datagrams(datagrams.clone(), inbound));
        Ok(Rc::new(Links { addresses, datagrams, queues: Rc::default(), tasks: RefCell::new(tasks) }))
    }

    /// Sends a frame, or drops it: if the system takes no datagram now, or too many frames wait for the peer's connection.
    ///
    /// # Panics
    /// If it is called outside of a [`tokio::task::LocalSet`].
    pub fn send(self: &Rc<Self>, to: Ipv4Addr, frame: Vec<u8>) {
        if frame.len() <= MAX_DATAGRAM_BYTES {
            // A datagram may be lost anyway.
            let _ = self.datagrams.try_send_to(&frame, self.addresses.of(to).into());
            return;
        }
        let queue = self.queues.get_or_insert(to, |frames| self.spawn_writer(to, frames));
        if let Err(mpsc::error::TrySendError::Full(_)) = queue.try_send(frame) {
            log::debug!("frame dropped, the link's queue is full: peer={to}");
        }
    }

    fn spawn_writer(&self, to: Ipv4Addr, frames: mpsc::Receiver<Vec<u8>>) {
        let mut tasks = self.tasks.borrow_mut();
        // Writers that ended stay in the set until they are joined.
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
            // The system reports here that an earlier datagram found no receiver; the socket is sound.
            Err(_) => tokio::time::sleep(RECEIVE_BACKOFF).await,
        }
    }
}
