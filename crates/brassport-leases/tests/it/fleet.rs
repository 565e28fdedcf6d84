//! The model: one register in place of the fleet's replicated log, and processes that run [`Task`].

use brassport_leases::{Action as TaskAction, Event, Lease, Outcome, Task, Terms};
use stateright::{Model, Property};
use std::collections::BTreeSet;

/// Bounds of the exploration.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub processes: usize,
    /// The last time that any clock reaches.
    pub end: u64,
    /// The maximum difference between two clocks at any time.
    pub drift: u64,
    pub restarts: u8,
    pub hand_overs: u8,
    /// The number of times that the last change is lost with a majority. Each time, every process restarts except the one that
    /// made the change.
    pub losses: u8,
    /// The maximum number of messages in flight.
    pub messages: usize,
    /// The maximum number of requests of each process.
    pub requests: u8,
    /// Whether a message may be delivered twice.
    pub duplicates: bool,
}

pub const SMALL: Sizes = Sizes {
    processes: 2,
    end: 7,
    drift: 1,
    restarts: 0,
    hand_overs: 0,
    losses: 0,
    messages: 2,
    requests: 2,
    duplicates: false,
};
/// Each of the following adds one kind of fault or change to [`SMALL`].
pub const DUPLICATES: Sizes = Sizes { duplicates: true, ..SMALL };
pub const RESTARTS: Sizes = Sizes { restarts: 1, ..SMALL };
pub const LOSSES: Sizes = Sizes { losses: 1, end: 8, ..SMALL };
pub const HAND_OVERS: Sizes = Sizes { hand_overs: 1, ..SMALL };

/// Two clocks that never differ by more than 1 measure any span with a difference of at most 2, so another process waits 3 for
/// a lease of 1.
const TERMS: Terms = Terms { length: 1, renewal: 1, drift_permille: 2000 };
/// The time on all clocks at the start; later than the wait after a process's start, so that the lease can be acquired at once.
const START_CLOCK: u64 = 3;

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// A change that is conditional on the version `seen`; `number` counts the requests of the process.
    Request {
        from: usize,
        number: u8,
        epoch: u8,
        seen: u64,
        lease: OrderedLease,
    },
    Response {
        to: usize,
        number: u8,
        version: Option<u64>,
    },
}

/// The fields of a lease that the model varies, with a total order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderedLease {
    holder: String,
    process: u64,
    token: u64,
    held: bool,
    next: Option<String>,
}

impl OrderedLease {
    fn of(lease: &Lease) -> OrderedLease {
        let Lease { holder, process, token, held, next, .. } = lease.clone();
        OrderedLease { holder, process, token, held, next }
    }

    fn lease(&self) -> Lease {
        let OrderedLease { holder, process, token, held, next } = self.clone();
        Lease { holder, process, token, length: TERMS.length, held, next, begun_for: 0 }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Process {
    task: Task,
    clock: u64,
    /// The number of restarts of the instance before this process.
    incarnation: u8,
    /// The number of requests so far; only the response to the last one is accepted.
    request_count: u8,
    awaits_response: bool,
    /// The epoch of the register that the process knows.
    epoch: u8,
}

/// A process that had a permit, and the token of the permit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Holder {
    token: u64,
    instance: usize,
    incarnation: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    version: u64,
    lease: Option<OrderedLease>,
    /// The version and value of the register before its last change.
    before: Option<(u64, Option<OrderedLease>)>,
    /// The number of times that the register was reset to its value before the last change.
    epoch: u8,
    processes: Vec<Process>,
    messages: BTreeSet<Message>,
    restarts: u8,
    hand_overs: u8,
    /// The highest token of any permit so far.
    highest_token: u64,
    /// Whether a process had a permit with a token below the highest one.
    token_fell: bool,
    /// All processes that have had a permit.
    holders: BTreeSet<Holder>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// A process's clock advances by one, and the process runs.
    Tick(usize),
    /// A process's clock advances by one while the process is suspended.
    Suspended(usize),
    Arrives(Message),
    /// The message arrives and stays in flight, so that it may arrive again.
    ArrivesTwice(Message),
    Lost(Message),
    /// A process's request times out.
    TimesOut(usize),
    SeesLease(usize),
    Restarts(usize),
    HandsOver(usize),
    LosesMajority,
}

pub struct Fleet {
    pub sizes: Sizes,
}

fn name(instance: usize) -> String {
    format!("i{instance}")
}

impl State {
    fn run(&mut self, instance: usize, event: Event) {
        let process = &mut self.processes[instance];
        for TaskAction::Publish { seen, lease } in process.task.handle(process.clock, event) {
            process.request_count += 1;
            process.awaits_response = true;
            let (number, epoch, lease) = (process.request_count, process.epoch, OrderedLease::of(&lease));
            self.messages.insert(Message::Request { from: instance, number, epoch, seen, lease });
        }
    }

    fn arrive(&mut self, message: Message) {
        match message {
            Message::Request { from, number, epoch, seen, lease } => {
                let fits = epoch == self.epoch && (seen == self.version || ignores_versions());
                if fits {
                    self.before = Some((self.version, self.lease.clone()));
                    (self.version, self.lease) = (self.version + 1, Some(lease));
                }
                let version = fits.then_some(self.version);
                // A response that the process no longer waits for has no effect, so it is not sent.
                if self.processes[from].awaits_response && self.processes[from].request_count == number {
                    self.messages.insert(Message::Response { to: from, number, version });
                }
            }
            Message::Response { to, number, version } => {
                let process = &mut self.processes[to];
                if process.request_count == number && std::mem::take(&mut process.awaits_response) {
                    let outcome = version.map_or(Outcome::Refused, |version| Outcome::Taken { version });
                    self.run(to, Event::Answer(outcome));
                }
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        let (epoch, process) = (self.epoch, &mut self.processes[instance]);
        (process.incarnation, process.epoch) = (process.incarnation + 1, epoch);
        process.task = Task::new(&name(instance), 1 + u64::from(process.incarnation), TERMS, process.clock);
        process.task.handle(process.clock, Event::Recovered(epoch.into()));
        self.stop_waiting(instance);
        self.run(instance, Event::Wants(true));
    }

    fn stop_waiting(&mut self, instance: usize) {
        self.processes[instance].awaits_response = false;
        self.messages.retain(|message| !matches!(message, Message::Response { to, .. } if *to == instance));
    }

    /// `None` if there is no lease, or if the process knows only the register of an earlier epoch and is rejected.
    fn see_lease(&mut self, instance: usize) -> Option<()> {
        let lease = self.lease.as_ref()?.lease();
        let version = self.version;
        if self.processes[instance].epoch != self.epoch {
            return None;
        }
        self.run(instance, Event::Seen { version, lease });
        Some(())
    }

    /// Resets the register to its value before the last change. Every process restarts except the one that made that change.
    fn lose_majority(&mut self) -> Option<()> {
        let lost = self.lease.take().map(|lease| lease.holder);
        (self.version, self.lease) = self.before.take()?;
        self.epoch += 1;
        for instance in 0..self.processes.len() {
            if lost.as_ref() != Some(&name(instance)) {
                self.restart(instance);
            }
        }
        Some(())
    }

    /// Records the processes that have a permit now.
    fn record_permits(&mut self) {
        for (instance, process) in self.processes.iter().enumerate() {
            if let Some(permit) = process.task.permit(process.clock) {
                self.token_fell |= permit.token() < self.highest_token;
                self.highest_token = self.highest_token.max(permit.token());
                self.holders.insert(Holder {
                    token: permit.token(),
                    instance,
                    incarnation: process.incarnation,
                });
            }
        }
    }
}

/// Whether the register accepts changes without a check of the version.
fn ignores_versions() -> bool {
    #[cfg(feature = "mutants")]
    return brassport_leases::mutants::is_active(brassport_leases::mutants::Mutant::VersionIgnored);
    #[cfg(not(feature = "mutants"))]
    false
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let processes = (0..self.sizes.processes).map(|instance| {
            let task = Task::new(&name(instance), 1, TERMS, 0);
            Process {
                task,
                clock: START_CLOCK,
                incarnation: 0,
                request_count: 0,
                awaits_response: false,
                epoch: 0,
            }
        });
        let mut state = State {
            version: 0,
            lease: None,
            before: None,
            epoch: 0,
            processes: processes.collect(),
            messages: BTreeSet::new(),
            restarts: 0,
            hand_overs: 0,
            highest_token: 0,
            token_fell: false,
            holders: BTreeSet::new(),
        };
        (0..self.sizes.processes).for_each(|instance| state.run(instance, Event::Wants(true)));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let sizes = &self.sizes;
        let slowest = state.processes.iter().map(|process| process.clock).min().unwrap_or(0);
        for (instance, process) in state.processes.iter().enumerate() {
            if process.clock < sizes.end && process.clock < slowest + sizes.drift {
                actions.push(Step::Tick(instance));
                actions.push(Step::Suspended(instance));
            }
            if process.awaits_response {
                actions.push(Step::TimesOut(instance));
            }
            if state.lease.is_some() {
                actions.push(Step::SeesLease(instance));
            }
            if state.restarts < sizes.restarts {
                actions.push(Step::Restarts(instance));
            }
            if state.hand_overs < sizes.hand_overs && process.task.permit(process.clock).is_some() {
                actions.push(Step::HandsOver(instance));
            }
        }
        if state.before.is_some() && state.epoch < sizes.losses {
            actions.push(Step::LosesMajority);
        }
        for message in &state.messages {
            actions.push(Step::Arrives(message.clone()));
            actions.push(Step::Lost(message.clone()));
            if sizes.duplicates && matches!(message, Message::Request { .. }) {
                actions.push(Step::ArrivesTwice(message.clone()));
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick(instance) => {
                state.processes[instance].clock += 1;
                state.run(instance, Event::Tick);
            }
            Step::Suspended(instance) => state.processes[instance].clock += 1,
            Step::Arrives(message) => {
                state.messages.remove(&message);
                state.arrive(message);
            }
            Step::ArrivesTwice(message) => state.arrive(message),
            Step::Lost(message) => drop(state.messages.remove(&message)),
            Step::TimesOut(instance) => {
                state.stop_waiting(instance);
                state.run(instance, Event::Answer(Outcome::Unknown));
            }
            Step::SeesLease(instance) => state.see_lease(instance)?,
            Step::Restarts(instance) => {
                state.restarts += 1;
                state.restart(instance);
            }
            Step::LosesMajority => state.lose_majority()?,
            Step::HandsOver(instance) => {
                state.hand_overs += 1;
                let to = name((instance + 1) % self.sizes.processes);
                state.run(instance, Event::HandOver(to));
            }
        }
        state.record_permits();
        (state != *last).then_some(state)
    }

    fn within_boundary(&self, state: &State) -> bool {
        let requests = state.processes.iter().map(|process| process.request_count).max();
        state.messages.len() <= self.sizes.messages && requests <= Some(self.sizes.requests)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("no two processes have a permit at the same time", |_, state: &State| {
                let may =
                    state.processes.iter().filter(|process| process.task.permit(process.clock).is_some());
                may.count() <= 1
            }),
            Property::always("no permit has a lower token than an earlier one", |_, state: &State| {
                !state.token_fell
            }),
            Property::always("no two holders have the same token", |_, state: &State| {
                let tokens: BTreeSet<u64> = state.holders.iter().map(|holder| holder.token).collect();
                tokens.len() == state.holders.len()
            }),
            Property::sometimes("a second holder acts", |_, state: &State| state.holders.len() > 1),
        ]
    }
}
