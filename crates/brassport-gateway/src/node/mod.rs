//! One running node: the owner of the control plane, the data plane, the links, the store, the listeners and the signals of
//! the process, and the event loop that connects them.

mod build;
mod control_host;
mod error;
mod inputs;
pub mod shutdown;

pub use error::{StartError, StartStep};

use crate::settings::Settings;
use crate::store_thread::StoreEvent;
use brassport_control_plane::Event;
use brassport_data_plane::DataPlane;
use brassport_proxy::clock::SystemClock;
use brassport_proxy::network::Tcp;
use brassport_proxy::shutdown::{Phase, Shutdown};
use control_host::ControlHost;
use inputs::{Input, Inputs};
use shutdown::{GracefulShutdown, Progress, Step, FINAL_RESPONSES};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::timeout;

/// The data plane on the system's clock and network.
type SystemDataPlane = DataPlane<SystemClock, Tcp>;

/// What a node is started with.
#[derive(Debug)]
pub struct Options {
    /// The settings.
    pub settings: Settings,
    /// The file they were read from, which is read again while the node runs.
    pub settings_file: PathBuf,
    /// Where the metrics page is served at the node's own address, if at all.
    pub metrics_port: Option<u16>,
}

/// Runs a node on this thread until SIGTERM has shut it down gracefully.
///
/// # Errors
/// It can't start.
pub fn run(options: Options) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StartError { step: StartStep::Runtime, error })?;
    LocalSet::new().block_on(&runtime, async {
        Node::build(options).await?.run().await;
        Ok(())
    })
}

/// A node, started.
struct Node {
    /// As they were read last.
    settings: Settings,
    settings_file: PathBuf,
    inputs: Inputs,
    control: ControlHost,
    data_plane: Rc<SystemDataPlane>,
    /// How far the request path has shut down, for its tasks.
    phase: Rc<Shutdown>,
    shutdown: GracefulShutdown,
    /// The task of the clients' listener and connections.
    downstream: Option<JoinHandle<()>>,
}

impl Node {
    /// The event loop.
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
        // A tenant that is about to use up its share can't wait for the next report.
        if self.data_plane.is_quota_urgent() {
            self.inputs.postpone_usage_report();
            self.control.report_usage();
        }
    }

    /// Applies what may change while the process runs: the seeds. All else holds from the next start on.
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

    /// Takes the steps of the shutdown that are due; a break ends the loop.
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

    /// Answers what is in flight with an error, and gives the responses the time to go out.
    async fn fail_in_flight(&mut self) {
        log::warn!("shutdown deadline reached in_flight={}", self.data_plane.in_flight());
        self.data_plane.fail_in_flight();
        if let Some(downstream) = &mut self.downstream {
            let _ = timeout(FINAL_RESPONSES / 2, downstream).await;
        }
    }
}
