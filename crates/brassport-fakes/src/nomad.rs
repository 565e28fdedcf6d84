//! API servers of a [`Cluster`]: `/v1/service/:name`, `/v1/nodes`, `/v1/allocations` with blocking queries, and
//! `/v1/event/stream`. Each server has its own troubles.

use crate::cluster::{Cluster, Moment, Table};
use brassport::clock::Clock;
use brassport::network::{Listener, Network};
use hyper::body::{Body, Bytes, Frame};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;

/// What is wrong with a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Trouble {
    /// It shows the state so many changes old, whatever it claims.
    pub lag: u64,
    /// It knows no leader.
    pub leaderless: bool,
    /// It heard of its leader so long ago, as it says.
    pub last_contact: u64,
    /// It answers half of each body, and then nothing.
    pub freezes: bool,
    /// It answers every call with this status.
    pub status: Option<u16>,
    /// It lists nothing.
    pub empty: bool,
    /// It lists every other row only, and says that it is behind.
    pub partial: bool,
    /// Its streams stay open, and say nothing.
    pub silent: bool,
    /// It tells each event twice.
    pub twice: bool,
    /// It tells each event behind the one that follows it.
    pub disorder: bool,
    /// It ends its streams within the next line.
    pub cuts: bool,
}

impl Trouble {
    /// None.
    pub const NONE: Trouble = Trouble {
        lag: 0,
        leaderless: false,
        last_contact: 0,
        freezes: false,
        status: None,
        empty: false,
        partial: false,
        silent: false,
        twice: false,
        disorder: false,
        cuts: false,
    };
}

impl Trouble {
    /// Whether the server claims that its state is the newest.
    fn vouches(&self) -> bool {
        !self.leaderless && !self.partial && self.last_contact == 0
    }
}

/// The servers of a cluster.
pub struct Servers<C> {
    clock: C,
    /// What they serve.
    pub cluster: RefCell<Cluster>,
    troubles: RefCell<Vec<Trouble>>,
    token: RefCell<Option<String>>,
    heartbeat: Duration,
    /// Wakes in the order of the waiting, so that a run can be played again.
    changed: Notify,
    /// Calls that were answered, in all.
    pub calls: RefCell<u64>,
}

impl<C: Clock> Servers<C> {
    /// So many servers of a cluster.
    pub fn new(clock: C, cluster: Cluster, servers: usize, heartbeat: Duration) -> Rc<Servers<C>> {
        Rc::new(Servers {
            clock,
            cluster: cluster.into(),
            troubles: vec![Trouble::NONE; servers].into(),
            token: RefCell::default(),
            heartbeat,
            changed: Notify::new(),
            calls: RefCell::default(),
        })
    }

    /// Changes the cluster, and wakes whoever waits for it.
    pub fn change<T>(&self, change: impl FnOnce(&mut Cluster) -> T) -> T {
        let result = change(&mut self.cluster.borrow_mut());
        self.changed.notify_waiters();
        result
    }

    /// Gives a server its trouble; streams and queries that are open see it.
    pub fn trouble(&self, server: usize, trouble: Trouble) {
        self.troubles.borrow_mut()[server] = trouble;
        self.changed.notify_waiters();
    }

    /// From now on calls need this token.
    pub fn require(&self, token: Option<&str>) {
        *self.token.borrow_mut() = token.map(str::to_string);
        self.changed.notify_waiters();
    }

    fn of(&self, server: usize) -> Trouble {
        self.troubles.borrow()[server].clone()
    }

    /// Serves one server's API for ever. Must be polled within a `tokio::task::LocalSet`.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn serve<N: Network>(
        self: Rc<Self>,
        network: N,
        at: SocketAddr,
        server: usize,
    ) -> std::io::Result<()> {
        let listener = network.listen(at).await?;
        self.accept(listener, server).await
    }

    /// Serves one server's API on a socket that listens already.
    ///
    /// # Errors
    /// The socket fails.
    pub async fn accept<L: Listener>(self: Rc<Self>, listener: L, server: usize) -> std::io::Result<()>
    where
        L::Stream: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        loop {
            let stream = listener.accept().await?;
            spawn_local(self.clone().connection(stream, server));
        }
    }

    /// Serves one connection.
    pub async fn connection<S: AsyncRead + AsyncWrite + Unpin + 'static>(
        self: Rc<Self>,
        stream: S,
        server: usize,
    ) {
        let serve = service_fn(move |request| {
            let servers = self.clone();
            async move { Ok::<_, Infallible>(servers.answer(server, request).await) }
        });
        // Without the date, which is the system's and differs from run to run. How a connection ends is the client's
        // matter.
        let _ =
            http1::Builder::new().auto_date_header(false).serve_connection(TokioIo::new(stream), serve).await;
    }

    async fn answer(
        self: Rc<Self>,
        server: usize,
        request: Request<hyper::body::Incoming>,
    ) -> Response<Parts> {
        *self.calls.borrow_mut() += 1;
        let query = request.uri().query().unwrap_or_default().to_string();
        let value = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=').map(str::to_string))
        };
        let token =
            request.headers().get("X-Nomad-Token").and_then(|token| token.to_str().ok().map(str::to_string));
        let table = match request.uri().path() {
            "/v1/nodes" => Table::Clients,
            "/v1/allocations" => Table::Allocs,
            "/v1/service/render" => Table::Services,
            "/v1/event/stream" => {
                if let Some(status) = self.refusal(server, &token) {
                    return plain(status);
                }
                let from = value("index").and_then(|text| text.parse().ok()).unwrap_or(0);
                return self.stream(server, from);
            }
            _ => return plain(StatusCode::NOT_FOUND),
        };
        let index = value("index").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let wait = value("wait").and_then(|text| text.strip_suffix("ms")?.parse().ok()).unwrap_or(300_000);
        let until = self.clock.now() + Duration::from_millis(wait);
        loop {
            let mut changed = pin!(self.changed.notified());
            changed.as_mut().enable();
            if let Some(status) = self.refusal(server, &token) {
                return plain(status);
            }
            let trouble = self.of(server);
            let (shown, list) = {
                let cluster = self.cluster.borrow();
                let moment = moment(&cluster, &trouble);
                let shown = moment.changed(table);
                // As the real ones do: an index that is ahead of the server's own is answered at once.
                let ready = index == 0 || shown != index || trouble.empty || trouble.partial;
                (shown, ready.then(|| moment.list(table, trouble.vouches())))
            };
            let over = self.clock.now() >= until;
            if let Some(list) = list.or_else(|| {
                over.then(|| moment(&self.cluster.borrow(), &trouble).list(table, trouble.vouches()))
            }) {
                return render(&trouble, shown, list);
            }
            tokio::select! {
                    biased;
                () = &mut changed => {}
                () = self.clock.sleep_until(until) => {}
            }
        }
    }

    fn refusal(&self, server: usize, token: &Option<String>) -> Option<StatusCode> {
        let needed = self.token.borrow();
        if needed.is_some() && *needed != *token {
            return Some(StatusCode::FORBIDDEN);
        }
        self.of(server).status.and_then(|status| StatusCode::from_u16(status).ok())
    }

    fn stream(self: Rc<Self>, server: usize, from: u64) -> Response<Parts> {
        let (sender, parts) = mpsc::unbounded_channel();
        spawn_local(async move {
            let mut sent = from;
            let mut beat = self.clock.now() + self.heartbeat;
            let _ = sender.send(Bytes::from_static(b"{}\n"));
            loop {
                let mut changed = pin!(self.changed.notified());
                changed.as_mut().enable();
                let trouble = self.of(server);
                if self.refusal(server, &None).is_some_and(|status| status != StatusCode::FORBIDDEN) {
                    return;
                }
                if !trouble.silent {
                    let shown = moment(&self.cluster.borrow(), &trouble).index;
                    let mut lines: Vec<_> = {
                        let cluster = self.cluster.borrow();
                        let behind = cluster.events_behind(sent).take_while(|event| event.index <= shown);
                        behind.map(|event| event.line.clone()).collect()
                    };
                    sent = sent.max(shown);
                    if trouble.disorder {
                        lines.reverse();
                    }
                    for line in &lines {
                        if trouble.cuts || trouble.freezes {
                            let _ = sender.send(Bytes::copy_from_slice(&line.as_bytes()[..line.len() / 2]));
                            if trouble.cuts {
                                return;
                            }
                            std::future::pending::<()>().await;
                        }
                        for _ in 0..if trouble.twice { 2 } else { 1 } {
                            if sender.send(Bytes::from(format!("{line}\n"))).is_err() {
                                return;
                            }
                        }
                    }
                    if self.clock.now() >= beat {
                        if sender.send(Bytes::from_static(b"{}\n")).is_err() {
                            return;
                        }
                        beat = self.clock.now() + self.heartbeat;
                    }
                } else {
                    beat = self.clock.now() + self.heartbeat;
                }
                tokio::select! {
                    biased;
                    () = &mut changed => {}
                    () = self.clock.sleep_until(beat) => {}
                    () = sender.closed() => return,
                }
            }
        });
        Response::new(Parts(parts))
    }
}

fn moment<'a>(cluster: &'a Cluster, trouble: &Trouble) -> &'a Moment {
    if trouble.lag == 0 {
        cluster.now()
    } else {
        cluster.ago(trouble.lag)
    }
}

fn render(trouble: &Trouble, index: u64, mut list: String) -> Response<Parts> {
    if trouble.empty {
        list = "[]".into();
    }
    if trouble.partial {
        let rows: Vec<serde_json::Value> = serde_json::from_str(&list).unwrap_or_default();
        let mut some: Vec<_> = rows.into_iter().step_by(2).collect();
        // What the list told of rows that are left out is not told.
        some.iter_mut().filter_map(|row| row.as_object_mut()).for_each(|row| drop(row.remove("Told")));
        list = serde_json::to_string(&some).unwrap_or_default();
    }
    let (sender, parts) = mpsc::unbounded_channel();
    let half = if trouble.freezes { list.len() / 2 } else { list.len() };
    let _ = sender.send(Bytes::copy_from_slice(&list.as_bytes()[..half]));
    if trouble.freezes {
        // The rest never comes, and the connection stands.
        spawn_local(async move { sender.closed().await });
    }
    let contact = if trouble.partial { 60_000 } else { trouble.last_contact };
    Response::builder()
        .header("X-Nomad-Index", index)
        .header("X-Nomad-KnownLeader", (!trouble.leaderless).to_string())
        .header("X-Nomad-LastContact", contact)
        .body(Parts(parts))
        .unwrap_or_else(|_| plain(StatusCode::INTERNAL_SERVER_ERROR))
}

fn plain(status: StatusCode) -> Response<Parts> {
    let (_, parts) = mpsc::unbounded_channel();
    let mut answer = Response::new(Parts(parts));
    *answer.status_mut() = status;
    answer
}

/// A body of parts that come when they come.
pub struct Parts(mpsc::UnboundedReceiver<Bytes>);

impl Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
    }
}
