//! Links to other machines: short frames as datagrams, long ones over a connection that is opened when it is needed.
//!
//! A frame that can't be sent is dropped. Every machine uses the same port.

use crate::frame::MAX_FRAME_BYTES;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Most bytes of a frame that goes as a datagram: it fits into one packet.
const DATAGRAM: usize = 1200;
/// How long a connection may take to come up, and a frame to be taken.
const CONNECT: Duration = Duration::from_millis(600);
const WRITE: Duration = Duration::from_millis(2000);
/// A connection without a frame for so long is closed.
const IDLE: Duration = Duration::from_secs(6);
/// Frames that wait for one machine's connection; what comes beyond that is dropped.
const WAITING: usize = 64;

/// What came: the bytes of a frame.
pub type Inbound = mpsc::UnboundedSender<Vec<u8>>;

/// All links of this machine.
pub struct Links {
    me: Ipv4Addr,
    port: u16,
    /// Machines that are reached at another address than their own.
    reached_at: BTreeMap<Ipv4Addr, Ipv4Addr>,
    datagrams: UdpSocket,
    writers: RefCell<HashMap<Ipv4Addr, mpsc::Sender<Vec<u8>>>>,
}

impl Links {
    /// Opens the links at this machine's address; what comes goes to `inbound`. Machines in `reached_at` are reached at the
    /// address that stands there.
    ///
    /// # Errors
    /// The port is not to be had.
    pub async fn open(
        me: Ipv4Addr,
        port: u16,
        reached_at: BTreeMap<Ipv4Addr, Ipv4Addr>,
        inbound: Inbound,
    ) -> io::Result<Rc<Links>> {
        let at = SocketAddrV4::new(me, port);
        let datagrams = UdpSocket::bind(at).await?;
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(at.into())?;
        let listener = socket.listen(256)?;
        let links = Rc::new(Links { me, port, reached_at, datagrams, writers: RefCell::default() });
        spawn_local(accept(listener, inbound.clone()));
        spawn_local(receive(links.clone(), inbound));
        Ok(links)
    }

    fn address(&self, to: Ipv4Addr) -> SocketAddrV4 {
        SocketAddrV4::new(self.reached_at.get(&to).copied().unwrap_or(to), self.port)
    }

    /// Sends a frame.
    pub fn send(self: &Rc<Self>, to: Ipv4Addr, frame: Vec<u8>) {
        if frame.len() <= DATAGRAM {
            // A datagram may be lost anyway.
            let _ = self.datagrams.try_send_to(&frame, self.address(to).into());
            return;
        }
        let mut writers = self.writers.borrow_mut();
        let writer = writers.entry(to).or_insert_with(|| {
            let (writer, frames) = mpsc::channel(WAITING);
            spawn_local(write(self.clone(), to, frames));
            writer
        });
        if let Err(mpsc::error::TrySendError::Full(_)) = writer.try_send(frame) {
            log::debug!("link to {to}: too much waits, a frame is dropped");
        }
    }
}

/// Writes one machine's long frames until there are none for a while.
async fn write(links: Rc<Links>, to: Ipv4Addr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut stream: Option<TcpStream> = None;
    while let Ok(Some(frame)) = timeout(IDLE, frames.recv()).await {
        if stream.is_none() {
            stream = timeout(CONNECT, connect(&links, to)).await.ok().and_then(Result::ok);
        }
        let Some(open) = &mut stream else { continue };
        let sent = timeout(WRITE, async {
            open.write_all(&(frame.len() as u32).to_be_bytes()).await?;
            open.write_all(&frame).await
        });
        if !matches!(sent.await, Ok(Ok(()))) {
            stream = None;
        }
    }
    // Taken off while nothing waits: the next frame opens another.
    links.writers.borrow_mut().remove(&to);
}

async fn connect(links: &Links, to: Ipv4Addr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddrV4::new(links.me, 0).into())?;
    let stream = socket.connect(links.address(to).into()).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn receive(links: Rc<Links>, inbound: Inbound) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        match links.datagrams.recv_from(&mut buffer).await {
            Ok((length, _)) => {
                if inbound.send(buffer[..length].to_vec()).is_err() {
                    return;
                }
            }
            // An error of an earlier send is told here; the socket stands.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn accept(listener: TcpListener, inbound: Inbound) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(read(stream, inbound.clone()));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn read(mut stream: TcpStream, inbound: Inbound) {
    loop {
        // Longer than the other side keeps an idle connection.
        let Ok(Ok(length)) = timeout(2 * IDLE, stream.read_u32()).await else { return };
        if length as usize > MAX_FRAME_BYTES {
            return;
        }
        let mut frame = vec![0; length as usize];
        match timeout(IDLE, stream.read_exact(&mut frame)).await {
            Ok(Ok(_)) if inbound.send(frame).is_ok() => {}
            _ => return,
        }
    }
}
