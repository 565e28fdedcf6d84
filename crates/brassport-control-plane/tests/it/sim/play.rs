//! Carries out the lines of a scenario: what happens, and what is expected.

use super::callers::What;
use super::script::{Cut, Disk, Expect, Millis, Statement, When};
use super::{ip, Sim, Step};
use brassport_config_store::consensus::{DurableState, Entry, ReplicatedState};
use brassport_control_plane::backends::BackendState;
use serde_json::Value;

/// After the last line, unless the scenario says how long it lasts.
const REST: Millis = 6_000;
/// So long the last read may take.
const READ: Millis = 12_000;
const LAST_READ: &str = "the read at the end";

impl Sim {
    pub fn schedule_lines(&mut self) {
        for index in 0..self.lines.len() {
            if let When::At(at) = self.lines[index].when {
                self.at(at, Step::Line(index));
            }
        }
    }

    pub fn end(&self) -> Millis {
        let last = self.lines.iter().filter_map(|line| match line.when {
            When::At(at) => Some(at),
            _ => None,
        });
        self.setup.lasts.unwrap_or_else(|| last.max().unwrap_or_default() + REST)
    }

    /// Looks whether what a line waits for has come.
    pub fn triggers(&mut self) {
        for index in 0..self.lines.len() {
            let has_come = match &self.lines[index].when {
                When::Kept(name, by) => self.kept_by(name) >= *by,
                When::Answered(name, code) => {
                    self.callers.session(name).is_some_and(|session| session.code == Some(*code))
                }
                _ => false,
            };
            if has_come && self.fired.insert(index) {
                self.line(index);
            }
        }
    }

    /// How many disks have what was put under a name.
    fn kept_by(&self, name: &str) -> usize {
        let Some(put) = self.callers.put(name) else { return 0 };
        let holds = |entry: &Entry| match entry {
            Entry::Replace { body, base_version } | Entry::Change { body, base_version } => {
                *body == put.body && *base_version == put.base_version
            }
            _ => false,
        };
        let has = |kept: &DurableState| {
            kept.state.applied_requests.values().any(|applied| *applied == put.digest())
                || kept.accepted.as_ref().is_some_and(|accepted| holds(&accepted.entry))
        };
        self.machines.iter().filter(|machine| has(&machine.store.kept)).count()
    }

    pub fn line(&mut self, index: usize) {
        let line = self.lines[index].clone();
        if let Err(fault) = self.execute(&line.statement) {
            let seconds = self.now as f64 / 1000.0;
            self.failed.push(format!("line {}: {seconds:.3} s: {fault}", line.number));
        }
    }

    /// The machine that leads, under the highest term if several believe to.
    fn leader(&self) -> Option<usize> {
        let holds = |one: usize| {
            let control = self.machines[one].control.as_ref()?;
            control.leader().filter(|(_, at)| self.runs(one) && *at == ip(one)).map(|(term, _)| (term, one))
        };
        (0..self.machines.len()).filter_map(holds).max().map(|(_, one)| one)
    }

    fn all(&self, who: &str) -> Result<Vec<usize>, String> {
        let others = || {
            let leader = self.leader()?;
            Some((0..self.setup.disks).filter(|one| *one != leader && self.runs(*one)).collect::<Vec<_>>())
        };
        let no_leader = || "nobody leads".to_owned();
        match who {
            "core" => Ok(self.core()),
            "every" => Ok((0..self.machines.len()).collect()),
            "leader" => Ok(vec![self.leader().ok_or_else(no_leader)?]),
            "follower" => Ok(others().ok_or_else(no_leader)?.first().copied().into_iter().collect()),
            "last" => Ok(others().ok_or_else(no_leader)?.last().copied().into_iter().collect()),
            _ => {
                let number = self.names.get(who).copied().or_else(|| who.parse().ok());
                let known = number.filter(|one| *one < self.machines.len());
                known.map(|one| vec![one]).ok_or_else(|| format!("there is no machine {who}"))
            }
        }
    }

    fn one(&self, who: &str) -> Result<usize, String> {
        match self.all(who)?.as_slice() {
            [one] => Ok(*one),
            _ => Err(format!("{who} is not one machine")),
        }
    }

    fn several(&self, who: &[String]) -> Result<Vec<usize>, String> {
        let all: Result<Vec<Vec<usize>>, String> = who.iter().map(|one| self.all(one)).collect();
        Ok(all?.concat())
    }

    fn execute(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Ask { ask, via, once, name } => {
                let via = via.as_ref().map(|who| self.one(who)).transpose()?;
                self.ask(ask, via, *once, name)?;
            }
            Statement::Heartbeats { id, service, via } => {
                let via = via.as_ref().map(|who| self.one(who)).transpose()?;
                self.begin_backend(id, service, via);
            }
            Statement::Dies(id) => self.dies(id),
            Statement::LateHeartbeat(id, who) => {
                let one = self.one(who)?;
                self.late_heartbeat(id, one)?;
            }
            Statement::Expect(expect) => self.expect(expect)?,
            Statement::Name(..)
            | Statement::Freeze(..)
            | Statement::Kill(_)
            | Statement::Start(_)
            | Statement::Retire(_)
            | Statement::Stop(..) => self.execute_process(statement)?,
            _ => self.execute_fault(statement)?,
        }
        Ok(())
    }

    /// What happens to processes.
    fn execute_process(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::Name(who, name) => {
                let one = self.one(who)?;
                self.names.insert(name.clone(), one);
            }
            Statement::Freeze(who, long) => {
                let all = self.all(who)?;
                all.into_iter().for_each(|one| self.freeze(one, *long));
            }
            Statement::Kill(who) => {
                let all = self.several(who)?;
                all.into_iter().for_each(|one| self.kill(one));
            }
            Statement::Start(who) => {
                let all = self.several(who)?;
                all.into_iter().for_each(|one| self.start(one, false));
            }
            Statement::Retire(who) => {
                for one in self.several(who)? {
                    self.kill(one);
                    self.machines[one].retired = true;
                }
            }
            Statement::Stop(who, soonest) => {
                let all = self.all(who)?;
                all.into_iter().for_each(|one| self.stop(one, *soonest));
            }
            _ => return Err(format!("{statement:?} is of no process")),
        }
        Ok(())
    }

    /// What goes wrong on the network and on disks.
    fn execute_fault(&mut self, statement: &Statement) -> Result<(), String> {
        match statement {
            Statement::AnswersLost(percent) => self.answers_lost = *percent,
            Statement::LoseDisk(who) => {
                let one = self.one(who)?;
                self.lose_disk(one);
            }
            Statement::Cut(who, cut) => self.cut(who, cut)?,
            Statement::Join => {
                for one in 0..self.machines.len() {
                    for other in 0..self.machines.len() {
                        self.set_cut(one, other, false);
                    }
                }
            }
            Statement::Loss(percent) => self.set_loss(*percent),
            Statement::Repeats(percent, within) => self.set_repeats(*percent, *within),
            Statement::Lag(who, by, long) => {
                let one = self.one(who)?;
                self.set_lag(one, *by, *long);
            }
            Statement::Disk(who, disk) => {
                for one in self.all(who)? {
                    match disk {
                        Disk::Full => self.set_disk(one, Some(true), 0),
                        Disk::Well => self.set_disk(one, Some(false), 0),
                        Disk::Hangs(long) => self.set_disk(one, None, *long),
                    }
                }
            }
            Statement::Seeds(who, seeds) => {
                for one in self.all(who)? {
                    self.set_seeds(one, seeds.clone());
                }
            }
            _ => return Err(format!("{statement:?} is no fault")),
        }
        Ok(())
    }

    fn cut(&mut self, who: &str, cut: &Cut) -> Result<(), String> {
        let (hears, is_heard) = match cut {
            Cut::Deaf => (false, true),
            Cut::Mute => (true, false),
            _ => (false, false),
        };
        let others = match cut {
            Cut::From(others) => self.several(others)?,
            _ => (0..self.machines.len()).collect(),
        };
        for one in self.all(who)? {
            for other in &others {
                if !hears {
                    self.set_cut(*other, one, true);
                }
                if !is_heard {
                    self.set_cut(one, *other, true);
                }
            }
        }
        Ok(())
    }

    fn code(&self, name: &str) -> Result<Option<u16>, String> {
        let session = self.callers.session(name).ok_or_else(|| format!("there is no call {name}"))?;
        Ok(session.code)
    }

    fn expect(&mut self, expect: &Expect) -> Result<(), String> {
        match expect {
            Expect::Answer(name, codes) => {
                let code = self.code(name)?;
                if !code.is_some_and(|code| codes.contains(&code)) {
                    return Err(format!("{name} has the answer {code:?} and not {codes:?}"));
                }
            }
            Expect::OneOf(names, code) => {
                let codes: Result<Vec<_>, _> = names.iter().map(|name| self.code(name)).collect();
                let codes = codes?;
                if codes.iter().filter(|one| **one == Some(*code)).count() != 1 {
                    return Err(format!("of {names:?} not just one has {code}: {codes:?}"));
                }
            }
            Expect::InForce(who, version) => self.expect_in_force(who, *version)?,
            Expect::Kept(name, by) => {
                let found = self.kept_by(name);
                if found != *by {
                    return Err(format!("{name} is on {found} disks and not on {by}"));
                }
            }
            Expect::Knows(who, id, states) => self.expect_known(who, id, states)?,
            Expect::Voters(voters) => self.expect_voters(voters)?,
            Expect::Leader { who, is } => self.expect_leader(who.as_deref(), *is)?,
            Expect::Read(version) => {
                let found = self.last_read();
                if found != Some(*version) {
                    return Err(format!("at the end v{version} was to be read, and {found:?} was"));
                }
            }
        }
        Ok(())
    }

    fn expect_in_force(&self, who: &str, version: u32) -> Result<(), String> {
        for one in self.all(who)? {
            let found = self.judge.version(one);
            if self.runs(one) && found != version {
                return Err(format!("machine {one} has v{found} in force and not v{version}"));
            }
        }
        Ok(())
    }

    fn expect_known(&self, who: &str, id: &str, states: &[String]) -> Result<(), String> {
        for one in self.all(who)? {
            let state = match self.judge.state(one, id) {
                Some(BackendState::Ready) => "ready",
                Some(BackendState::Unresponsive) => "silent",
                Some(BackendState::Draining) => "emptying",
                Some(BackendState::Terminated) => "gone",
                None => "nothing",
            };
            if self.runs(one) && !states.iter().any(|expected| expected == state) {
                return Err(format!("machine {one} takes {id} for {state} and not {states:?}"));
            }
        }
        Ok(())
    }

    fn expect_voters(&self, voters: &[usize]) -> Result<(), String> {
        let newest = self.judge.newest();
        let found: Vec<usize> = newest.map_or_else(Vec::new, |state| {
            state.voters.iter().map(|voter| super::machine(voter.ip)).collect()
        });
        if found != voters {
            return Err(format!("the voters are {found:?} and not {voters:?}"));
        }
        Ok(())
    }

    fn expect_leader(&self, who: Option<&str>, is: bool) -> Result<(), String> {
        let leader = self.leader();
        let wanted = who.map(|who| self.one(who)).transpose()?;
        let holds = if wanted.is_some() { leader == wanted } else { leader.is_some() };
        if holds != is {
            return Err(format!("the leader is {leader:?}, expected {is}: {who:?}"));
        }
        Ok(())
    }

    /// The version that the last read gave.
    fn last_read(&self) -> Option<u32> {
        let session = self.callers.session(LAST_READ).filter(|session| session.code == Some(200))?;
        let read: Value = serde_json::from_slice(&session.body).ok()?;
        u32::from_str_radix(read.get("version")?.as_str()?, 16).ok()
    }

    /// The end: the newest is read back where a majority of the core meets, and what was acknowledged is there.
    pub fn check_at_end(&mut self) {
        // A run that was given up for its many faults is read back no more.
        let meets = self.good_core().len() > self.core().len() / 2 && !self.is_given_up();
        for index in 0..self.lines.len() {
            let before = !matches!(self.lines[index].statement, Statement::Expect(Expect::Read(_)));
            if self.lines[index].when == When::End && before {
                self.line(index);
            }
        }
        self.report_unmet_conditions();
        if meets {
            self.read_back();
        }
        let kept = self.machines.iter().map(|machine| &machine.store.kept.state);
        let newest: Option<ReplicatedState> = kept.max_by_key(|state| state.index).cloned();
        let known = self.judge.newest().map(|state| ReplicatedState::clone(&state));
        if let Some(newest) = newest.into_iter().chain(known).max_by_key(|state| state.index) {
            self.judge.at_end(&newest, self.now);
        }
        for index in 0..self.lines.len() {
            let is_read = matches!(self.lines[index].statement, Statement::Expect(Expect::Read(_)));
            if self.lines[index].when == When::End && is_read {
                self.line(index);
            }
        }
    }

    /// Conditions of `when` lines that were never met.
    fn report_unmet_conditions(&mut self) {
        for index in 0..self.lines.len() {
            let waits = matches!(self.lines[index].when, When::Kept(..) | When::Answered(..));
            if waits && !self.fired.contains(&index) {
                let number = self.lines[index].number;
                self.failed.push(format!("line {number}: what it waits for never came"));
            }
        }
    }

    /// Reads the newest configuration back, as an operator does.
    fn read_back(&mut self) {
        self.begin_session(What::Read, None, false, LAST_READ);
        let end = self.now + READ;
        while self.now < end && self.callers.session(LAST_READ).is_some_and(|read| read.code.is_none()) {
            self.run_until(self.now + 100);
        }
        let newest = self.judge.acknowledged.iter().map(|(version, ..)| *version).max();
        let found = self.last_read();
        if found.is_none() || found < newest {
            let text = format!("{found:?} was read at the end, and v{newest:?} was acknowledged");
            self.judge.broken.push(text);
        }
    }
}
