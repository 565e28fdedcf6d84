//! What a schedule does to processes and links, and how it is undone.

use super::Fleet;
use crate::port::reserve;
use crate::relay::{Link, Relay, Way};
use brassport_checkers::fleet::What;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long a link that flaps is cut, and open.
const FLAP: Duration = Duration::from_millis(120);

/// What a schedule does to the fleet around a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The door is cut off from all voters.
    DoorCut,
    /// The door's words come not through; what it is told would.
    DoorMute,
    /// What the door is told comes not through; its words do.
    DoorDeaf,
    DoorSlow,
    /// It stands still until the change has been waited for.
    DoorFrozen,
    DoorRestarted,
    DoorDead,
    LeaderKilled,
    LeaderFrozen,
    LeaderCut,
    VoterDead,
    /// The door and one voter are on one side, the others on the other.
    Split,
    /// The door comes back from a copy of its directory as it was at the start.
    DoorRestored,
    /// A second process runs from a copy of the door's directory.
    DoorCopied,
    /// Two of three voters are dead.
    MajorityDead,
    /// All voters are started anew, one behind the other.
    VotersRestarted,
    /// The door can write nothing more to its record.
    DoorDiskFull,
    /// A voter can write nothing more to its log: it ends, and is started anew when all is mended.
    VoterDiskFull,
    /// The door's links come and go, open for as long as they are cut, through the change.
    LinkFlaps,
}

pub const FAULTS: [Fault; 20] = [
    Fault::None,
    Fault::DoorCut,
    Fault::DoorMute,
    Fault::DoorDeaf,
    Fault::DoorSlow,
    Fault::DoorFrozen,
    Fault::DoorRestarted,
    Fault::DoorDead,
    Fault::LeaderKilled,
    Fault::LeaderFrozen,
    Fault::LeaderCut,
    Fault::VoterDead,
    Fault::Split,
    Fault::DoorRestored,
    Fault::DoorCopied,
    Fault::MajorityDead,
    Fault::VotersRestarted,
    Fault::DoorDiskFull,
    Fault::VoterDiskFull,
    Fault::LinkFlaps,
];

impl Fleet {
    pub(super) fn set_door(&self, door: u64, link: Link) {
        (0..self.size).for_each(|voter| self.down[&(door, voter)].set(link));
    }

    pub(super) fn part(&self, voter: u64, cut: bool) {
        let link = Link { cut, ..Link::default() };
        for other in (0..self.size).filter(|other| *other != voter) {
            self.between[&(voter, other)].set(link);
            self.between[&(other, voter)].set(link);
        }
    }

    /// Copies the files of a directory, as a backup does.
    pub(super) fn copy_of(&self, from: &str, to: &str) {
        let (from, to) = (self.folder.path().join(from), self.folder.path().join(to));
        std::fs::create_dir_all(&to).expect("a folder");
        for file in std::fs::read_dir(from).expect("a folder").flatten() {
            // A file that was renamed meanwhile is not copied, as with a backup.
            match std::fs::copy(file.path(), to.join(file.file_name())) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => panic!("{error}"),
                _ => {}
            }
        }
    }

    pub(super) fn fault(&mut self, fault: Fault, door: u64, voter: u64) {
        let leader = self.leader();
        self.history
            .add(What::Fault { what: format!("{fault:?}, door {door}, voter {voter}, leader {leader}") });
        let held = |there, back| Link { cut: false, there, back };
        let late = Way::Late(Duration::from_millis(150));
        match fault {
            Fault::None => {}
            Fault::DoorCut => self.set_door(door, Link { cut: true, ..Link::default() }),
            Fault::DoorMute => self.set_door(door, held(Way::Held, Way::Open)),
            Fault::DoorDeaf => self.set_door(door, held(Way::Open, Way::Held)),
            Fault::DoorSlow => self.set_door(door, held(late, late)),
            Fault::DoorFrozen => self.doors[door as usize].freeze(),
            Fault::DoorRestarted => {
                self.doors[door as usize].kill();
                self.doors[door as usize].start();
            }
            Fault::DoorDead => self.doors[door as usize].kill(),
            Fault::LeaderKilled => self.voters[leader].kill(),
            Fault::LeaderFrozen => self.voters[leader].freeze(),
            Fault::LeaderCut => self.part(leader as u64, true),
            Fault::VoterDead => self.voters[voter as usize].kill(),
            Fault::Split => {
                self.part(voter, true);
                let cut = Link { cut: true, ..Link::default() };
                (0..self.size)
                    .filter(|other| *other != voter)
                    .for_each(|other| self.down[&(door, other)].set(cut));
            }
            Fault::DoorRestored => self.restore(door),
            Fault::DoorCopied => self.start_copy(door),
            // Its files are never smaller than now, and none may grow.
            Fault::DoorDiskFull => self.doors[door as usize].limit_files(Some(0)),
            Fault::VoterDiskFull => self.voters[voter as usize].limit_files(Some(0)),
            Fault::LinkFlaps => {
                let links: Vec<Relay> =
                    (0..self.size).map(|voter| self.down[&(door, voter)].clone()).collect();
                let stop = Arc::new(AtomicBool::new(false));
                let ends = stop.clone();
                let flapping = std::thread::spawn(move || {
                    let mut cut = false;
                    while !ends.load(Ordering::Relaxed) {
                        cut = !cut;
                        links.iter().for_each(|link| link.set(Link { cut, ..Link::default() }));
                        std::thread::sleep(FLAP);
                    }
                });
                self.flapping = Some((stop, flapping));
            }
            Fault::MajorityDead => {
                (0..self.size)
                    .filter(|other| *other != voter)
                    .for_each(|other| self.voters[other as usize].kill());
            }
            Fault::VotersRestarted => {
                for voter in 0..self.size as usize {
                    self.voters[voter].kill();
                    self.voters[voter].start();
                    self.leader();
                }
            }
        }
    }

    /// The door's directory as it was at the start, but for its record, which those who restore it keep.
    fn restore(&mut self, door: u64) {
        let (name, kept) = (format!("d{door}"), format!("d{door}.record"));
        let record = format!("{name}/record.jsonl");
        self.doors[door as usize].kill();
        std::fs::copy(self.dir(&record), self.dir(&kept)).expect("copied");
        std::fs::remove_dir_all(self.dir(&name)).expect("removed");
        self.copy_of(&format!("{name}.old"), &name);
        std::fs::copy(self.dir(&kept), self.dir(&record)).expect("copied");
        self.doors[door as usize].start();
    }

    fn start_copy(&mut self, door: u64) {
        let (name, copy) = (format!("d{door}"), format!("d{door}.copy"));
        let _ = std::fs::remove_dir_all(self.dir(&copy));
        self.copy_of(&name, &copy);
        let text = std::fs::read_to_string(self.dir(&format!("{name}.json"))).expect("its configuration");
        let mut config: Value = serde_json::from_str(&text).expect("its configuration");
        config["listen"] = json!(reserve().to_string());
        let file = self.dir(&format!("{copy}.json"));
        std::fs::write(&file, config.to_string()).expect("a file");
        let mut process =
            self.process(&copy, vec!["run".into(), self.dir(&copy), "--front-door".into(), file]);
        process.start();
        self.copy = Some((process, door));
    }

    pub(super) fn heal(&mut self) {
        self.history.add(What::Fault { what: "all is mended".into() });
        if let Some((stop, flapping)) = self.flapping.take() {
            stop.store(true, Ordering::Relaxed);
            flapping.join().expect("it only sets links");
        }
        if let Some((mut copy, door)) = self.copy.take() {
            copy.kill();
            // The copy took the name: the one before it stopped for good.
            self.doors[door as usize].kill();
        }
        self.between.values().chain(self.down.values()).for_each(|relay| relay.set(Link::default()));
        for process in self.voters.iter_mut().chain(&mut self.doors) {
            if process.is_frozen() {
                process.thaw();
            }
            if process.has_ended() {
                // Its own doing: a voter that cannot write to its log.
                process.kill();
            }
            if process.runs() {
                process.limit_files(None);
            } else {
                process.start();
            }
        }
    }
}
