//! The running appliance: the front door on one thread, the store on another, the control socket on a third.

use crate::control::{self, Told};
use crate::keeper::{self, Job, News};
use crate::last_known;
use crate::looker::{unix_ms, Looker};
use crate::place::{LockError, Place, STATE};
use crate::protocol::{BookNow, Status};
use crate::site::{self, Site};
use crate::Failure;
use brassport::clock::SystemClock;
use brassport::config::SourceConfig;
use brassport::network::Tcp;
use brassport::{log, run_gateway_with, Control, GatewayOptions};
use brassport_membership::book::{self, Book, Entry, Report, Source, SourceNow};
use brassport_state::files::Directory;
use brassport_state::model::{Action, Lifecycle, Node, State};
use brassport_state::store::Store;
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{broadcast, mpsc, oneshot, watch};
use tokio::task::{spawn_local, LocalSet};

/// Events that a listener may be behind before it is dropped.
const EVENTS: usize = 256;
/// Names of nodes on which sources disagree that are shown; more are counted.
const DISPUTED: usize = 20;

pub fn open(place: &Place) -> Result<Store, Failure> {
    open_file(&place.path, STATE)
}

/// Opens a state or a backup, and checks every page of it.
pub fn open_file(directory: &Path, name: &str) -> Result<Store, Failure> {
    let files = Directory::open(directory)
        .map_err(|error| Failure::failed(format!("{}: {error}", directory.display())))?;
    Store::open(&files, name).map_err(|error| Failure::of(&keeper::problem(&error)))
}

pub fn lock(place: &Place) -> Result<crate::place::Lock, Failure> {
    place.lock().map_err(|error| match error {
        LockError::Held(pid) => {
            let who = pid.map_or("another process".to_string(), |pid| format!("process {pid}"));
            Failure::held(format!("{} is in use by {who}", place.path.display()))
        }
        LockError::Io(problem) => Failure::failed(problem),
    })
}

pub fn site(place: &Place) -> Result<Site, Failure> {
    let path = place.file(site::FILE);
    let text = fs::read_to_string(&path).map_err(|error| {
        Failure::failed(format!("cannot read {}: {error}; `init` writes one", path.display()))
    })?;
    let told = |problem: String| Failure::failed(format!("{}: {problem}", path.display()));
    let site = Site::parse(&text).map_err(told)?;
    match site.state {
        Some(_) => Err(told("state: it is the directory that this file stands in; leave the key out".into())),
        None => Ok(site),
    }
}

/// The stored list as the book of nodes takes it.
fn stored(state: &State) -> Report {
    let entry = |(name, node): (&String, &brassport_state::model::Node)| Entry {
        id: name.as_str().into(),
        address: Some(node.endpoint),
        zone: node.zone.clone(),
        group: u64::from(node.group),
        size: node.size,
        // Guards against a wall clock that was set back: a node is not cold until a day that has been.
        boot_ms: node.launched_ms.map_or(0.0, |at| at.min(unix_ms()) as f64),
        state: match node.lifecycle {
            Lifecycle::Ready => book::State::Ready,
            Lifecycle::Draining => book::State::Draining,
        },
        revision: node.revision,
        note: String::new(),
    };
    Report::whole(state.nodes.iter().map(entry).collect())
}

/// What a change did, for the events.
fn describe(action: &Action) -> String {
    match action {
        Action::AddNode { name, endpoint, .. } => format!("node {name} added at {endpoint}"),
        Action::DrainNode { name } => format!("node {name} drains"),
        Action::ResumeNode { name } => format!("node {name} takes requests again"),
        Action::RemoveNode { name } => format!("node {name} removed"),
        Action::ImportNodes { nodes } => format!("list of {} nodes imported", nodes.len()),
        Action::SetPlan { studio, plan: Some(plan) } => format!("studio {studio:016x} has the plan {plan}"),
        Action::SetPlan { studio, plan: None } => format!("studio {studio:016x} has no plan of its own"),
    }
}

/// Runs until it is told to stop.
pub fn run(place: &Place) -> Result<(), Failure> {
    run_site(place, || site(place))
}

/// Runs a site with this state directory until it is told to stop.
pub fn run_site(place: &Place, site: impl FnOnce() -> Result<Site, Failure>) -> Result<(), Failure> {
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process, and with it the
    // lock. The store's own opening catches what a damaged file may cause.
    let lock = lock(place)?;
    let site = site()?;
    let store = open(place)?;
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    log::start_stderr_writer();
    let socket = place.socket().map_err(Failure::failed)?;
    if place.open_to_others() {
        log::write_line(format!("{} can be entered by other users; `chmod 700` it", place.path.display()));
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::failed(format!("cannot start: {error}")))?;
    let (told, mut asked) = mpsc::unbounded_channel();
    let (events, _) = broadcast::channel(EVENTS);
    let known = store.known().clone();
    let (state, unfinished) = (Arc::new(store.state().clone()), store.unfinished_count());
    let tell = told.clone();
    // The door's thread has ended if nobody takes the news; then the change counts from the next start on.
    let (jobs, keeper) = keeper::start(store, move |news| {
        if let Err(mpsc::error::SendError(Told::News(news))) = tell.send(Told::News(news)) {
            (news.then)();
        }
    })
    .map_err(|error| Failure::failed(format!("cannot start a thread: {error}")))?;
    let looker = Rc::new(Looker::new(site.clone(), state.clone(), unfinished, jobs.clone(), events.clone()));
    control::start(
        &socket,
        lock.user,
        control::Context { told, jobs: jobs.clone(), events, site: site.clone() },
    )
    .map_err(Failure::failed)?;
    if unfinished > 0 {
        looker
            .event(format!("{unfinished} unsafe requests of an earlier life may have run; see `unfinished`"));
    }
    let seed = RandomState::new().build_hasher().finish();
    let initial_report = Some(stored(&state));
    let mut sources = vec![SourceConfig { source: Source::as_told("stored"), initial_report, feed: None }];
    let (reread, rereads) = watch::channel(0);
    // With nothing but the stored list, that list is all there is to know.
    let follows = !site.sources.is_empty();
    if follows {
        let (kept, starts) = last_known::origin(&known, unix_ms());
        sources.extend(site.origins(seed, &starts, &rereads).map_err(Failure::failed)?);
        sources.push(kept);
    }
    let config = site.config(seed, sources);
    let ended = LocalSet::new().block_on(&runtime, async {
        let (controls, control) = mpsc::unbounded_channel();
        let take = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
        let (mut terminate, mut interrupt) = (take(SignalKind::terminate())?, take(SignalKind::interrupt())?);
        let mut hangup = take(SignalKind::hangup())?;
        if follows {
            let on = looker.clone();
            let tell = move |rows| on.last_known.set(rows);
            spawn_local(last_known::keep(known, controls.clone(), jobs.clone(), tell));
        }
        let on = looker.clone();
        spawn_local(async move {
            let mut ending = false;
            loop {
                let told = tokio::select! {
                    biased;
                    _ = terminate.recv() => Told::Stop { now: ending },
                    _ = interrupt.recv() => Told::Stop { now: ending },
                    _ = hangup.recv() => {
                        reread.send_modify(|times| *times += 1);
                        continue;
                    }
                    told = asked.recv() => match told {
                        Some(told) => told,
                        None => return,
                    },
                };
                match told {
                    Told::Stop { now } => {
                        on.event(if ending && now { "ends at once" } else { "ends in order" }.into());
                        let how = if ending && now { Control::StopNow } else { Control::Terminate };
                        ending = true;
                        if controls.send(how).is_err() {
                            return;
                        }
                    }
                    Told::News(news) => take_news(&on, news, &controls),
                    Told::Book(reply) => {
                        let look = move |book: &Book, now| drop(reply.send(BookNow::of(book, now)));
                        let _ = controls.send(Control::InspectMembership(Box::new(look)));
                    }
                    Told::Status(reply) => ask_status(&on, ending, reply, &controls),
                }
            }
        });
        let options = GatewayOptions { hooks: Some(looker.clone()), ..GatewayOptions::default() };
        run_gateway_with(config, SystemClock, Tcp, control, options).await
    });
    // The socket goes first: whoever finds none knows that there is nobody to ask.
    let _ = fs::remove_file(&socket);
    // What is unsafe and still out stays recorded: it was failed, and may have run.
    let _ = jobs.send(Job::Ended(looker.last_ends()));
    let _ = jobs.send(Job::Close);
    keeper.join().map_err(|_| Failure::failed("the keeper of the state ended in a panic".into()))?;
    ended.map_err(Failure::failed)
}

fn take_news(looker: &Rc<Looker>, news: News, controls: &mpsc::UnboundedSender<Control>) {
    looker.take(news.state.clone());
    looker.unfinished.set(news.unfinished);
    if *looker.read_only.borrow() != news.read_only {
        if let Some(problem) = &news.read_only {
            looker.event(format!("changes are no longer taken: {problem}"));
            log::write_line(problem.clone());
        }
        looker.read_only.replace(news.read_only);
    }
    for (change, done) in news.made.iter().filter(|(_, done)| !done.repeated) {
        looker.event(format!("{} (revision {}, {})", describe(&change.action), done.revision, change.who));
    }
    // Acknowledged once the door goes by it: what is told behind the list is heard behind it. A door that has ended
    // sends nothing any more.
    let listed = controls.send(Control::Report(0, stored(&news.state)));
    let then = news.then;
    match listed {
        Ok(()) => drop(controls.send(Control::Inspect(Box::new(move |_| then())))),
        Err(_) => then(),
    }
}

/// What the book tells for a status.
#[derive(Default)]
struct Found {
    sources: Vec<SourceNow>,
    disputed: (usize, Vec<String>),
    nodes: BTreeMap<String, Node>,
}

/// The nodes of the book in the terms of a stored list, of whatever source.
fn listed(book: &Book) -> BTreeMap<String, Node> {
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let node = |entry: &Entry| Node {
        endpoint: entry.address.unwrap_or(nowhere),
        zone: entry.zone.clone(),
        group: entry.group as u16,
        size: entry.size,
        lifecycle: match entry.state {
            book::State::Ready => Lifecycle::Ready,
            book::State::Draining | book::State::Gone => Lifecycle::Draining,
        },
        launched_ms: (entry.boot_ms > 0.0).then_some(entry.boot_ms as u64),
        revision: entry.revision,
    };
    book.nodes().map(|entry| (entry.id.to_string(), node(entry))).collect()
}

fn ask_status(
    looker: &Rc<Looker>,
    ending: bool,
    reply: oneshot::Sender<Status>,
    controls: &mpsc::UnboundedSender<Control>,
) {
    let looker = looker.clone();
    let follows = !looker.site.sources.is_empty();
    let found: Rc<RefCell<Found>> = Rc::default();
    if follows {
        // Looked at before the rest is told: what is asked in turn is answered in turn.
        let found = found.clone();
        let look = move |book: &Book, now| {
            let disputed: Vec<String> = book.disputed().map(|id| id.to_string()).collect();
            let some = disputed.iter().take(DISPUTED).cloned().collect();
            *found.borrow_mut() =
                Found { sources: book.sources(now), disputed: (disputed.len(), some), nodes: listed(book) };
        };
        let _ = controls.send(Control::InspectMembership(Box::new(look)));
    }
    // A door that has ended drops the question, and the asker is told so.
    let _ = controls.send(Control::Inspect(Box::new(move |held| {
        let (now, unix, site) = (looker.now(), unix_ms(), &looker.site);
        let (board, state, found) = (looker.board.borrow(), looker.state.borrow(), found.take());
        let status = Status {
            version: env!("CARGO_PKG_VERSION").into(),
            pid: std::process::id(),
            listen: site.listen.to_string(),
            uptime_ms: now as u64,
            ending,
            in_flight: held.in_flight,
            limit: held.attempt_limit,
            room: held.capacity,
            client_connections: held.client_connections,
            revision: state.revision,
            read_only: looker.read_only.borrow().clone(),
            unfinished: looker.unfinished.get(),
            unrecorded: looker.unrecorded(),
            last_known: looker.last_known.get(),
            sources: found.sources,
            disputed: found.disputed,
            classes: site.classes.iter().cloned().zip(board.classes.iter().copied()).collect(),
            nodes: match follows {
                true => board.node_rows(now, unix, &found.nodes, &site.settings),
                false => board.node_rows(now, unix, &state.nodes, &site.settings),
            },
            studios: board.studio_rows(now, &site.plans),
            requests: board.request_rows(now, &site.classes),
            events: board.events(),
        };
        let _ = reply.send(status);
    })));
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wall_clock_that_was_set_back_by_a_day_makes_no_node_cold_for_a_day() {
        let day = 86_400_000;
        let node = Node {
            endpoint: "127.0.0.1:9000".parse().expect("an address"),
            zone: String::new(),
            group: 0,
            size: 1.0,
            lifecycle: Lifecycle::Draining,
            launched_ms: Some(unix_ms() + day),
            revision: 1,
        };
        let state = State { revision: 1, nodes: [("a".to_string(), node)].into(), ..State::default() };
        let report = stored(&state);
        assert!(report.entries[0].boot_ms <= unix_ms() as f64);
        assert!(report.entries[0].state == book::State::Draining && report.whole);
    }
}
