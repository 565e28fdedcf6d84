//! Relays on the nodes' own links: one for each direction between two nodes, so that each can be cut by itself. What a
//! node sends over a link that is cut is lost, and a connection that stood is closed.

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

/// Between two checks whether an idle connection has been cut.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

type Direction = (Ipv4Addr, Ipv4Addr);

/// All relays of a site.
#[derive(Debug, Clone)]
pub struct Relays {
    nodes: Vec<Ipv4Addr>,
    cut: Rc<RefCell<BTreeSet<Direction>>>,
}

impl Relays {
    /// Begins to carry between all nodes of a site that was laid with relays.
    ///
    /// # Errors
    /// An address is taken.
    pub async fn begin(site: &Site) -> miette::Result<Relays> {
        let relays = Relays { nodes: site.nodes.iter().map(|node| node.ip).collect(), cut: Rc::default() };
        let Some(port) = site.nodes.first().map(|node| node.ports.internal.0) else { return Ok(relays) };
        for (from, to) in relays.directions() {
            let at = SocketAddrV4::new(relay_ip(from, to), port);
            let target = SocketAddrV4::new(to, port);
            let datagrams = UdpSocket::bind(at).await.into_diagnostic()?;
            let listener = TcpListener::bind(at).await.into_diagnostic()?;
            spawn_local(relays.clone().datagrams(datagrams, (from, to), target));
            spawn_local(relays.clone().connections(listener, (from, to), target));
        }
        Ok(relays)
    }

    /// Every direction between two nodes.
    fn directions(&self) -> Vec<Direction> {
        let to_others = |from: &Ipv4Addr| {
            self.nodes.iter().filter(|to| *to != from).map(|to| (*from, *to)).collect::<Vec<_>>()
        };
        self.nodes.iter().flat_map(to_others).collect()
    }

    /// Cuts one direction between two nodes, counted from 0.
    pub fn cut(&self, from: usize, to: usize) {
        self.cut.borrow_mut().insert((self.nodes[from], self.nodes[to]));
    }

    /// All carry again.
    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
    }

    fn is_cut(&self, direction: Direction) -> bool {
        self.cut.borrow().contains(&direction)
    }

    async fn datagrams(self, socket: UdpSocket, direction: Direction, target: SocketAddrV4) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            // An error of an earlier send is reported here; the socket stays usable.
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
            if !self.is_cut(direction) {
                // A datagram may be lost anyway.
                let _ = socket.try_send_to(&buffer[..length], target.into());
            }
        }
    }

    async fn connections(self, listener: TcpListener, direction: Direction, target: SocketAddrV4) {
        while let Ok((stream, _)) = listener.accept().await {
            if !self.is_cut(direction) {
                spawn_local(self.clone().carry(stream, direction, target));
            }
        }
    }

    /// Frames go one way only: whoever connected is the one that sends.
    async fn carry(self, mut from: TcpStream, direction: Direction, target: SocketAddrV4) {
        let Ok(mut to) = TcpStream::connect(target).await else { return };
        let mut buffer = vec![0; 16 * 1024];
        loop {
            match timeout(POLL_INTERVAL, from.read(&mut buffer)).await {
                _ if self.is_cut(direction) => return,
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
