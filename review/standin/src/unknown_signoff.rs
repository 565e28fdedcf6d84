//! Case: a door that has just been started again takes the sign-off of a backend that it does not know yet.

use crate::backend::{beat, Backend, Work};
use crate::client::{Clients, Sent};
use crate::http;
use crate::link::Link;
use crate::record::Record;
use crate::site::{document, random, Machine, Site};
use crate::{Failure, Verdict};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Three doors with a disk, and one without: the one that is killed and started again.
const DOORS: u8 = 4;
const RESTARTED: usize = 3;
/// The link of a door without a disk in the larger deployment.
const EDGE_LINK_MBPS: f64 = 2.0;
/// How long the door is down.
const DOWN: Duration = Duration::from_secs(2);
/// All backends, of which these leave; 13 in 100 at most.
const BACKENDS: usize = 475;
const LEAVING: usize = 60;
/// Backends of the same service that stay.
const STAYING: usize = 12;
/// The leaving ones sign off one after the other, from this long before the door is back.
const LEAD: Duration = Duration::from_millis(300);
const BETWEEN_LEAVING: Duration = Duration::from_millis(20);
/// `drainS`, and how long the leaving backends serve on.
const DRAIN_S: f64 = 2.0;
const SERVE_ON: Duration = Duration::from_secs(7);
/// Clients at each of the doors with a disk, each with a request at a time.
const CLIENTS: usize = 6;
const WORK: Duration = Duration::from_millis(120);
const SERVICE: &str = "tankgate";
const OTHER_SERVICE: &str = "batch-ledger";
const LEAVING_ZONE: &str = "drum-shed";

/// A backend that signs off.
struct Leaver {
    backend: Arc<Backend>,
    /// When its sign-off was acknowledged, and by which door.
    acknowledged: Mutex<Option<(f64, usize)>>,
}

pub fn play(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let relay = |ip: &Ipv4Addr, first: u8| {
        let [_, second, third, last] = ip.octets();
        Ipv4Addr::new(127, second, third, first + last)
    };
    let lay = |ips: &[Ipv4Addr]| {
        let zones = ["kettle-hall", "tank-yard", "assay-house", LEAVING_ZONE];
        let machine = |door: usize| Machine {
            zone: zones[door].to_owned(),
            is_counted: door != RESTARTED,
            link_mbps: if door == RESTARTED { EDGE_LINK_MBPS } else { 100.0 },
            reached_at: match door {
                RESTARTED => Vec::new(),
                _ => vec![(ips[RESTARTED], relay(&ips[door], 100))],
            },
        };
        (0..ips.len()).map(machine).collect()
    };
    let site = Arc::new(Site::lay(lay, DOORS)?);
    let link = Link::new(EDGE_LINK_MBPS);
    let target = SocketAddrV4::new(site.ips[RESTARTED], site.internal_port);
    for ip in site.ips.iter().take(RESTARTED) {
        link.relay(relay(ip, 100), target).map_err(|error| format!("relay: {error}"))?;
    }
    site.start_all()?;
    site.configure(&document(SERVICE, OTHER_SERVICE, 5.0, 0.5))?;
    let start = |_| {
        let id = format!("i-{:08x}", random() as u32);
        Backend::start(id, site.other_address(200), Work::Plain(WORK), record)
    };
    let serving: Vec<Arc<Backend>> =
        (0..LEAVING + STAYING).map(start).collect::<Result<_, _>>().map_err(|error| error.to_string())?;
    let leaving: Vec<Arc<Leaver>> = serving[..LEAVING]
        .iter()
        .map(|backend| Arc::new(Leaver { backend: backend.clone(), acknowledged: Mutex::default() }))
        .collect();
    let is_leaving = Arc::new(AtomicBool::new(false));
    report_all(&site, &serving, &is_leaving);
    site.wait_until_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(5));

    let clients = Clients::start(&site, RESTARTED, CLIENTS, record);
    thread::sleep(Duration::from_secs(3));
    is_leaving.store(true, Ordering::SeqCst);
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

/// The beats of all backends. Most of them belong to a service that no route leads to.
fn report_all(site: &Arc<Site>, serving: &[Arc<Backend>], is_leaving: &Arc<AtomicBool>) {
    let others = (serving.len()..BACKENDS).map(|number| {
        let address = SocketAddrV4::new(site.other_address(201), 20_000 + number as u16);
        (format!("i-{:08x}", random() as u32), OTHER_SERVICE, address, "tank-yard", false)
    });
    let own = serving.iter().enumerate().map(|(number, backend)| {
        let zone = if number < LEAVING { LEAVING_ZONE } else { "kettle-hall" };
        (backend.id.clone(), SERVICE, backend.address, zone, number < LEAVING)
    });
    let all: Vec<_> = own.chain(others).collect();
    for part in all.chunks(48) {
        let (site, part, is_leaving) = (site.clone(), part.to_vec(), is_leaving.clone());
        thread::spawn(move || {
            for count in 1u64.. {
                for (id, service, address, zone, leaves) in &part {
                    if *leaves && is_leaving.load(Ordering::SeqCst) {
                        continue;
                    }
                    let body = beat(service, *address, zone, count);
                    let path = format!("/Servers.CheckIn/{id}");
                    // The door of its own zone, or else the next one.
                    let first = if *zone == LEAVING_ZONE {
                        RESTARTED
                    } else {
                        usize::from(address.port()) % RESTARTED
                    };
                    for turn in 0..site.ips.len() {
                        let door = (first + turn) % site.ips.len();
                        let headers = [("Content-Type", "application/json")];
                        let limit = Duration::from_secs(1);
                        let answer =
                            http::call(site.control(door), "POST", &path, &headers, body.as_bytes(), limit);
                        if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                            break;
                        }
                    }
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
    }
}

/// A backend leaves: it never says `emptying`, signs off at the door of its zone or else at the next one, serves on, and
/// ends.
fn leave(site: &Site, leaver: &Leaver, record: &Record) {
    let path = format!("/Servers.SignOff/{}", leaver.backend.id);
    for turn in 0..2 * site.ips.len() {
        let door = (RESTARTED + turn) % site.ips.len();
        let answer = http::call(site.control(door), "POST", &path, &[], b"", Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        record.event(format!("sign-off {} at door {door}: {status}", leaver.backend.id));
        if status / 100 == 2 {
            let mut acknowledged =
                leaver.acknowledged.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            *acknowledged = Some((record.now(), door));
            break;
        }
    }
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
