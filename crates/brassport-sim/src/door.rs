//! One front door under simulation: its process, as far as a process is a set of tasks.

use crate::api::Api;
use crate::dns::Dns;
use crate::kernel::{Host, Kernel};
use crate::seams::{SimClock, SimNetwork};
use brassport::config::{self, SourceConfig};
use brassport::{run_gateway, Control};
use brassport_membership::book::Source;
use std::cell::{Cell, RefCell};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// More turns than this within one instant are a spin.
const MOST_TURNS: u32 = 2_000;

#[derive(Default)]
struct Flag(AtomicBool);

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// What became of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Turn {
    /// It goes on.
    Runs,
    /// The program ended, with its error if it had one.
    Ended(Result<(), String>),
    /// A task panicked.
    Panicked(String),
    /// It would go on for ever without time passing.
    Spins,
}

/// How a program ended, once it has.
pub type Ended = Rc<RefCell<Option<Result<(), String>>>>;

/// A running front door.
pub struct Process {
    tasks: LocalSet,
    awake: Arc<Flag>,
    waker: Waker,
    ended: Ended,
    controls: mpsc::UnboundedSender<Control>,
    /// Polls so far.
    pub turns: u64,
}

thread_local! {
    /// What the last panic on this thread said: a task's panic ends the task and is told to nobody else.
    static PANIC: Cell<Option<String>> = const { Cell::new(None) };
    static QUIET: Cell<bool> = const { Cell::new(false) };
}

/// Makes panics of simulated programs failures of their run rather than noise on standard error; those of anyone
/// else on the same thread are told as usual.
pub fn catch_panics() {
    static ONCE: std::sync::Once = std::sync::Once::new();
    ONCE.call_once(|| {
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            if QUIET.get() {
                PANIC.set(Some(panic.to_string()));
            } else {
                usual(panic);
            }
        }));
    });
}

impl Process {
    /// Starts the program with this configuration.
    ///
    /// # Errors
    /// What is wrong with the configuration.
    pub fn start(kernel: &Kernel, host: Host, wall: Rc<Cell<i64>>, text: &str) -> Result<Process, String> {
        let config = config::parse(text, config::Precedence::File, |_| None)?;
        Ok(Process::door(kernel, host, wall, config))
    }

    /// Starts the program with this configuration, and with a source that learns of the nodes from Nomad.
    ///
    /// # Errors
    /// What is wrong with the configuration.
    pub fn start_with_nomad(
        kernel: &Kernel,
        host: Host,
        wall: Rc<Cell<i64>>,
        text: &str,
        api: &Api,
        seed: u64,
    ) -> Result<Process, String> {
        let mut config = config::parse(text, config::Precedence::File, |_| None)?;
        config.discovery = None;
        let clock = SimClock::new(kernel.clone(), host, wall.clone());
        let feed = Some(api.feed(kernel, host, clock, seed));
        config.sources =
            vec![SourceConfig { source: Source::authority("nomad"), initial_report: None, feed }];
        Ok(Process::door(kernel, host, wall, config))
    }

    /// Starts the program with this configuration, and with a source that learns of further nodes from DNS.
    ///
    /// # Errors
    /// What is wrong with the configuration.
    pub fn start_with_dns(
        kernel: &Kernel,
        host: Host,
        wall: Rc<Cell<i64>>,
        text: &str,
        dns: &Dns,
        seed: u64,
    ) -> Result<Process, String> {
        let mut config = config::parse(text, config::Precedence::File, |_| None)?;
        let clock = SimClock::new(kernel.clone(), host, wall.clone());
        let feed = Some(dns.feed(kernel, host, clock, seed));
        config.sources = vec![SourceConfig { source: Source::lists_only("dns"), initial_report: None, feed }];
        Ok(Process::door(kernel, host, wall, config))
    }

    fn door(kernel: &Kernel, host: Host, wall: Rc<Cell<i64>>, config: config::Config) -> Process {
        let (clock, network) =
            (SimClock::new(kernel.clone(), host, wall), SimNetwork::new(kernel.clone(), host));
        let (controls, control) = mpsc::unbounded_channel();
        Process::with(controls, move |tasks, ended| {
            tasks.spawn_local(async move {
                let result = run_gateway(config, clock, network, control).await;
                *ended.borrow_mut() = Some(result);
            });
        })
    }

    /// A program of these tasks, which is told nothing from outside.
    pub fn of(spawn: impl FnOnce(&LocalSet, Ended)) -> Process {
        Process::with(mpsc::unbounded_channel().0, spawn)
    }

    fn with(controls: mpsc::UnboundedSender<Control>, spawn: impl FnOnce(&LocalSet, Ended)) -> Process {
        let (tasks, ended) = (LocalSet::new(), Ended::default());
        spawn(&tasks, ended.clone());
        let awake = Arc::new(Flag::default());
        awake.0.store(true, Ordering::Relaxed);
        Process { tasks, waker: awake.clone().into(), awake, ended, controls, turns: 0 }
    }

    /// Tells the program something from outside.
    pub fn tell(&self, control: Control) {
        // One that has ended is told nothing.
        let _ = self.controls.send(control);
    }

    /// Lets the program do all that it can at this instant.
    pub fn turn(&mut self) -> Turn {
        let mut turns = 0;
        while self.awake.0.swap(false, Ordering::Relaxed) {
            turns += 1;
            self.turns += 1;
            if turns > MOST_TURNS {
                return Turn::Spins;
            }
            let mut context = Context::from_waker(&self.waker);
            QUIET.set(true);
            let polled = catch_unwind(AssertUnwindSafe(|| {
                std::future::Future::poll(Pin::new(&mut self.tasks), &mut context)
            }));
            QUIET.set(false);
            let said = PANIC.take();
            if polled.is_err() || said.is_some() {
                return Turn::Panicked(said.unwrap_or_else(|| "a panic without a word".into()));
            }
            if matches!(polled, Ok(Poll::Ready(()))) || self.ended.borrow().is_some() {
                return Turn::Ended(self.ended.borrow_mut().take().unwrap_or(Ok(())));
            }
        }
        Turn::Runs
    }
}
