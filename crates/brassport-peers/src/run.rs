//! A running instance: its vote, its front door, and the door's agent on a thread of its own.

use crate::commands::{known, Asker};
use brassport::clock::SystemClock;
use brassport::config::{self, Precedence};
use brassport::network::Tcp;
use brassport::run::admin::{self, AdminHandle};
use brassport::{log, run_gateway_with, Control, GatewayOptions};
use brassport_fleet::shared::{Change, Done, Refusal};
use brassport_peers::call::draw;
use brassport_peers::door::{Agent, Handle, InFleet, ToDoor};
use brassport_peers::host::Host;
use brassport_peers::identity;
use brassport_peers::instance::{Instance, INSTANCE};
use brassport_peers::place::{Place, Settings};
use brassport_peers::record::steady_ms;
use brassport_peers::tasks::Tasks;
use serde_json::json;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

/// Runs an instance until SIGTERM.
pub fn run(place: &Place, front_door: Option<PathBuf>) -> Result<ExitCode, String> {
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    log::start_stderr_writer();
    let settings = place.settings()?;
    let (_held, identity) = identity::take(&place.0)?;
    let process = draw();
    let config = match &front_door {
        None => None,
        Some(file) => {
            let text =
                std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
            Some(config::parse(&text, Precedence::Environment, |name| std::env::var(name).ok())?)
        }
    };
    let runtime = || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.map_err(|error| format!("cannot start: {error}"))
    };
    let Some(config) = config else {
        return LocalSet::new().block_on(&runtime()?, async {
            let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
            tokio::select! {
                problem = fleet(place, &settings, None) => Err(problem),
                _ = terminate.recv() => Ok(ExitCode::SUCCESS),
            }
        });
    };
    let (to_door, for_door) = mpsc::unbounded_channel();
    let handle = Handle::open(&place.0, &settings.name, process)?;
    let stopped = handle.stopped.clone();
    let hooks = InFleet::new(handle.clone(), config.settings.classes.iter().map(|class| class.retry_safety));
    let agent = Agent {
        door: settings.name.clone(),
        process,
        folder: place.0.clone(),
        handle,
        site: place.site(&settings.name)?,
        through: known(&settings),
        length: settings.terms.length,
        identity,
        to_door,
    };
    // The fleet has a thread of its own: a request never waits for another instance, nor the fleet for requests.
    let (fleet_runtime, place) = (runtime()?, place.clone());
    let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
        let problem = LocalSet::new().block_on(&fleet_runtime, fleet(&place, &settings, Some(agent)));
        eprintln!("brassport-fleet: {problem}");
        std::process::exit(1);
    });
    thread.map_err(|error| format!("cannot start the fleet's thread: {error}"))?;
    let ended = LocalSet::new().block_on(&runtime()?, async move {
        let mut terminate =
            signal(SignalKind::terminate()).map_err(|error| format!("cannot take signals: {error}"))?;
        let (controls, control) = mpsc::unbounded_channel();
        let ending = controls.clone();
        spawn_local(async move {
            while terminate.recv().await.is_some() {
                if ending.send(Control::Terminate).is_err() {
                    return;
                }
            }
        });
        let (commands, operators) = told_by_two(config.admin, stopped, for_door, controls)?;
        spawn_local(commands);
        let options = GatewayOptions { hooks: Some(Rc::new(hooks)), admin: Some(operators), upgrades: None };
        run_gateway_with(config, SystemClock, Tcp, control, options).await
    });
    ended.map(|()| ExitCode::SUCCESS)
}

/// Brings together what the fleet's agent and the operators' own listener, if there is one, have the door do.
fn told_by_two(
    admin: Option<SocketAddr>,
    stopped: Arc<AtomicBool>,
    mut for_door: mpsc::UnboundedReceiver<ToDoor>,
    controls: mpsc::UnboundedSender<Control>,
) -> Result<(impl Future<Output = ()>, AdminHandle), String> {
    let (sender, commands) = mpsc::channel(64);
    let by_staff = admin.map(|at| admin::listen(at, stopped)).transpose()?;
    let ready = by_staff.as_ref().map_or_else(Arc::default, |staff| staff.ready.clone());
    let pass_on = async move {
        let mut staff = by_staff.map(|staff| staff.commands);
        loop {
            let by_staff = async {
                match &mut staff {
                    Some(staff) => staff.recv().await,
                    None => std::future::pending().await,
                }
            };
            let command = tokio::select! {
                Some(told) = for_door.recv() => match told {
                    ToDoor::Command(command) => command,
                    // Ahead of the commands that come behind it: the door looks here first.
                    ToDoor::Settings(text) => {
                        let read = config::parse(&text, Precedence::Environment, |name| std::env::var(name).ok());
                        let _ = controls.send(Control::Reload(Box::new(read)));
                        continue;
                    }
                },
                Some(command) = by_staff => command,
                else => return,
            };
            if sender.send(command).await.is_err() {
                return;
            }
        }
    };
    Ok((pass_on, AdminHandle { commands, ready }))
}

/// The instance and the door's agent, until something fails; what did.
async fn fleet(place: &Place, settings: &Settings, agent: Option<Agent>) -> String {
    let agent = async {
        match agent {
            Some(agent) => agent.run().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        problem = vote(place, settings) => problem.unwrap_or_else(|problem| problem),
        () = agent => "the door's agent ended".into(),
    }
}

async fn vote(place: &Place, settings: &Settings) -> Result<String, String> {
    let (Some(id), Some(listen)) = (settings.id, settings.listen) else {
        return std::future::pending().await;
    };
    let (disk, image) = place.open()?;
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    let tasks = Tasks::new(&place.0, &settings.name, settings.terms.length)?;
    let instance = Instance::new(id, settings.terms, &image, disk, draw(), steady_ms())?;
    let routes = (settings.routes.clone(), settings.told.clone());
    let host = Host::new(place.site(&settings.name)?, place.0.clone(), instance, routes, tasks);
    if image.entries.is_empty() && settings.through == [listen] {
        // The first instance of a fleet says where it is once it leads.
        let (site, address) = (place.site(&settings.name)?, listen);
        spawn_local(async move {
            let asker = Asker::new(site, &[address]);
            let change = Change::new(
                &format!("init-{id}-{address}"),
                "init",
                "the first instance",
                INSTANCE,
                &id.to_string(),
                json!(address),
            );
            while asker.ask::<Result<Done, Refusal>>("/fleet/publish", &json!(change)).await.is_err() {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }
    Ok(host.run(listener).await)
}
