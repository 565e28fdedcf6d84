//! The whole front door: wiring, planned end, reload. Which clock, network and signals it runs on is its host's
//! choice.

use crate::clients::Context;
use crate::clock::Clock;
use crate::config::{Config, Names, SourceConfig};
use crate::date::DateHeader;
use crate::discovery::{self, Watch};
use crate::door::{Door, Host};
use crate::hooks::RequestHooks;
use crate::local_meter::LocalMeter;
use crate::log;
use crate::members::{Members, Place};
use crate::mutants::mutant;
use crate::network::Network;
use crate::run::admin::{self, AdminHandle, Call, Command, Reply};
use crate::run::handover::links::{HandOver, Links};
use crate::run::handover::{Heir, Office, Taken};
use crate::run::metrics::Figures;
use crate::run::terms::Terms;
use crate::shutdown::{Phase, Shutdown};
use crate::upstream::Upstream;
use brassport_membership::book::{Book, Moment, Report, Source};
use brassport_policy::{ListKind, Settings};
use brassport_proxy::downstream::serve;
use brassport_proxy::downstream::ConnectionRegistry;
use brassport_proxy::upstream::UpstreamPool;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::spawn_local;

/// Descriptors that are neither a client's nor a backend's: streams, event queue, listener, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// The part of the memory that the bodies of clients may take all together.
const BODIES_PART: usize = 8;
/// The part of the memory that what was learned may take at an upgrade: both processes hold it several times over.
const HERITAGE_PART: usize = 16;
/// After SIGTERM clients still come for up to 0.4 s; the listener stays open for longer than that. What is
/// in hand then may take as long as a client waits, 3 s at the most, before it fails, and such failures so
/// long to be written: with what came last, the end is due before SIGKILL, 0.7 s after the longest wait.
const LEAVING: Duration = Duration::from_millis(600);
const CLOSING: Duration = Duration::from_millis(3000);
const LAST_WORDS: Duration = Duration::from_millis(100);
/// How long listening for another process may hold up the word that this one is ready.
const LISTENS: Duration = Duration::from_millis(500);
/// How long a process whose place another has taken stays at the least, and between two looks whether it may leave.
const LEFT: Duration = Duration::from_millis(1000);

/// Who looks at the book of nodes.
pub type MembershipInspector = Box<dyn FnOnce(&Book, Moment)>;

/// What a front door is told while it runs.
pub enum Control {
    /// End in order, as on SIGTERM.
    Terminate,
    /// End at once: what is still in hand is failed, each with its answer.
    StopNow,
    /// Say what is held now.
    Inspect(Box<dyn FnOnce(Inspection)>),
    /// What one of the host's own sources of nodes reports, by its place in [`Config::sources`].
    Report(usize, Report),
    /// Passes the membership book and the current time to the callback.
    InspectMembership(MembershipInspector),
    /// Carry out what staff ask, and say how it went.
    Admin(Call, Box<dyn FnOnce(Reply)>),
    /// The configuration was read anew, as on SIGHUP, with what was wrong with it if it was.
    Reload(Box<Result<Config, String>>),
}

#[derive(PartialEq)]
enum End {
    InOrder,
    Now,
}

/// What a host brings beside clock and network.
#[derive(Default)]
pub struct GatewayOptions {
    /// Looks on at each request.
    pub hooks: Option<Rc<dyn RequestHooks>>,
    /// The operators' listener.
    pub admin: Option<AdminHandle>,
    /// Where a process that takes this one's place asks for it, and the place that this one took.
    pub upgrades: Option<Upgrades>,
}

/// What an upgrade needs.
pub struct Upgrades {
    pub at: PathBuf,
    pub taken: Option<Taken>,
}

/// What comes in from outside the data path.
enum Told {
    Control(Control),
    Command(Command),
}

struct Inbox {
    control: mpsc::UnboundedReceiver<Control>,
    admin: Option<AdminHandle>,
}

impl Inbox {
    /// The next that is told; `None` once the host tells no more.
    async fn next(&mut self) -> Option<Told> {
        let admin = &mut self.admin;
        let command = async {
            if let Some(AdminHandle { commands, .. }) = admin {
                if let Some(command) = commands.recv().await {
                    return command;
                }
            }
            std::future::pending().await
        };
        tokio::select! {
            biased;
            control = self.control.recv() => control.map(Told::Control),
            command = command => Some(Told::Command(command)),
        }
    }

    fn ready(&self, is_ready: bool) {
        if let Some(AdminHandle { ready, .. }) = &self.admin {
            ready.store(is_ready, Ordering::Relaxed);
        }
    }
}

/// What a front door holds at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Inspection {
    /// Requests that await their answer or the end of an attempt.
    pub in_flight: usize,
    /// Most attempts that the decision module would have out now, and the part of what the quotas admit that it finds
    /// room for, from 0 to 1.
    pub limit: f64,
    pub room: f64,
    /// Connections of clients.
    pub client_connections: usize,
    /// Descriptors taken by connections of clients and to nodes, and one that is kept for the next client.
    pub descriptors_taken: usize,
    /// Bytes that the bodies in flight may take.
    pub body_bytes: usize,
}

/// Takes the settings of a file that was read anew, all of them or none.
fn reload<C: Clock, N: Network>(config: Config, context: &Context<C, N>) -> Result<Config, String> {
    settle(&config.names, &config.settings, context)?;
    context.backends.set_timeouts(config.connect_timeout, config.idle_timeout);
    Ok(config)
}

/// Goes over to these settings, for what comes from now on.
fn settle<C: Clock, N: Network>(
    names: &Names,
    settings: &Settings,
    context: &Context<C, N>,
) -> Result<(), String> {
    let terms = context.terms();
    let next = terms.changed(names, settings)?;
    if next != *terms {
        next.class_names().for_each(|class| context.figures.name_class(class));
        context.door.settle(names.zones.clone(), next.settings().clone());
        context.terms.replace(Rc::new(next));
    }
    Ok(())
}

/// Runs a front door on this clock and network until it is told to end. Must be polled within a
/// `tokio::task::LocalSet`; dropping that ends all of its tasks.
///
/// # Errors
/// One plain line, if it cannot start.
pub async fn run_gateway<C: Clock, N: Network>(
    config: Config,
    clock: C,
    network: N,
    control: mpsc::UnboundedReceiver<Control>,
) -> Result<(), String> {
    run_gateway_with(config, clock, network, control, GatewayOptions::default()).await
}

/// As [`run_gateway`], with more that the host brings.
///
/// # Errors
/// As [`run_gateway`].
pub async fn run_gateway_with<C: Clock, N: Network>(
    config: Config,
    clock: C,
    network: N,
    control: mpsc::UnboundedReceiver<Control>,
    options: GatewayOptions,
) -> Result<(), String> {
    let GatewayOptions { hooks, admin, upgrades } = options;
    let own = OWN_DESCRIPTORS + if admin.is_some() { admin::DESCRIPTORS } else { 0 };
    let mut inbox = Inbox { control, admin };
    let spare = config.max_descriptors.checked_sub(own).filter(|spare| *spare > 0);
    let spare = spare.ok_or_else(|| format!("limits.sockets: {} are too few", config.max_descriptors))?;
    let spare = spare.min(Semaphore::MAX_PERMITS);
    let spare = if mutant!(IgnoreDescriptorLimit) { 10 * spare } else { spare };
    let (at, taken) = upgrades.map_or((None, None), |upgrades| (Some(upgrades.at), upgrades.taken));
    let mut terms = Terms::new(config.names.clone(), config.settings.clone());
    if let Some(taken) = &taken {
        terms = taken.offer.terms.clone();
    }
    // The rest is the other process's until that has ended.
    let lent = taken.as_ref().map_or(spare, |taken| taken.offer.descriptors.min(spare));
    let descriptors = Arc::new(Semaphore::new(lent));
    let most_bodies = (config.memory_bytes / BODIES_PART).min(Semaphore::MAX_PERMITS);
    let listener = match (taken.as_ref().map(|taken| taken.listener.try_clone()), &at) {
        (Some(socket), _) => socket.and_then(|socket| network.listener_from_fd(socket)),
        (None, Some(_)) => network.listen_reuse_port(config.listen).await,
        (None, None) => network.listen(config.listen).await,
    };
    let listener = listener.map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    let listener = Rc::new(listener);
    let figures = Rc::new(Figures::default());
    config.names.classes.iter().for_each(|class| figures.name_class(class));
    let backends = Rc::new(UpstreamPool::new(
        clock.clone(),
        network.clone(),
        descriptors.clone(),
        config.connect_timeout,
        config.idle_timeout,
        figures.clone(),
        Rc::new(Upstream),
    ));
    let links = Rc::new(Links::default());
    let host = Host {
        zones: config.names.zones.clone(),
        local_meter: config.local_meter.then(|| {
            let rates = config.settings.plans.iter().map(|plan| plan.rate).collect();
            LocalMeter::new(config.settings.meter_period, rates)
        }),
        hooks,
        links: links.clone(),
        clock_before: taken.as_ref().map(|taken| (taken.offer.now_ms, taken.offer.start_unix_ms)),
    };
    let door = Door::new(clock.clone(), terms.settings().clone(), config.seed, host, backends.clone())
        .map_err(|error| error.to_string())?;
    let platform = config.discovery.map(|_| Source::as_told("platform"));
    let first = usize::from(platform.is_some());
    let told = config.sources.iter().map(|origin| origin.source.clone());
    let sources = platform.into_iter().chain(told).collect();
    let members = Rc::new(Members::new(clock.clone(), sources, door.clone()));
    let newest = Rc::new(Cell::new(taken.as_ref().and_then(|taken| taken.offer.newest)));
    match (&taken, config.cached_list) {
        (Some(taken), _) => door.go_on((*taken.offer).clone()),
        (None, Some(known)) => door.servers(ListKind::Cached, &known.report().entries),
        (None, None) => {}
    }
    for (place, SourceConfig { initial_report, feed, .. }) in config.sources.into_iter().enumerate() {
        if let Some(report) = initial_report {
            members.take(first + place, report);
        }
        if let Some(feed) = feed {
            let members = members.clone();
            spawn_local(feed(Rc::new(move |report| members.take(first + place, report))));
        }
    }
    spawn_local(door.run_timers());
    let discovery = config.discovery.map(|address| {
        let (discovery, seen) = watch::channel(address);
        let reader = Place(members.clone(), 0);
        // Half the time within which a told drain has to be heeded; the rest is for the answer.
        let again = Duration::from_secs_f64(terms.settings().drain_grace.max(100.0) / 2000.0);
        let watch = Watch {
            clock: clock.clone(),
            network: network.clone(),
            reader,
            newest: newest.clone(),
            again: (!terms.settings().list_on_request).then_some(again),
            most: discovery::most_of_a_list(config.memory_bytes),
            complained: Cell::new(false),
        };
        spawn_local(watch.follow(seen));
        discovery
    });
    let sweeper = backends.clone();
    spawn_local(async move { sweeper.sweep().await });

    let shutdown = Rc::new(Shutdown::default());
    let context = Rc::new(Context {
        clock: clock.clone(),
        door: door.clone(),
        backends,
        request_defaults: config.request_defaults,
        terms: RefCell::new(Rc::new(terms)),
        shutdown: shutdown.clone(),
        date: DateHeader::default(),
        connections: Rc::new(ConnectionRegistry::new(clock.clone())),
        bodies: Semaphore::new(most_bodies),
        figures: figures.clone(),
        links: links.clone(),
    });
    let (clients, adopted) = mpsc::unbounded_channel();
    if let Some(taken) = taken {
        // Its own file may be newer than what the other process took.
        if let Err(problem) = settle(&config.names, &config.settings, &context) {
            log::write_line(format!("goes on with the settings of the other process: {problem}"));
        }
        let (door, links, descriptors) = (door.clone(), links.clone(), descriptors.clone());
        let heir = Heir { network, door, links, descriptors, owed: spare - lent, clients };
        let (link, early) = taken.into_link();
        spawn_local(heir.follow(link, early));
    }
    let office = Rc::new(Office {
        context: context.clone(),
        links: links.clone(),
        listener: Rc::downgrade(&listener),
        file: RefCell::new(config.text),
        descriptors: descriptors.clone(),
        own,
        most: config.memory_bytes / HERITAGE_PART,
        ready: inbox.admin.as_ref().map(|admin| admin.ready.clone()),
        newest,
    });
    let serve = serve(listener, context.clone(), descriptors.clone(), spare, adopted);
    let mut serving = spawn_local(serve);
    if let Some(at) = at {
        // Before it says that it is ready, as another upgrade may follow at once; a folder that is slow holds that up
        // for a while only.
        let (listening, listens) = oneshot::channel();
        spawn_local(office.clone().give(at, listening));
        let _ = clock.timeout(LISTENS, listens).await;
    }
    inbox.ready(true);

    // Takes in what is told; whether that is to end, and how.
    let take = |told: Told| {
        let control = match told {
            Told::Control(control) => control,
            Told::Command(Command { call, reply }) => {
                // Who asked may have given up.
                let _ = reply.send(door.operate(call, &figures));
                return None;
            }
        };
        match control {
            Control::Terminate => return Some(End::InOrder),
            Control::StopNow => return Some(End::Now),
            Control::Inspect(say) => say(Inspection {
                in_flight: door.in_flight(),
                limit: door.room().0,
                room: door.room().1,
                client_connections: context.connections.count(),
                descriptors_taken: spare - descriptors.available_permits(),
                body_bytes: most_bodies - context.bodies.available_permits(),
            }),
            Control::Report(place, report) => members.take(first + place, report),
            Control::InspectMembership(look) => look(&members.book(), members.now()),
            Control::Admin(call, say) => say(door.operate(call, &figures)),
            Control::Reload(config) => match (*config).and_then(|config| reload(config, &context)) {
                Ok(config) => {
                    office.file.replace(config.text);
                    if let (Some(discovery), Some(address)) = (&discovery, config.discovery) {
                        discovery.send_replace(address);
                    }
                    figures.reloaded(true);
                }
                // Guards against half a file: what is in force stays so.
                Err(problem) => {
                    figures.reloaded(false);
                    log::write_line(format!("not reloaded: {problem}"));
                }
            },
        }
        None
    };
    // Nothing is left to be done here once another process has the place.
    let mut left = pin!(async {
        loop {
            links.until(|state| state == HandOver::Given).await;
            clock.sleep(LEFT).await;
            if links.is_given() && context.connections.count() == 0 && door.in_flight() == 0 {
                return;
            }
        }
    });
    let mut orderly = loop {
        let told = tokio::select! {
            biased;
            told = inbox.next() => told,
            () = &mut left => None,
        };
        match told.map(&take) {
            None | Some(Some(End::InOrder)) => break true,
            Some(Some(End::Now)) => break false,
            Some(None) => {}
        }
    };
    inbox.ready(false);
    // What is told goes on counting to the end: nothing new goes to a node that begins to drain meanwhile.
    let mut hurried = pin!(async {
        loop {
            match inbox.next().await.map(&take) {
                Some(Some(End::Now)) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    });
    shutdown.advance(Phase::Draining);
    if orderly {
        tokio::select! {
            biased;
            () = &mut hurried => orderly = false,
            () = clock.sleep(LEAVING) => {}
        }
    }
    shutdown.advance(Phase::Closing);
    if orderly {
        let longest =
            context.terms().settings().classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let closing = Duration::try_from_secs_f64(longest / 1000.0).unwrap_or(CLOSING).min(CLOSING);
        let ended = clock.timeout(closing.saturating_sub(LAST_WORDS), &mut serving);
        orderly = tokio::select! {
            biased;
            () = &mut hurried => false,
            ended = ended => ended.is_some(),
        };
    }
    if !orderly {
        if !mutant!(NoFailAtEnd) {
            door.fail_all();
        }
        let _ = clock.timeout(LAST_WORDS, &mut serving).await;
    }
    Ok(())
}
