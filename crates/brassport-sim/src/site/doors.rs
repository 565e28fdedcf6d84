//! The front doors: their starts, their turns, their configuration, their ends.

use super::Site;
use crate::door::{Process, Turn};
use crate::kernel::{Nanos, MS};
use crate::meter::{BURST_S, PERIOD, PLAN_RATES};
use crate::places::door_address;
use brassport_checkers::Rule;
use serde_json::json;

impl Site {
    /// Lets the doors and Nomad's servers do what they can at this instant.
    pub(super) fn turn_doors(&mut self) {
        if self.dns.is_some() {
            return self.turn_with_dns();
        }
        let Some(api) = &mut self.api else { return self.turn_each_door() };
        let turn = api.process.turn();
        if turn != Turn::Runs {
            let now = self.kernel.now();
            self.oracle.judge.break_rule(Rule::Crash, now, None, format!("the stand-in of Nomad: {turn:?}"));
        }
        self.turn_each_door();
        let now = self.kernel.now();
        let Some(api) = &mut self.api else { return };
        let nodes = &self.nodes;
        let is_cold = |uid: &str| nodes.iter().any(|node| node.uid == uid && node.started.is_some());
        let (started, problem) = api.audit(is_cold);
        for (door, uid) in started {
            self.oracle.judge.lists.start_told(door.door(), &uid);
        }
        if let Some(problem) = problem {
            self.oracle.judge.break_rule(Rule::Nodes, now, None, problem);
        }
    }

    /// As [`Site::turn_doors`], where the doors' sources ask resolvers, and these answer.
    pub(super) fn turn_with_dns(&mut self) {
        let Some(dns) = &mut self.dns else { return };
        let turn = dns.process.turn();
        let now = self.kernel.now();
        if turn != Turn::Runs {
            self.oracle.judge.break_rule(Rule::Crash, now, None, format!("the stand-in of DNS: {turn:?}"));
        }
        self.turn_each_door();
        let Some(dns) = &mut self.dns else { return };
        let cold = self.nodes.iter().filter(|node| node.started.is_some() && !node.dead);
        let cold = cold.map(|node| (node.address, node.uid.clone())).collect();
        let (started, problem) = dns.audit(&cold);
        for (door, uid) in started {
            self.oracle.judge.lists.start_told(door.door(), &uid);
        }
        if let Some(problem) = problem {
            self.oracle.judge.break_rule(Rule::Nodes, now, None, problem);
        }
    }

    pub(super) fn turn_each_door(&mut self) {
        for door in 0..self.doors.len() {
            if self.kernel.is_frozen(self.doors[door].host) {
                continue;
            }
            let Some(process) = &mut self.doors[door].process else { continue };
            let now = self.kernel.now();
            let turn = process.turn();
            for (host, uid, is_out) in self.said.take() {
                self.oracle.judge.lists.banned(host.door(), &uid, now, is_out);
            }
            match turn {
                Turn::Runs => {}
                Turn::Ended(result) => {
                    // Oracle first: what passed in this turn comes before the end of the process.
                    self.observe();
                    self.doors[door].process = None;
                    if !self.doors[door].terminated || result.is_err() {
                        let what = format!("door {door} ended: {result:?}");
                        self.oracle.judge.break_rule(Rule::Crash, now, None, what);
                    }
                }
                Turn::Panicked(said) => {
                    let what = format!("door {door} panicked: {said}");
                    self.oracle.judge.break_rule(Rule::Crash, now, None, what);
                }
                Turn::Spins => {
                    let what = format!("door {door} goes on without time passing");
                    self.oracle.judge.break_rule(Rule::Spin, now, None, what);
                }
            }
        }
    }

    pub(super) fn start_door(&mut self, door: usize) {
        let now = self.kernel.now();
        let text = self.door_config(door);
        let host = &mut self.doors[door];
        host.starts += 1;
        host.turns_before = 0;
        host.terminated = false;
        self.oracle.door_started(host.host, now, &host.known.to_string());
        let seed = self.scenario.seed.wrapping_mul(31).wrapping_add(host.starts * 8 + door as u64);
        let started = match (&mut self.api, &mut self.dns) {
            (None, Some(dns)) => {
                dns.door_started(host.host);
                Process::start_with_dns(&self.kernel, host.host, host.wall.clone(), &text, dns, seed)
            }
            (None, None) => Process::start(&self.kernel, host.host, host.wall.clone(), &text),
            (Some(api), _) => {
                api.door_started(host.host);
                for entry in self.registry.now() {
                    self.oracle.judge.lists.node_at(&entry.uid, entry.address);
                }
                Process::start_with_nomad(&self.kernel, host.host, host.wall.clone(), &text, api, seed)
            }
        };
        match started {
            Ok(process) => host.process = Some(process),
            Err(problem) => self.oracle.judge.break_rule(Rule::Crash, now, None, problem),
        }
    }

    pub(super) fn door_config(&self, door: usize) -> String {
        let host = &self.doors[door];
        let figures = self.figures;
        let class = |name, semantics, worth: f64| {
            json!({"name": name, "semantics": semantics, "group": "all", "dedupWindow": 5000.0, "worth": worth,
                   "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false})
        };
        let plan = |number: usize, name: &str, open: u32, ceiling: bool| {
            let rate = PLAN_RATES[number];
            json!({"name": name, "unitsPerS": rate, "storeSize": BURST_S * rate, "concurrency": open, "price": 1.0,
                   "excessWorth": 0.0, "overrunCost": 0.8,
                   "neverOverRate": if ceiling { figures.ceiling_rate } else { 0.0 },
                   "capDepth": if ceiling { figures.ceiling_burst } else { 0.0 },
                   "tolerance": if ceiling { figures.ceiling_slack } else { 0.0 }})
        };
        let ms = |span: Nanos| span as f64 / MS as f64;
        json!({
            "name": format!("n{door}"),
            "listen": door_address(door).to_string(),
            "discovery": self.agents[door].addresses[host.moved].to_string(),
            "seed": format!("{:016x}", self.scenario.seed.wrapping_mul(31).wrapping_add(host.starts * 8 + door as u64)),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.scenario.sockets},
            "known": host.known,
            "settings": {
                "areas": ["a"], "balancers": self.scenario.doors, "ordinal": door, "zone": 0, "tick": 4.0,
                "registryMode": "pushed",
                "bounds": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0,
                           "maxAttempts": figures.max_attempts, "maxRetryAfter": 500.0, "mayDuplicate": false,
                           "retryAfter": true},
                "rules": {"cold": ms(figures.cold_for), "coldFrom": figures.cold_from,
                          "fall": ms(figures.fall_after), "stopSendingWithin": ms(figures.drain_grace),
                          "tipMultiple": figures.tip_multiple},
                "familyInfo": {"mostUnits": 1, "usePeriod": ms(PERIOD)},
                "classes": [class("preview-fetch", "free", 3.0), class("job-submit", "single_shot", 2.0)],
                "plans": [plan(0, "starter", 0, false), plan(1, "studio", 4, false), plan(2, "practice", 0, true)],
            },
        })
        .to_string()
    }

    pub(super) fn kill_door(&mut self, door: usize) {
        let (host, now) = (self.doors[door].host, self.kernel.now());
        if self.doors[door].process.is_none() {
            return;
        }
        self.observe();
        self.oracle.judge.door_killed(host.door(), now);
        self.kernel.kill(host);
        self.doors[door].process = None;
        self.oracle.judge.door_frozen(host.door(), now, false);
    }
}
