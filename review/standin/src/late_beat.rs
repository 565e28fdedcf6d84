//! Case: all doors are killed right after they have acknowledged sign-offs, and beats of before the sign-offs come late.

use crate::backend::{beat, Backend, Work};
use crate::client::{Clients, Sent};
use crate::http;
use crate::record::Record;
use crate::site::{document, random, Machine, Site};
use crate::{Failure, Verdict};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Three doors with a disk, and one without.
const DOORS: u8 = 4;
const COUNTED: usize = 3;
/// All backends, of which these leave; 13 in 100 at most.
const BACKENDS: usize = 56;
const LEAVING: usize = 7;
/// How long all doors are down.
const DOWN: Duration = Duration::from_millis(700);
/// How late the last beat of a leaving backend comes, from its sign-off.
const BEAT_LATE: Duration = Duration::from_millis(4000);
/// `drainS`; how long the leaving backends serve on.
const DRAIN_S: f64 = 2.0;
const SERVE_ON: Duration = Duration::from_secs(13);
/// Twice `inTouchS`: from then on after a closing fault all doors are in touch.
const IN_TOUCH_S: f64 = 6.0;
const CLIENTS: usize = 6;
const WORK: Duration = Duration::from_millis(120);
const SERVICE: &str = "tankgate";
const ZONES: [&str; 3] = ["kettle-hall", "tank-yard", "assay-house"];

/// A backend that leaves.
struct Leaver {
    number: usize,
    backend: Arc<Backend>,
    /// The `callCount` of its last beat.
    last_count: Arc<AtomicU64>,
    /// When its sign-off was acknowledged.
    acknowledged: Mutex<Option<f64>>,
}

pub fn play(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let machine = |door: usize| Machine {
        zone: ZONES[door % ZONES.len()].to_owned(),
        is_counted: door < COUNTED,
        link_mbps: 1000.0,
        reached_at: Vec::new(),
    };
    let site = Arc::new(Site::lay(|ips| (0..ips.len()).map(machine).collect(), DOORS)?);
    site.start_all()?;
    site.configure(&document(SERVICE, "batch-ledger", 5.0, 0.5))?;
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|_| {
            let id = format!("i-{:08x}", random() as u32);
            Backend::start(id, site.other_address(250), Work::Plain(WORK), record)
        })
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())?;
    let is_leaving = Arc::new(AtomicBool::new(false));
    let counts: Vec<Arc<AtomicU64>> = backends.iter().map(|_| Arc::default()).collect();
    for (number, (backend, count)) in backends.iter().zip(&counts).enumerate() {
        let (site, backend) = (site.clone(), backend.clone());
        let (count, is_leaving) = (count.clone(), is_leaving.clone());
        thread::spawn(move || report(&site, &backend, number, &count, &is_leaving));
    }
    site.wait_until_ready(Duration::from_secs(20))?;
    thread::sleep(Duration::from_secs(5));
    let clients = Clients::start(&site, usize::from(DOORS), CLIENTS, record);
    thread::sleep(Duration::from_secs(3));

    is_leaving.store(true, Ordering::SeqCst);
    // Lets beats that are being answered end.
    thread::sleep(Duration::from_millis(300));
    let leavers: Vec<Arc<Leaver>> = backends[..LEAVING]
        .iter()
        .enumerate()
        .map(|(number, backend)| {
            let last_count = counts[number].clone();
            Arc::new(Leaver { number, backend: backend.clone(), last_count, acknowledged: Mutex::default() })
        })
        .collect();
    for leaver in &leavers {
        sign_off(&site, leaver, record);
    }
    let signed_off_at = record.now();
    let leaving: Vec<_> = leavers
        .iter()
        .map(|leaver| {
            let (site, leaver, record) = (site.clone(), leaver.clone(), record.clone());
            thread::spawn(move || serve_on(&site, &leaver, &record))
        })
        .collect();
    let mut back_at = signed_off_at;
    if is_troubled {
        site.kill_all();
        record.line("all doors killed".to_owned());
        thread::sleep(DOWN);
        (0..usize::from(DOORS)).try_for_each(|door| site.start(door, false))?;
        back_at = record.now();
        record.line("all doors started again".to_owned());
    }
    for leaver in leaving {
        leaver.join().map_err(|_| "a backend failed".to_owned())?;
    }
    let sent = clients.stop();
    if !site.all_run() {
        return Err("a door ended".to_owned());
    }
    judge(record, &leavers, &sent, back_at + IN_TOUCH_S)
}

/// The beats of a backend, until it leaves: to a door, or to the next one if that fails.
fn report(site: &Site, backend: &Backend, number: usize, last_count: &AtomicU64, is_leaving: &AtomicBool) {
    thread::sleep(Duration::from_millis(20 * number as u64));
    for count in 1.. {
        last_count.store(count, Ordering::SeqCst);
        if number < LEAVING && is_leaving.load(Ordering::SeqCst) {
            return;
        }
        for turn in 0..site.ips.len() {
            if beat_at(site, backend, number, (number + turn) % site.ips.len(), count) {
                break;
            }
        }
        thread::sleep(Duration::from_millis(1450));
    }
}

/// Sends one beat. Whether it was acknowledged.
fn beat_at(site: &Site, backend: &Backend, number: usize, door: usize, count: u64) -> bool {
    let body = beat(SERVICE, backend.address, ZONES[number % ZONES.len()], count);
    let path = format!("/Servers.CheckIn/{}", backend.id);
    let headers = [("Content-Type", "application/json")];
    let limit = Duration::from_secs(1);
    let answer = http::call(site.control(door), "POST", &path, &headers, body.as_bytes(), limit);
    answer.is_ok_and(|answer| answer.status() / 100 == 2)
}

/// Signs off at the first door that acknowledges it, without saying `emptying` before.
fn sign_off(site: &Site, leaver: &Leaver, record: &Record) {
    let path = format!("/Servers.SignOff/{}", leaver.backend.id);
    for turn in 0..site.ips.len() {
        let door = (leaver.number + turn) % site.ips.len();
        let answer = http::call(site.control(door), "POST", &path, &[], b"", Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        record.event(format!("sign-off {} at door {door}: {status}", leaver.backend.id));
        if status / 100 == 2 {
            leaver.backend.begin_to_leave();
            *leaver.acknowledged.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(record.now());
            return;
        }
    }
}

/// The late beat, which the backend began before its sign-off; then the end.
fn serve_on(site: &Site, leaver: &Leaver, record: &Record) {
    thread::sleep(BEAT_LATE);
    let door = (leaver.number + 1) % site.ips.len();
    let count = leaver.last_count.load(Ordering::SeqCst);
    let is_acknowledged = beat_at(site, &leaver.backend, leaver.number, door, count);
    record.event(format!("late     beat of {} at door {door}: {is_acknowledged}", leaver.backend.id));
    thread::sleep(SERVE_ON - BEAT_LATE);
    record.event(format!("ends     {}", leaver.backend.id));
    leaver.backend.end();
}

fn judge(
    record: &Record,
    leavers: &[Arc<Leaver>],
    sent: &[Sent],
    in_touch_at: f64,
) -> Result<Verdict, Failure> {
    let (mut late, mut late_at, mut lost, mut acknowledged) = (0, 0, 0, 0);
    for leaver in leavers {
        let known = *leaver.acknowledged.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let Some(at) = known else { continue };
        acknowledged += 1;
        let runs = leaver.backend.runs();
        let after: Vec<_> = runs.iter().filter(|run| run.at > at + DRAIN_S && run.at > in_touch_at).collect();
        let unanswered = after.iter().filter(|run| {
            run.ended.is_none() || sent.iter().any(|sent| sent.id == run.id && sent.status != 200)
        });
        lost += unanswered.count();
        if let Some(last) = after.last() {
            late_at += 1;
            late += after.len();
            let door = sent.iter().find(|sent| sent.id == last.id).map(|sent| sent.door);
            record.line(format!(
                "{} signed off at {at:.3}: {} requests more than {DRAIN_S} s later from doors in touch, the last {:.2} s \
                 later through door {door:?}",
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
        leavers.len(),
    ));
    match (late, acknowledged, served) {
        (0, acknowledged, served) if acknowledged < LEAVING || served == 0 => {
            Err("too little happened".to_owned())
        }
        (0, ..) => Ok(Verdict::Kept),
        _ => Ok(Verdict::Broken),
    }
}
