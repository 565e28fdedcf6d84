//! The sending side of connections: a queue of frames for each peer, and the task that writes them.

use super::{Addresses, IDLE_TIMEOUT};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum number of frames queued for one peer. Further ones are dropped, to bound the memory for a peer that reads
/// slowly.
const QUEUE_FRAMES: usize = 64;

/// The queues of the running writers, by peer.
#[derive(Default)]
pub(super) struct Queues(RefCell<HashMap<Ipv4Addr, mpsc::Sender<Vec<u8>>>>);

impl Queues {
    /// The queue of a peer. If there is none, creates it and passes its receiver to `spawn_writer`.
    pub(super) fn get_or_insert(
        &self,
        peer: Ipv4Addr,
        spawn_writer: impl FnOnce(mpsc::Receiver<Vec<u8>>),
    ) -> mpsc::Sender<Vec<u8>> {
        let mut queues = self.0.borrow_mut();
        let queue = queues.entry(peer).or_insert_with(|| {
            let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
            spawn_writer(frames);
            queue
        });
        queue.clone()
    }

    fn remove(&self, peer: Ipv4Addr) {
        self.0.borrow_mut().remove(&peer);
    }
}

/// Writes the frames for one peer and owns the connection to it.
pub(super) struct Writer {
    peer: Ipv4Addr,
    addresses: Rc<Addresses>,
    connection: Option<TcpStream>,
}

impl Writer {
    pub(super) fn new(peer: Ipv4Addr, addresses: Rc<Addresses>) -> Writer {
        Writer { peer, addresses, connection: None }
    }

    /// Writes frames until the queue has been empty for [`IDLE_TIMEOUT`].
    pub(super) async fn run(mut self, mut frames: mpsc::Receiver<Vec<u8>>, queues: Rc<Queues>) {
        while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.recv()).await {
            // A frame that fails is dropped, since it is unknown how much of it the peer has read.
            if self.write(&frame).await.is_err() {
                self.connection = None;
            }
        }
        // There is no await point between the timeout on the empty queue and its removal, so no frame can be queued in
        // between and lost. The next frame creates a new queue.
        queues.remove(self.peer);
    }

    /// Writes one frame, and connects first if there is no connection.
    async fn write(&mut self, frame: &[u8]) -> io::Result<()> {
        let connection = match &mut self.connection {
            Some(connection) => connection,
            None => {
                let connection = timeout(CONNECT_TIMEOUT, connect(&self.addresses, self.peer)).await??;
                self.connection.insert(connection)
            }
        };
        let written = async {
            connection.write_all(&(frame.len() as u32).to_be_bytes()).await?;
            connection.write_all(frame).await
        };
        timeout(WRITE_TIMEOUT, written).await?
    }
}

async fn connect(addresses: &Addresses, peer: Ipv4Addr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // On a host with several addresses, connections must originate from the node's own one.
    socket.bind(SocketAddrV4::new(addresses.local, 0).into())?;
    let stream = socket.connect(addresses.of(peer).into()).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
