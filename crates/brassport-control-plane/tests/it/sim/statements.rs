//! Executes the statements of a scenario and checks its expectations.

use super::callers::Operation;
use super::script::{DiskFault, Expect, Millis, Partition, Statement, When};
use super::{ip, Sim, SimEvent};
use brassport_config_store::consensus::{DurableState, Entry, ReplicatedState};
use brassport_control_plane::backends::BackendState;
use serde_json::Value;

/// Duration of the run after the last timed line, unless the scenario sets one.
const TIME_AFTER_LAST_LINE_MS: Millis = 6_000;
const FINAL_READ_TIMEOUT_MS: Millis = 12_000;
/// The name of the session that reads the configuration at the end.
const FINAL_READ: &str = "the read at the end";

impl Sim {
    /// Schedules the lines that have a time.
    pub fn schedule_lines(&mut self) {
        for index in 0..self.lines.len() {
            if let When::At(at) = self.lines[index].when {
                self.schedule(at, SimEvent::RunLine(index));
            }
        }
    }

    /// The end of the run.
    pub fn end(&self) -> Millis {
        let last = self.lines.iter().filter_map(|line| match line.when {
            When::At(at) => Some(at),
            _ => None,
        });
        self.setup.duration.unwrap_or_else(|| last.max().unwrap_or_default() + TIME_AFTER_LAST_LINE_MS)
    }

    /// Executes the `when` lines whose condition is now met.
    pub fn fire_conditions(&mut self) {
        for index in 0..self.lines.len() {
            let is_met = match &self.lines[index].when {
                When::OnDisks(name, by) => self.disks_with(name) >= *by,
                When::Status(name, code) => {
                    self.callers.session(name).is_some_and(|session| session.status == Some(*code))
                }
                _ => false,
            };
            if is_met && self.fired.insert(index) {
                self.run_line(index);
            }
        }
    }

    /// The number of disks that contain the configuration sent under a name.
    fn disks_with(&self, name: &str) -> usize {
        let Some(change) = self.callers.config_change(name) else { return 0 };
        let holds = |entry: &Entry| match entry {
            Entry::Replace { body, base_version } | Entry::Change { body, base_version } => {
                *body == change.body && *base_version == change.base_version
            }
            _ => false,
        };
        let has = |kept: &DurableState| {
            kept.state.applied_requests.values().any(|applied| *applied == change.digest())
                || kept.accepted.as_ref().is_some_and(|accepted| holds(&accepted.entry))
        };
        self.machines.iter().filter(|machine| has(&machine.store.durable)).count()
    }

    /// Executes a line, and records its error, if any.
    pub fn run_line(&mut self, index: usize) {
        let line = self.lines[index].clone();
        if let Err(error) = self.execute(&line.statement) {
            let seconds = self.now as f64 / 1000.0;
            self.unmet_expectations.push(format!("line {}: {seconds:.3} s: {error}", line.number));
        }
    }

    /// The machine that leads; if several believe that they lead, the one with the highest term.
    fn leader(&self) -> Option<usize> {
        let holds = |node: usize| {
            let control = self.machines[node].control.as_ref()?;
            control
                .leader()
                .filter(|(_, at)| self.is_responsive(node) && *at == ip(node))
                .map(|(term, _)| (term, node))
        };
        (0..self.machines.len()).filter_map(holds).max().map(|(_, node)| node)
    }

    /// The machines that a selector of the scenario language stands for.
    fn machines_of(&self, who: &str) -> Result<Vec<usize>, String> {
        let others = || {
            let leader = self.leader()?;
            Some(
                (0..self.setup.disks)
                    .filter(|node| *node != leader && self.is_responsive(*node))
                    .collect::<Vec<_>>(),
            )
        };
        let leader_missing = || "no machine leads".to_owned();
        match who {
            "core" => Ok(self.core()),
            "every" => Ok((0..self.machines.len()).collect()),
            "leader" => Ok(vec![self.leader().ok_or_else(leader_missing)?]),
            "follower" => Ok(others().ok_or_else(leader_missing)?.first().copied().into_iter().collect()),
            "last" => Ok(others().ok_or_else(leader_missing)?.last().copied().into_iter().collect()),
            _ => {
                let number = self.names.get(who).copied().or_else(|| who.parse().ok());
                let known = number.filter(|node| *node < self.machines.len());
                known.map(|node| vec![node]).ok_or_else(|| format!("there is no machine {who}"))
            }
        }
    }

    fn single_machine(&self, who: &str) -> Result<usize, String> {
        match self.machines_of(who)?.as_slice() {
            [node] => Ok(*node),
            _ => Err(format!("{who} is not one machine")),
        }
    }

    fn machines_of_each(&self, who: &[String]) -> Result<Vec<usize>, String> {
        let all: Result<Vec<Vec<usize>>, String> = who.iter().map(|who| self.machines_of(who)).collect();
        Ok(all?.concat())
    }

    fn execute(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Call { spec, via, is_single_attempt, name } => {
                let via = via.as_ref().map(|who| self.single_machine(who)).transpose()?;
                self.begin_call(spec, via, *is_single_attempt, name)?;
            }
            Statement::StartBackend { id, service, via } => {
                let via = via.as_ref().map(|who| self.single_machine(who)).transpose()?;
                self.start_backend(id, service, via);
            }
            Statement::KillBackend(id) => self.kill_backend(id),
            Statement::LateHeartbeat(id, who) => {
                let node = self.single_machine(who)?;
                self.late_heartbeat(id, node)?;
            }
            Statement::Expect(expect) => self.expect(expect)?,
            Statement::Name(..)
            | Statement::Freeze(..)
            | Statement::Kill(_)
            | Statement::Start(_)
            | Statement::Retire(_)
            | Statement::ShutDown(..) => self.execute_process(statement)?,
            _ => self.execute_fault(statement)?,
        }
        Ok(())
    }

    /// Executes a statement about processes.
    fn execute_process(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Name(who, name) => {
                let node = self.single_machine(who)?;
                self.names.insert(name.clone(), node);
            }
            Statement::Freeze(who, duration) => {
                let all = self.machines_of(who)?;
                all.into_iter().for_each(|node| self.freeze(node, *duration));
            }
            Statement::Kill(who) => {
                let all = self.machines_of_each(who)?;
                all.into_iter().for_each(|node| self.kill(node));
            }
            Statement::Start(who) => {
                let all = self.machines_of_each(who)?;
                all.into_iter().for_each(|node| self.start(node, false));
            }
            Statement::Retire(who) => {
                for node in self.machines_of_each(who)? {
                    self.kill(node);
                    self.machines[node].retired = true;
                }
            }
            Statement::ShutDown(who, min_ms) => {
                let all = self.machines_of(who)?;
                all.into_iter().for_each(|node| self.stop(node, *min_ms));
            }
            _ => return Err(format!("{statement:?} is not a process statement")),
        }
        Ok(())
    }

    /// Executes a statement about the network or disks.
    fn execute_fault(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::ReplyLoss(percent) => self.reply_loss = *percent,
            Statement::LoseDisk(who) => {
                let node = self.single_machine(who)?;
                self.lose_disk(node);
            }
            Statement::Partition(who, partition) => self.partition(who, partition)?,
            Statement::Heal => {
                for node in 0..self.machines.len() {
                    for other in 0..self.machines.len() {
                        self.set_blocked(node, other, false);
                    }
                }
            }
            Statement::MessageLoss(percent) => self.set_loss(*percent),
            Statement::Duplication(percent, within) => self.set_duplication(*percent, *within),
            Statement::SendDelay(who, delay, duration) => {
                let node = self.single_machine(who)?;
                self.set_send_delay(node, *delay, *duration);
            }
            Statement::DiskFault(who, fault) => {
                for node in self.machines_of(who)? {
                    match fault {
                        DiskFault::Full => self.set_disk(node, Some(true), 0),
                        DiskFault::Healthy => self.set_disk(node, Some(false), 0),
                        DiskFault::Hangs(duration) => self.set_disk(node, None, *duration),
                    }
                }
            }
            Statement::Seeds(who, seeds) => {
                for node in self.machines_of(who)? {
                    self.set_seeds(node, seeds.clone());
                }
            }
            _ => return Err(format!("{statement:?} is not a network or disk statement")),
        }
        Ok(())
    }

    fn partition(&mut self, who: &str, partition: &Partition) -> Result<(), String> {
        let (blocks_inbound, blocks_outbound) = match partition {
            Partition::Inbound => (true, false),
            Partition::Outbound => (false, true),
            _ => (true, true),
        };
        let others = match partition {
            Partition::From(others) => self.machines_of_each(others)?,
            _ => (0..self.machines.len()).collect(),
        };
        for node in self.machines_of(who)? {
            for other in &others {
                if blocks_inbound {
                    self.set_blocked(*other, node, true);
                }
                if blocks_outbound {
                    self.set_blocked(node, *other, true);
                }
            }
        }
        Ok(())
    }

    fn status_of(&self, name: &str) -> Result<Option<u16>, String> {
        let session = self.callers.session(name).ok_or_else(|| format!("there is no call {name}"))?;
        Ok(session.status)
    }

    fn expect(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Status(name, codes) => {
                let code = self.status_of(name)?;
                if !code.is_some_and(|code| codes.contains(&code)) {
                    return Err(format!("{name} has status {code:?}, expected one of {codes:?}"));
                }
            }
            Expect::ExactlyOne(names, code) => {
                let codes: Result<Vec<_>, _> = names.iter().map(|name| self.status_of(name)).collect();
                let codes = codes?;
                if codes.iter().filter(|found| **found == Some(*code)).count() != 1 {
                    return Err(format!(
                        "expected status {code} for exactly one of {names:?}, found {codes:?}"
                    ));
                }
            }
            Expect::AppliedVersion(who, version) => self.expect_applied_version(who, *version)?,
            Expect::OnDisks(name, by) => {
                let found = self.disks_with(name);
                if found != *by {
                    return Err(format!("{name} is on {found} disks, expected {by}"));
                }
            }
            Expect::BackendState(who, id, states) => self.expect_backend_state(who, id, states)?,
            Expect::Voters(voters) => self.expect_voters(voters)?,
            Expect::Leader { who, is } => self.expect_leader(who.as_deref(), *is)?,
            Expect::ReadBack(version) => {
                let found = self.final_read();
                if found != Some(*version) {
                    return Err(format!("the final read returned {found:?}, expected v{version}"));
                }
            }
        }
        Ok(())
    }

    fn expect_applied_version(&self, who: &str, version: u32) -> Result<(), String> {
        for node in self.machines_of(who)? {
            let found = self.invariants.version(node);
            if self.is_responsive(node) && found != version {
                return Err(format!("machine {node} applies v{found}, expected v{version}"));
            }
        }
        Ok(())
    }

    fn expect_backend_state(&self, who: &str, id: &str, states: &[String]) -> Result<(), String> {
        for node in self.machines_of(who)? {
            let state = match self.invariants.backend_state(node, id) {
                Some(BackendState::Ready) => "ready",
                Some(BackendState::Unresponsive) => "silent",
                Some(BackendState::Draining) => "emptying",
                Some(BackendState::Terminated) => "gone",
                None => "nothing",
            };
            if self.is_responsive(node) && !states.iter().any(|expected| expected == state) {
                return Err(format!(
                    "machine {node} has backend {id} as {state}, expected one of {states:?}"
                ));
            }
        }
        Ok(())
    }

    fn expect_voters(&self, voters: &[usize]) -> Result<(), String> {
        let newest = self.invariants.newest_state();
        let found: Vec<usize> = newest.map_or_else(Vec::new, |state| {
            state.voters.iter().map(|voter| super::machine(voter.ip)).collect()
        });
        if found != voters {
            return Err(format!("the voters are {found:?}, expected {voters:?}"));
        }
        Ok(())
    }

    fn expect_leader(&self, who: Option<&str>, is: bool) -> Result<(), String> {
        let leader = self.leader();
        let wanted = who.map(|who| self.single_machine(who)).transpose()?;
        let holds = if wanted.is_some() { leader == wanted } else { leader.is_some() };
        if holds != is {
            return Err(format!("the leader is {leader:?}, expected {who:?} to lead: {is}"));
        }
        Ok(())
    }

    /// The version that the final read returned.
    fn final_read(&self) -> Option<u32> {
        let session = self.callers.session(FINAL_READ).filter(|session| session.status == Some(200))?;
        let read: Value = serde_json::from_slice(&session.body).ok()?;
        u32::from_str_radix(read.get("version")?.as_str()?, 16).ok()
    }

    /// Checks the final state: if a majority of the core is connected, the latest configuration can be read back, and
    /// no acknowledged configuration is lost.
    pub fn check_at_end(&mut self) {
        // A run that stopped early is not read back.
        let meets = self.connected_core().len() > self.core().len() / 2 && !self.has_enough_violations();
        for index in 0..self.lines.len() {
            let before = !matches!(self.lines[index].statement, Statement::Expect(Expect::ReadBack(_)));
            if self.lines[index].when == When::End && before {
                self.run_line(index);
            }
        }
        self.report_unmet_conditions();
        if meets {
            self.read_back();
        }
        let states = self.machines.iter().map(|machine| &machine.store.durable.state);
        let newest: Option<ReplicatedState> = states.max_by_key(|state| state.index).cloned();
        let known = self.invariants.newest_state().map(|state| ReplicatedState::clone(&state));
        if let Some(newest) = newest.into_iter().chain(known).max_by_key(|state| state.index) {
            self.invariants.check_final_state(&newest, self.now);
        }
        for index in 0..self.lines.len() {
            let is_read = matches!(self.lines[index].statement, Statement::Expect(Expect::ReadBack(_)));
            if self.lines[index].when == When::End && is_read {
                self.run_line(index);
            }
        }
    }

    /// Reports the `when` lines whose condition was never met.
    fn report_unmet_conditions(&mut self) {
        for index in 0..self.lines.len() {
            let waits = matches!(self.lines[index].when, When::OnDisks(..) | When::Status(..));
            if waits && !self.fired.contains(&index) {
                let number = self.lines[index].number;
                self.unmet_expectations.push(format!("line {number}: its condition was never met"));
            }
        }
    }

    /// Reads the latest configuration back, as an operator does.
    fn read_back(&mut self) {
        self.begin_session(Operation::Read, None, false, FINAL_READ);
        let end = self.now + FINAL_READ_TIMEOUT_MS;
        while self.now < end && self.callers.session(FINAL_READ).is_some_and(|read| read.status.is_none()) {
            self.run_until(self.now + 100);
        }
        let newest = self.invariants.acknowledged.iter().map(|(version, ..)| *version).max();
        let found = self.final_read();
        if found.is_none() || found < newest {
            let text = format!("the final read returned {found:?}, but {newest:?} was acknowledged");
            self.invariants.violations.push(text);
        }
    }
}
