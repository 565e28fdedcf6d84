//! Schedules and measurements over a running fleet.

use super::faults::{Fault, FAULTS};
use super::{wait_for, Fleet, Outcome, DOORS, NODES, PATIENCE};
use crate::parties::Clients;
use brassport_checkers::fleet::{self as checkers, Event, What};
use brassport_fleet::audit::Audit;
use brassport_fleet::record::Event as Recorded;
use oorandom::Rand32;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

impl Fleet {
    /// Publishes a ban, or takes one back, and waits for a while until it holds everywhere.
    pub(super) fn publish(&mut self, n: usize, outcome: &mut Outcome, wait: &str) {
        let (node, staff, banned) = (format!("n{n}"), self.dir("staff"), !self.banned[n]);
        if !banned {
            self.history.add(What::CallsBack { node: node.clone() });
        }
        let verb = if banned { "ban" } else { "call-back" };
        self.published += 1;
        let id = format!("change-{}", self.published);
        let since = Instant::now();
        let words = [verb, &staff, &node, "--reason", "drawn", "--author", "harness", "--id", &id, "--json"];
        let (_, lines, _) = self.command(&[&words[..], &["--fence", "--wait", wait]].concat());
        let version_of = |lines: &[Value]| lines.iter().find_map(|line| line["version"].as_u64());
        let version = version_of(&lines);
        let holds = version.is_some() && lines.iter().any(|line| line["fenced"].as_u64() == version);
        if let Some(version) = version {
            self.changed(version, n, banned);
            self.history.add(if holds { What::Fenced { version } } else { What::NotFenced { version } });
        }
        if holds {
            outcome.times.push(since.elapsed());
        }
        // Whether it was taken is not known: sent again once all is mended it is made once, and says its version.
        let again = [
            verb, &staff, &node, "--reason", "drawn", "--author", "harness", "--id", &id, "--json", "--fence",
        ];
        self.open = version.is_none().then(|| (again.map(String::from).to_vec(), n, banned));
    }

    fn changed(&mut self, version: u64, n: usize, banned: bool) {
        self.last = self.last.max(version);
        self.banned[n] = banned;
        self.history.add(What::Changed { version, node: format!("n{n}"), banned });
    }

    /// Publishes again what was not answered.
    fn publish_again(&mut self) {
        let Some((words, n, banned)) = self.open.take() else { return };
        let (_, lines, problem) = self.command(&words.iter().map(String::as_str).collect::<Vec<_>>());
        let version = lines.iter().find_map(|line| line["version"].as_u64());
        let version = version.unwrap_or_else(|| panic!("a change that was sent again: {problem}"));
        self.changed(version, n, banned);
        if lines.iter().any(|line| line["fenced"].as_u64() == Some(version)) {
            self.history.add(What::Fenced { version });
        }
    }

    /// Two voters are lost for good. Whether a change held everywhere before they were, while they were, and behind the
    /// recovery of the third one.
    pub fn recover(mut self) -> [bool; 3] {
        let mut outcome = Outcome::default();
        let mut holds = |fleet: &mut Fleet, wait: &str| {
            let before = outcome.times.len();
            fleet.publish(0, &mut outcome, wait);
            fleet.open = None;
            outcome.times.len() > before
        };
        let before = holds(&mut self, "30");
        (0..2).for_each(|voter| self.voters[voter].kill());
        let meanwhile = holds(&mut self, "3");
        self.voters[2].kill();
        self.must(&["recover", &self.dir("i2"), "--others-are-gone"]);
        self.voters[2].start();
        [before, meanwhile, holds(&mut self, "30")]
    }

    /// Plays a schedule of so many faults, each round a change, under clients' requests, and judges it.
    pub fn play(mut self, seed: u32, rounds: u32) -> Outcome {
        let mut random = Rand32::new(u64::from(seed));
        let mut outcome = Outcome::default();
        let clients: Vec<Clients> = (0..DOORS)
            .map(|d| Clients::of(&format!("d{d}"), self.door_listens[d as usize], 2, &self.history))
            .collect();
        for _ in 0..rounds {
            let (fault, door) = (
                FAULTS[random.rand_range(0..FAULTS.len() as u32) as usize],
                random.rand_range(0..DOORS as u32),
            );
            let (voter, mut n) =
                (random.rand_range(0..self.size as u32), random.rand_range(0..NODES as u32) as usize);
            // One node serves at all times.
            if self.banned.iter().filter(|banned| **banned).count() == NODES - 1 {
                n = self.banned.iter().position(|banned| *banned).unwrap_or(n);
            }
            println!("seed {seed}: {fault:?}, door {door}, voter {voter}, n{n}");
            self.fault(fault, u64::from(door), u64::from(voter));
            self.publish(n, &mut outcome, "6");
            // Behind the fence there are requests that could break it.
            let arrived = || self.history.count(|what| matches!(what, What::Arrived { .. }));
            let (seen, until) = (arrived(), Instant::now() + PATIENCE);
            while arrived() < seen + 30 {
                if Instant::now() > until {
                    self.tell();
                    panic!("seed {seed}: {fault:?}: waited in vain for requests behind the change");
                }
                std::thread::sleep(Duration::from_millis(20));
            }
            self.heal();
            self.publish_again();
            self.settled();
        }
        self.judged(clients, outcome)
    }

    /// Lets the first door's links come and go for so long, with a change published as soon as the last one is waited for,
    /// under clients' requests, and judges it.
    pub fn flap(mut self, length: Duration) -> Outcome {
        let mut outcome = Outcome::default();
        let clients = vec![Clients::of("d0", self.door_listens[0], 2, &self.history)];
        let until = Instant::now() + length;
        self.fault(Fault::LinkFlaps, 0, 0);
        while Instant::now() < until {
            self.publish(0, &mut outcome, "6");
            self.publish_again();
        }
        self.heal();
        self.settled();
        self.judged(clients, outcome)
    }

    /// Ends the clients, and judges what was seen.
    fn judged(self, clients: Vec<Clients>, mut outcome: Outcome) -> Outcome {
        clients.into_iter().for_each(Clients::end);
        // A door may have entered once more since; what was agreed on then reaches all.
        let ends = wait_for("all voters to hold the same", || {
            let all = self.status();
            let same = all.iter().all(|status| status["digest"] == all[0]["digest"]);
            (all.len() == self.size as usize && same).then_some(all)
        });
        for status in ends {
            let process = format!("i{}", status["id"].as_u64().unwrap_or(0) - 1);
            let (version, digest) =
                (status["version"].as_u64().unwrap_or(0), status["digest"].as_str().unwrap_or("").into());
            self.history.add(What::Ended { process, version, digest });
        }
        let (audit, last) = self.audit();
        for (process, (version, digest)) in last {
            self.history.add(What::Ended { process, version, digest });
        }
        let events = self.history.events();
        let is = |is: fn(&What) -> bool| events.iter().filter(|event| is(&event.what)).count();
        outcome.fenced = is(|what| matches!(what, What::Fenced { .. }));
        outcome.not_fenced = is(|what| matches!(what, What::NotFenced { .. }));
        outcome.arrived = is(|what| matches!(what, What::Arrived { .. }));
        let judges = [checkers::fence, checkers::requests, checkers::agreement];
        outcome.broken = judges.iter().flat_map(|judge| judge(&events)).collect();
        outcome.broken.extend(checkers::audited(&events, &audit));
        let skew_ms = audit.clock.as_ref().map_or(0, |clock| self.skews[clock]);
        let began_ms = self.history.began_wall_ms() + skew_ms;
        outcome.broken.extend(checkers::told_on_one_clock(&events, &audit, began_ms));
        outcome.told = audit.sent.iter().filter(|sent| sent.at.is_some()).count();
        if !outcome.broken.is_empty() {
            self.tell();
        }
        outcome
    }

    /// Prints what helps to find a cause.
    fn tell(&self) {
        for process in self.voters.iter().chain(&self.doors) {
            println!("--- {}\n{}", process.name, process.said());
        }
        self.status().iter().for_each(|status| println!("{status}"));
        let events = self.history.events();
        let is_plain = |event: &&Event| {
            !matches!(event.what, What::Arrived { .. } | What::Asked { .. } | What::Answered { .. })
        };
        events.iter().filter(is_plain).for_each(|event| println!("{event:?}"));
        events.iter().rev().take(12).for_each(|event| println!("{event:?}"));
    }

    /// What the audit says once the doors have shipped what they recorded, and each door's last version.
    fn audit(&self) -> (Audit, BTreeMap<String, (u64, String)>) {
        let staff = self.dir("staff");
        // What lies on the doors' own disks: how many unsafe requests, and the version that each acted on last. One whose disk
        // was full says what it lost when there is room.
        let acted = |d: u64| {
            let text = std::fs::read_to_string(self.folder.path().join(format!("d{d}/record.jsonl")));
            let (lines, ..) = brassport_fleet::record::read(&text.expect("a record"));
            lines.iter().rev().find_map(|line| match &line.what {
                Recorded::Acts { version, .. } => Some(*version),
                _ => None,
            })
        };
        wait_for("the doors' records to hold the last version", || {
            (0..DOORS).all(|d| acted(d) >= Some(self.last)).then_some(())
        });
        let recorded = (0..DOORS).map(|d| {
            let text = std::fs::read_to_string(self.folder.path().join(format!("d{d}/record.jsonl")));
            let (lines, fault, ..) = brassport_fleet::record::read(&text.expect("a record"));
            assert_eq!(fault, None, "the record of d{d}");
            let sends = lines.iter().filter(|line| matches!(line.what, Recorded::Unsafe { .. })).count();
            (format!("d{d}"), sends, acted(d))
        });
        let recorded: Vec<(String, usize, Option<u64>)> = recorded.collect();
        let audit = wait_for("the records to be shipped", || {
            let (_, lines, _) = self.command(&["audit", &staff, "--json"]);
            let audit: Audit = serde_json::from_value(lines.into_iter().next()?).ok()?;
            let has_all = |(door, sends, version): &(String, usize, Option<u64>)| {
                let sent = audit.sent.iter().filter(|sent| sent.door == *door).count();
                let last = audit.spans.iter().rev().find(|span| span.door == *door);
                sent >= *sends && last.map(|span| span.version) == *version
            };
            recorded.iter().all(has_all).then_some(audit)
        });
        let mut last = BTreeMap::new();
        for span in &audit.spans {
            last.insert(span.door.clone(), (span.version, span.digest.clone()));
        }
        (audit, last)
    }
}
