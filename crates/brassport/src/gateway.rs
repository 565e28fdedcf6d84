//! The complete gateway: wiring, graceful shutdown and reload. The caller chooses the clock, network and signals.

use crate::clock::Clock;
use crate::config::{Config, Names, SourceConfig};
use crate::date::DateHeader;
use crate::discovery::{self, DiscoveryWatch};
use crate::gateway_core::{CoreOptions, GatewayCore};
use crate::hooks::RequestHooks;
use crate::local_meter::LocalMeter;
use crate::log;
use crate::membership::{Membership, SourceSink};
use crate::mutants::mutant;
use crate::network::Network;
use crate::request_handler::ServerContext;
use crate::run::active_settings::ActiveSettings;
use crate::run::admin::{self, AdminHandle, Call, Command, Reply};
use crate::run::handover::neighbors::{HandoverState, Neighbors};
use crate::run::handover::{HandoverServer, PredecessorFollower, Takeover};
use crate::run::metrics::Metrics;
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

/// Descriptors apart from client and backend connections: standard streams, event queue, listener, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// All request bodies together may take this fraction of the memory limit, as a divisor.
const BODY_MEMORY_DIVISOR: usize = 8;
/// The policy's state may take this fraction of the memory limit at an upgrade, as a divisor: both processes hold
/// several copies of it.
const HANDOVER_STATE_DIVISOR: usize = 16;
/// How long the listener stays open after SIGTERM: new clients still arrive for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(600);
/// Maximum time for the requests in flight after that, as clients wait for 3 s at most. Requests that remain then
/// fail. The process must end before SIGKILL, 0.7 s after the longest timeout, with the requests that arrived last
/// complete.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3000);
/// Part of [`DRAIN_TIMEOUT`] that is reserved to write the responses of failed requests.
const FAILURE_WRITE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long opening the socket for a successor may delay readiness.
const HANDOVER_LISTEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time that a process runs after its handover, and the interval at which it checks whether it may end.
const HANDED_OVER_CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Callback that inspects the membership book, with the current time.
pub type MembershipInspector = Box<dyn FnOnce(&Book, Moment)>;

/// A command to a running gateway.
pub enum Control {
    /// Shut down gracefully, as on SIGTERM.
    Terminate,
    /// Shut down at once: requests in flight fail, each with a response.
    StopNow,
    /// Pass the resources in use to the callback.
    Inspect(Box<dyn FnOnce(Inspection)>),
    /// A report of one of the host's own membership sources, by its index in [`Config::sources`].
    Report(usize, Report),
    /// Pass the membership book and the current time to the callback.
    InspectMembership(MembershipInspector),
    /// Execute an operator's call and pass the reply to the callback.
    Admin(Call, Box<dyn FnOnce(Reply)>),
    /// Apply a configuration that was read again, as on SIGHUP; or, if it is invalid, log the error and count the
    /// failure.
    Reload(Box<Result<Config, String>>),
}

#[derive(PartialEq)]
enum Stop {
    Graceful,
    Immediate,
}

/// Options of a gateway beyond its configuration, clock and network.
#[derive(Default)]
pub struct GatewayOptions {
    /// Hooks that are called for each request.
    pub hooks: Option<Rc<dyn RequestHooks>>,
    /// The admin listener.
    pub admin: Option<AdminHandle>,
    /// The handover to a successor and from a predecessor.
    pub upgrades: Option<Upgrades>,
}

/// Options for upgrades without downtime.
pub struct Upgrades {
    /// Path of the socket at which a successor connects.
    pub socket_path: PathBuf,
    /// What was received from a predecessor, if there was one.
    pub takeover: Option<Takeover>,
}

/// An input from outside the data path.
enum Input {
    Control(Control),
    Command(Command),
}

struct Inbox {
    control: mpsc::UnboundedReceiver<Control>,
    admin: Option<AdminHandle>,
}

impl Inbox {
    /// The next input; `None` once the host has dropped its sender.
    async fn next(&mut self) -> Option<Input> {
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
            control = self.control.recv() => control.map(Input::Control),
            command = command => Some(Input::Command(command)),
        }
    }

    fn set_ready(&self, is_ready: bool) {
        if let Some(AdminHandle { ready, .. }) = &self.admin {
            ready.store(is_ready, Ordering::Relaxed);
        }
    }
}

/// The resources in use by a gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Inspection {
    /// Requests that wait for their response or for the end of an attempt.
    pub in_flight: usize,
    /// The policy's limit on attempts in flight.
    pub attempt_limit: f64,
    /// The fraction of the quotas that the policy has capacity for, from 0 to 1.
    pub capacity: f64,
    pub client_connections: usize,
    /// Descriptors used by client and backend connections, and one that is reserved for the next client.
    pub descriptors_taken: usize,
    /// Bytes of memory reserved for request bodies.
    pub body_bytes: usize,
}

/// Applies a configuration that was read again, completely or not at all.
fn reload<C: Clock, N: Network>(config: Config, context: &ServerContext<C, N>) -> Result<Config, String> {
    apply_settings(&config.names, &config.settings, context)?;
    context.backends.set_timeouts(config.connect_timeout, config.idle_timeout);
    Ok(config)
}

/// Applies these settings to requests from now on.
fn apply_settings<C: Clock, N: Network>(
    names: &Names,
    settings: &Settings,
    context: &ServerContext<C, N>,
) -> Result<(), String> {
    let active_settings = context.active_settings();
    let next = active_settings.reloaded(names, settings)?;
    if next != *active_settings {
        next.class_names().for_each(|class| context.metrics.register_class(class));
        context.core.apply_settings(names.zones.clone(), next.settings().clone());
        context.active_settings.replace(Rc::new(next));
    }
    Ok(())
}

/// Runs a gateway on this clock and network until it is shut down. Must be polled within a `tokio::task::LocalSet`;
/// dropping the set ends all of the gateway's tasks.
///
/// # Errors
/// A one-line message, if the gateway cannot start.
pub async fn run_gateway<C: Clock, N: Network>(
    config: Config,
    clock: C,
    network: N,
    control: mpsc::UnboundedReceiver<Control>,
) -> Result<(), String> {
    run_gateway_with(config, clock, network, control, GatewayOptions::default()).await
}

/// As [`run_gateway`], with further options.
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
    let own_descriptors = OWN_DESCRIPTORS + if admin.is_some() { admin::DESCRIPTORS } else { 0 };
    let mut inbox = Inbox { control, admin };
    let connection_limit = config.max_descriptors.checked_sub(own_descriptors).filter(|limit| *limit > 0);
    let connection_limit =
        connection_limit.ok_or_else(|| format!("limits.sockets: {} is too low", config.max_descriptors))?;
    let connection_limit = connection_limit.min(Semaphore::MAX_PERMITS);
    let connection_limit =
        if mutant!(IgnoreDescriptorLimit) { 10 * connection_limit } else { connection_limit };
    let (socket_path, takeover) =
        upgrades.map_or((None, None), |upgrades| (Some(upgrades.socket_path), upgrades.takeover));
    let mut active_settings = ActiveSettings::new(config.names.clone(), config.settings.clone());
    if let Some(takeover) = &takeover {
        active_settings = takeover.offer.active_settings.clone();
    }
    // The other descriptors belong to the predecessor until it ends.
    let initial_descriptors = takeover
        .as_ref()
        .map_or(connection_limit, |takeover| takeover.offer.descriptors.min(connection_limit));
    let descriptors = Arc::new(Semaphore::new(initial_descriptors));
    let body_memory = (config.memory_bytes / BODY_MEMORY_DIVISOR).min(Semaphore::MAX_PERMITS);
    let listener = match (takeover.as_ref().map(|takeover| takeover.listener.try_clone()), &socket_path) {
        (Some(socket), _) => socket.and_then(|socket| network.listener_from_fd(socket)),
        (None, Some(_)) => network.listen_reuse_port(config.listen).await,
        (None, None) => network.listen(config.listen).await,
    };
    let listener = listener.map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    let listener = Rc::new(listener);
    let metrics = Rc::new(Metrics::default());
    config.names.classes.iter().for_each(|class| metrics.register_class(class));
    let backends = Rc::new(UpstreamPool::new(
        clock.clone(),
        network.clone(),
        descriptors.clone(),
        config.connect_timeout,
        config.idle_timeout,
        metrics.clone(),
        Rc::new(Upstream),
    ));
    let neighbors = Rc::new(Neighbors::default());
    let options = CoreOptions {
        zones: config.names.zones.clone(),
        local_meter: config.local_meter.then(|| {
            let rates = config.settings.plans.iter().map(|plan| plan.rate).collect();
            LocalMeter::new(config.settings.meter_period, rates)
        }),
        hooks,
        neighbors: neighbors.clone(),
        inherited_clock: takeover
            .as_ref()
            .map(|takeover| (takeover.offer.now_ms, takeover.offer.start_unix_ms)),
    };
    let core = GatewayCore::new(
        clock.clone(),
        active_settings.settings().clone(),
        config.seed,
        options,
        backends.clone(),
    )
    .map_err(|error| error.to_string())?;
    let platform = config.discovery.map(|_| Source::as_told("platform"));
    let first_source = usize::from(platform.is_some());
    let others = config.sources.iter().map(|origin| origin.source.clone());
    let sources = platform.into_iter().chain(others).collect();
    let membership = Rc::new(Membership::new(clock.clone(), sources, core.clone()));
    let last_revision =
        Rc::new(Cell::new(takeover.as_ref().and_then(|takeover| takeover.offer.last_revision)));
    match (&takeover, config.cached_list) {
        (Some(takeover), _) => core.adopt((*takeover.offer).clone()),
        (None, Some(list)) => core.update_backends(ListKind::Cached, &list.into_report().entries),
        (None, None) => {}
    }
    for (index, SourceConfig { initial_report, feed, .. }) in config.sources.into_iter().enumerate() {
        if let Some(report) = initial_report {
            membership.apply(first_source + index, report);
        }
        if let Some(feed) = feed {
            let membership = membership.clone();
            spawn_local(feed(Rc::new(move |report| membership.apply(first_source + index, report))));
        }
    }
    spawn_local(core.run_timers());
    let discovery = config.discovery.map(|address| {
        let (discovery, agent) = watch::channel(address);
        let sink = SourceSink { membership: membership.clone(), source: 0 };
        // Half of the time within which a published drain must take effect; the rest is left for the response.
        let retry_interval =
            Duration::from_secs_f64(active_settings.settings().drain_grace.max(100.0) / 2000.0);
        let watch = DiscoveryWatch {
            clock: clock.clone(),
            network: network.clone(),
            sink,
            last_revision: last_revision.clone(),
            retry_interval: (!active_settings.settings().list_on_request).then_some(retry_interval),
            max_list_bytes: discovery::max_list_bytes(config.memory_bytes),
            rejection_logged: Cell::new(false),
        };
        spawn_local(watch.follow(agent));
        discovery
    });
    let sweeper = backends.clone();
    spawn_local(async move { sweeper.sweep().await });

    let shutdown = Rc::new(Shutdown::default());
    let context = Rc::new(ServerContext {
        clock: clock.clone(),
        core: core.clone(),
        backends,
        request_defaults: config.request_defaults,
        active_settings: RefCell::new(Rc::new(active_settings)),
        shutdown: shutdown.clone(),
        date: DateHeader::default(),
        connections: Rc::new(ConnectionRegistry::new(clock.clone())),
        body_memory: Semaphore::new(body_memory),
        metrics: metrics.clone(),
        neighbors: neighbors.clone(),
    });
    let (clients, adopted) = mpsc::unbounded_channel();
    if let Some(takeover) = takeover {
        // This process's configuration may be newer than the one that the predecessor applied.
        if let Err(problem) = apply_settings(&config.names, &config.settings, &context) {
            log::write_line(format!("keeping the settings of the old process: {problem}"));
        }
        let (core, neighbors, descriptors) = (core.clone(), neighbors.clone(), descriptors.clone());
        let follower = PredecessorFollower {
            network,
            core,
            neighbors,
            descriptors,
            owed_descriptors: connection_limit - initial_descriptors,
            clients,
        };
        let (link, early_messages) = takeover.into_link();
        spawn_local(follower.run(link, early_messages));
    }
    let handover_server = Rc::new(HandoverServer {
        context: context.clone(),
        neighbors: neighbors.clone(),
        listener: Rc::downgrade(&listener),
        config_text: RefCell::new(config.text),
        descriptors: descriptors.clone(),
        own_descriptors,
        max_state_bytes: config.memory_bytes / HANDOVER_STATE_DIVISOR,
        ready: inbox.admin.as_ref().map(|admin| admin.ready.clone()),
        last_revision,
    });
    let serve = serve(listener, context.clone(), descriptors.clone(), connection_limit, adopted);
    let mut serving = spawn_local(serve);
    if let Some(path) = socket_path {
        // Before readiness is reported, as another upgrade may follow at once. A slow directory delays that only for
        // a limited time.
        let (listening, listens) = oneshot::channel();
        spawn_local(handover_server.clone().run(path, listening));
        let _ = clock.timeout(HANDOVER_LISTEN_TIMEOUT, listens).await;
    }
    inbox.set_ready(true);

    // Handles an input. Returns how to shut down, if the input demands that.
    let handle = |input: Input| {
        let control = match input {
            Input::Control(control) => control,
            Input::Command(Command { call, reply }) => {
                // The operator's call may have timed out.
                let _ = reply.send(core.execute(call, &metrics));
                return None;
            }
        };
        match control {
            Control::Terminate => return Some(Stop::Graceful),
            Control::StopNow => return Some(Stop::Immediate),
            Control::Inspect(callback) => callback(Inspection {
                in_flight: core.in_flight(),
                attempt_limit: core.capacity().0,
                capacity: core.capacity().1,
                client_connections: context.connections.count(),
                descriptors_taken: connection_limit - descriptors.available_permits(),
                body_bytes: body_memory - context.body_memory.available_permits(),
            }),
            Control::Report(index, report) => membership.apply(first_source + index, report),
            Control::InspectMembership(callback) => callback(&membership.book(), membership.now()),
            Control::Admin(call, callback) => callback(core.execute(call, &metrics)),
            Control::Reload(config) => match (*config).and_then(|config| reload(config, &context)) {
                Ok(config) => {
                    handover_server.config_text.replace(config.text);
                    if let (Some(discovery), Some(address)) = (&discovery, config.discovery) {
                        discovery.send_replace(address);
                    }
                    metrics.record_reload(true);
                }
                // An invalid configuration is not applied in part: the current one stays in force.
                Err(problem) => {
                    metrics.record_reload(false);
                    log::write_line(format!("not reloaded: {problem}"));
                }
            },
        }
        None
    };
    // After a handover, this process ends once it has no connections and no requests in flight.
    let mut handed_over = pin!(async {
        loop {
            neighbors.until(|state| state == HandoverState::Complete).await;
            clock.sleep(HANDED_OVER_CHECK_INTERVAL).await;
            if neighbors.is_complete() && context.connections.count() == 0 && core.in_flight() == 0 {
                return;
            }
        }
    });
    let mut graceful = loop {
        let input = tokio::select! {
            biased;
            input = inbox.next() => input,
            () = &mut handed_over => None,
        };
        match input.map(&handle) {
            None | Some(Some(Stop::Graceful)) => break true,
            Some(Some(Stop::Immediate)) => break false,
            Some(None) => {}
        }
    };
    inbox.set_ready(false);
    // Inputs are handled to the end of the shutdown: a backend that begins to drain meanwhile gets no new attempts.
    let mut stop_now = pin!(async {
        loop {
            match inbox.next().await.map(&handle) {
                Some(Some(Stop::Immediate)) => return,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    });
    shutdown.advance(Phase::Draining);
    if graceful {
        tokio::select! {
            biased;
            () = &mut stop_now => graceful = false,
            () = clock.sleep(LINGER) => {}
        }
    }
    shutdown.advance(Phase::Closing);
    if graceful {
        let longest_deadline = context
            .active_settings()
            .settings()
            .classes
            .iter()
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        let drain_timeout = Duration::try_from_secs_f64(longest_deadline / 1000.0)
            .unwrap_or(DRAIN_TIMEOUT)
            .min(DRAIN_TIMEOUT);
        let ended = clock.timeout(drain_timeout.saturating_sub(FAILURE_WRITE_TIMEOUT), &mut serving);
        graceful = tokio::select! {
            biased;
            () = &mut stop_now => false,
            ended = ended => ended.is_some(),
        };
    }
    if !graceful {
        if !mutant!(NoFailAtEnd) {
            core.fail_all();
        }
        let _ = clock.timeout(FAILURE_WRITE_TIMEOUT, &mut serving).await;
    }
    Ok(())
}
