//! A running node. It owns the control plane, the data plane, the links to other nodes, the store, the listeners and the
//! signal handlers, and connects them in an event loop.

mod build;
mod control_host;
mod error;
mod inputs;
pub mod shutdown;

pub use error::{RunError, StartError, StartStep};

use crate::settings::Settings;
use crate::store_thread::StoreEvent;
use brassport_control_plane::Event;
use brassport_data_plane::DataPlane;
use brassport_proxy::clock::SystemClock;
use brassport_proxy::network::Tcp;
use brassport_proxy::shutdown::{Phase, Shutdown};
use control_host::ControlHost;
use inputs::{Input, Inputs, Signals};
use shutdown::{GracefulShutdown, Progress, Step};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::timeout;

/// The data plane with the clock and the TCP sockets of the operating system.
type SystemDataPlane = DataPlane<SystemClock, Tcp>;

/// The options for starting a node.
#[derive(Debug)]
pub struct Options {
    /// The file of the settings. It is read at startup, and again while the node runs.
    pub settings_file: PathBuf,
    /// The port of the metrics listener at the node's own address; `None` opens no such listener.
    pub metrics_port: Option<u16>,
}

/// Runs a node on the current thread, and returns after the graceful shutdown that SIGTERM starts.
///
/// # Errors
/// The settings are invalid, or the node cannot be started.
pub fn run(options: Options) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StartError { step: StartStep::Runtime, error })?;
    LocalSet::new().block_on(&runtime, async {
        // Before the settings are read: without a handler, a SIGHUP would end the process.
        let signals = Signals::install()?;
        let settings = Settings::read_at_start(&options.settings_file).await?;
        Node::build(options, settings, signals).await?.run().await;
        Ok(())
    })
}

/// A running node.
struct Node {
    /// The settings as last read successfully.
    settings: Settings,
    settings_file: PathBuf,
    inputs: Inputs,
    control: ControlHost,
    data_plane: Rc<SystemDataPlane>,
    /// The shutdown phase of the request path, shared with its tasks.
    phase: Rc<Shutdown>,
    shutdown: GracefulShutdown,
    /// The task that accepts and serves the connections of clients; `None` without that listener.
    downstream: Option<JoinHandle<()>>,
}

impl Node {
    /// Runs the event loop until the shutdown is complete.
    async fn run(mut self) {
        loop {
            let input = self.inputs.next(self.shutdown.accepts_signal()).await;
            self.handle(input);
            if self.advance_shutdown().await.is_break() {
                return;
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Terminate => self.on_terminate(),
            Input::Hangup | Input::CheckSettings => self.reload_settings(),
            Input::Store(event) => self.on_store_event(event),
            Input::Frame(bytes) => self.control.on_frame(&bytes),
            Input::Call(call) => self.control.on_call(call),
            Input::Tick => self.on_tick(),
            Input::ReportUsage => self.control.report_usage(),
        }
    }

    fn on_terminate(&mut self) {
        log::info!("shutdown started grace_ms={}", self.shutdown.grace().as_millis());
        self.shutdown.start(Instant::now());
        self.phase.advance(Phase::Draining);
        self.data_plane.begin_shutdown();
        self.control.handle(Event::Shutdown);
    }

    fn on_store_event(&mut self, event: StoreEvent) {
        self.control.handle(match event {
            StoreEvent::Opened { disk, state } => Event::StoreOpened(disk, state),
            StoreEvent::Persisted(write) => Event::Persisted(write.number, write.is_synced),
        });
    }

    fn on_tick(&mut self) {
        self.control.handle(Event::Tick);
        self.data_plane.remove_displaced_backends();
        // A tenant that has nearly used up its quota here needs a new grant before the next regular report.
        if self.data_plane.is_quota_urgent() {
            self.inputs.postpone_usage_report();
            self.control.report_usage();
        }
    }

    /// Reads the settings file again, and applies a change of the seeds. Other changes take effect at the next start.
    fn reload_settings(&mut self) {
        match Settings::read(&self.settings_file) {
            Ok(settings) if settings != self.settings => {
                if settings.seeds != self.settings.seeds {
                    log::info!("seeds changed seeds={:?}", settings.seeds);
                    self.control.handle(Event::SeedsChanged(settings.seeds.clone()));
                }
                self.settings = settings;
            }
            Ok(_) => {}
            Err(error) => log::warn!("settings reload failed error={:?}", error.to_string()),
        }
    }

    /// Takes the steps of the shutdown that are due. `Break` ends the event loop.
    async fn advance_shutdown(&mut self) -> std::ops::ControlFlow<()> {
        loop {
            let progress = Progress {
                connections_closed: self.downstream.as_ref().is_none_or(JoinHandle::is_finished),
                released_by_cluster: self.control.is_released(),
            };
            match self.shutdown.step(Instant::now(), progress) {
                Step::Wait => return std::ops::ControlFlow::Continue(()),
                Step::CloseListeners => self.phase.advance(Phase::Closing),
                Step::Exit => return std::ops::ControlFlow::Break(()),
                Step::FailInFlight => {
                    self.fail_in_flight().await;
                    return std::ops::ControlFlow::Break(());
                }
            }
        }
    }

    /// Answers the requests in flight with an error, and allows time for sending these responses.
    async fn fail_in_flight(&mut self) {
        log::warn!("shutdown deadline reached in_flight={}", self.data_plane.in_flight());
        self.data_plane.fail_in_flight();
        if let Some(downstream) = &mut self.downstream {
            let _ = timeout(self.shutdown.final_response_time() / 2, downstream).await;
        }
    }
}
