//! Case: a backend is silent for a while within an answer, and a door breaks the answer off.

use crate::backend::{beat, Backend, Work};
use crate::http::Connection;
use crate::record::Record;
use crate::site::{document, random, Machine, Site};
use crate::{Failure, Verdict};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What the route allows (`giveUpS`), and what the clients wait (`X-Time-Left-Ms`): far more than any answer takes here.
const GIVE_UP_S: f64 = 60.0;
const CLIENT_S: u64 = 50;
/// How long a backend of ordinary speed works between the two pieces of an answer, in silence.
const SILENCE: Duration = Duration::from_secs(12);
/// The time that the backends take, as multiples of that: they run at different speeds.
const SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.5];
/// The same without the disruption: none is slower than the ordinary.
const EVEN_SPEEDS: [f64; 4] = [0.5, 1.0, 1.0, 1.0];
const BACKENDS: usize = 8;
/// Kept connections to each of two doors, each with one long request.
const CLIENTS: usize = 12;
/// The door that gets SIGHUP while the requests are under way.
const DOOR_WITH_HUP: usize = 0;
/// Another door, which gets none.
const OTHER_DOOR: usize = 1;
const DOORS: u8 = 4;

/// One long request.
struct Outcome {
    door: usize,
    id: String,
    sent: f64,
    ended: f64,
    is_complete: bool,
    text: String,
}

pub fn play(record: &Arc<Record>, is_troubled: bool) -> Result<Verdict, Failure> {
    let zone = |door: usize| ["kettle-hall", "tank-yard", "assay-house"][door % 3].to_owned();
    let machine =
        |door| Machine { zone: zone(door), is_counted: door < 3, link_mbps: 1000.0, reached_at: Vec::new() };
    let site = Site::lay(|ips| (0..ips.len()).map(machine).collect(), DOORS)?;
    site.start_all()?;
    site.configure(&document("yield-archive", "batch-ledger", GIVE_UP_S, 30.0))?;
    let speeds = if is_troubled { SPEEDS } else { EVEN_SPEEDS };
    let backends: Vec<Arc<Backend>> = (0..BACKENDS)
        .map(|number| {
            let id = format!("i-{:08x}", random() as u32);
            let work = Work::TwoPieces(SILENCE.mul_f64(speeds[number % speeds.len()]));
            Backend::start(id, site.other_address(250), work, record)
        })
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())?;
    let site = Arc::new(site);
    let (reporting, reported) = (site.clone(), backends.clone());
    thread::spawn(move || report(&reporting, &reported));
    site.wait_until_ready(Duration::from_secs(15))?;
    thread::sleep(Duration::from_secs(4));
    let clients: Vec<JoinHandle<Result<Outcome, Failure>>> = (0..2 * CLIENTS)
        .map(|number| {
            let door = if number < CLIENTS { DOOR_WITH_HUP } else { OTHER_DOOR };
            let (front, record) = (site.front(door), record.clone());
            thread::spawn(move || long_request(door, front, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1500));
    site.signal(DOOR_WITH_HUP, "HUP")?;
    let hup_at = record.now();
    record.line(format!("SIGHUP to door {DOOR_WITH_HUP}"));
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.push(client.join().map_err(|_| "a client failed".to_owned())??);
    }
    // Lets the backends finish what they are at.
    thread::sleep(Duration::from_secs(4));
    if !site.all_run() {
        return Err("a door ended".to_owned());
    }
    judge(record, &backends, &outcomes, hup_at)
}

/// Beats of the backends, to the doors in turn.
fn report(site: &Site, backends: &[Arc<Backend>]) {
    for count in 1.. {
        for (number, backend) in backends.iter().enumerate() {
            let body = beat("yield-archive", backend.address, "kettle-hall", count);
            let path = format!("/Servers.CheckIn/{}", backend.id);
            for turn in 0..site.ips.len() {
                let door = (number + turn) % site.ips.len();
                let limit = Duration::from_secs(1);
                let headers = [("Content-Type", "application/json")];
                let answer = site.control_call(door, &path, &headers, body.as_bytes(), limit);
                if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(1300));
    }
}

/// Sends short requests until one is served, and then a long one on the same connection. Comes back after a refusal, as
/// told.
fn long_request(door: usize, front: SocketAddrV4, record: &Record) -> Result<Outcome, Failure> {
    let limit = Duration::from_secs(CLIENT_S);
    let mut connection = Connection::open(front, limit).map_err(|error| format!("front: {error}"))?;
    let time_left = (CLIENT_S * 1000).to_string();
    let mut exchange = |path: &str, id: &str| {
        let headers = [
            ("Host", "front.example"),
            ("Authorization", "Bearer key-of-mill"),
            ("X-Try-Id", id),
            ("X-Time-Left-Ms", time_left.as_str()),
        ];
        connection.exchange("POST", path, &headers, b"lot 7")
    };
    let mut path = "/book/note";
    for _ in 0..40 {
        let id = format!("{:016x}", random());
        record.event(format!("sent     {id} ({path}) to door {door}"));
        let sent = record.now();
        let answer = exchange(path, &id);
        let is_complete = answer.is_ok();
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let text = match answer {
            Ok(answer) => format!("{} with {} bytes", answer.status(), answer.body.len()),
            Err(error) => format!("no complete answer: {error}"),
        };
        record.event(format!("got      {id} from door {door}: {text}"));
        match status {
            503 | 429 => thread::sleep(Duration::from_millis(200)),
            200 if path == "/book/note" => path = "/book/report",
            _ if path == "/book/note" => return Err(format!("a short request got {text}")),
            _ => return Ok(Outcome { door, id, sent, ended: record.now(), is_complete, text }),
        }
    }
    Err("the requests were refused".to_owned())
}

fn judge(
    record: &Record,
    backends: &[Arc<Backend>],
    outcomes: &[Outcome],
    hup_at: f64,
) -> Result<Verdict, Failure> {
    let runs: Vec<_> = backends.iter().flat_map(|backend| backend.runs()).collect();
    let (mut around_hup, mut at_any_time, mut complete) = (0, 0, 0);
    for outcome in outcomes {
        let lasted = outcome.ended - outcome.sent;
        let has_run = runs.iter().any(|run| run.id == outcome.id);
        record.line(format!(
            "request {} at door {}: run {has_run}, after {lasted:.2} s {}",
            outcome.id, outcome.door, outcome.text
        ));
        let is_in_time = lasted < GIVE_UP_S.min(CLIENT_S as f64) - 1.0;
        if outcome.is_complete {
            complete += 1;
        } else if has_run && is_in_time {
            // Sent up to applyS (2 s) after the SIGHUP, and cut after it.
            let is_around =
                outcome.door == DOOR_WITH_HUP && outcome.sent < hup_at + 2.0 && outcome.ended > hup_at;
            around_hup += usize::from(is_around);
            at_any_time += usize::from(outcome.door == OTHER_DOOR);
        }
    }
    record.line(format!(
        "{complete} complete; cut around the SIGHUP: {around_hup}; cut at the door without one: {at_any_time}"
    ));
    if around_hup > 0 || at_any_time > 3 {
        return Ok(Verdict::Broken);
    }
    if complete < outcomes.len() {
        return Err("answers are missing for another reason".to_owned());
    }
    Ok(Verdict::Kept)
}
