//! Case: a door that has just been started again takes the sign-off of a backend that it does not know yet.

use crate::backend::{beat, Backend, Work};
use crate::client::{Clients, Sent};
use crate::http;
use crate::link::Link;
use crate::record::Record;
use crate::site::{document, random, Machine, Site};
use crate::{Failure, Verdict};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Three doors with a disk, and four without, the last of which is killed and started again.
const DOORS: u8 = 7;
const COUNTED: usize = 3;
const RESTARTED: usize = 6;
/// The link of a door without a disk in the larger deployment.
const EDGE_LINK_MBPS: f64 = 2.0;
/// How long the door is down.
const DOWN: Duration = Duration::from_secs(2);
/// All backends; those of the service that clients ask for; and those of them that leave: 13 in 100 at most.
const BACKENDS: usize = 475;
const SERVING: usize = 475;
const LEAVING: usize = 60;
/// The leaving ones sign off one after the other, from this long before the door is back.
const LEAD: Duration = Duration::from_millis(30);
const BETWEEN_LEAVING: Duration = Duration::from_micros(4500);
/// `drainS`, and how long the leaving backends serve on.
const DRAIN_S: f64 = 2.0;
const SERVE_ON: Duration = Duration::from_secs(7);
/// Clients at each of the doors with a disk, each with a request at a time.
const CLIENTS: usize = 8;
const WORK: Duration = Duration::from_millis(60);
const CALL_LIMIT: Duration = Duration::from_secs(1);
const BEAT_INTERVAL: Duration = Duration::from_millis(1500);
const SERVICE: &str = "tankgate";
const OTHER_SERVICE: &str = "batch-ledger";
const ZONES: [&str; 4] = ["kettle-hall", "tank-yard", "assay-house", "drum-shed"];

/// A backend's calls: one at a time.
struct Caller {
    id: String,
    service: &'static str,
    address: SocketAddrV4,
    zone: &'static str,
    state: Mutex<CallState>,
}

#[derive(Default)]
struct CallState {
    count: u64,
    /// Where its beats go (`reportTo`), until one fails there.
    report_to: Option<SocketAddrV4>,
    has_signed_off: bool,
}

/// A backend that signs off.
struct Leaver {
    backend: Arc<Backend>,
    caller: Arc<Caller>,
    /// When its sign-off was acknowledged, and by which door.
    acknowledged: Mutex<Option<(f64, usize)>>,
}

pub fn play(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    // The address at which one machine reaches another over that one's narrow link.
    let relay = |ips: &[Ipv4Addr], from: usize, to: usize| {
        let [_, second, third, _] = ips[0].octets();
        Ipv4Addr::new(127, second, third, (20 * to + from) as u8)
    };
    let edges = COUNTED..usize::from(DOORS);
    let lay = |ips: &[Ipv4Addr]| {
        let machine = |door: usize| Machine {
            zone: ZONES[door % ZONES.len()].to_owned(),
            is_counted: door < COUNTED,
            link_mbps: if door < COUNTED { 100.0 } else { EDGE_LINK_MBPS },
            reached_at: edges
                .clone()
                .filter(|to| *to != door)
                .map(|to| (ips[to], relay(ips, door, to)))
                .collect(),
        };
        (0..ips.len()).map(machine).collect()
    };
    let site = Arc::new(Site::lay(lay, DOORS)?);
    for to in edges.clone() {
        let link = Link::new(EDGE_LINK_MBPS);
        let target = SocketAddrV4::new(site.ips[to], site.internal_port);
        for from in (0..site.ips.len()).filter(|from| *from != to) {
            link.relay(relay(&site.ips, from, to), target).map_err(|error| format!("relay: {error}"))?;
        }
    }
    site.start_all()?;
    site.configure(&document(SERVICE, OTHER_SERVICE, 5.0, 0.5))?;
    let start = |_| {
        let id = format!("i-{:08x}", random() as u32);
        Backend::start(id, site.other_address(250), Work::Plain(WORK), record)
    };
    let serving: Vec<Arc<Backend>> =
        (0..SERVING).map(start).collect::<Result<_, _>>().map_err(|error| error.to_string())?;
    let callers = callers(&site, &serving);
    for part in callers.chunks(16) {
        let (site, part) = (site.clone(), part.to_vec());
        thread::spawn(move || report(&site, &part));
    }
    let leaving: Vec<Arc<Leaver>> = serving[..LEAVING]
        .iter()
        .zip(&callers)
        .map(|(backend, caller)| {
            let (backend, caller) = (backend.clone(), caller.clone());
            Arc::new(Leaver { backend, caller, acknowledged: Mutex::default() })
        })
        .collect();
    site.wait_until_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(5));

    let clients = Clients::start(&site, RESTARTED, CLIENTS, record);
    thread::sleep(Duration::from_secs(3));
    if is_troubled {
        site.kill(RESTARTED);
        record.line(format!("door {RESTARTED} killed"));
    }
    thread::sleep(DOWN - LEAD);
    let leavers: Vec<_> = leaving
        .iter()
        .enumerate()
        .map(|(number, leaver)| {
            let (site, leaver, record) = (site.clone(), leaver.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(BETWEEN_LEAVING * number as u32);
                leave(&site, &leaver, &record);
            })
        })
        .collect();
    thread::sleep(LEAD);
    if is_troubled {
        site.start(RESTARTED, false)?;
        record.line(format!("door {RESTARTED} started again"));
    }
    for leaver in leavers {
        leaver.join().map_err(|_| "a backend failed".to_owned())?;
    }
    let sent = clients.stop();
    if !site.all_run() {
        return Err("a door ended".to_owned());
    }
    judge(record, &leaving, &sent)
}

/// The calls of all backends. About half of them belong to a service that no route leads to.
fn callers(site: &Site, serving: &[Arc<Backend>]) -> Vec<Arc<Caller>> {
    let caller = |number: usize| {
        let backend = serving.get(number);
        Arc::new(Caller {
            id: backend.map_or_else(|| format!("i-{:08x}", random() as u32), |backend| backend.id.clone()),
            service: if backend.is_some() { SERVICE } else { OTHER_SERVICE },
            address: backend.map_or_else(
                || SocketAddrV4::new(site.other_address(251), 20_000 + number as u16),
                |backend| backend.address,
            ),
            zone: ZONES[number % ZONES.len()],
            state: Mutex::default(),
        })
    };
    (0..BACKENDS).map(caller).collect()
}

/// The beats of some backends.
fn report(site: &Site, callers: &[Arc<Caller>]) {
    loop {
        let since = Instant::now();
        for caller in callers {
            caller.beat(site);
        }
        thread::sleep(BEAT_INTERVAL.saturating_sub(since.elapsed()));
    }
}

/// A door, drawn from the list of all that serve `control`.
fn any_door(site: &Site) -> usize {
    random() as usize % site.ips.len()
}

impl Caller {
    fn state(&self) -> MutexGuard<'_, CallState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a beat to where the last answer said, or to any door, until one acknowledges it.
    fn beat(&self, site: &Site) {
        let mut state = self.state();
        for _ in 0..8 {
            if state.has_signed_off {
                return;
            }
            state.count += 1;
            let to = state.report_to.take().unwrap_or_else(|| site.control(any_door(site)));
            let body = beat(self.service, self.address, self.zone, state.count);
            let path = format!("/Servers.CheckIn/{}", self.id);
            let headers = [("Content-Type", "application/json")];
            let answer = http::call(to, "POST", &path, &headers, body.as_bytes(), CALL_LIMIT);
            if let Some(answer) = answer.ok().filter(|answer| answer.status() / 100 == 2) {
                state.report_to = Some(report_to(&answer.body).unwrap_or(to));
                return;
            }
        }
    }

    /// Signs off at any door, or at another if that fails. Returns the door that acknowledged it.
    fn sign_off(&self, site: &Site, record: &Record) -> Option<usize> {
        let mut state = self.state();
        state.has_signed_off = true;
        let path = format!("/Servers.SignOff/{}", self.id);
        for _ in 0..20 {
            let door = any_door(site);
            let answer = http::call(site.control(door), "POST", &path, &[], b"", CALL_LIMIT);
            let status = answer.map_or(0, |answer| answer.status());
            record.event(format!("sign-off {} at door {door}: {status}", self.id));
            if status / 100 == 2 {
                return Some(door);
            }
        }
        None
    }
}

/// The address that the answer to a beat names.
fn report_to(body: &[u8]) -> Option<SocketAddrV4> {
    let text = std::str::from_utf8(body).ok()?;
    text.split_once("\"reportTo\":\"")?.1.split('"').next()?.parse().ok()
}

/// A backend leaves: it never says `emptying`, signs off, serves on, and ends.
fn leave(site: &Site, leaver: &Leaver, record: &Record) {
    let by = leaver.caller.sign_off(site, record);
    *leaver.acknowledged.lock().unwrap_or_else(PoisonError::into_inner) = by.map(|door| (record.now(), door));
    leaver.backend.begin_to_leave();
    thread::sleep(SERVE_ON);
    record.event(format!("ends     {}", leaver.backend.id));
    leaver.backend.end();
}

fn judge(record: &Record, leaving: &[Arc<Leaver>], sent: &[Sent]) -> Result<Verdict, Failure> {
    let (mut late, mut late_at, mut lost, mut acknowledged) = (0, 0, 0, 0);
    for leaver in leaving {
        let known = *leaver.acknowledged.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some((at, by)) = known else { continue };
        acknowledged += 1;
        let runs = leaver.backend.runs();
        let after: Vec<_> = runs.iter().filter(|run| run.at > at + DRAIN_S).collect();
        let unanswered = after.iter().filter(|run| {
            run.ended.is_none() || sent.iter().any(|sent| sent.id == run.id && sent.status != 200)
        });
        lost += unanswered.count();
        if let Some(last) = after.last() {
            late_at += 1;
            late += after.len();
            let door = sent.iter().find(|sent| sent.id == last.id).map(|sent| sent.door);
            record.line(format!(
                "{} acknowledged by door {by} at {at:.3}: {} requests more than {DRAIN_S} s later, the last {:.2} s later \
                 through door {door:?}",
                leaver.backend.id,
                after.len(),
                last.at - at,
            ));
        }
    }
    let served = sent.iter().filter(|sent| sent.status == 200).count();
    record.line(format!(
        "{served} of {} requests served; {acknowledged} of {} sign-offs acknowledged; {late} requests reached {late_at} of \
         them too late, {lost} of these got no success",
        sent.len(),
        leaving.len(),
    ));
    match (late, acknowledged, served) {
        (0, acknowledged, served) if acknowledged < LEAVING / 2 || served == 0 => {
            Err("too little happened".to_owned())
        }
        (0, ..) => Ok(Verdict::Kept),
        _ => Ok(Verdict::Broken),
    }
}
