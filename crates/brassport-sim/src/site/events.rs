//! What the wire and the script bring, and what the list of nodes makes of it.

use super::{is_told, Held, Site};
use crate::agent::Entry;
use crate::kernel::{Host, Notice, Script, MS};
use crate::script::{Kind, KINDS};
use crate::seams::START_UNIX;
use brassport_checkers::Rule;

/// Turns of one door within a virtual second: more is a spin.
const MOST_TURNS_PER_S: u64 = 20_000;

impl Site {
    pub(super) fn notice(&mut self, host: Host, notice: Notice) {
        if self.kernel.is_frozen(host) {
            self.held.entry(host).or_default().push_back(Held::Notice(notice));
            return;
        }
        let end = match notice {
            Notice::Connected(end, up) => {
                self.clients.connected(&self.kernel, &mut self.oracle, end, up);
                return;
            }
            Notice::Accepted(end) | Notice::Data(end) | Notice::Eof(end) | Notice::Reset(end) => end,
        };
        let kernel = &self.kernel;
        match host.0 {
            number @ 100..=199 => {
                let Some(node) = self.nodes.iter_mut().find(|node| node.host.0 == number) else { return };
                if node.dead {
                    return;
                }
                match notice {
                    Notice::Accepted(_) => node.accepted(end),
                    Notice::Data(_) => {
                        node.data(kernel, &mut self.oracle, &mut self.meter, &mut self.random, end);
                    }
                    _ => node.gone(kernel, end),
                }
            }
            number @ 200..=299 => {
                let agent = &mut self.agents[number as usize - 200];
                match notice {
                    Notice::Accepted(_) => agent.accepted(end),
                    Notice::Data(_) => agent.data(kernel, &self.registry, end),
                    _ => agent.gone(kernel, end),
                }
            }
            _ => match notice {
                Notice::Data(_) => self.clients.data(kernel, end),
                Notice::Eof(_) => self.clients.gone(kernel, end, false),
                Notice::Reset(_) => self.clients.gone(kernel, end, true),
                _ => {}
            },
        }
    }

    pub(super) fn script(&mut self, script: Script) {
        let Some(kind) = KINDS.get(script.kind as usize).copied() else { return };
        let kernel = &self.kernel;
        match kind {
            Kind::RequestDue => self.clients.begin(kernel, &mut self.oracle, script.which as usize),
            Kind::PatienceOver => self.clients.leave(kernel, &mut self.oracle, script.which, false),
            Kind::ClientLeaves => self.clients.leave(kernel, &mut self.oracle, script.which, true),
            Kind::TryAgain => self.clients.again(kernel, &mut self.oracle, script.which),
            Kind::JobDone => {
                let host = Host(script.whose as u32);
                if kernel.is_frozen(host) {
                    self.held.entry(host).or_default().push_back(Held::Script(script));
                    return;
                }
                let Some(place) = self.nodes.iter().position(|node| node.host == host) else { return };
                let node = &mut self.nodes[place];
                if !node.dead
                    && node.done(kernel, &mut self.oracle, &self.meter, &mut self.random, script.which)
                {
                    self.node_gone(place);
                }
            }
            Kind::WatchOver => {
                let agent = &mut self.agents[script.whose as usize - 200];
                agent.watch_over(kernel, &self.registry, script.which);
            }
            Kind::LateAnswer => self.agents[script.whose as usize - 200].late_answer(kernel, script.which),
            Kind::RevisionTold => {
                let Some((door, revision)) = self.told.remove(&script.which) else { return };
                let agent = &mut self.agents[door];
                agent.revision = agent.revision.max(revision);
                agent.tell(kernel, &self.registry);
            }
            Kind::FaultBegins => self.fault(script.which as usize, true),
            Kind::FaultEnds => self.fault(script.which as usize, false),
            Kind::NodeGone => self.node_gone(script.which as usize),
            Kind::DoorStarts => {
                let door = script.which as usize;
                if self.doors[door].process.is_none() {
                    self.start_door(door);
                }
            }
            Kind::Tick => {
                for door in 0..self.doors.len() {
                    let turns = self.doors[door].process.as_ref().map_or(0, |process| process.turns);
                    if turns.saturating_sub(self.doors[door].turns_before) > MOST_TURNS_PER_S {
                        let what = format!("door {door} was busy all of a second");
                        self.oracle.judge.break_rule(Rule::Spin, self.kernel.now(), None, what);
                    }
                    self.doors[door].turns_before = turns;
                }
            }
        }
    }

    /// The list changes: each agent hears of it in its own time.
    pub(super) fn change(&mut self, entry: Entry) {
        if let Some(api) = &self.api {
            let node = self.nodes.iter().find(|node| node.uid == entry.uid);
            api.change(&entry.uid, entry.address, entry.state, node.and_then(|node| node.started));
            self.oracle.judge.lists.node_at(&entry.uid, entry.address);
            return self.registry.change(entry);
        }
        if let Some(dns) = &mut self.dns {
            let node = self.nodes.iter().find(|node| node.uid == entry.uid);
            // Nobody tells DNS of a drain.
            if entry.state != "draining" {
                dns.change(&entry.uid, entry.address, entry.state == "ready");
            }
            if !node.is_some_and(|node| is_told(&self.scenario, node)) {
                return;
            }
        }
        self.registry.change(entry);
        let revision = self.registry.revision();
        for door in 0..self.doors.len() {
            let which = self.told.len() as u64 + 1000 * revision;
            self.told.insert(which, (door, revision));
            let at = self.kernel.now() + self.random.between(10, 1200) * MS;
            self.plan(at, Kind::RevisionTold, 0, which);
        }
    }

    pub(super) fn entry(&self, node: usize, state: &'static str) -> Entry {
        let node = &self.nodes[node];
        let boot_ms = node.started.map_or(0.0, |at| START_UNIX.as_millis() as f64 + at as f64 / MS as f64);
        Entry { uid: node.uid.clone(), address: node.address, state, boot_ms }
    }

    pub(super) fn node_gone(&mut self, node: usize) {
        if !self.nodes[node].dead {
            let kernel = self.kernel.clone();
            self.nodes[node].die(&kernel);
        }
        let entry = self.entry(node, "gone");
        self.change(entry);
    }

    /// The node that a fault means by its number: the latest of those that took its place.
    pub(super) fn node(&self, number: usize) -> usize {
        let place = self.nodes.iter().rposition(|node| node.host.0 % 32 == (100 + number as u32) % 32);
        place.unwrap_or(number)
    }
}
