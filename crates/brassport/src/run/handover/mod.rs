//! Upgrades: one process takes the place of another, and both are one front door meanwhile.
//!
//! [`protocol`] says when each of them serves; here that is carried out.

pub mod link;
pub mod links;
pub mod protocol;

use crate::clients::Context;
use crate::clock::Clock;
use crate::discovery::Newest;
use crate::door::Door;
use crate::log;
use crate::network::Network;
use crate::shutdown::Phase;
use brassport_proxy::downstream::AdoptedConnection;
use link::Link;
use links::{HandOver, Links};
use protocol::{Giver, GiverDoes, Heard, Message, Offer, Taker, TakerDoes, VERSION};
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

/// How long a word that is owed may take. Both waits together leave most of the 6 s in which a new process is to be
/// ready.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Between two looks at what the old process has let go of.
const LETTING_GO: Duration = Duration::from_millis(100);
/// Descriptors that the old process keeps for attempts that have to connect.
const KEPT: usize = 8;
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(100);

/// Where the process that serves at this address listens for the one that takes its place: nowhere without a folder for
/// temporary files of this front door's own.
pub fn place(listen: SocketAddr, folder: Option<PathBuf>) -> Option<PathBuf> {
    let ip = listen.ip().to_string().replace(':', "_");
    Some(folder?.join(format!("brassport-{ip}-{}.sock", listen.port())))
}

/// The place of another process, taken.
#[derive(Debug)]
pub struct Taken {
    pub offer: Box<Offer>,
    pub listener: OwnedFd,
    link: Link,
    /// What was told before this process served.
    early: Vec<(Message, Option<OwnedFd>)>,
}

/// Takes the place of the process that serves now; `None` if there is none, or none that gives it. To be served from at
/// once. Must be called within a `LocalSet`.
pub async fn take(at: &Path, clock: &impl Clock) -> Option<Taken> {
    let stream = UnixStream::connect(at).await.ok().filter(link::is_own)?;
    let mut link = Link::over(stream);
    link.sender().send(Message::Ask { version: VERSION }, None);
    let mut taker = Taker::default();
    let (mut offered, mut early) = (None, Vec::new());
    loop {
        let heard = clock.timeout(PATIENCE, link.receive()).await;
        let does = taker.handle(match &heard {
            Some(Some((message, _))) => Heard::Message(message),
            Some(None) => Heard::Ended,
            None => Heard::Overdue,
        });
        match (does, heard) {
            (TakerDoes::Take, Some(Some((Message::Offer(offer), Some(listener)))))
                if offer.terms.is_sound() =>
            {
                offered = Some((offer, listener));
                link.sender().send(Message::Took, None);
            }
            (TakerDoes::Keep, Some(Some(told))) => early.push(told),
            (TakerDoes::Serve, _) => {
                let (offer, listener) = offered?;
                return Some(Taken { offer, listener, link, early });
            }
            _ => {
                log::write_line(
                    "the process that serves here did not give its place: starting beside it".into(),
                );
                return None;
            }
        }
    }
}

/// Listens at this path, off the thread that serves.
async fn listen(at: &Path) -> io::Result<UnixListener> {
    let at = at.to_path_buf();
    let listener = tokio::task::spawn_blocking(move || link::listen(&at)).await;
    UnixListener::from_std(listener.map_err(io::Error::other)??)
}

/// What the old process offers from.
pub struct Office<C: Clock, N: Network> {
    pub context: Rc<Context<C, N>>,
    pub links: Rc<Links>,
    /// Gone once nobody is accepted any more.
    pub listener: Weak<N::Listener>,
    /// The newest file that was taken.
    pub file: RefCell<String>,
    pub descriptors: Arc<Semaphore>,
    /// Descriptors that a process needs for itself.
    pub own: usize,
    /// Most bytes that what was learned may take on its way.
    pub most: usize,
    pub ready: Option<Arc<AtomicBool>>,
    /// The newest revision of the list that discovery told.
    pub newest: Rc<Cell<Option<Newest>>>,
}

impl<C: Clock, N: Network> Office<C, N> {
    /// Gives the place to whoever asks for it, one after another, for as long as the process lives.
    /// Says once it can be asked.
    pub async fn give(self: Rc<Self>, at: PathBuf, listening: oneshot::Sender<()>) {
        let mut asked = match listen(&at).await {
            Ok(asked) => {
                let _ = listening.send(());
                asked
            }
            Err(error) => {
                log::write_line(format!("no upgrade of this process without a loss: TMPDIR: {error}"));
                return;
            }
        };
        loop {
            match asked.accept().await {
                Ok((stream, _)) if link::is_own(&stream) => {
                    self.serve(Link::over(stream)).await;
                    // Who held the place may have listened here.
                    if UnixStream::connect(&at).await.is_err() {
                        if let Ok(again) = listen(&at).await {
                            asked = again;
                        }
                    }
                }
                Ok(_) => {}
                Err(_) => self.context.clock.sleep(BACK_OFF).await,
            }
        }
    }

    /// One successor, until its link ends.
    async fn serve(&self, mut link: Link) {
        let clock = &self.context.clock;
        let mut giver = Giver::default();
        loop {
            let heard = if giver.waits() {
                clock.timeout(PATIENCE, link.receive()).await
            } else {
                let heard = clock.timeout(LETTING_GO, link.receive()).await;
                self.let_go();
                if heard.is_none() {
                    continue;
                }
                heard
            };
            let does = giver.handle(match &heard {
                Some(Some((message, _))) => Heard::Message(message),
                Some(None) => Heard::Ended,
                None => Heard::Overdue,
            });
            for does in does {
                match (does, &heard) {
                    (GiverDoes::Offer, _) => {
                        let Some((offer, listener)) = self.offer() else { return };
                        self.links.set_successor(Some(link.sender()));
                        self.links.set_state(HandOver::Offered);
                        link.sender().send(Message::Offer(Box::new(offer)), Some(listener));
                    }
                    (GiverDoes::Give, _) => {
                        log::write_line("another process has taken this one's place".into());
                        // Before the first client's connection: it is served once it is there.
                        link.sender().send(Message::Go, None);
                        self.ready(false);
                        self.links.set_state(HandOver::Given);
                    }
                    (GiverDoes::TakeBack, _) => {
                        log::write_line(
                            "the process that took this one's place has ended: serving again".into(),
                        );
                        self.links.set_successor(None);
                        self.descriptors.add_permits(self.links.take_lent());
                        self.context.backends.set_keep_idle(true);
                        self.context.door.take_back();
                        self.links.set_state(HandOver::Not);
                        self.ready(true);
                    }
                    (GiverDoes::Note, Some(Some((message, _)))) => _ = self.context.door.note_ban(message),
                    (GiverDoes::Note, _) => {}
                    (GiverDoes::EndLink, _) => return,
                }
            }
        }
    }

    /// What the successor needs. From here on nothing is spent that must not be spent twice.
    fn offer(&self) -> Option<(Offer, OwnedFd)> {
        let listener = N::duplicate_listener(&*self.listener.upgrade()?).ok()?;
        self.context.backends.set_keep_idle(false);
        let free = self.descriptors.available_permits().saturating_sub(KEPT);
        let free = self.descriptors.forget_permits(free);
        self.links.lend(free);
        let mut offer = self.context.door.hand_over(self.most);
        offer.descriptors = free.saturating_sub(self.own);
        offer.file.clone_from(&self.file.borrow());
        offer.terms = (*self.context.terms()).clone();
        offer.newest = self.newest.get();
        Some((offer, listener))
    }

    /// Tells the successor of descriptors that are free here.
    fn let_go(&self) {
        let free = self.descriptors.available_permits().saturating_sub(KEPT);
        if free > 0 {
            let free = self.descriptors.forget_permits(free);
            self.links.lend(free);
            self.links.tell_successor(|| Message::Descriptors(free));
        }
    }

    fn ready(&self, is_ready: bool) {
        // One that is about to end is not ready again.
        let is_ready = is_ready && self.context.shutdown.phase() == Phase::Serving;
        if let Some(ready) = &self.ready {
            ready.store(is_ready, Ordering::Relaxed);
        }
    }
}

/// What the new process goes on with while the old one ends.
pub struct Heir<C: Clock, N: Network> {
    pub network: N,
    pub door: Rc<Door<C, N>>,
    pub links: Rc<Links>,
    pub descriptors: Arc<Semaphore>,
    /// Descriptors that the other process still has, and that are this one's once it has ended.
    pub owed: usize,
    pub clients: mpsc::UnboundedSender<AdoptedConnection<N::Stream>>,
}

impl<C: Clock, N: Network> Heir<C, N> {
    /// Takes in what the old process tells until it has ended.
    pub async fn follow(mut self, link: Link, early: Vec<(Message, Option<OwnedFd>)>) {
        let mut link = link;
        self.links.set_predecessor(Some(link.sender()));
        early.into_iter().for_each(|(message, socket)| self.note(message, socket));
        let mut taker = Taker::Serving;
        loop {
            let heard = link.receive().await;
            let does =
                taker.handle(heard.as_ref().map_or(Heard::Ended, |(message, _)| Heard::Message(message)));
            match (does, heard) {
                (TakerDoes::Note, Some((message, socket))) => self.note(message, socket),
                _ => break,
            }
        }
        self.links.set_predecessor(None);
        self.door.release_all();
        self.descriptors.add_permits(self.owed);
    }

    fn note(&mut self, message: Message, socket: Option<OwnedFd>) {
        match message {
            Message::Client { read, asked } => {
                let stream = socket.and_then(|socket| self.network.stream_from_fd(socket).ok());
                // Its descriptor comes with it.
                self.add(1);
                if let Some(stream) = stream {
                    let _ = self.clients.send(AdoptedConnection {
                        stream,
                        buffered: read.into(),
                        request_count: asked,
                    });
                }
            }
            Message::Descriptors(free) => self.add(free),
            Message::Released(customer) => self.door.release(customer),
            message => _ = self.door.note_ban(&message),
        }
    }

    fn add(&mut self, descriptors: usize) {
        let added = descriptors.min(self.owed);
        self.owed -= added;
        self.descriptors.add_permits(added);
    }
}

impl Taken {
    /// The link, and what was told on it before this process served.
    pub fn into_link(self) -> (Link, Vec<(Message, Option<OwnedFd>)>) {
        (self.link, self.early)
    }
}
