//! The source: sockets and timers round a [`Follower`].

use crate::follower::{Action, Follower, Options};
use brassport::clock::Clock;
use brassport::network::{Datagrams, Network};
use brassport_membership::book::{Moment, Report};
use brassport_resolver::resolver::{Event, Settings};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};

/// Events of sockets that wait for their turn; a socket with more to tell waits too.
const WAITING: usize = 64;
/// Most bytes of a datagram that is looked at: more than was asked for is no answer to us.
const DATAGRAM: usize = 4096;
/// Longest sleep, where nothing else is due.
const IDLE: Duration = Duration::from_secs(3600);

/// Who runs the source.
pub struct Host {
    /// Takes what is reported.
    pub reader: Box<dyn Fn(Report)>,
    /// Takes lines for the log.
    pub log: Box<dyn Fn(String)>,
    /// Hard to guess.
    pub seed: [u8; 32],
    /// Told when all is to be asked anew.
    pub reread: Option<watch::Receiver<u64>>,
}

/// A source that follows SRV records.
pub struct Source<C, N> {
    clock: C,
    network: N,
    follower: Follower,
    host: Host,
    start: Instant,
    tasks: Tasks,
}

/// The tasks of the queries that are out; they end with the source.
#[derive(Default)]
struct Tasks(BTreeMap<u64, AbortHandle>);

impl Drop for Tasks {
    fn drop(&mut self) {
        self.0.values().for_each(AbortHandle::abort);
    }
}

impl<C: Clock, N: Network> Source<C, N> {
    /// A source that has asked nothing yet.
    pub fn new(clock: C, network: N, options: Options, settings: Settings, host: Host) -> Source<C, N> {
        let follower = Follower::new(options, settings, host.seed);
        let start = clock.now();
        Source { clock, network, follower, host, start, tasks: Tasks::default() }
    }

    /// Follows for ever. Must run within a `tokio::task::LocalSet`.
    pub async fn follow(mut self) {
        let (sender, mut events) = mpsc::channel(WAITING);
        let mut reread = self.host.reread.take();
        let mut actions = Vec::new();
        self.follower.begin(self.now(), &mut actions);
        loop {
            self.carry_out(std::mem::take(&mut actions), &sender);
            let wake = self.follower.next_wake().map(|at| self.start + Duration::from_millis(at));
            let wake = wake.unwrap_or_else(|| self.clock.now() + IDLE);
            tokio::select! {
                biased;
                event = events.recv() => {
                    if let Some(event) = event {
                        self.follower.handle(self.now(), event, &mut actions);
                    }
                }
                told = next(&mut reread) => match told {
                    Some(()) => self.follower.reread(self.now(), &mut actions),
                    None => reread = None,
                },
                () = self.clock.sleep_until(wake) => self.follower.handle(self.now(), Event::Wake, &mut actions),
            }
        }
    }

    fn now(&self) -> Moment {
        let monotonic = self.clock.now().saturating_duration_since(self.start).as_millis() as u64;
        Moment { monotonic, unix: self.clock.unix_time().as_millis() as u64 }
    }

    fn carry_out(&mut self, actions: Vec<Action>, sender: &mpsc::Sender<Event>) {
        for action in actions {
            match action {
                Action::Datagram { query, to, bytes } => {
                    let (network, sender) = (self.network.clone(), sender.clone());
                    let task =
                        spawn_local(async move { by_datagram(network, query, to, bytes, sender).await });
                    self.tasks.0.insert(query, task.abort_handle());
                }
                Action::Stream { query, to, bytes } => {
                    let (network, sender) = (self.network.clone(), sender.clone());
                    let task = spawn_local(async move {
                        let bytes = by_stream(network, to, bytes).await.ok();
                        // With the source, who asked has ended.
                        let _ = sender.send(Event::Stream { query, bytes }).await;
                    });
                    self.tasks.0.insert(query, task.abort_handle());
                }
                Action::Close { query } => {
                    if let Some(task) = self.tasks.0.remove(&query) {
                        task.abort();
                    }
                }
                Action::Report(report) => (self.host.reader)(report),
                Action::Log(line) => (self.host.log)(line),
            }
        }
    }
}

async fn next(reread: &mut Option<watch::Receiver<u64>>) -> Option<()> {
    match reread {
        Some(reread) => reread.changed().await.ok(),
        None => std::future::pending().await,
    }
}

/// The address that a socket to this one is bound to: any port, which the system draws; loopback for loopback.
fn own_end(to: SocketAddr) -> SocketAddr {
    let at: IpAddr = match (to.is_ipv4(), to.ip().is_loopback()) {
        (true, true) => Ipv4Addr::LOCALHOST.into(),
        (true, false) => Ipv4Addr::UNSPECIFIED.into(),
        (false, true) => Ipv6Addr::LOCALHOST.into(),
        (false, false) => Ipv6Addr::UNSPECIFIED.into(),
    };
    SocketAddr::new(at, 0)
}

/// Sends a query from a socket of its own, and hands on all that comes to that until it is ended.
async fn by_datagram<N: Network>(
    network: N,
    query: u64,
    to: SocketAddr,
    bytes: Vec<u8>,
    sender: mpsc::Sender<Event>,
) {
    let sent = async {
        let socket = network.datagrams(own_end(to)).await?;
        socket.send_to(&bytes, to).await?;
        Ok::<_, io::Error>(socket)
    };
    let Ok(socket) = sent.await else {
        let _ = sender.send(Event::Unsent { query }).await;
        return;
    };
    let mut buffer = [0; DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            let _ = sender.send(Event::Unsent { query }).await;
            return;
        };
        if sender.send(Event::Datagram { query, from, bytes: buffer[..length].to_vec() }).await.is_err() {
            return;
        }
    }
}

/// Exchanges a query over a connection of its own (RFC 7766).
async fn by_stream<N: Network>(network: N, to: SocketAddr, bytes: Vec<u8>) -> io::Result<Vec<u8>> {
    let mut stream = network.connect(to).await?;
    let length = u16::try_from(bytes.len()).map_err(io::Error::other)?;
    let mut framed = length.to_be_bytes().to_vec();
    framed.extend(bytes);
    stream.write_all(&framed).await?;
    let mut length = [0; 2];
    stream.read_exact(&mut length).await?;
    let mut answer = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}
