//! The front door on the system's clock, network and signals.
#![forbid(unsafe_code)]

use brassport::clock::SystemClock;
use brassport::config::{self, Config, First};
use brassport::network::Tcp;
use brassport::{front_door, log, Control};
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

fn main() -> ExitCode {
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    log::to_standard_error();
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
    LocalSet::new().block_on(&runtime, async {
        let (controls, control) = mpsc::unbounded_channel();
        let take = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
        let (mut terminate, mut reload) = (take(SignalKind::terminate())?, take(SignalKind::hangup())?);
        spawn_local(async move {
            loop {
                let told = tokio::select! {
                    biased;
                    _ = terminate.recv() => Control::Terminate,
                    _ = reload.recv() => Control::Reload(Box::new(config::read(First::File))),
                };
                if controls.send(told).is_err() {
                    return;
                }
            }
        });
        front_door(config, SystemClock, Tcp, control).await
    })
}
