//! Processes and disks: start, shutdown, kill, freeze, and syncing of writes.

use super::script::Millis;
use super::store::{persist, Store};
use super::{
    incarnation, ip, Sim, SimEvent, CALLER_LATENCY_MS, HEARTBEAT_INTERVAL_MS, SHUTDOWN_GRACE_MS, TICK_MS,
};
use brassport_control_plane::{ControlPlane, Event, FaultTolerance, Options};
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::DiskId;

impl Sim {
    pub fn start(&mut self, node: usize, first_start: bool) {
        if self.machines[node].control.is_some() {
            return;
        }
        let seed = self.draw(u64::MAX);
        let machine = &mut self.machines[node];
        machine.starts += 1;
        machine.started_at = self.now;
        machine.store.busy = self.now;
        machine.frozen_until = 0;
        let starts = machine.starts;
        let peer_record = PeerRecord {
            ip: ip(node),
            incarnation: incarnation(node, starts),
            zone: machine.zone.clone(),
            disk: DiskId::NONE,
            is_core: machine.is_core,
        };
        let options = Options {
            node: peer_record,
            seeds: machine.seeds.iter().map(|seed| ip(*seed)).collect(),
            first_start,
            fault_tolerance: FaultTolerance::machines(
                self.setup.tolerated_losses.unwrap_or((self.setup.disks - 1) / 2),
            ),
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            seed,
        };
        machine.control = Some(ControlPlane::new(options, 0));
        let is_core = machine.is_core;
        self.invariants.on_process_started(node, is_core, self.now);
        let wait = 1 + self.draw(TICK_MS);
        self.schedule(wait, SimEvent::Tick(node, starts));
        if is_core {
            let wait = self.setup.sync_latency + self.draw(4);
            self.schedule(wait, SimEvent::OpenStore(node, starts));
        }
    }

    pub fn kill(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        if machine.control.take().is_none() {
            return;
        }
        machine.frozen_until = 0;
        machine.ended = self.now;
        let calls = std::mem::take(&mut machine.calls);
        let pending = std::mem::take(&mut machine.store.pending);
        // A random prefix of the pending records is durable.
        let hangs = self.now < machine.store.hangs_until;
        for (_, record) in pending {
            if hangs || self.draw(2) == 0 || !persist(&mut self.machines[node].store, record) {
                break;
            }
        }
        self.machines[node].store.torn = false;
        for attempt in calls.into_values() {
            self.schedule(CALLER_LATENCY_MS, SimEvent::ReplyArrives(attempt, None));
        }
        self.invariants.on_process_ended(node, self.machines[node].is_core, self.now);
    }

    /// Asks a machine to shut down; its process stays for at least `min_ms` ms.
    pub fn stop(&mut self, node: usize, min_ms: Millis) {
        if self.machines[node].control.is_some() {
            self.invariants.fault_until(node, self.machines[node].is_core, self.now);
            self.handle(node, Event::Shutdown);
            self.schedule(TICK_MS, SimEvent::CheckExit(node, self.machines[node].starts, self.now, min_ms));
        }
    }

    pub fn check_exit(&mut self, node: usize, starts: u64, since: Millis, min_ms: Millis) {
        if !self.is_same_process(node, starts) {
            return;
        }
        let may = self.machines[node].control.as_ref().is_some_and(ControlPlane::may_shut_down);
        if (may && self.now >= since + min_ms) || self.now >= since + SHUTDOWN_GRACE_MS {
            self.ended.push((node, self.now - since));
            self.kill(node);
        } else {
            self.schedule(TICK_MS, SimEvent::CheckExit(node, starts, since, min_ms));
        }
    }

    pub fn lose_disk(&mut self, node: usize) {
        self.kill(node);
        self.machines[node].store = Store::empty();
    }

    pub fn freeze(&mut self, node: usize, duration: Millis) {
        let until = self.now + duration;
        self.machines[node].frozen_until = self.machines[node].frozen_until.max(until);
        self.invariants.fault_until(node, self.machines[node].is_core, self.now);
        self.schedule(duration, SimEvent::Unfrozen(node));
    }

    pub fn open_store(&mut self, node: usize, starts: u64) {
        if !self.is_same_process(node, starts) {
            return;
        }
        let hangs_until = self.machines[node].store.hangs_until;
        if self.now < hangs_until {
            return self.schedule(hangs_until - self.now, SimEvent::OpenStore(node, starts));
        }
        if self.machines[node].store.disk_id.is_none() {
            if self.machines[node].store.full {
                return self.schedule(500, SimEvent::OpenStore(node, starts));
            }
            self.machines[node].store.disk_id = Some(self.draw(u64::MAX) | 1);
        }
        let store = &self.machines[node].store;
        let event = Event::StoreOpened(DiskId(store.disk_id.unwrap_or(1)), store.durable.clone());
        self.handle(node, event);
    }

    pub fn sync_next_record(&mut self, node: usize, starts: u64) {
        if !self.is_same_process(node, starts) {
            return;
        }
        let hangs_until = self.machines[node].store.hangs_until;
        if self.now < hangs_until {
            return self.schedule(hangs_until - self.now, SimEvent::RecordSynced(node, starts));
        }
        let store = &mut self.machines[node].store;
        let Some((number, record)) = store.pending.pop_front() else { return };
        let is_durable = persist(store, record);
        self.handle(node, Event::Persisted(number, is_durable));
        self.fire_conditions();
    }

    pub fn set_seeds(&mut self, node: usize, seeds: Vec<usize>) {
        self.machines[node].seeds = seeds.clone();
        if self.machines[node].control.is_some() {
            self.handle(node, Event::SeedsChanged(seeds.into_iter().map(ip).collect()));
        }
    }

    pub fn set_disk(&mut self, node: usize, full: Option<bool>, hangs: Millis) {
        let store = &mut self.machines[node].store;
        store.full = full.unwrap_or(store.full);
        store.hangs_until = store.hangs_until.max(self.now + hangs);
        // A disk fault affects only its own machine, not the rest of the core.
        self.invariants.fault_until(node, false, self.now + hangs);
    }
}
