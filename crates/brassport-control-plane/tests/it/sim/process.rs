//! Processes and disks: start, end, freeze, and writes that are synced.

use super::script::Millis;
use super::store::{keep, Store};
use super::{incarnation, ip, Sim, Step, CALLER, GRACE, HEARTBEAT_INTERVAL, TICK};
use brassport_control_plane::{ControlPlane, Event, FaultTolerance, Options};
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::DiskId;

impl Sim {
    pub fn start(&mut self, one: usize, first_start: bool) {
        if self.machines[one].control.is_some() {
            return;
        }
        let seed = self.draw(u64::MAX);
        let machine = &mut self.machines[one];
        machine.starts += 1;
        machine.started_at = self.now;
        machine.store.busy = self.now;
        machine.frozen_until = 0;
        let starts = machine.starts;
        let node = PeerRecord {
            ip: ip(one),
            incarnation: incarnation(one, starts),
            zone: machine.zone.clone(),
            disk: DiskId::NONE,
            is_core: machine.is_core,
        };
        let options = Options {
            node,
            seeds: machine.seeds.iter().map(|seed| ip(*seed)).collect(),
            first_start,
            fault_tolerance: FaultTolerance::machines(
                self.setup.survive.unwrap_or((self.setup.disks - 1) / 2),
            ),
            heartbeat_interval_ms: HEARTBEAT_INTERVAL,
            seed,
        };
        machine.control = Some(ControlPlane::new(options, 0));
        let is_core = machine.is_core;
        self.judge.begins(one, is_core, self.now);
        let wait = 1 + self.draw(TICK);
        self.at(wait, Step::Tick(one, starts));
        if is_core {
            let wait = self.setup.sync + self.draw(4);
            self.at(wait, Step::Open(one, starts));
        }
    }

    pub fn kill(&mut self, one: usize) {
        let machine = &mut self.machines[one];
        if machine.control.take().is_none() {
            return;
        }
        machine.frozen_until = 0;
        machine.ended = self.now;
        let calls = std::mem::take(&mut machine.calls);
        let pending = std::mem::take(&mut machine.store.pending);
        // What was on its way to the disk is there up to some record.
        let hangs = self.now < machine.store.hangs_until;
        for (_, record) in pending {
            if hangs || self.draw(2) == 0 || !keep(&mut self.machines[one].store, record) {
                break;
            }
        }
        self.machines[one].store.torn = false;
        for try_number in calls.into_values() {
            self.at(CALLER, Step::Answer(try_number, None));
        }
        self.judge.ends(one, self.machines[one].is_core, self.now);
    }

    /// Tells a machine to end.
    pub fn stop(&mut self, one: usize, soonest: Millis) {
        if self.machines[one].control.is_some() {
            self.judge.fault_until(one, self.machines[one].is_core, self.now);
            self.handle(one, Event::Shutdown);
            self.at(TICK, Step::Ends(one, self.machines[one].starts, self.now, soonest));
        }
    }

    pub fn end_if_released(&mut self, one: usize, starts: u64, since: Millis, soonest: Millis) {
        if !self.lives(one, starts) {
            return;
        }
        let may = self.machines[one].control.as_ref().is_some_and(ControlPlane::may_shut_down);
        if (may && self.now >= since + soonest) || self.now >= since + GRACE {
            self.ended.push((one, self.now - since));
            self.kill(one);
        } else {
            self.at(TICK, Step::Ends(one, starts, since, soonest));
        }
    }

    pub fn lose_disk(&mut self, one: usize) {
        self.kill(one);
        self.machines[one].store = Store::empty();
    }

    pub fn freeze(&mut self, one: usize, long: Millis) {
        let until = self.now + long;
        self.machines[one].frozen_until = self.machines[one].frozen_until.max(until);
        self.judge.fault_until(one, self.machines[one].is_core, self.now);
        self.at(long, Step::Thawed(one));
    }

    pub fn open(&mut self, one: usize, starts: u64) {
        if !self.lives(one, starts) {
            return;
        }
        let hangs_until = self.machines[one].store.hangs_until;
        if self.now < hangs_until {
            return self.at(hangs_until - self.now, Step::Open(one, starts));
        }
        if self.machines[one].store.number.is_none() {
            if self.machines[one].store.full {
                return self.at(500, Step::Open(one, starts));
            }
            self.machines[one].store.number = Some(self.draw(u64::MAX) | 1);
        }
        let store = &self.machines[one].store;
        let event = Event::StoreOpened(DiskId(store.number.unwrap_or(1)), store.kept.clone());
        self.handle(one, event);
    }

    pub fn synced(&mut self, one: usize, starts: u64) {
        if !self.lives(one, starts) {
            return;
        }
        let hangs_until = self.machines[one].store.hangs_until;
        if self.now < hangs_until {
            return self.at(hangs_until - self.now, Step::Synced(one, starts));
        }
        let store = &mut self.machines[one].store;
        let Some((number, record)) = store.pending.pop_front() else { return };
        let kept = keep(store, record);
        self.handle(one, Event::Persisted(number, kept));
        self.triggers();
    }

    pub fn set_seeds(&mut self, one: usize, seeds: Vec<usize>) {
        self.machines[one].seeds = seeds.clone();
        if self.machines[one].control.is_some() {
            self.handle(one, Event::SeedsChanged(seeds.into_iter().map(ip).collect()));
        }
    }

    pub fn set_disk(&mut self, one: usize, full: Option<bool>, hangs: Millis) {
        let store = &mut self.machines[one].store;
        store.full = full.unwrap_or(store.full);
        store.hangs_until = store.hangs_until.max(self.now + hangs);
        // A disk in fault_until is the machine's own; the core stays settled.
        self.judge.fault_until(one, false, self.now + hangs);
    }
}
