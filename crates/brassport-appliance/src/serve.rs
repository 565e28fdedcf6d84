//! The front door by a file (`--config`): its nodes come from the sources in that. With `state` it has a state directory
//! as the appliance has, and with that a control socket and the last-known list; without, it keeps nothing.

use crate::keeper;
use crate::place::{Place, STATE};
use crate::run;
use crate::site::Site;
use crate::sources::Known;
use crate::Failure;
use brassport::clock::SystemClock;
use brassport::network::Tcp;
use brassport::{log, run_gateway, Control};
use brassport_state::files::Directory;
use brassport_state::store::{Store, StoreError};
use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};

/// Reads and checks the file.
pub fn check(path: &Path) -> Result<Site, Failure> {
    let told = |problem: String| Failure::failed(format!("{}: {problem}", path.display()));
    let text = fs::read_to_string(path).map_err(|error| told(error.to_string()))?;
    let site = Site::parse(&text).map_err(told)?;
    if site.sources.is_empty() {
        return Err(told(
            "there is no [[source]]: nodes come from sources, or from the state of `run`".into(),
        ));
    }
    Ok(site)
}

/// Makes the state directory and an empty state in it, where there is none yet.
fn begin_state(place: &Place) -> Result<(), Failure> {
    let told = |error: std::io::Error| Failure::failed(format!("state: {}: {error}", place.path.display()));
    place.make().map_err(told)?;
    let _lock = run::lock(place)?;
    let files = Directory::open(&place.path).map_err(told)?;
    match Store::create(&files, STATE) {
        Ok(()) | Err(StoreError::Exists { .. }) => Ok(()),
        Err(error) => Err(Failure::of(&keeper::problem(&error))),
    }
}

/// Serves until SIGTERM or Ctrl-C; a second one ends at once.
pub fn serve(path: &Path) -> Result<(), Failure> {
    let site = check(path)?;
    if let Some(directory) = &site.state {
        let place = Place::new(directory);
        begin_state(&place)?;
        return run::run_site(&place, || Ok(site));
    }
    let report = std::panic::take_hook();
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    log::start_stderr_writer();
    let seed = RandomState::new().build_hasher().finish();
    let (reread, rereads) = watch::channel(0);
    let config = site.config(seed, site.origins(seed, &Known::new(), &rereads).map_err(Failure::failed)?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::failed(format!("cannot start: {error}")))?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let (controls, control) = mpsc::unbounded_channel();
        let take = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
        let (mut terminate, mut interrupt) = (take(SignalKind::terminate())?, take(SignalKind::interrupt())?);
        let mut hangup = take(SignalKind::hangup())?;
        spawn_local(async move {
            let mut ending = false;
            loop {
                tokio::select! {
                    biased;
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                    _ = hangup.recv() => {
                        reread.send_modify(|times| *times += 1);
                        continue;
                    }
                }
                let how = if ending { Control::StopNow } else { Control::Terminate };
                ending = true;
                if controls.send(how).is_err() {
                    return;
                }
            }
        });
        run_gateway(config, SystemClock, Tcp, control).await
    });
    ended.map_err(Failure::failed)
}
