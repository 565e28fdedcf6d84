//! The side of a connection that sends: a queue of frames for each peer, and the task that writes them.

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

/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the peer may take to accept a frame's bytes.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Frames that wait for one peer's connection; more are dropped, to bound the memory for a peer that reads slowly.
const QUEUE_FRAMES: usize = 64;

/// The queues of frames for writers that run, by peer.
#[derive(Default)]
pub(super) struct Queues(RefCell<HashMap<Ipv4Addr, mpsc::Sender<Vec<u8>>>>);

impl Queues {
    /// The queue of a peer. Without one a new queue is made, and its end is passed to `spawn_writer`.
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

/// Writes the frames for one peer, and owns the connection to it.
pub(super) struct Writer {
    peer: Ipv4Addr,
    addresses: Rc<Addresses>,
    connection: Option<TcpStream>,
}

impl Writer {
    pub(super) fn new(peer: Ipv4Addr, addresses: Rc<Addresses>) -> Writer {
        Writer { peer, addresses, connection: None }
    }

    /// Writes frames until none came for a while.
    pub(super) async fn run(mut self, mut frames: mpsc::Receiver<Vec<u8>>, queues: Rc<Queues>) {
        while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.recv()).await {
            // A frame that fails is dropped: how much of it the peer has read is not known.
            if self.write(&frame).await.is_err() {
                self.connection = None;
            }
        }
        // Nothing is awaited since the queue was found empty, so that no frame can be lost in between: the next one makes
        // another queue.
        queues.remove(self.peer);
    }

    /// Writes one frame, over a new connection if there is none.
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
    // The connection must leave from the node's own address, where a machine has several.
    socket.bind(SocketAddrV4::new(addresses.local, 0).into())?;
    let stream = socket.connect(addresses.of(peer).into()).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
