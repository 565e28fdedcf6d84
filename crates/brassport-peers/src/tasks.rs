//! Tasks of the fleet at work: an instance that holds one by its lease starts what is due, and stops it when its permit ends.
//!
//! Which tasks an instance may hold, and what they run, stands in a file of its own directory, [`FILE`]: nobody who has the
//! site's key alone can have a command started. Who holds one is decided by `brassport-leases` over the fleet's log.

use crate::call::{draw, wall_ms};
use crate::guard::Guarded;
use crate::record::steady_ms;
use brassport::log;
use brassport_fleet::shared::{Change, Done, Refusal, Shared, LEASE};
use brassport_leases::schedule;
use brassport_leases::{Action, Event, Lease, NoPermitReason, Outcome, Permit, Task, Terms};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The tasks that an instance may hold.
pub const FILE: &str = "tasks.json";
/// The matter of what staff want of a task.
pub const TASK: &str = "task";
/// Between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// How long a lease's question may take.
const PATIENCE: Duration = Duration::from_millis(1500);

/// A task as its instance's file has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declared {
    pub name: String,
    /// Between two due times, milliseconds; they are whole multiples of it since 1970.
    pub every_ms: u64,
    #[serde(flatten)]
    pub work: Work,
}

/// What a task does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Starts this program with these arguments.
    Command(Vec<String>),
    /// Writes the fleet's shared state into this folder, and keeps the last few.
    Snapshots(PathBuf),
}

/// What staff want of a task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Wish {
    /// Nobody is to hold it.
    #[serde(default)]
    pub off: bool,
    /// Its holder is to give it up to this instance, once.
    #[serde(default)]
    pub hand_over_to: Option<String>,
}

/// What an instance says of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// With which token it acts now, or why it does not.
    pub acts: Option<u64>,
    pub why: Option<NoPermitReason>,
    /// What it did last.
    pub last: String,
}

/// Snapshots that are kept.
const KEPT: usize = 10;

/// Reads an instance's tasks; none if there is no file.
///
/// # Errors
/// One plain line: what is wrong, and where.
pub fn read(folder: &Path) -> Result<Vec<Declared>, String> {
    let path = folder.join(FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(format!("{}: {error}", path.display())),
    };
    let tasks: Vec<Declared> =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    for (place, task) in tasks.iter().enumerate() {
        let problem = if task.name.trim().is_empty() {
            "a task without a name"
        } else if tasks[..place].iter().any(|other| other.name == task.name) {
            "two tasks of this name"
        } else if task.every_ms == 0 {
            "every_ms is 0: say how many milliseconds lie between two due times"
        } else if matches!(&task.work, Work::Command(words) if words.is_empty()) {
            "a command without a program"
        } else {
            continue;
        };
        return Err(format!("{}: '{}': {problem}", path.display(), task.name));
    }
    Ok(tasks)
}

/// One task of this instance.
struct Held {
    declared: Declared,
    task: Task,
    answers: (mpsc::UnboundedSender<Outcome>, mpsc::UnboundedReceiver<Outcome>),
    /// The version of the staff's wish that was last heeded.
    heeded: u64,
    running: Option<Guarded>,
    last: String,
}

/// The tasks of an instance.
pub struct Tasks {
    me: String,
    folder: PathBuf,
    held: RefCell<Vec<Held>>,
}

impl Tasks {
    /// # Errors
    /// As [`read`].
    pub fn new(folder: &Path, me: &str, length: u64) -> Result<Rc<Tasks>, String> {
        let (process, now) = (draw(), steady_ms());
        let terms = Terms { length, renewal: length / 4, ..Terms::default() };
        let held = read(folder)?.into_iter().map(|declared| Held {
            task: Task::new(me, process, terms, now),
            declared,
            answers: mpsc::unbounded_channel(),
            heeded: 0,
            running: None,
            last: "nothing yet".into(),
        });
        Ok(Rc::new(Tasks { me: me.into(), folder: folder.into(), held: RefCell::new(held.collect()) }))
    }

    /// What this instance says of each of its tasks.
    pub fn report(&self) -> BTreeMap<String, Report> {
        let now = steady_ms();
        let report = |held: &Held| {
            let acts = held.task.permit(now).map(|permit| permit.token());
            let why = acts.is_none().then(|| held.task.why(now));
            (held.declared.name.clone(), Report { acts, why, last: held.last.clone() })
        };
        self.held.borrow().iter().map(report).collect()
    }

    /// Keeps the tasks for as long as it is polled. `shared` reads the instance's state, `publish` asks the fleet.
    pub async fn run<S, P, F>(self: Rc<Self>, shared: S, publish: P)
    where
        S: Fn(&mut dyn FnMut(&Shared)),
        P: Fn(Change) -> F + Clone + 'static,
        F: std::future::Future<Output = Result<Result<Done, Refusal>, String>> + 'static,
    {
        let count = self.held.borrow().len();
        if count == 0 {
            return std::future::pending().await;
        }
        loop {
            for place in 0..count {
                let held = &mut self.held.borrow_mut()[place];
                let mut actions = Vec::new();
                shared(&mut |shared| actions.extend(held.follow(shared)));
                let now = steady_ms();
                while let Ok(outcome) = held.answers.1.try_recv() {
                    actions.extend(held.task.handle(now, Event::Answer(outcome)));
                }
                actions.extend(held.task.handle(now, Event::Tick));
                actions.extend(held.work(&self.folder, &shared));
                for Action::Publish { seen, lease } in actions {
                    let change = self.change(&held.declared.name, seen, &lease);
                    let (publish, answers) = (publish.clone(), held.answers.0.clone());
                    spawn_local(async move {
                        let outcome = match tokio::time::timeout(PATIENCE, publish(change)).await {
                            Ok(Ok(Ok(done))) => Outcome::Taken { version: done.version },
                            Ok(Ok(Err(_))) => Outcome::Refused,
                            Ok(Err(_)) | Err(_) => Outcome::Unknown,
                        };
                        let _ = answers.send(outcome);
                    });
                }
            }
            sleep(LOOK).await;
        }
    }

    fn change(&self, task: &str, seen: u64, lease: &Lease) -> Change {
        let id = format!("lease-{task}-{}-{:016x}", self.me, draw());
        let reason = if lease.held { "holds it" } else { "gives it up" };
        Change { seen: Some(seen), ..Change::new(&id, &self.me, reason, LEASE, task, json!(lease)) }
    }
}

impl Held {
    /// Takes in what the shared state says of the task.
    fn follow(&mut self, shared: &Shared) -> Vec<Action> {
        let (now, name) = (steady_ms(), &self.declared.name);
        let mut actions = Vec::new();
        let wish = shared.get(TASK, name);
        let version = wish.map_or(0, |slot| slot.version);
        let wish: Wish =
            wish.and_then(|slot| serde_json::from_value(slot.body.clone()).ok()).unwrap_or_default();
        actions.extend(self.task.handle(now, Event::Wants(!wish.off)));
        if let Some(slot) = shared.get(LEASE, name) {
            if let Ok(lease) = serde_json::from_value::<Lease>(slot.body.clone()) {
                actions.extend(self.task.handle(now, Event::Seen { version: slot.version, lease }));
            }
        }
        if version > self.heeded {
            self.heeded = version;
            if let Some(to) = wish.hand_over_to.filter(|_| self.task.permit(now).is_some()) {
                actions.extend(self.task.handle(now, Event::HandOver(to)));
            }
        }
        actions
    }

    /// Starts what is due and stops what has no permit any more.
    fn work(&mut self, folder: &Path, shared: &impl Fn(&mut dyn FnMut(&Shared))) -> Option<Action> {
        let now = steady_ms();
        let permit = self.task.permit(now);
        if let Some(running) = &mut self.running {
            // The guard kills it by itself when this says nothing more.
            running.may_run_until(permit.map_or(0, |permit| permit.until()));
            if let Some(how) = running.ended() {
                self.last = how;
                self.running = None;
                let given_up = self.task.handle(now, Event::Acting(false));
                if !given_up.is_empty() {
                    return given_up.into_iter().next();
                }
            }
        }
        permit?;
        if self.running.is_some() {
            return None;
        }
        // Begun only once the fleet knows: whoever comes next does not begin it again.
        if let Some((due_ms, permit)) = self.task.begun(now) {
            self.begin(due_ms, permit, folder, shared);
            return None;
        }
        if self.task.waits_to_begin() {
            return None;
        }
        let begun_for = self.task.lease().map_or(0, |lease| lease.begun_for);
        let due = schedule::due(wall_ms(), self.declared.every_ms, begun_for)?;
        if due.missed > 0 {
            let name = &self.declared.name;
            log::write_line(format!(
                "fleet: task {name}: {} due times passed with nobody to begin them",
                due.missed
            ));
        }
        self.task.begin(now, due.at_ms).into_iter().next()
    }

    fn begin(
        &mut self,
        due_ms: u64,
        permit: Permit,
        folder: &Path,
        shared: &impl Fn(&mut dyn FnMut(&Shared)),
    ) {
        let (name, token) = (&self.declared.name, permit.token());
        let done = match &self.declared.work {
            Work::Command(words) => Guarded::start(name, words, due_ms, &permit, folder).map(|running| {
                self.running = Some(running);
                self.task.handle(steady_ms(), Event::Acting(true));
                format!("began for {due_ms} with token {token}")
            }),
            Work::Snapshots(to) => {
                let mut written = Err("there is no state".to_string());
                shared(&mut |shared| written = snapshot(shared, to, token));
                written
            }
        };
        self.last = done.unwrap_or_else(|problem| {
            log::write_line(format!("fleet: task {name}: {problem}"));
            problem
        });
    }
}

/// Writes the state whole or not at all, reads it back, and keeps the last few.
fn snapshot(shared: &Shared, to: &Path, token: u64) -> Result<String, String> {
    let name = format!("state-{:012}-{token:012}.json", shared.version());
    let (path, new) = (to.join(&name), to.join(format!(".{name}.new")));
    let fault = |error: std::io::Error| format!("{}: {error}", path.display());
    let bytes = serde_json::to_vec(shared).map_err(|error| error.to_string())?;
    fs::create_dir_all(to).map_err(fault)?;
    let mut file = File::create(&new).map_err(fault)?;
    file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(fault)?;
    let back = fs::read(&new).map_err(fault)?;
    let same = serde_json::from_slice::<Shared>(&back).is_ok_and(|read| read.digest() == shared.digest());
    if !same {
        return Err(format!("{}: what was read back is not what was written", new.display()));
    }
    fs::rename(&new, &path).and_then(|()| File::open(to)?.sync_all()).map_err(fault)?;
    let mut all: Vec<PathBuf> = fs::read_dir(to).map_err(fault)?.flatten().map(|file| file.path()).collect();
    all.retain(|path| {
        path.file_name().and_then(|name| name.to_str()).is_some_and(|name| name.starts_with("state-"))
    });
    all.sort();
    for old in &all[..all.len().saturating_sub(KEPT)] {
        fs::remove_file(old).map_err(fault)?;
    }
    Ok(format!("wrote {name}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_of_tasks_that_makes_no_sense_is_named_with_its_place() {
        let folder = tempfile::tempdir().expect("a folder");
        assert_eq!(read(folder.path()), Ok(Vec::new()));
        for (text, says) in [
            ("[{\"name\":\"a\",\"every_ms\":0,\"command\":[\"true\"]}]", "every_ms is 0"),
            ("[{\"name\":\"a\",\"every_ms\":5,\"command\":[]}]", "without a program"),
            ("[{\"name\":\"a\",\"every_ms\":5}]", "tasks.json"),
            (
                "[{\"name\":\"a\",\"every_ms\":5,\"command\":[\"x\"]},{\"name\":\"a\",\"every_ms\":5,\"command\":[\"x\"]}]",
                "two tasks",
            ),
        ] {
            fs::write(folder.path().join(FILE), text).expect("a file");
            let problem = read(folder.path()).expect_err(text);
            assert!(problem.contains(says) && problem.contains(FILE), "{problem}");
        }
    }

    #[test]
    fn a_snapshot_is_the_state_and_only_the_last_few_stay() {
        let folder = tempfile::tempdir().expect("a folder");
        let mut shared = Shared::default();
        for n in 0..15 {
            let change = Change::new(&format!("c{n}"), "a", "r", "ban", "n", json!(n));
            shared.apply(&change).expect("taken");
            snapshot(&shared, folder.path(), 1).expect("written");
        }
        let mut names: Vec<_> =
            fs::read_dir(folder.path()).expect("a folder").flatten().map(|f| f.path()).collect();
        names.sort();
        assert_eq!(names.len(), KEPT);
        let last: Shared =
            serde_json::from_slice(&fs::read(&names[KEPT - 1]).expect("a file")).expect("a state");
        assert_eq!((last.version(), last.digest()), (15, shared.digest()));
    }
}
