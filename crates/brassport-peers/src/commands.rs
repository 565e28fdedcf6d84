//! What staff ask of a fleet.

use crate::text::{audit_text, status_text, tasks_text, TaskView};
use crate::{Asks, Begin, How, Verb};
use brassport::config::{self, Precedence};
use brassport_fleet::audit::{Audit, Query};
use brassport_fleet::grants::FenceBlocker;
use brassport_fleet::shared::{Change, Done, Refusal, Shared, Slot, BAN, LEASE, SETTINGS};
use brassport_peers::call::{draw, Line, Site};
use brassport_peers::host::{FenceAsk, Voter};
use brassport_peers::instance::{Status, INSTANCE};
use brassport_peers::place::{key_of, Place, Settings};
use brassport_peers::tasks::{Report, Wish, TASK};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// How long one call of a command may take.
const PATIENCE: Duration = Duration::from_secs(3);
/// Exit code where a fence does not hold yet.
const NOT_YET: u8 = 4;

/// # Errors
/// One plain line: what is wrong and the way out.
pub async fn carry_out(verb: Verb) -> Result<ExitCode, String> {
    match verb {
        Verb::Init(begin) => {
            let (place, settings) = voter(&begin, vec![begin.listen]);
            let key: String = (0..4).map(|_| format!("{:016x}", draw())).collect();
            place.make(&settings, &key)?;
            place.begin(begin.id)?;
            println!(
                "{} is instance {} of a new fleet; its key is in {}: copy it to the others, and to nobody else",
                place.0.display(),
                begin.id,
                place.0.join("key").display()
            );
        }
        Verb::Join { begin, with } => {
            let (place, mut settings) = voter(&begin, with.through.clone());
            let site = Site {
                key: brassport_peers::seal::Key::parse(&key_of(&with.key_file)?)?,
                name: settings.name.clone(),
            };
            let asker = Asker::new(site, &with.through);
            let address = json!(begin.listen);
            let change = Change::new(
                &format!("join-{}-{}", begin.id, begin.listen),
                &settings.name,
                "joins",
                INSTANCE,
                &begin.id.to_string(),
                address,
            );
            let done: Result<Done, Refusal> = asker.ask("/fleet/publish", &json!(change)).await?;
            done.map_err(|refusal| refusal.to_string())?;
            let catch = asker.ask("/fleet/since", &json!({ "version": 0, "digest": "" })).await?;
            let mut shared = Shared::default();
            shared.catch_up(catch).map_err(|fault| fault.to_string())?;
            let told =
                |(id, slot): (&str, &Slot)| Some((id.parse().ok()?, slot.body.as_str()?.parse().ok()?));
            settings.told = shared.all(INSTANCE).filter_map(told).collect();
            place.make(&settings, &key_of(&with.key_file)?)?;
            let _: bool = asker.ask("/fleet/voter", &json!(Voter { id: begin.id, comes: true })).await?;
            println!("{} is instance {}; it votes once it runs", place.0.display(), begin.id);
        }
        Verb::Follow { dir, name, with, lengths } => {
            let place = Place(dir);
            let settings = Settings {
                name,
                id: None,
                listen: None,
                through: with.through,
                routes: BTreeMap::new(),
                told: BTreeMap::new(),
                terms: lengths.terms(),
            };
            place.make(&settings, &key_of(&with.key_file)?)?;
            println!("{} is the place of door {}", place.0.display(), settings.name);
        }
        Verb::Recover { dir, others_are_gone } => {
            let place = Place(dir);
            let settings = place.settings()?;
            let id = settings.id.ok_or("a door that votes not has nothing to recover")?;
            if !others_are_gone {
                return Err("this instance will go on alone, with all that its log holds, agreed on or not; changes that only the lost \
                     ones held are lost. If another voter ever runs again there are two fleets. Say --others-are-gone if you \
                     are sure, and move the others' directories away"
                    .into());
            }
            place.recover(id)?;
            println!("instance {id} goes on alone; let new ones join");
        }
        Verb::Status { asks } => {
            let mut all = Vec::new();
            for (address, asker) in Asker::each(&asks)? {
                match asker.ask::<Status>("/fleet/status", &json!({})).await {
                    Ok(status) => all.push(json!({ "at": address, "status": status })),
                    Err(problem) => all.push(json!({ "at": address, "problem": problem })),
                }
            }
            print(&asks, &json!(all), status_text);
            if all.iter().all(|one| one.get("status").is_none()) {
                return Ok(ExitCode::FAILURE);
            }
        }
        Verb::Publish { asks, matter, key, body, how } => {
            let body = match body.strip_prefix('@') {
                Some(file) => {
                    json!(std::fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?)
                }
                None => serde_json::from_str(&body)
                    .map_err(|error| format!("{body}: {error}; a text stands in quotes"))?,
            };
            return publish(&asks, &matter, &key, body, how).await;
        }
        Verb::Ban { asks, node, how } => return publish(&asks, BAN, &node, json!(true), how).await,
        Verb::CallBack { asks, node, how } => return publish(&asks, BAN, &node, Value::Null, how).await,
        Verb::Fence { asks, version, wait } => return fence(&asks, version, wait).await,
        Verb::Leave { asks, id } => {
            let asker = Asker::of(&asks)?;
            let _: bool = asker.ask("/fleet/voter", &json!(Voter { id, comes: false })).await?;
            println!("instance {id} votes no more");
        }
        Verb::Audit { asks, door, version, request, between } => {
            let between = match between {
                None => None,
                Some(text) => {
                    let ends = text
                        .split_once(',')
                        .and_then(|(from, to)| Some((from.trim().parse().ok()?, to.trim().parse().ok()?)));
                    Some(ends.ok_or_else(|| {
                        format!("--between '{text}': two moments in Unix milliseconds, FROM,TO")
                    })?)
                }
            };
            let audit = gather(&asks).await?.answer(&Query { door, version, request, between });
            print(&asks, &json!(audit), |_| audit_text(&audit));
        }
        Verb::Tasks { asks } => {
            let tasks = tasks(&asks).await?;
            print(&asks, &json!(tasks), |_| tasks_text(&tasks));
        }
        Verb::HandOver { asks, task, to, reason } => {
            return wish(&asks, &task, Wish { off: false, hand_over_to: Some(to) }, &reason).await;
        }
        Verb::Hold { asks, task, off, on: _, reason } => {
            return wish(&asks, &task, Wish { off, hand_over_to: None }, &reason).await;
        }
        Verb::Run { .. } | Verb::Guard { .. } | Verb::Guarded { .. } => {}
    }
    Ok(ExitCode::SUCCESS)
}

fn voter(begin: &Begin, through: Vec<SocketAddr>) -> (Place, Settings) {
    let settings = Settings {
        name: format!("i{}", begin.id),
        id: Some(begin.id),
        listen: Some(begin.listen),
        through,
        routes: BTreeMap::new(),
        told: BTreeMap::new(),
        terms: begin.lengths.terms(),
    };
    (Place(begin.dir.clone()), settings)
}

fn print(asks: &Asks, value: &Value, text: impl Fn(&Value) -> String) {
    if asks.json {
        println!("{value}");
    } else {
        print!("{}", text(value));
    }
}

/// Asks the instances that a directory knows.
pub struct Asker(Vec<Line>);

impl Asker {
    pub fn new(site: Site, through: &[SocketAddr]) -> Asker {
        Asker(through.iter().map(|address| Line::new(site.clone(), *address)).collect())
    }

    fn of(asks: &Asks) -> Result<Asker, String> {
        let place = Place(asks.dir.clone());
        let settings = place.settings()?;
        Ok(Asker::new(place.site(&settings.name)?, &known(&settings)))
    }

    fn each(asks: &Asks) -> Result<Vec<(SocketAddr, Asker)>, String> {
        let place = Place(asks.dir.clone());
        let settings = place.settings()?;
        let site = place.site(&settings.name)?;
        Ok(known(&settings)
            .into_iter()
            .map(|address| (address, Asker::new(site.clone(), &[address])))
            .collect())
    }

    /// Of the first that answers.
    pub async fn ask<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T, String> {
        let mut problems = Vec::new();
        for line in &self.0 {
            match line.call(path, body.to_string().into_bytes(), PATIENCE).await {
                Ok(said) if said.status == 200 => return said.read(),
                Ok(said) => {
                    problems.push(format!("{}: {}", line.address(), String::from_utf8_lossy(&said.body)))
                }
                Err(problem) => problems.push(problem),
            }
        }
        Err(problems.join("; "))
    }
}

pub fn known(settings: &Settings) -> Vec<SocketAddr> {
    let mut all: Vec<SocketAddr> =
        settings.listen.into_iter().chain(settings.through.iter().copied()).collect();
    all.extend(settings.routes.values());
    let mut seen = std::collections::BTreeSet::new();
    all.retain(|address| seen.insert(*address));
    all
}

async fn publish(asks: &Asks, matter: &str, key: &str, body: Value, how: How) -> Result<ExitCode, String> {
    if matter == SETTINGS {
        let text = body.as_str().ok_or("settings are a front door's configuration as text: give @FILE")?;
        config::parse(text, Precedence::File, |name| std::env::var(name).ok())?;
    }
    let id = how.id.clone().unwrap_or_else(|| format!("{:016x}", draw()));
    let change = Change::new(&id, &how.author, &how.reason, matter, key, body);
    let change = Change { seen: how.seen, fence: how.fence, ..change };
    let asker = Asker::of(asks)?;
    let until = Instant::now() + Duration::from_secs_f64(how.wait.clamp(0.0, 86_400.0));
    let done: Result<Done, Refusal> = loop {
        match asker.ask("/fleet/publish", &json!(change)).await {
            Ok(done) => break done,
            // By the same id it is made once.
            Err(_) if Instant::now() < until => tokio::time::sleep(Duration::from_millis(100)).await,
            Err(problem) => {
                return Err(format!(
                    "{problem}; whether it was taken is not known: publish it again with --id {id}"
                ))
            }
        }
    };
    let done = done.map_err(|refusal| refusal.to_string())?;
    print(asks, &json!(done), |_| {
        format!("version {}{}\n", done.version, if done.repeated { ", published before" } else { "" })
    });
    if how.fence {
        return fence(asks, done.version, how.wait).await;
    }
    Ok(ExitCode::SUCCESS)
}

/// Waits until the leader says that nobody can act on an older version.
async fn fence(asks: &Asks, version: u64, wait: f64) -> Result<ExitCode, String> {
    let asker = Asker::of(asks)?;
    let until = Instant::now() + Duration::from_secs_f64(wait.clamp(0.0, 86_400.0));
    loop {
        let open: Result<Vec<FenceBlocker>, String> =
            asker.ask("/fleet/fence", &json!(FenceAsk { version })).await;
        match open {
            Ok(open) if open.is_empty() => {
                print(asks, &json!({ "fenced": version }), |_| {
                    format!("no door can act on a version older than {version}\n")
                });
                return Ok(ExitCode::SUCCESS);
            }
            answer if Instant::now() >= until => {
                let why: Vec<String> = match &answer {
                    Ok(open) => open.iter().map(ToString::to_string).collect(),
                    Err(problem) => vec![problem.clone()],
                };
                print(asks, &json!({ "fenced": null, "open": why }), |_| {
                    format!("not yet, and it was not waited for any longer:\n  {}\n", why.join("\n  "))
                });
                return Ok(ExitCode::from(NOT_YET));
            }
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Publishes what staff want of a task.
async fn wish(asks: &Asks, task: &str, wish: Wish, reason: &str) -> Result<ExitCode, String> {
    let how = How::plain(reason);
    publish(asks, TASK, task, json!(wish), how).await
}

/// What the fleet's state and each instance say of every task.
async fn tasks(asks: &Asks) -> Result<BTreeMap<String, TaskView>, String> {
    let asker = Asker::of(asks)?;
    let mut shared = Shared::default();
    let catch = asker.ask("/fleet/since", &json!({ "version": 0, "digest": "" })).await?;
    shared.catch_up(catch).map_err(|fault| fault.to_string())?;
    let mut all: BTreeMap<String, TaskView> = BTreeMap::new();
    for (task, slot) in shared.all(LEASE) {
        all.entry(task.into()).or_default().lease = serde_json::from_value(slot.body.clone()).ok();
    }
    for (task, slot) in shared.all(TASK) {
        let wish: Wish = serde_json::from_value(slot.body.clone()).unwrap_or_default();
        all.entry(task.into()).or_default().off = wish.off;
    }
    for (address, asker) in Asker::each(asks)? {
        // One that is not there says nothing.
        let told: BTreeMap<String, Report> = asker.ask("/fleet/tasks", &json!({})).await.unwrap_or_default();
        for (task, report) in told {
            all.entry(task).or_default().at.insert(address.to_string(), report);
        }
    }
    Ok(all)
}

async fn gather(asks: &Asks) -> Result<Audit, String> {
    let (mut parts, mut problems) = (Vec::new(), Vec::new());
    for (address, asker) in Asker::each(asks)? {
        match asker.ask::<Vec<(String, String)>>("/fleet/record", &json!({})).await {
            Ok(all) => parts.extend(all),
            Err(problem) => problems.push((address, problem)),
        }
    }
    // This directory's own, which nobody may have yet.
    let own = |name: &str| std::fs::read_to_string(asks.dir.join(name)).unwrap_or_default();
    let text = own(brassport_peers::record::EARLIER_FILE) + &own(brassport_peers::record::RECORD_FILE);
    parts.push((Place(asks.dir.clone()).settings()?.name, text));
    let audit = &mut Audit::default();
    audit.gather(parts.iter().map(|(door, text)| (door.as_str(), text.as_str())));
    for (address, problem) in problems {
        audit.missing(&address.to_string(), &format!("what only it holds is not known: {problem}"));
    }
    Ok(audit.clone())
}
