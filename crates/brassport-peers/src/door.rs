//! The front door's side of a fleet: one handle in its memory that says whether it may act, and the agent that keeps it.
//!
//! The handle is all that a request meets: two reads of memory, and for an unsafe one a line of the record. The agent runs on
//! the fleet's thread and talks to the instances.

use crate::call::{draw, Line, Said, Site};
use crate::host::Clock;
use crate::identity::Identity;
use crate::record::{steady_ms, whole_lines, Record, RECORD_FILE};
use brassport::hooks::{AttemptDelay, RequestHooks};
use brassport::log;
use brassport::run::admin::{Call, Command};
use brassport_fleet::clocks::Mark;
use brassport_fleet::grants::{Answer, Ask};
use brassport_fleet::record::Event;
use brassport_fleet::shared::{Change, Done, Process, Refusal, Shared, Update, DOOR, SETTINGS};
use brassport_fleet::standing::{DenialReason, Standing};
use brassport_fleet::Millis;
use brassport_policy::{Request, RequestId, RetrySafety};
use oorandom::Rand32;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{sleep, timeout};

/// How long a door may wait for one instance's answer.
const PATIENCE: Duration = Duration::from_millis(600);
/// How long an instance holds a question for news back, and the least between two questions that were not answered.
const NEWS: Millis = 1000;
const BACK_OFF: (u32, u32) = (50, 200);
/// What clients of a door that is out are told to wait, milliseconds.
const COME_BACK: f64 = 1000.0;
/// Between two looks at what of the record is to be shipped, and bytes that go at once.
const SHIP: Duration = Duration::from_millis(500);
const SHIPPED: usize = 256 * 1024;
/// Between two questions to one instance what its clock says: a moment is then off by the way there and back, and 0.1 s.
const CLOCKS: Duration = Duration::from_secs(10);
/// The last processes of this door, of which what was not shipped is made up for.
const PROCESSES: usize = 4;
/// What the door and its agent share.
pub struct Handle {
    /// When the right to act ends; 0: there is none.
    until: AtomicU64,
    /// The newest version that the door has, and the one that it acts under: leases are no matter of a door's.
    version: AtomicU64,
    acted: AtomicU64,
    admissions: AtomicU64,
    /// Whether the door may not act, as far as the record says.
    pub stopped: Arc<AtomicBool>,
    record: Mutex<Record>,
}

impl Handle {
    /// # Errors
    /// The record cannot be opened.
    pub fn open(folder: &Path, door: &str, process: u64) -> Result<Arc<Handle>, String> {
        let fault = |error| format!("{}: {error}", folder.join(RECORD_FILE).display());
        let mut record = Record::open(folder, process).map_err(fault)?;
        record.add(Event::Began { door: door.into(), program: env!("CARGO_PKG_VERSION").into() });
        Ok(Arc::new(Handle {
            until: AtomicU64::new(0),
            version: AtomicU64::new(0),
            acted: AtomicU64::new(0),
            admissions: AtomicU64::new(1),
            stopped: Arc::new(AtomicBool::new(true)),
            record: Mutex::new(record),
        }))
    }

    fn add(&self, what: Event) {
        self.record.lock().expect("no writer of the record panics").add(what);
    }

    fn may_act(&self) -> bool {
        steady_ms() < self.until.load(Ordering::Acquire)
    }

    fn next_admission(&self) -> u64 {
        self.admissions.load(Ordering::Acquire)
    }

    /// Sets until when it may act, and notes where that begins or ends.
    fn set(&self, standing: &Standing, why: Option<DenialReason>) {
        self.until.store(standing.until().unwrap_or(0), Ordering::Release);
        let may = self.may_act();
        if self.stopped.swap(!may, Ordering::AcqRel) == may {
            let from_admission = self.next_admission();
            self.add(match why.filter(|_| !may) {
                Some(why) => Event::Stopped { why: format!("{why:?}"), from_admission },
                None if may => Event::WentOn { from_admission },
                None => Event::Stopped { why: "RanOut".into(), from_admission },
            });
        }
    }
}

/// The front door's hooks.
pub struct InFleet {
    handle: Arc<Handle>,
    /// By class: whether it must never run twice.
    once: Vec<bool>,
    open: RefCell<BTreeMap<RequestId, String>>,
}

impl InFleet {
    pub fn new(handle: Arc<Handle>, effects: impl Iterator<Item = RetrySafety>) -> InFleet {
        let once = effects.map(|effect| effect != RetrySafety::Idempotent).collect();
        InFleet { handle, once, open: RefCell::default() }
    }
}

impl RequestHooks for InFleet {
    fn may_serve(&self) -> Result<(), f64> {
        if self.handle.may_act() {
            Ok(())
        } else {
            Err(COME_BACK)
        }
    }

    fn on_admitted(&self, name: &str, request: &Request) {
        self.handle.admissions.fetch_add(1, Ordering::AcqRel);
        // A class that settings brought since is taken for one that must not run twice.
        if self.once.get(request.class).copied().unwrap_or(true) {
            self.open.borrow_mut().insert(request.id, name.to_string());
        }
    }

    fn before_attempt(&self, request: RequestId, node: &str) -> Option<AttemptDelay> {
        if let Some(name) = self.open.borrow().get(&request) {
            let version = self.handle.acted.load(Ordering::Acquire);
            self.handle.add(Event::Unsafe { request: name.clone(), node: node.into(), version });
        }
        None
    }

    fn on_request_removed(&self, request: RequestId) {
        self.open.borrow_mut().remove(&request);
    }
}

/// What keeps a door in its fleet.
pub struct Agent {
    pub door: String,
    pub process: u64,
    /// Where its record lies.
    pub folder: PathBuf,
    pub handle: Arc<Handle>,
    pub site: Site,
    /// Instances, in the order in which they are asked.
    pub through: Vec<SocketAddr>,
    pub length: Millis,
    pub identity: Identity,
    pub to_door: mpsc::UnboundedSender<ToDoor>,
}

/// What the agent has the door do, in this order.
pub enum ToDoor {
    /// Go over to these settings, a whole configuration.
    Settings(String),
    Command(Command),
}

struct State {
    agent: Agent,
    shared: RefCell<Shared>,
    bans: RefCell<BTreeSet<String>>,
    settings: Cell<u64>,
    standing: RefCell<Standing>,
    random: RefCell<Rand32>,
    /// A newer version is in force, and the leader is to know.
    news: Notify,
    /// The version that the leader says is needed, and word that it has just said so.
    need: Cell<u64>,
    is_behind: Notify,
}

impl Agent {
    /// Keeps the door in its fleet for as long as it is polled.
    pub async fn run(self) {
        let state = Rc::new(State {
            agent: self,
            shared: RefCell::default(),
            bans: RefCell::default(),
            settings: Cell::new(0),
            standing: RefCell::default(),
            random: RefCell::new(Rand32::new(draw())),
            news: Notify::new(),
            need: Cell::new(0),
            is_behind: Notify::new(),
        });
        let watch = async {
            loop {
                sleep(Duration::from_millis(20)).await;
                state.agent.handle.set(&state.standing.borrow(), None);
            }
        };
        tokio::join!(state.follow(), state.keep(), state.ship(), state.ask_clocks(), watch);
    }
}

impl State {
    async fn back_off(&self) {
        let ms = self.random.borrow_mut().rand_range(BACK_OFF.0..BACK_OFF.1);
        sleep(Duration::from_millis(u64::from(ms))).await;
    }

    /// Asks one instance after the other until one answers.
    async fn ask<T: DeserializeOwned>(
        &self,
        lines: &Lines,
        path: &str,
        body: &serde_json::Value,
        patience: Duration,
    ) -> Result<T, String> {
        let mut last = "there is no instance to ask".to_string();
        for _ in 0..lines.0.len() {
            match lines.current().call(path, body.to_string().into_bytes(), patience).await {
                Ok(said @ Said { status: 200, .. }) => return said.read(),
                Ok(said) => last = String::from_utf8_lossy(&said.body).into_owned(),
                Err(problem) => last = problem,
            }
            lines.turn();
        }
        Err(last)
    }

    fn lines(&self) -> Lines {
        let first = self.random.borrow_mut().rand_range(0..self.agent.through.len().max(1) as u32);
        let line = |address: &SocketAddr| Line::new(self.agent.site.clone(), *address);
        Lines(self.agent.through.iter().map(line).collect(), Cell::new(first as usize))
    }

    /// Follows the shared state.
    async fn follow(&self) {
        let lines = self.lines();
        let patience = PATIENCE + Duration::from_millis(NEWS);
        loop {
            let need = self.need.get();
            let ask = {
                let shared = self.shared.borrow();
                let wait_ms = if shared.version() < need { 0 } else { NEWS };
                json!({ "version": shared.version(), "digest": shared.digest(), "wait_ms": wait_ms })
            };
            let told = tokio::select! {
                told = self.ask::<Update>(&lines, "/fleet/since", &ask, patience) => told,
                () = self.is_behind.notified() => continue,
            };
            match told {
                Ok(catch) => {
                    let before = self.shared.borrow().version();
                    let taken = self.shared.borrow_mut().catch_up(catch);
                    if let Err(fault) = taken {
                        log::write_line(format!("fleet: {}: {fault}", lines.current().address()));
                        lines.turn();
                        self.back_off().await;
                    }
                    if self.shared.borrow().version() > before {
                        self.bring_into_force().await;
                    } else if before < need {
                        // Guards against an instance that is cut off: it answers, and knows of nothing new.
                        lines.turn();
                        self.back_off().await;
                    }
                }
                Err(problem) => {
                    log::write_line(format!("fleet: no instance tells news: {problem}"));
                    self.back_off().await;
                }
            }
        }
    }

    /// Tells the door what holds now, and notes the version once the door acts on it.
    async fn bring_into_force(&self) {
        let (version, (acted, digest), bans, settings) = {
            let shared = self.shared.borrow();
            let settings = shared.get(SETTINGS, "").cloned();
            let (acted, digest) = shared.acted_under();
            (shared.version(), (acted, digest.to_string()), shared.bans(), settings)
        };
        if acted == self.agent.handle.acted.load(Ordering::Acquire) {
            // A lease was renewed, which is no matter of a door's.
            return self.agent.handle.version.store(version, Ordering::Release);
        }
        let before = self.bans.replace(bans.clone());
        let mut calls: Vec<Call> = bans.difference(&before).cloned().map(Call::Ban).collect();
        calls.extend(before.difference(&bans).cloned().map(Call::Enable));
        if let Some(slot) = settings.filter(|slot| slot.version > self.settings.get()) {
            self.settings.set(slot.version);
            let text = slot.body.as_str().unwrap_or_default().to_string();
            // Taken whole or not at all by the door, which logs what is wrong with it.
            let _ = self.agent.to_door.send(ToDoor::Settings(text));
        }
        // In the door's order: behind the settings.
        calls.push(Call::Metrics);
        for call in calls {
            let (reply, is_done) = oneshot::channel();
            let command = ToDoor::Command(Command { call, reply });
            if self.agent.to_door.send(command).is_err() || is_done.await.is_err() {
                // The door has ended, and this process with it.
                return;
            }
        }
        let handle = &self.agent.handle;
        handle.version.store(version, Ordering::Release);
        handle.acted.store(acted, Ordering::Release);
        handle.add(Event::Acts { version: acted, digest, from_admission: handle.next_admission() });
        self.news.notify_one();
    }

    /// Enters the fleet, then keeps the right to act.
    async fn keep(&self) {
        let lines = self.lines();
        let mut identity = self.agent.identity.clone();
        while let Err(problem) = self.enter(&lines, &mut identity).await {
            log::write_line(format!("fleet: {} is not in the fleet yet: {problem}", self.agent.door));
            self.back_off().await;
        }
        let Agent { door, process, handle, length, .. } = &self.agent;
        let mut told = None;
        loop {
            let asked = self.standing.borrow_mut().ask(steady_ms());
            let had_one = self.standing.borrow().had_one();
            let version = handle.version.load(Ordering::Acquire);
            let ask = Ask { door: door.clone(), process: *process, version, had_one };
            let answer: Result<Answer, String> = self.ask(&lines, "/fleet/ask", &json!(ask), PATIENCE).await;
            let why = match &answer {
                Ok(Answer::Granted { length }) => {
                    // On disk before it acts: its successor may count on what it knew.
                    if !had_one {
                        identity.had_one = true;
                        if let Err(problem) = identity.write() {
                            log::write_line(format!(
                                "fleet: {problem}; the next start of this door may have to wait"
                            ));
                        }
                    }
                    self.standing.borrow_mut().granted(steady_ms(), asked, *length);
                    None
                }
                Ok(Answer::Behind { need }) => {
                    if self.need.replace(*need) < *need {
                        self.is_behind.notify_one();
                    }
                    Some(DenialReason::Behind)
                }
                Ok(Answer::Replaced) => Some(DenialReason::Replaced),
                Ok(Answer::Unknown) => Some(DenialReason::Unknown),
                Ok(Answer::Wait { .. }) => Some(DenialReason::NotYet),
                Err(_) => {
                    self.ask_leave(&lines, *length).await;
                    None
                }
            };
            if let Some(why) = why {
                self.standing.borrow_mut().refused(why);
            }
            handle.set(&self.standing.borrow(), why);
            if why != told {
                told = why;
                match why {
                    Some(DenialReason::Replaced) => log::write_line(format!(
                        "fleet: another process goes by the name {door}: this one stops; was its directory copied? Give \
                         one of them another name with `follow`"
                    )),
                    Some(why) => log::write_line(format!("fleet: {door} is given no right to act: {why:?}")),
                    None => {}
                }
            }
            if answer.is_err() {
                // Soon again: a voter lets it go on for as long only as its right has not run out.
                self.back_off().await;
                continue;
            }
            let pause = Duration::from_millis(length / 5);
            let _ = timeout(pause, self.news.notified()).await;
        }
    }

    /// Writes down what each instance's clock says, now and then.
    async fn ask_clocks(&self) {
        let lines = self.lines();
        loop {
            for line in &lines.0 {
                let asked = steady_ms();
                let said = line.call("/fleet/clock", b"{}".to_vec(), PATIENCE).await;
                let came = steady_ms();
                if let Ok(Ok(Clock { by, wall_ms })) = said.map(|said| said.read()) {
                    let mark = Mark { by, said_ms: wall_ms, took_ms: came - asked };
                    self.agent.handle.add(Event::Clock(mark));
                }
            }
            sleep(CLOCKS).await;
        }
    }

    /// Keeps a copy of the record at an instance, for whoever asks when this door is dead. Each process's lines apart: those
    /// of one that runs from a copy of the directory are another record.
    async fn ship(&self) {
        let lines = self.lines();
        let record = || self.agent.handle.record.lock().expect("no writer of the record panics");
        // What earlier processes of this door could not ship any more.
        let earlier = record().earlier(PROCESSES);
        for (process, text) in earlier {
            let mut from = 0;
            while from < text.len() as u64 {
                let rest = text.get(from as usize..).unwrap_or_default();
                match self.ship_part(&lines, process, from, whole_lines(rest, SHIPPED)).await {
                    // One that holds as much as before has no room for more.
                    Ok(length) if length <= from => break,
                    Ok(length) => from = length,
                    Err(_) => sleep(SHIP).await,
                }
            }
        }
        let (mut from, mut told) = (0, false);
        loop {
            record().make_up();
            let part = record().part(from, SHIPPED);
            let text = part.unwrap_or_else(|problem| {
                if !std::mem::replace(&mut told, true) {
                    log::write_line(format!(
                        "fleet: its record cannot be shipped, and stays here: {problem}"
                    ));
                }
                String::new()
            });
            let more = text.len() > SHIPPED / 2;
            if !text.is_empty() {
                if let Ok(length) = self.ship_part(&lines, self.agent.process, from, &text).await {
                    from = length;
                }
            }
            if !more {
                sleep(SHIP).await;
            }
        }
    }

    /// How much of the process's record lies at the instance now: another one may hold another part of it.
    async fn ship_part(&self, lines: &Lines, process: u64, from: u64, text: &str) -> Result<u64, String> {
        let part = json!({ "door": self.agent.door, "process": process, "from": from, "text": text });
        self.ask(lines, "/fleet/ship", &part, PATIENCE).await
    }

    /// No leader answers: a voter that knows of none may let the door go on.
    async fn ask_leave(&self, lines: &Lines, length: Millis) {
        for line in &lines.0 {
            let is_near = self.standing.borrow().until().is_some_and(|until| until < steady_ms() + length);
            if !is_near {
                return;
            }
            let asked = self.standing.borrow_mut().ask(steady_ms());
            let said = line.call("/fleet/leave", b"{}".to_vec(), PATIENCE / 3).await;
            if let Ok(Ok(Some(ms))) = said.map(|said| said.read::<Option<Millis>>()) {
                self.standing.borrow_mut().extended(steady_ms(), asked, ms);
            }
        }
    }

    /// Takes the door's name for this process.
    async fn enter(&self, lines: &Lines, identity: &mut Identity) -> Result<(), String> {
        let Agent { door, process, .. } = &self.agent;
        for seen in [identity.behind, None] {
            let alone = seen.is_some();
            let body = json!(Process { process: *process, alone });
            let id = format!("{door}-{process}-{alone}");
            let change = Change::new(&id, door, "a process of this door starts", DOOR, door, body);
            let change = json!(Change { seen, ..change });
            let done: Result<Done, Refusal> =
                self.ask(lines, "/fleet/publish", &change, PATIENCE * 4).await?;
            match done {
                Ok(done) => {
                    (identity.entry, identity.alone, identity.had_one) = (Some(done.version), alone, false);
                    return identity.write();
                }
                Err(Refusal::Conflict { .. }) if alone => {}
                Err(refusal) => return Err(refusal.to_string()),
            }
        }
        Err("another process took the name meanwhile".into())
    }
}

struct Lines(Vec<Line>, Cell<usize>);

impl Lines {
    fn current(&self) -> &Line {
        &self.0[self.1.get() % self.0.len()]
    }

    fn turn(&self) {
        self.1.set(self.1.get() + 1);
    }
}
