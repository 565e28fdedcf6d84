//! Links to one machine: relays with the bandwidth and the delay of its link. What the others send to the machine passes
//! here; what it sends itself goes its own way.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Bytes that the relay carries at a time: about a packet.
const PACKET_BYTES: usize = 1400;

/// The queue of one link: packets leave it one after the other.
pub struct Link {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// A link of this bandwidth.
    pub fn new(mbps: f64) -> Arc<Link> {
        Arc::new(Link { bytes_per_s: mbps * 1e6 / 8.0, free_at: Mutex::new(Instant::now()) })
    }

    /// Waits until a packet of this size has left the link.
    fn carry(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            *free_at =
                (*free_at).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    /// Opens a relay at `at` that carries datagrams and connections to `target` over this link.
    pub fn relay(self: &Arc<Self>, at: Ipv4Addr, target: SocketAddrV4) -> io::Result<()> {
        let at = SocketAddrV4::new(at, target.port());
        let datagrams = UdpSocket::bind(at)?;
        let listener = TcpListener::bind(at)?;
        let link = self.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while let Ok((length, _)) = datagrams.recv_from(&mut buffer) {
                link.carry(length);
                let _ = datagrams.send_to(&buffer[..length], target);
            }
        });
        let link = self.clone();
        std::thread::spawn(move || {
            while let Ok((from, _)) = listener.accept() {
                let link = link.clone();
                std::thread::spawn(move || {
                    let _ = link.pump(from, target);
                });
            }
        });
        Ok(())
    }

    /// Carries one connection; the nodes send in one direction only.
    fn pump(&self, mut from: TcpStream, target: SocketAddrV4) -> io::Result<()> {
        let mut to = TcpStream::connect(target)?;
        to.set_nodelay(true)?;
        let mut buffer = [0; PACKET_BYTES];
        loop {
            let length = from.read(&mut buffer)?;
            if length == 0 {
                return Ok(());
            }
            self.carry(length);
            to.write_all(&buffer[..length])?;
        }
    }
}
