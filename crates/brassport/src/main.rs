//! The front door: one program on real sockets round the decision module of the crate `springusher`.
#![forbid(unsafe_code)]

mod backends;
mod callers;
mod clients;
mod config;
mod discovery;
mod door;
mod link;
mod log;

use backends::Backends;
use clients::{Desk, Phase};
use config::{Config, First};
use door::Door;
use springusher::ListKind;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Descriptors that are neither a client's nor a backend's: streams, event queue, listener, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// The part of the memory that the bodies of clients may take all together.
const BODIES_PART: usize = 8;
/// After SIGTERM clients still come for up to 0.4 s; the listener stays open for longer than that. What is
/// in hand then may take as long as a client waits, 3 s at the most, before it fails, and such failures so
/// long to be written: with what came last, the end is due before SIGKILL, 0.7 s after the longest wait.
const LEAVING: Duration = Duration::from_millis(600);
const CLOSING: Duration = Duration::from_millis(3000);
const LAST_WORDS: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    match config::read(First::Environment).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("brassport: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start: {error}"))?;
    LocalSet::new().block_on(&runtime, front_door(config))
}

async fn front_door(config: Config) -> Result<(), String> {
    let spare = config.sockets.checked_sub(OWN_DESCRIPTORS).filter(|spare| *spare > 0);
    let spare = spare.ok_or_else(|| format!("limits.sockets: {} are too few", config.sockets))?;
    let descriptors = Arc::new(Semaphore::new(spare.min(Semaphore::MAX_PERMITS)));
    let take = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
    let (mut terminate, mut reload) = (take(SignalKind::terminate())?, take(SignalKind::hangup())?);
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;

    let longest = config.settings.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
    let closing = Duration::try_from_secs_f64(longest / 1000.0).unwrap_or(CLOSING).min(CLOSING);

    let backends = Rc::new(Backends::new(descriptors.clone(), config.connect_timeout, config.idle_timeout));
    let door = Door::new(config.settings.clone(), config.seed, config.names.zones.clone(), backends.clone())
        .map_err(|error| error.to_string())?;
    door.servers(ListKind::Cached, config.known);
    spawn_local(door.clone().keep_time());
    let (discovery, seen) = watch::channel(config.discovery);
    spawn_local(discovery::follow(seen, door.clone()));
    let sweeper = backends.clone();
    spawn_local(async move { sweeper.sweep().await });

    let (phase, seen) = watch::channel(Phase::Serving);
    let desk = Rc::new(Desk {
        door: door.clone(),
        backends,
        names: config.names,
        settings: config.settings,
        phase: seen,
        bodies: Semaphore::new((config.memory / BODIES_PART).min(Semaphore::MAX_PERMITS)),
    });
    let mut serving = spawn_local(clients::serve(listener, desk, descriptors));

    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => match config::read(First::File) {
                Ok(config) => drop(discovery.send_replace(config.discovery)),
                // Guards against half a file: what is in force stays so.
                Err(problem) => log::line(format!("not reloaded: {problem}")),
            },
        }
    }
    phase.send_replace(Phase::Leaving);
    sleep(LEAVING).await;
    phase.send_replace(Phase::Closing);
    if timeout(closing.saturating_sub(LAST_WORDS), &mut serving).await.is_err() {
        door.fail_all();
        let _ = timeout(LAST_WORDS, &mut serving).await;
    }
    Ok(())
}
