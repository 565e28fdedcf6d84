//! The runtime of an instance that votes: its clock, its links to the others, and the calls that it answers.

use crate::call::{serve, wall_ms, Answers, Line, Said, Site};
use crate::instance::{Instance, Output, Reply, INSTANCE, TICK};
use crate::log::Disk;
use crate::record::{steady_ms, EARLIER_FILE, RECORD_FILE};
use crate::tasks::Tasks;
use brassport_fleet::grants::Ask;
use brassport_fleet::shared::{Change, Done, Refusal};
use brassport_fleet::Millis;
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;

/// How long another instance may take to answer.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Messages to one instance that may wait; more are left out, and the engine sends them anew.
const WAITING: usize = 256;
/// The longest that a question for news is held back.
const NEWS: Millis = 5000;
/// Bytes of other doors' records that are kept, each.
const SHIPPED: u64 = 16 * 1024 * 1024;

/// What a question for news says.
#[derive(Debug, Deserialize)]
struct Since {
    version: u64,
    digest: String,
    #[serde(default)]
    wait_ms: Millis,
}

/// An instance answers messages with this.
#[derive(Debug, Serialize, Deserialize)]
struct Taken {
    term: u64,
    /// Whether a leader's word was among them.
    heard: bool,
}

/// A voter that comes or goes.
#[derive(Debug, Serialize, Deserialize)]
pub struct Voter {
    pub id: u64,
    pub comes: bool,
}

/// What an instance's wall clock says.
#[derive(Debug, Serialize, Deserialize)]
pub struct Clock {
    pub by: String,
    pub wall_ms: u64,
}

/// What stands against a fence, as the leader says.
#[derive(Debug, Serialize, Deserialize)]
pub struct FenceAsk {
    pub version: u64,
}

/// A running instance.
pub struct Host<D: Disk> {
    site: Site,
    folder: PathBuf,
    instance: RefCell<Instance<D>>,
    tasks: Rc<Tasks>,
    /// Addresses that go before those that the instances told of themselves, and such that go behind them.
    routes: (BTreeMap<u64, SocketAddr>, BTreeMap<u64, SocketAddr>),
    peers: RefCell<BTreeMap<u64, mpsc::Sender<Vec<u8>>>>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    changed: Notify,
    /// Why it must end.
    failed: RefCell<Option<String>>,
    fails: Notify,
}

impl<D: Disk + 'static> Host<D> {
    pub fn new(
        site: Site,
        folder: PathBuf,
        instance: Instance<D>,
        routes: (BTreeMap<u64, SocketAddr>, BTreeMap<u64, SocketAddr>),
        tasks: Rc<Tasks>,
    ) -> Rc<Host<D>> {
        Rc::new(Host {
            site,
            folder,
            instance: RefCell::new(instance),
            routes,
            tasks,
            peers: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            failed: RefCell::new(None),
            fails: Notify::new(),
        })
    }

    /// Serves until the disk fails.
    pub async fn run(self: Rc<Self>, listener: TcpListener) -> String {
        let (host, tasks) = (self.clone(), self.tasks.clone());
        let reading = self.clone();
        spawn_local(tasks.run(
            move |look| look(reading.instance.borrow().shared()),
            move |change| {
                let host = host.clone();
                async move {
                    let body = serde_json::to_vec(&change).map_err(|error| error.to_string())?;
                    let said = host.answer("/fleet/publish".into(), body.into()).await;
                    said.read::<Result<Done, Refusal>>()
                }
            },
        ));
        spawn_local(serve(listener, self.site.clone(), Rc::new(Desk(self.clone()))));
        let host = self.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(TICK)).await;
                let output = host.instance.borrow_mut().tick(steady_ms());
                host.carry_out(output);
            }
        });
        self.fails.notified().await;
        self.failed.borrow().clone().unwrap_or_default()
    }

    fn carry_out(self: &Rc<Self>, output: Result<Output, String>) {
        let Output { messages, replies, changed } = match output {
            Ok(output) => output,
            Err(problem) => {
                // Guards against promises that are on no disk.
                self.failed.replace(Some(problem));
                return self.fails.notify_one();
            }
        };
        for (to, message) in messages {
            let peers = &mut self.peers.borrow_mut();
            let sender = peers.entry(to).or_insert_with(|| {
                let (sender, messages) = mpsc::channel(WAITING);
                spawn_local(self.clone().speak_to(to, messages));
                sender
            });
            let _ = sender.try_send(message);
        }
        for (number, reply) in replies {
            if let Some(waiter) = self.waiting.borrow_mut().remove(&number) {
                // Who asked may have given up.
                let _ = waiter.send(reply);
            }
        }
        if changed {
            self.changed.notify_waiters();
        }
    }

    fn address(&self, id: u64) -> Option<SocketAddr> {
        let instance = self.instance.borrow();
        let told = instance.shared().get(INSTANCE, &id.to_string());
        let told = told.and_then(|slot| slot.body.as_str()?.parse().ok());
        self.routes.0.get(&id).copied().or(told).or(self.routes.1.get(&id).copied())
    }

    /// Sends another instance what is for it, all that waits at once.
    async fn speak_to(self: Rc<Self>, to: u64, mut messages: mpsc::Receiver<Vec<u8>>) {
        let mut line: Option<Line> = None;
        while let Some(first) = messages.recv().await {
            let mut body = Vec::new();
            let mut put = |message: Vec<u8>| {
                body.extend((message.len() as u32).to_be_bytes());
                body.extend(message);
            };
            put(first);
            while let Ok(message) = messages.try_recv() {
                put(message);
            }
            let Some(address) = self.address(to) else { continue };
            let line = line.get_or_insert_with(|| Line::new(self.site.clone(), address));
            line.turn_to(address);
            let (sent, term) = (steady_ms(), self.instance.borrow().term());
            let said = line.call("/fleet/raft", body, PATIENCE).await;
            if let Ok(Ok(taken)) = said.map(|said| said.read::<Taken>()) {
                if taken.heard && taken.term == term {
                    self.instance.borrow_mut().heard_by(sent, to, term);
                }
            }
        }
    }

    /// Has the instance do something that is replied to.
    async fn have(
        self: &Rc<Self>,
        begin: impl FnOnce(&mut Instance<D>, u64) -> Result<Output, String>,
    ) -> Reply {
        self.next.set(self.next.get() + 1);
        let (waiter, reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(self.next.get(), waiter);
        let output = begin(&mut self.instance.borrow_mut(), self.next.get());
        self.carry_out(output);
        reply.await.unwrap_or(Reply::Unknown)
    }

    fn take_messages(self: &Rc<Self>, body: &[u8]) -> Said {
        let now = steady_ms();
        let mut rest = body;
        while rest.len() >= 4 {
            let (length, behind) = rest.split_at(4);
            let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
            if behind.len() < length {
                return Said::problem(400, "a message is cut short");
            }
            let (message, behind) = behind.split_at(length);
            let output = self.instance.borrow_mut().step(now, message);
            self.carry_out(output);
            rest = behind;
        }
        let instance = self.instance.borrow();
        Said::json(&Taken { term: instance.term(), heard: instance.heard_at() == now })
    }

    /// Passes a call on to the leader, if another one is known; `None` if there is none.
    async fn pass_on(&self, path: &str, body: &[u8]) -> Option<Said> {
        let leader = self.instance.borrow().leader()?;
        if leader == self.instance.borrow().id() {
            return None;
        }
        let line = Line::new(self.site.clone(), self.address(leader)?);
        line.call(&format!("{path}/passed-on"), body.to_vec(), PATIENCE).await.ok()
    }

    async fn answer(self: Rc<Self>, path: String, body: Bytes) -> Said {
        let (path, passed_on) = match path.strip_suffix("/passed-on") {
            Some(path) => (path, true),
            None => (path.as_str(), false),
        };
        if matches!(path, "/fleet/publish" | "/fleet/ask" | "/fleet/fence" | "/fleet/voter") {
            let leads = self.instance.borrow().is_leader();
            if !leads && !passed_on {
                if let Some(said) = self.pass_on(path, &body).await {
                    return said;
                }
            }
            if !leads {
                return Said::problem(503, "no leader is known here: ask another instance, or again");
            }
        }
        let said = match path {
            "/fleet/raft" => Ok(self.take_messages(&body)),
            "/fleet/publish" => self.publish(&body).await,
            "/fleet/ask" => self.ask(&body).await,
            "/fleet/leave" => Ok(Said::json(&self.instance.borrow().leave(steady_ms()))),
            "/fleet/since" => self.since(&body).await,
            "/fleet/fence" => read::<FenceAsk>(&body).map(|ask| {
                match self.instance.borrow().fence(steady_ms(), ask.version) {
                    Some(open) => Said::json(&open),
                    None => Said::problem(503, "another one leads now: ask again"),
                }
            }),
            "/fleet/voter" => read::<Voter>(&body).map(|voter| {
                let changed = self.instance.borrow_mut().change_voters(steady_ms(), voter.id, voter.comes);
                match changed {
                    Ok(output) => {
                        self.carry_out(Ok(output));
                        Said::json(&true)
                    }
                    Err((true, problem)) => {
                        self.carry_out(Err(problem.clone()));
                        Said::problem(500, &problem)
                    }
                    Err((false, problem)) => Said::problem(409, &problem),
                }
            }),
            "/fleet/status" => Ok(Said::json(&self.instance.borrow().status(steady_ms()))),
            "/fleet/clock" => Ok(Said::json(&Clock { by: self.site.name.clone(), wall_ms: wall_ms() })),
            "/fleet/tasks" => Ok(Said::json(&self.tasks.report())),
            "/fleet/record" => Ok(self.record()),
            "/fleet/ship" => self.take_shipped(&body),
            _ => Ok(Said::problem(404, "no such call: is this program older than the one that calls?")),
        };
        said.unwrap_or_else(|problem| Said::problem(400, &problem))
    }

    async fn publish(self: &Rc<Self>, body: &[u8]) -> Result<Said, String> {
        let change: Change = read(body)?;
        let change = Change { at_ms: wall_ms(), ..change };
        let reply = self.have(|instance, number| instance.publish(steady_ms(), number, change)).await;
        Ok(match reply {
            Reply::Published(done) => Said::json(&done),
            Reply::NotLeading => Said::problem(503, "another one leads now: ask again"),
            _ => Said::problem(
                504,
                "whether it was taken is not known: publish it again by the same id, it is made once",
            ),
        })
    }

    async fn ask(self: &Rc<Self>, body: &[u8]) -> Result<Said, String> {
        let ask: Ask = read(body)?;
        let reply = self.have(|instance, number| instance.ask(steady_ms(), number, ask)).await;
        Ok(match reply {
            Reply::Asked(answer) => Said::json(&answer),
            _ => Said::problem(503, "no majority confirms that this one leads"),
        })
    }

    /// What a door lacks; held back until there is something, for as long as it wants.
    async fn since(&self, body: &[u8]) -> Result<Said, String> {
        let since: Since = read(body)?;
        let until = steady_ms() + since.wait_ms.min(NEWS);
        loop {
            let changed = self.changed.notified();
            let catch = self.instance.borrow().shared().since(since.version, &since.digest);
            let left = until.saturating_sub(steady_ms());
            match catch {
                Ok(brassport_fleet::shared::Update::Changes(changes)) if changes.is_empty() && left > 0 => {
                    let _ = tokio::time::timeout(Duration::from_millis(left), changed).await;
                }
                Ok(catch) => return Ok(Said::json(&catch)),
                // One that is behind is no help; one of another past is told so.
                Err(fault) => return Ok(Said::problem(409, &fault.to_string())),
            }
        }
    }

    /// The records that lie here: this door's, and what others shipped, by door and file.
    fn record(&self) -> Said {
        let read = |path: PathBuf| std::fs::read_to_string(path).unwrap_or_default();
        let own = read(self.folder.join(EARLIER_FILE)) + &read(self.folder.join(RECORD_FILE));
        let mut records = vec![(self.site.name.clone(), own)];
        for file in std::fs::read_dir(self.folder.join("shipped")).into_iter().flatten().flatten() {
            let name = file.file_name();
            if let Some((door, _)) = name.to_str().and_then(|name| name.rsplit_once('~')) {
                records.push((door.to_string(), read(file.path())));
            }
        }
        records.retain(|(_, text)| !text.is_empty());
        Said::json(&records)
    }

    /// Keeps what a door ships of its record; answers how much of it lies here.
    fn take_shipped(&self, body: &[u8]) -> Result<Said, String> {
        let Shipped { door, process, from, text } = read(body)?;
        if door.is_empty()
            || !door.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'))
            || door.starts_with('.')
        {
            return Err("a door's name is of letters, digits, '-', '_' and '.'".into());
        }
        let folder = self.folder.join("shipped");
        let path = folder.join(format!("{door}~{process:016x}.jsonl"));
        let put = || {
            use std::io::Write;
            std::fs::create_dir_all(&folder)?;
            let mut file = std::fs::OpenOptions::new().create(true).append(true).open(&path)?;
            let length = file.metadata()?.len();
            if length == from && length + text.len() as u64 <= SHIPPED {
                file.write_all(text.as_bytes())?;
                return Ok(length + text.len() as u64);
            }
            Ok(length)
        };
        put().map(|length| Said::json(&length)).map_err(|error: std::io::Error| error.to_string())
    }
}

/// A part of what one process of a door recorded, from this byte on.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shipped {
    pub door: String,
    pub process: u64,
    pub from: u64,
    pub text: String,
}

fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| {
        let said: Value = serde_json::from_slice(body).unwrap_or_default();
        format!(
            "the call makes no sense ({error}): {}",
            said.to_string().chars().take(200).collect::<String>()
        )
    })
}

struct Desk<D: Disk>(Rc<Host<D>>);

impl<D: Disk + 'static> Answers for Desk<D> {
    fn answer(&self, _: String, path: String, body: Bytes) -> Pin<Box<dyn Future<Output = Said>>> {
        Box::pin(self.0.clone().answer(path, body))
    }
}
