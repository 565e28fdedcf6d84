//! The front door without a state directory: all that it knows of its nodes comes from the sources in its file.

use crate::site::Site;
use crate::Failure;
use brassport::clock::SystemClock;
use brassport::network::Tcp;
use brassport::{front_door, log, Control};
use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::path::Path;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
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

/// Serves until SIGTERM or Ctrl-C; a second one ends at once.
pub fn serve(path: &Path) -> Result<(), Failure> {
    let site = check(path)?;
    let report = std::panic::take_hook();
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    log::to_standard_error();
    let seed = RandomState::new().build_hasher().finish();
    let config = site.config(seed, site.origins(seed).map_err(Failure::failed)?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::failed(format!("cannot start: {error}")))?;
    let ended = LocalSet::new().block_on(&runtime, async {
        let (controls, control) = mpsc::unbounded_channel();
        let take = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
        let (mut terminate, mut interrupt) = (take(SignalKind::terminate())?, take(SignalKind::interrupt())?);
        // What changes in the files of the sources is found without it.
        let mut hangup = take(SignalKind::hangup())?;
        spawn_local(async move {
            let mut ending = false;
            loop {
                tokio::select! {
                    biased;
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                    _ = hangup.recv() => continue,
                }
                let how = if ending { Control::Hurry } else { Control::Terminate };
                ending = true;
                if controls.send(how).is_err() {
                    return;
                }
            }
        });
        front_door(config, SystemClock, Tcp, control).await
    });
    ended.map_err(Failure::failed)
}
