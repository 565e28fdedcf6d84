//! The two seams of the front door, on the simulated kernel.

use crate::kernel::{Broken, End, Host, Kernel, Nanos, MS};
use brassport::clock::Clock;
use brassport::network::{Datagrams, Listener, Network};
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::OnceLock;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What virtual time 0 is called. Its value reaches nothing: only differences from it are ever used.
fn origin() -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now)
}

/// 2026-12-01 00:00 UTC, when every run begins.
pub const START_UNIX: Duration = Duration::from_secs(1_796_083_200);

/// The clock of one front door.
#[derive(Clone)]
pub struct SimClock {
    kernel: Kernel,
    host: Host,
    /// How far the wall clock stands off, in nanoseconds.
    wall_offset: Rc<Cell<i64>>,
}

impl SimClock {
    /// A clock on this machine.
    pub fn new(kernel: Kernel, host: Host, wall_offset: Rc<Cell<i64>>) -> SimClock {
        SimClock { kernel, host, wall_offset }
    }
}

impl Clock for SimClock {
    type Sleep = SimSleep;

    fn now(&self) -> Instant {
        origin() + Duration::from_nanos(self.kernel.now())
    }

    fn sleep_until(&self, at: Instant) -> SimSleep {
        let at = at.saturating_duration_since(origin()).as_nanos().min(u128::from(u64::MAX / 2)) as Nanos;
        // As tokio's timers do: whole milliseconds, rounded up.
        SimSleep { kernel: self.kernel.clone(), host: self.host, at: at.div_ceil(MS) * MS, timer: None }
    }

    fn unix_time(&self) -> Duration {
        let unix = (START_UNIX.as_nanos() as i64) + self.kernel.now() as i64 + self.wall_offset.get();
        Duration::from_nanos(unix.max(0) as u64)
    }
}

/// A timer that is running.
pub struct SimSleep {
    kernel: Kernel,
    host: Host,
    at: Nanos,
    timer: Option<u64>,
}

impl Future for SimSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let timer = match self.timer {
            Some(timer) => timer,
            None if self.at <= self.kernel.now() => return Poll::Ready(()),
            None => {
                let timer = self.kernel.set_timer(self.host, self.at);
                self.timer = Some(timer);
                timer
            }
        };
        if self.kernel.timer_due(timer, context.waker()) {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}

impl Drop for SimSleep {
    fn drop(&mut self) {
        if let Some(timer) = self.timer {
            self.kernel.drop_timer(timer);
        }
    }
}

/// The network as one front door sees it.
#[derive(Clone)]
pub struct SimNetwork {
    kernel: Kernel,
    host: Host,
}

impl SimNetwork {
    /// The network of this machine.
    pub fn new(kernel: Kernel, host: Host) -> SimNetwork {
        SimNetwork { kernel, host }
    }
}

impl Network for SimNetwork {
    type Stream = SimStream;
    type Listener = SimListener;
    type Datagrams = SimDatagrams;

    async fn listen(&self, at: SocketAddr) -> io::Result<SimListener> {
        if !self.kernel.listen(self.host, at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        Ok(SimListener { kernel: self.kernel.clone(), at })
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SimStream> {
        let stream = SimStream { kernel: self.kernel.clone(), end: self.kernel.connect(self.host, to) };
        let up = poll_fn(|context| match stream.kernel.connected(stream.end, context.waker()) {
            Some(up) => Poll::Ready(up),
            None => Poll::Pending,
        });
        if up.await {
            Ok(stream)
        } else {
            Err(io::ErrorKind::ConnectionRefused.into())
        }
    }

    async fn datagrams(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        // A port of 0 is drawn; so is the machine's own address, as sockets of one machine share none here.
        let at = self.kernel.open_datagrams(self.host, at).ok_or(io::ErrorKind::AddrInUse)?;
        Ok(SimDatagrams { kernel: self.kernel.clone(), at })
    }
}

/// A socket for datagrams.
pub struct SimDatagrams {
    kernel: Kernel,
    at: SocketAddr,
}

impl Datagrams for SimDatagrams {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.kernel.send_datagram(self.at, to, bytes);
        Ok(())
    }

    async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let (bytes, from) = poll_fn(|context| match self.kernel.take_datagram(self.at, context.waker()) {
            Some(datagram) => Poll::Ready(datagram),
            None => Poll::Pending,
        })
        .await;
        let length = bytes.len().min(buffer.len());
        buffer[..length].copy_from_slice(&bytes[..length]);
        Ok((length, from))
    }
}

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        self.kernel.close_datagrams(self.at);
    }
}

/// A front door's socket that listens.
pub struct SimListener {
    kernel: Kernel,
    at: SocketAddr,
}

impl Listener for SimListener {
    type Stream = SimStream;

    async fn accept(&self) -> io::Result<SimStream> {
        let accepted = poll_fn(|context| match self.kernel.accept(self.at, context.waker()) {
            Some(end) => Poll::Ready(end),
            None => Poll::Pending,
        });
        Ok(SimStream { kernel: self.kernel.clone(), end: accepted.await })
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        self.kernel.unlisten(self.at);
    }
}

/// One end of a connection, in a front door's hands.
pub struct SimStream {
    kernel: Kernel,
    end: End,
}

impl AsyncRead for SimStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.kernel.read(self.end, buffer.initialize_unfilled(), Some(context.waker()));
        match read {
            Ok(Some(read)) => {
                buffer.advance(read);
                Poll::Ready(Ok(()))
            }
            Ok(None) => Poll::Pending,
            Err(Broken) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl AsyncWrite for SimStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.kernel.write(self.end, bytes, Some(context.waker())) {
            Ok(Some(written)) => Poll::Ready(Ok(written)),
            Ok(None) => Poll::Pending,
            Err(Broken) => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.kernel.finish(self.end);
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        self.kernel.close(self.end, false);
    }
}
