//! What puts the planes together: the owner of the control state with its queue of events, the data plane, the links,
//! the disk, and the process's signals.

use crate::disk::{Disk, Told};
use crate::listeners::{self, Called};
use crate::settings::{Settings, VARIABLE};
use brassport_control_plane::call::Reply;
use brassport_control_plane::peer_message::{Envelope, GrantResponse};
use brassport_control_plane::{self as control_plane, Action, ControlPlane, Event};
use brassport_data_plane::{DataPlane, Options};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::network::Tcp;
use brassport_proxy::shutdown::{Phase, Shutdown};
use brassport_transport::frame;
use brassport_transport::links::Links;
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, Incarnation};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{interval, MissedTickBehavior};

/// Between two looks at what is due: of a voter, and of the others.
const TICK: Duration = Duration::from_millis(60);
/// Between two reports of what tenants use.
const REPORT: Duration = Duration::from_millis(400);
/// Between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);
/// Clients still come for so long behind a SIGTERM: the platform asks each second and needs two misses.
const LEAVING: Duration = Duration::from_millis(2_600);
/// The last part of the time to end in, for answers on their way.
const LAST_WORDS: Duration = Duration::from_millis(700);
/// Descriptors that are kept for the doors' own talk, callers and the disk.
const KEPT: usize = 300;

/// Runs a door until it is told to end. With `metrics_port` its counters are served there.
///
/// # Errors
/// It can't begin; why.
pub fn run(settings: Settings, file: PathBuf, metrics_port: Option<u16>) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| miette::miette!("cannot start: {error}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, door(settings, file, metrics_port))
}

/// A number that no other life has had, whatever the wall clock says.
fn drawn() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(unix.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}

/// The owner of the control state, and where its actions go.
struct Owner {
    start: Instant,
    control: ControlPlane,
    me: (Ipv4Addr, Incarnation),
    links: Rc<Links>,
    disk: Disk,
    data_plane: Rc<DataPlane<SystemClock, Tcp>>,
    calls: HashMap<u64, oneshot::Sender<Reply>>,
    last_call: u64,
}

impl Owner {
    fn handle(&mut self, event: Event) {
        let now = self.start.elapsed().as_millis() as u64;
        for action in self.control.handle(now, event) {
            match action {
                Action::Send(to, message) => {
                    let envelope = Envelope { from: self.me.0, incarnation: self.me.1, message };
                    self.links.send(to, frame::encode(&envelope));
                }
                Action::Persist(number, record) => self.disk.keep(number, record),
                Action::Respond(number, reply) => {
                    if let Some(to) = self.calls.remove(&number) {
                        // Who called may have given up.
                        let _ = to.send(reply);
                    }
                }
                Action::StateAdvanced(state) => {
                    self.data_plane.set_ring_position(self.control.ring_position());
                    self.data_plane.apply_state(&state);
                }
                Action::BackendChanged(backend) => self.data_plane.backend(&backend),
                Action::BackendExpired(id) => self.data_plane.dropped(&id),
                Action::QuotaGranted(GrantResponse { term, report, grants }) => {
                    self.data_plane.apply_grants(term, report, &grants);
                }
            }
        }
    }

    /// Tells the lender what tenants use here.
    fn report(&mut self) {
        self.data_plane.set_ring_position(self.control.ring_position());
        let (number, used) = self.data_plane.report();
        if !used.is_empty() {
            self.handle(Event::UsageReported(number, used));
        }
    }

    fn call(&mut self, (call, to): Called) {
        self.last_call += 1;
        self.calls.insert(self.last_call, to);
        self.handle(Event::Call(self.last_call, call));
        // Guards the memory: calls that nobody waits for any more.
        if self.last_call.is_multiple_of(64) {
            self.calls.retain(|_, to| !to.is_closed());
        }
    }

    fn told(&mut self, told: Told) {
        match told {
            Told::Open(disk, found) => self.handle(Event::StoreOpened(disk, found)),
            Told::Written(number, synced) => self.handle(Event::Persisted(number, synced)),
        }
    }

    fn frame(&mut self, bytes: &[u8]) {
        if let Some(envelope) = frame::decode::<Envelope>(bytes) {
            self.handle(Event::PeerMessage(envelope));
        }
    }
}

async fn door(settings: Settings, file: PathBuf, metrics_port: Option<u16>) -> miette::Result<()> {
    let failed = |what: &str| {
        let what = what.to_owned();
        move |error: std::io::Error| miette::miette!("{what}: {error}")
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed("signals"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(failed("signals"))?;
    let start = Instant::now();
    let (incarnation, seed) = (Incarnation(drawn()), drawn());
    let (inbound, mut frames) = mpsc::unbounded_channel();
    let links = Links::open(settings.ip, settings.port, settings.reached_at.clone(), inbound)
        .await
        .map_err(failed("the doors' own port"))?;
    let (tells, mut told) = mpsc::unbounded_channel();
    // Who may vote is a matter of the machine: those whose loss counts.
    let disk = match settings.counted {
        true => Disk::open(settings.data_folder.clone(), DiskId(drawn()), tells.clone()),
        false => Disk::Memory(tells.clone()),
    };
    let options = Options {
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        descriptors: settings.open_files.saturating_sub(KEPT).max(64),
        drain_ms: settings.bound("drainS", 2.0) * 1000.0,
        retry: (settings.bound("retryRatio", 0.1), settings.bound("retryExtra", 10.0)),
        seed,
    };
    let data_plane = DataPlane::new(SystemClock, Tcp, options);
    let node = PeerRecord {
        ip: settings.ip,
        incarnation,
        zone: settings.zone.clone(),
        disk: DiskId::NONE,
        is_core: settings.counted,
    };
    let mut control = ControlPlane::new(
        control_plane::Options {
            node,
            seeds: settings.seeds.clone(),
            first_start: settings.first_start,
            fault_tolerance: settings.survive.clone(),
            heartbeat_interval_ms: (settings.report_every_s * 1000.0) as u64,
            seed,
        },
        0,
    );
    if let Some(at) = settings.control {
        control.call_near(at.port());
    }
    let mut owner = Owner {
        start,
        control,
        me: (settings.ip, incarnation),
        links,
        disk,
        data_plane: data_plane.clone(),
        calls: HashMap::new(),
        last_call: 0,
    };
    let shutdown = Rc::new(Shutdown::default());
    let (called, mut calls) = mpsc::unbounded_channel();
    if let Some(at) = settings.control {
        let listener = listeners::bind(at).map_err(failed("the callers' port"))?;
        spawn_local(listeners::control(listener, called.clone()));
    }
    if let Some(at) = settings.ready {
        let listener = listeners::bind(at).map_err(failed("the platform's port"))?;
        let (data_plane, shutdown) = (data_plane.clone(), shutdown.clone());
        let is_ready = move || shutdown.phase() == Phase::Serving && data_plane.is_ready();
        spawn_local(listeners::ready(listener, is_ready));
    }
    if let Some(port) = metrics_port {
        let listener = listeners::bind(SocketAddrV4::new(settings.ip, port));
        let listener = listener.map_err(failed("the metrics' port"))?;
        let data_plane = data_plane.clone();
        spawn_local(listeners::metrics(listener, move || data_plane.metrics()));
    }
    let mut serving = match settings.front {
        Some(at) => {
            let listener = listeners::bind(at).map_err(failed("the clients' port"))?;
            Some(spawn_local(brassport_data_plane::front::serve(
                listener,
                data_plane.clone(),
                shutdown.clone(),
            )))
        }
        None => None,
    };
    log::info!("door {} begins at {}", settings.node, settings.ip);
    let (mut tick, mut report, mut look) = (interval(TICK), interval(REPORT), interval(LOOK));
    for timer in [&mut tick, &mut report, &mut look] {
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    }
    let (mut current, mut ending) = (settings.clone(), None::<Instant>);
    let grace = Duration::from_secs_f64(settings.bound("graceS", 6.0).clamp(0.5, 600.0));
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv(), if ending.is_none() => {
                log::info!("told to end");
                ending = Some(Instant::now());
                shutdown.advance(Phase::Leaving);
                data_plane.leave();
                owner.handle(Event::Shutdown);
            }
            _ = hangup.recv() => reread(&file, &mut current, &mut owner),
            Some(it) = told.recv() => owner.told(it),
            Some(bytes) = frames.recv() => owner.frame(&bytes),
            Some(call) = calls.recv() => owner.call(call),
            _ = tick.tick() => {
                owner.handle(Event::Tick);
                data_plane.tend();
                if data_plane.is_urgent() {
                    report.reset();
                    owner.report();
                }
            }
            _ = report.tick() => owner.report(),
            _ = look.tick() => reread(&file, &mut current, &mut owner),
        }
        if let Some(since) = ending {
            if shutdown.phase() == Phase::Leaving && since.elapsed() >= LEAVING.min(grace / 2) {
                shutdown.advance(Phase::Closing);
            }
            let over = serving.as_ref().is_none_or(tokio::task::JoinHandle::is_finished);
            if over && shutdown.phase() == Phase::Closing && owner.control.is_released() {
                return Ok(());
            }
            if since.elapsed() >= grace.saturating_sub(LAST_WORDS) {
                data_plane.fail_all();
                if let Some(serving) = &mut serving {
                    let _ = tokio::time::timeout(LAST_WORDS / 2, serving).await;
                }
                return Ok(());
            }
        }
    }
}

/// Takes in what is new of the settings file: the seeds. All else holds from the next start on.
fn reread(file: &std::path::Path, current: &mut Settings, owner: &mut Owner) {
    match Settings::read(file) {
        Ok(settings) if settings != *current => {
            if settings.seeds != current.seeds {
                log::info!("other seeds: {:?}", settings.seeds);
                owner.handle(Event::SeedsChanged(settings.seeds.clone()));
            }
            *current = settings;
        }
        Ok(_) => {}
        Err(fault) => log::warn!("the settings stay as they are: {fault}"),
    }
}

/// The settings file that the environment names.
///
/// # Errors
/// It names none.
pub fn file() -> miette::Result<PathBuf> {
    std::env::var_os(VARIABLE).map(PathBuf::from).ok_or_else(|| {
        miette::miette!(help = "set it to the path of the settings file", "{VARIABLE} is not set")
    })
}
