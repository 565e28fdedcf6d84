//! Upgrades without downtime: a new process takes over from the running one, with its listening socket, its state and
//! its idle client connections, while the old one completes the requests it has.
//!
//! [`protocol`] decides when each process serves; this module performs the actions.

pub mod link;
pub mod neighbors;
pub mod protocol;

use crate::clock::Clock;
use crate::discovery::LastRevision;
use crate::gateway_core::GatewayCore;
use crate::log;
use crate::network::Network;
use crate::request_handler::ServerContext;
use crate::shutdown::Phase;
use brassport_proxy::downstream::AdoptedConnection;
use link::Link;
use neighbors::{HandoverState, Neighbors};
use protocol::{Input, Message, NewProcess, NewProcessAction, Offer, OldProcess, OldProcessAction, VERSION};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, Semaphore};

/// How long a message that is due may take. Two such timeouts leave most of the 6 s within which a new process must
/// be ready.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often the old process checks for free descriptors that the new one may use.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Descriptors that the old process keeps, for attempts that have to connect.
const KEPT_DESCRIPTORS: usize = 8;
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// The path of the Unix socket at which the process that serves this address accepts its successor. `None` without a
/// directory for the gateway's temporary files, which disables upgrades.
pub fn socket_path(listen: SocketAddr, directory: Option<PathBuf>) -> Option<PathBuf> {
    let ip = listen.ip().to_string().replace(':', "_");
    Some(directory?.join(format!("brassport-{ip}-{}.sock", listen.port())))
}

/// The state and sockets received from the predecessor.
#[derive(Debug)]
pub struct Takeover {
    pub offer: Box<Offer>,
    pub listener: OwnedFd,
    link: Link,
    /// Messages received before this process served.
    early_messages: Vec<(Message, Option<OwnedFd>)>,
}

/// Takes over from the process that serves now; `None` if there is none, or if the handover failed. The caller must
/// start to serve at once, as the old process has stopped. Must be called within a `LocalSet`.
pub async fn take_over(path: &Path, clock: &impl Clock) -> Option<Takeover> {
    let stream = UnixStream::connect(path).await.ok().filter(link::is_same_user)?;
    let mut link = Link::new(stream);
    link.sender().send(Message::Ask { version: VERSION }, None);
    let mut state = NewProcess::default();
    let (mut offered, mut early_messages) = (None, Vec::new());
    loop {
        let received = clock.timeout(MESSAGE_TIMEOUT, link.receive()).await;
        let action = state.handle(match &received {
            Some(Some((message, _))) => Input::Message(message),
            Some(None) => Input::LinkClosed,
            None => Input::TimedOut,
        });
        match (action, received) {
            (NewProcessAction::Accept, Some(Some((Message::Offer(offer), Some(listener)))))
                if offer.active_settings.is_consistent() =>
            {
                offered = Some((offer, listener));
                link.sender().send(Message::Took, None);
            }
            (NewProcessAction::Queue, Some(Some(message))) => early_messages.push(message),
            (NewProcessAction::Serve, _) => {
                let (offer, listener) = offered?;
                return Some(Takeover { offer, listener, link, early_messages });
            }
            _ => {
                log::write_line(
                    "the running process did not hand over; starting beside it without its state".into(),
                );
                return None;
            }
        }
    }
}

/// Listens at this path. The system calls run on another thread, as they may block.
async fn listen(path: &Path) -> io::Result<UnixListener> {
    let path = path.to_path_buf();
    let listener = tokio::task::spawn_blocking(move || link::listen(&path)).await;
    UnixListener::from_std(listener.map_err(io::Error::other)??)
}

/// Hands this process's role over to a successor.
pub struct HandoverServer<C: Clock, N: Network> {
    pub context: Rc<ServerContext<C, N>>,
    pub neighbors: Rc<Neighbors>,
    /// Dropped once the gateway has stopped accepting connections.
    pub listener: Weak<N::Listener>,
    /// The text of the configuration applied last.
    pub config_text: RefCell<String>,
    pub descriptors: Arc<Semaphore>,
    /// Number of descriptors that a process needs apart from client and backend connections.
    pub own_descriptors: usize,
    /// Maximum size of the policy's serialized state, in bytes.
    pub max_state_bytes: usize,
    pub ready: Option<Arc<AtomicBool>>,
    /// The last revision of the list that discovery applied.
    pub last_revision: Rc<Cell<Option<LastRevision>>>,
}

impl<C: Clock, N: Network> HandoverServer<C, N> {
    /// Accepts successors at this path, one after another, until the process ends. Signals `listening` once it can be
    /// reached.
    pub async fn run(self: Rc<Self>, path: PathBuf, listening: oneshot::Sender<()>) {
        let mut listener = match listen(&path).await {
            Ok(listener) => {
                let _ = listening.send(());
                listener
            }
            Err(error) => {
                log::write_line(format!("no upgrade of this process without a loss: TMPDIR: {error}"));
                return;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) if link::is_same_user(&stream) => {
                    self.serve(Link::new(stream)).await;
                    // The successor may have replaced the listener at this path, and ended since.
                    if UnixStream::connect(&path).await.is_err() {
                        if let Ok(new) = listen(&path).await {
                            listener = new;
                        }
                    }
                }
                Ok(_) => {}
                Err(_) => self.context.clock.sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    /// Serves one successor until its link ends.
    async fn serve(&self, mut link: Link) {
        let clock = &self.context.clock;
        let mut state = OldProcess::default();
        loop {
            let received = if state.expects_message() {
                clock.timeout(MESSAGE_TIMEOUT, link.receive()).await
            } else {
                let received = clock.timeout(RELEASE_INTERVAL, link.receive()).await;
                self.lend_free_descriptors();
                if received.is_none() {
                    continue;
                }
                received
            };
            let actions = state.handle(match &received {
                Some(Some((message, _))) => Input::Message(message),
                Some(None) => Input::LinkClosed,
                None => Input::TimedOut,
            });
            for action in actions {
                match (action, &received) {
                    (OldProcessAction::Offer, _) => {
                        let Some((offer, listener)) = self.begin_offer() else { return };
                        self.neighbors.set_successor(Some(link.sender()));
                        self.neighbors.set_state(HandoverState::Offered);
                        link.sender().send(Message::Offer(Box::new(offer)), Some(listener));
                    }
                    (OldProcessAction::HandOver, _) => {
                        log::write_line("handed over to a new process".into());
                        // `Go` is sent before the first client connection, as the new process serves from then on.
                        link.sender().send(Message::Go, None);
                        self.set_ready(false);
                        self.neighbors.set_state(HandoverState::Complete);
                    }
                    (OldProcessAction::Resume, _) => {
                        log::write_line("the new process has ended; serving again".into());
                        self.neighbors.set_successor(None);
                        self.descriptors.add_permits(self.neighbors.reclaim_lent());
                        self.context.backends.set_keep_idle(true);
                        self.context.core.resume_after_handover();
                        self.neighbors.set_state(HandoverState::NotStarted);
                        self.set_ready(true);
                    }
                    (OldProcessAction::ApplyBan, Some(Some((message, _)))) => {
                        _ = self.context.core.apply_ban(message)
                    }
                    (OldProcessAction::ApplyBan, _) => {}
                    (OldProcessAction::CloseLink, _) => return,
                }
            }
        }
    }

    /// Builds the offer. From here on this process spends no budget that must not be spent twice.
    fn begin_offer(&self) -> Option<(Offer, OwnedFd)> {
        let listener = N::duplicate_listener(&*self.listener.upgrade()?).ok()?;
        self.context.backends.set_keep_idle(false);
        let free = self.descriptors.available_permits().saturating_sub(KEPT_DESCRIPTORS);
        let free = self.descriptors.forget_permits(free);
        self.neighbors.lend(free);
        let mut offer = self.context.core.begin_handover(self.max_state_bytes);
        offer.descriptors = free.saturating_sub(self.own_descriptors);
        offer.config_text.clone_from(&self.config_text.borrow());
        offer.active_settings = (*self.context.active_settings()).clone();
        offer.last_revision = self.last_revision.get();
        Some((offer, listener))
    }

    /// Lends descriptors that are free in this process to the successor.
    fn lend_free_descriptors(&self) {
        let free = self.descriptors.available_permits().saturating_sub(KEPT_DESCRIPTORS);
        if free > 0 {
            let free = self.descriptors.forget_permits(free);
            self.neighbors.lend(free);
            self.neighbors.notify_successor(|| Message::Descriptors(free));
        }
    }

    fn set_ready(&self, is_ready: bool) {
        // A process that is shutting down does not become ready again.
        let is_ready = is_ready && self.context.shutdown.phase() == Phase::Serving;
        if let Some(ready) = &self.ready {
            ready.store(is_ready, Ordering::Relaxed);
        }
    }
}

/// Applies the messages of the predecessor while it completes its requests.
pub struct PredecessorFollower<C: Clock, N: Network> {
    pub network: N,
    pub core: Rc<GatewayCore<C, N>>,
    pub neighbors: Rc<Neighbors>,
    pub descriptors: Arc<Semaphore>,
    /// Number of descriptors that the predecessor still uses, and that this process may use after its end.
    pub owed_descriptors: usize,
    /// Receives the client connections that were handed over.
    pub clients: mpsc::UnboundedSender<AdoptedConnection<N::Stream>>,
}

impl<C: Clock, N: Network> PredecessorFollower<C, N> {
    /// Applies the predecessor's messages until it has ended.
    pub async fn run(mut self, link: Link, early_messages: Vec<(Message, Option<OwnedFd>)>) {
        let mut link = link;
        self.neighbors.set_predecessor(Some(link.sender()));
        early_messages.into_iter().for_each(|(message, socket)| self.apply(message, socket));
        let mut state = NewProcess::Serving;
        loop {
            let received = link.receive().await;
            let action = state
                .handle(received.as_ref().map_or(Input::LinkClosed, |(message, _)| Input::Message(message)));
            match (action, received) {
                (NewProcessAction::Apply, Some((message, socket))) => self.apply(message, socket),
                _ => break,
            }
        }
        self.neighbors.set_predecessor(None);
        self.core.release_all_attempts();
        self.descriptors.add_permits(self.owed_descriptors);
    }

    fn apply(&mut self, message: Message, socket: Option<OwnedFd>) {
        match message {
            Message::Client { read, asked } => {
                let stream = socket.and_then(|socket| self.network.stream_from_fd(socket).ok());
                // The connection's descriptor is counted in this process from now on.
                self.add_descriptors(1);
                if let Some(stream) = stream {
                    let _ = self.clients.send(AdoptedConnection {
                        stream,
                        buffered: read.into(),
                        request_count: asked,
                    });
                }
            }
            Message::Descriptors(free) => self.add_descriptors(free),
            Message::Released(customer) => self.core.release_attempt(customer),
            message => _ = self.core.apply_ban(&message),
        }
    }

    fn add_descriptors(&mut self, descriptors: usize) {
        let added = descriptors.min(self.owed_descriptors);
        self.owed_descriptors -= added;
        self.descriptors.add_permits(added);
    }
}

impl Takeover {
    /// Returns the link, and the messages received on it before this process served.
    pub fn into_link(self) -> (Link, Vec<(Message, Option<OwnedFd>)>) {
        (self.link, self.early_messages)
    }
}
