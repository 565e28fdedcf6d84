//! Relays on the doors' own links: one for each direction between two doors, so that each can be cut by itself. What a
//! door sends over a link that is cut is lost, and a connection that stood is closed.

use crate::site::{relay_ip, Site};
use miette::IntoDiagnostic;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Between two looks of a connection on which nothing comes.
const LOOK: Duration = Duration::from_millis(50);

type Way = (Ipv4Addr, Ipv4Addr);

/// All relays of a site.
#[derive(Debug, Clone)]
pub struct Relays {
    doors: Vec<Ipv4Addr>,
    cut: Rc<RefCell<BTreeSet<Way>>>,
}

impl Relays {
    /// Begins to carry between all doors of a site that was laid with relays.
    ///
    /// # Errors
    /// An address is taken.
    pub async fn begin(site: &Site) -> miette::Result<Relays> {
        let relays = Relays { doors: site.doors.iter().map(|door| door.ip).collect(), cut: Rc::default() };
        let Some(port) = site.doors.first().map(|door| door.ports.internal.0) else { return Ok(relays) };
        for (from, to) in relays.ways() {
            let at = SocketAddrV4::new(relay_ip(from, to), port);
            let target = SocketAddrV4::new(to, port);
            let datagrams = UdpSocket::bind(at).await.into_diagnostic()?;
            let listener = TcpListener::bind(at).await.into_diagnostic()?;
            spawn_local(relays.clone().datagrams(datagrams, (from, to), target));
            spawn_local(relays.clone().connections(listener, (from, to), target));
        }
        Ok(relays)
    }

    /// Every direction between two doors.
    fn ways(&self) -> Vec<Way> {
        let to_others = |from: &Ipv4Addr| {
            self.doors.iter().filter(|to| *to != from).map(|to| (*from, *to)).collect::<Vec<_>>()
        };
        self.doors.iter().flat_map(to_others).collect()
    }

    /// Cuts one direction between two doors, counted from 0.
    pub fn cut(&self, from: usize, to: usize) {
        self.cut.borrow_mut().insert((self.doors[from], self.doors[to]));
    }

    /// All carry again.
    pub fn join(&self) {
        self.cut.borrow_mut().clear();
    }

    fn is_cut(&self, way: Way) -> bool {
        self.cut.borrow().contains(&way)
    }

    async fn datagrams(self, socket: UdpSocket, way: Way, target: SocketAddrV4) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            // An error of an earlier send is told here; the socket stands.
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            if !self.is_cut(way) {
                // A datagram may be lost anyway.
                let _ = socket.try_send_to(&buffer[..length], target.into());
            }
        }
    }

    async fn connections(self, listener: TcpListener, way: Way, target: SocketAddrV4) {
        while let Ok((stream, _)) = listener.accept().await {
            if !self.is_cut(way) {
                spawn_local(self.clone().carry(stream, way, target));
            }
        }
    }

    /// Frames go one way only: whoever connected is the one that sends.
    async fn carry(self, mut from: TcpStream, way: Way, target: SocketAddrV4) {
        let Ok(mut to) = TcpStream::connect(target).await else { return };
        let mut buffer = vec![0; 16 * 1024];
        loop {
            match timeout(LOOK, from.read(&mut buffer)).await {
                _ if self.is_cut(way) => return,
                Err(_) => {}
                Ok(Ok(length)) if length > 0 => {
                    if to.write_all(&buffer[..length]).await.is_err() {
                        return;
                    }
                }
                Ok(_) => return,
            }
        }
    }
}
