//! How long things take over a running fleet, and what they cost.

use super::{front_door, wait_for, Fleet, Outcome, VALID_MS};
use crate::parties::{get, Clients};
use crate::port::reserve;
use crate::process::Process;
use crate::relay::Link;
use brassport_checkers::fleet::What;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How a door went out of service, and came back.
#[derive(Debug)]
pub struct Gone {
    /// From the cut of its links until it says so.
    pub out: Duration,
    /// From their mending until it serves.
    pub back: Duration,
    /// What it answered meanwhile: a request, `/healthz`, and staff's question whether it is ready.
    pub said: [Option<u16>; 3],
}

/// What requests cost a front door.
#[derive(Debug)]
pub struct Cost {
    pub requests: usize,
    /// Processor time a request.
    pub each: Duration,
}

impl Fleet {
    /// How long each of so many bans and their ends takes from the call of `publish` to the word that it holds everywhere,
    /// with so many voters dead.
    pub fn measure(mut self, changes: u32, dead: usize) -> Vec<Duration> {
        for _ in 0..dead {
            let leader = self.leader();
            let other = (0..self.size as usize).find(|v| *v != leader && self.voters[*v].runs());
            self.voters[other.expect("one that does not lead")].kill();
        }
        let mut outcome = Outcome::default();
        (0..changes).for_each(|_| self.publish(0, &mut outcome, "30"));
        assert_eq!(outcome.times.len(), changes as usize, "each holds in the end");
        outcome.times
    }

    /// Cuts the first door off from all voters until it is out, and mends that.
    pub fn cut_off(&mut self) -> Gone {
        let (listen, desk) = (self.door_listens[0], self.door_desks[0]);
        let ready = || get(desk, "/-/ready");
        wait_for("a door that serves", || (ready() == Some(200)).then_some(()));
        let since = Instant::now();
        self.set_door(0, Link { cut: true, ..Link::default() });
        wait_for("the door to say that it is out", || (ready() == Some(503)).then_some(()));
        let out = since.elapsed();
        let said = [get(listen, "/preview-fetch"), get(listen, "/healthz"), ready()];
        let since = Instant::now();
        self.set_door(0, Link::default());
        wait_for("the door to come back", || (ready() == Some(200)).then_some(()));
        wait_for("it to serve", || (get(listen, "/preview-fetch") == Some(200)).then_some(()));
        Gone { out, back: since.elapsed(), said }
    }

    /// How long no voter that lives leads behind the kill of the one that did.
    pub fn lose_leader(&mut self) -> Duration {
        let leader = self.leader();
        let since = Instant::now();
        self.voters[leader].kill();
        wait_for("another leader", || {
            let leads = |status: &&Value| status["leader"] == status["id"];
            let another = |status: &Value| status["id"].as_u64() != Some(leader as u64 + 1);
            self.status().iter().find(leads).is_some_and(another).then_some(())
        });
        let took = since.elapsed();
        self.voters[leader].start();
        self.settled();
        took
    }

    /// How long it takes until all doors act again, where all are killed and start at once.
    pub fn all_doors_back(&mut self) -> Duration {
        self.doors.iter_mut().for_each(Process::kill);
        let since = Instant::now();
        self.doors.iter_mut().for_each(Process::start);
        self.settled();
        since.elapsed()
    }

    /// What requests of a door of the fleet cost it while clients ask for so long, every other one unsafe and so recorded.
    pub fn cost(&self, seconds: u64) -> Cost {
        cost_of(&self.doors[0], self.door_listens[0], seconds)
    }

    /// The same for a front door of this program that belongs to no fleet.
    pub fn cost_alone(&self, program: &Path, seconds: u64) -> Cost {
        let (listen, file) = (reserve(), self.folder.path().join("alone.json"));
        let config = front_door(listen, reserve(), &self.nodes);
        std::fs::write(&file, config.to_string()).expect("a file");
        let words = vec!["BALANCER_CONFIG=".to_string() + &file.display().to_string()];
        let words = words.into_iter().chain([program.display().to_string()]).collect();
        let log = self.folder.path().join("alone.log");
        let mut process = Process::new("alone", Path::new("env"), words, log);
        process.start();
        cost_of(&process, listen, seconds)
    }

    /// How long a door may act without word of the fleet.
    pub fn valid() -> Duration {
        Duration::from_millis(VALID_MS)
    }
}

fn cost_of(process: &Process, listen: SocketAddr, seconds: u64) -> Cost {
    let history = crate::history::History::default();
    wait_for("the door to serve", || (get(listen, "/preview-fetch") == Some(200)).then_some(()));
    let before = process.processor_time();
    let clients = Clients::of("d", listen, 8, &history);
    std::thread::sleep(Duration::from_secs(seconds));
    clients.end();
    let used = process.processor_time() - before;
    let answered = |what: &What| matches!(what, What::Answered { status: Some(200), .. });
    let requests = history.count(answered);
    Cost { requests, each: used / requests.max(1) as u32 }
}
