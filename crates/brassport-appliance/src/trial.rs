//! `try`: a whole site on loopback. The appliance runs as a process of its own; the nodes and the load are here, and
//! see every request from both sides.

use crate::client::Client;
use crate::place::Place;
use crate::protocol::{Ask, Counts, Status};
use crate::{client, console, Failure};
use brassport_state::model::{Action, Change};
use clap::Args;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use oorandom::Rand64;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io::{self, IsTerminal};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinSet, LocalSet};

/// How long the appliance may take to be up.
const START: Duration = Duration::from_secs(10);
/// What an answer may be late by before the rule counts as broken: the load shares its machine with what it measures.
const GRACE: Duration = Duration::from_millis(250);
/// Nothing new may reach a node later than this after its drain was acknowledged.
const DRAIN: Duration = Duration::from_millis(500);
/// Requests of one studio that may be open at once; more are not sent.
const OPEN: usize = 64;

#[derive(Debug, Args)]
pub struct Options {
    /// Print only the summary, instead of the console and the summary behind it.
    #[arg(long)]
    headless: bool,
    /// How long the load lasts, as 10s.
    #[arg(long = "for", value_name = "TIME", value_parser = seconds, default_value = "30s")]
    time: Duration,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn seconds(text: &str) -> Result<Duration, String> {
    let number = text.strip_suffix('s').and_then(|number| number.parse::<u64>().ok());
    match number.filter(|seconds| (1..=3600).contains(seconds)) {
        Some(seconds) => Ok(Duration::from_secs(seconds)),
        None => Err("from 1s to 3600s".into()),
    }
}

/// The nodes: name, time for a frame in milliseconds, requests at once.
const NODES: [(&str, u64, usize); 3] = [("fast", 8, 8), ("middling", 20, 4), ("slow", 50, 2)];
/// The studios: number, requests a second. Four stay within the plan of all, two go far beyond it.
const STUDIOS: [(u64, f64); 6] =
    [(0x11, 6.0), (0x12, 8.0), (0x13, 10.0), (0x14, 12.0), (0x21, 50.0), (0x22, 80.0)];

/// What the plan of all admits: units a second, and at once behind a pause. As the file that `init` writes says it.
const QUOTA: (f64, f64) = (20.0, 40.0);
/// Part of its quota that a studio may be served beyond it, as the coin keeps a mean, and the time it has to learn.
const BEYOND: f64 = 0.25;
const LEARN: Duration = Duration::from_secs(2);

/// A class of the load: name, time a client waits, whether a node may run it twice, its part of the load.
const CLASSES: [(&str, Duration, bool, f64); 2] = [
    ("frame", Duration::from_millis(2000), true, 0.8),
    ("job-submit", Duration::from_millis(3000), false, 0.2),
];

/// What the nodes saw.
#[derive(Default)]
struct Seen {
    /// By the request's id: how often it was run, and how many attempts are out.
    run: BTreeMap<String, (u32, u32)>,
    /// When each request reached a node.
    arrivals: BTreeMap<&'static str, Vec<Instant>>,
    run_twice: u64,
    out_twice: u64,
}

async fn node(name: &'static str, ms: u64, most: usize, listener: TcpListener, seen: Rc<RefCell<Seen>>) {
    let busy = Rc::new(Cell::new(0));
    while let Ok((stream, _)) = listener.accept().await {
        let (busy, seen) = (busy.clone(), seen.clone());
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (busy, seen) = (busy.clone(), seen.clone());
                async move { Ok::<_, Infallible>(work(name, ms, most, &request, &busy, &seen).await) }
            });
            // A connection that the appliance closes ends here.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

async fn work(
    name: &'static str,
    ms: u64,
    most: usize,
    request: &Request<Incoming>,
    busy: &Cell<usize>,
    seen: &RefCell<Seen>,
) -> Response<Full<Bytes>> {
    let id =
        request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or_default().to_string();
    seen.borrow_mut().arrivals.entry(name).or_default().push(Instant::now());
    if busy.get() >= 2 * most {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response.headers_mut().insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
        return response;
    }
    {
        let seen = &mut *seen.borrow_mut();
        let (run, out) = seen.run.entry(id.clone()).or_default();
        (*run, *out) = (*run + 1, *out + 1);
        seen.out_twice += u64::from(*out > 1);
        seen.run_twice += u64::from(*run > 1 && request.method() != hyper::Method::GET);
    }
    busy.set(busy.get() + 1);
    // As many as it has hands for run at its pace; more share them.
    let share = (busy.get() as f64 / most as f64).max(1.0);
    tokio::time::sleep(Duration::from_secs_f64(ms as f64 / 1000.0 * share)).await;
    busy.set(busy.get() - 1);
    if let Some((_, out)) = seen.borrow_mut().run.get_mut(&id) {
        *out -= 1;
    }
    Response::new(Full::new(Bytes::from_static(b"done")))
}

/// One request, from its client's side.
struct Asked {
    studio: u64,
    class: usize,
    status: Option<u16>,
    took: Duration,
}

async fn ask(at: SocketAddr, studio: u64, class: usize, number: u64) -> Asked {
    let (name, patience, repeats, _) = CLASSES[class];
    let method = if repeats { "GET" } else { "POST" };
    let head = format!(
        "{method} /{name}/{number} HTTP/1.1\r\nHost: {at}\r\nX-Request-Id: try-{number}\r\n\
         Cookie: client={studio:016x}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    let began = Instant::now();
    let exchange = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
    };
    let status = tokio::time::timeout(patience + GRACE, exchange).await.ok().flatten();
    Asked { studio, class, status, took: began.elapsed() }
}

/// A studio asks at random moments, whatever becomes of what it asked before.
async fn studio(
    at: SocketAddr,
    number: u64,
    rate: f64,
    seed: u64,
    until: Instant,
    left: Arc<AtomicBool>,
    done: Rc<RefCell<Vec<Asked>>>,
) {
    let mut random = Rand64::new(u128::from(seed) << 64 | u128::from(number));
    let mut open = JoinSet::new();
    let mut next = Instant::now();
    for count in 0.. {
        next += Duration::from_secs_f64(-(1.0 - random.rand_float()).ln() / rate);
        if next >= until || left.load(Ordering::Relaxed) {
            break;
        }
        tokio::time::sleep_until(next.into()).await;
        while open.len() >= OPEN {
            let _ = open.join_next().await;
        }
        let class = usize::from(random.rand_float() >= CLASSES[0].3);
        let done = done.clone();
        open.spawn_local(async move {
            let asked = ask(at, number, class, number << 32 | count).await;
            done.borrow_mut().push(asked);
        });
    }
    while open.join_next().await.is_some() {}
}

/// How a group of requests ended.
#[derive(Debug, Default, Serialize)]
struct Row {
    #[serde(flatten)]
    counts: Counts,
    /// Of the served, milliseconds.
    p50_ms: f64,
    p99_ms: f64,
}

fn row<'a>(asked: impl Iterator<Item = &'a Asked>) -> Row {
    let mut row = Row::default();
    let mut times = Vec::new();
    for asked in asked {
        match asked.status {
            Some(200) => {
                row.counts.served += 1;
                times.push(asked.took.as_secs_f64() * 1000.0);
            }
            Some(429) => row.counts.refused += 1,
            _ => row.counts.failed += 1,
        }
    }
    times.sort_by(f64::total_cmp);
    let quantile = |part: f64| times.get((part * times.len() as f64) as usize).copied().unwrap_or_default();
    (row.p50_ms, row.p99_ms) = (quantile(0.5), quantile(0.99));
    row
}

/// What the whole trial came to.
#[derive(Debug, Serialize)]
struct Summary {
    seconds: f64,
    /// From the start of the appliance's process to its first served request, milliseconds.
    first_served_ms: f64,
    classes: BTreeMap<&'static str, Row>,
    studios: BTreeMap<String, Row>,
    /// Each rule that is looked at here, with how often it was broken.
    rules: BTreeMap<&'static str, u64>,
    events: Vec<String>,
}

/// The appliance's process and its directory; both end with this.
struct Site {
    /// `None` once it is waited for elsewhere.
    process: Option<Child>,
    place: Place,
    began: Instant,
}

impl Site {
    /// `quiet`: the terminal is the console's.
    fn start(listen: SocketAddr, quiet: bool) -> Result<Site, Failure> {
        let path = scratch()?;
        let place = Place::new(&path);
        client::init(&place, listen)?;
        let began = Instant::now();
        let program =
            std::env::current_exe().map_err(|error| Failure::failed(format!("own program: {error}")))?;
        let process = Command::new(program)
            .arg("--state")
            .arg(&path)
            .arg("run")
            .stdin(Stdio::null())
            .stderr(if quiet { Stdio::null() } else { Stdio::inherit() })
            .spawn()
            .map_err(|error| Failure::failed(format!("cannot start the appliance: {error}")))?;
        Ok(Site { process: Some(process), place, began })
    }

    fn change(&self, id: String, action: Action) -> Result<(), Failure> {
        let change = Change { id, who: "try".into(), at_ms: 0, seen: None, action };
        let mut client = Client::connect(&self.place)?.ok_or_else(|| Failure::not_running(&self.place))?;
        client.ask(Ask::Change { change }).map(drop)
    }

    fn status(&self) -> Result<Status, Failure> {
        let mut client = Client::connect(&self.place)?.ok_or_else(|| Failure::not_running(&self.place))?;
        let value = client.ask(Ask::Status)?;
        serde_json::from_value(value).map_err(|error| Failure::failed(error.to_string()))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // By its own handle: no other process can be meant.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.place.path);
    }
}

/// A directory of its own, for its owner alone.
fn scratch() -> Result<PathBuf, Failure> {
    use std::os::unix::fs::DirBuilderExt;
    for number in 0..100 {
        let path = std::env::temp_dir().join(format!("brassport-try-{}-{number}", std::process::id()));
        match std::fs::DirBuilder::new().mode(0o700).create(&path) {
            Ok(()) => return Ok(path),
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(Failure::failed(format!("{}: {error}", path.display()))),
        }
    }
    Err(Failure::failed(format!("no free name in {}", std::env::temp_dir().display())))
}

/// A port that is free now.
fn free_port() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

pub fn run(options: &Options, json: bool) -> Result<(), Failure> {
    let failed = |error: io::Error| Failure::failed(format!("cannot start the site: {error}"));
    let listen = free_port().map_err(failed)?;
    let watched = !options.headless && io::stdout().is_terminal() && io::stdin().is_terminal();
    let site = Site::start(listen, watched)?;
    let place = site.place.clone();
    let (over, left) = (AtomicBool::new(false), Arc::new(AtomicBool::new(false)));
    let load = || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(failed)?;
        LocalSet::new().block_on(&runtime, play(options, listen, site, left.clone()))
    };
    let summary = if watched {
        thread::scope(|scope| {
            let load = scope.spawn(|| {
                let played = load();
                over.store(true, Ordering::Relaxed);
                played
            });
            let shown = console::run(&place, &over);
            // Whoever leaves the console has seen enough.
            left.store(true, Ordering::Relaxed);
            let played = load.join().map_err(|_| Failure::failed("the load ended in a panic".into()))?;
            shown.and(played)
        })?
    } else {
        load()?
    };
    if json {
        println!("{}", serde_json::json!(summary));
    } else {
        print(&summary);
    }
    let broken: Vec<_> =
        summary.rules.iter().filter(|(_, times)| **times > 0).map(|(rule, _)| *rule).collect();
    if broken.is_empty() {
        return Ok(());
    }
    let problem = crate::protocol::Problem::new("rule_broken", format!("broken: {}", broken.join(", ")));
    Err(Failure::of(&problem))
}

/// Waits, unless the operator has left.
async fn pause(time: Duration, left: &AtomicBool) {
    let until = Instant::now() + time;
    while Instant::now() < until && !left.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(50).min(until.saturating_duration_since(Instant::now())))
            .await;
    }
}

async fn play(
    options: &Options,
    listen: SocketAddr,
    mut site: Site,
    left: Arc<AtomicBool>,
) -> Result<Summary, Failure> {
    let failed = |error: io::Error| Failure::failed(format!("cannot start a node: {error}"));
    let seen = Rc::new(RefCell::new(Seen::default()));
    let began = site.began;
    let mut nodes = Vec::new();
    for (name, ms, most) in NODES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(failed)?;
        nodes.push((name, listener.local_addr().map_err(failed)?));
        spawn_local(node(name, ms, most, listener, seen.clone()));
    }
    while Client::connect(&site.place)?.is_none() {
        let ended = site.process.as_mut().and_then(|process| process.try_wait().ok().flatten());
        if let Some(status) = ended {
            return Err(Failure::failed(format!("the appliance ended at once ({status})")));
        }
        if began.elapsed() > START {
            return Err(Failure::failed("the appliance is not up in time".into()));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for (name, endpoint) in nodes {
        let (name, zone) = (name.to_string(), String::new());
        let action = Action::AddNode { name: name.clone(), endpoint, zone, group: 0, size: 1.0, warm: true };
        site.change(format!("add-{name}"), action)?;
    }
    let mut number = 0;
    let first_served = loop {
        number += 1;
        if ask(listen, 0x10, 0, number).await.status == Some(200) {
            break began.elapsed();
        }
        if began.elapsed() > START {
            return Err(Failure::failed("no request is served".into()));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let start = Instant::now();
    let until = start + options.time;
    let done = Rc::new(RefCell::new(Vec::new()));
    let mut load = JoinSet::new();
    for (number, rate) in STUDIOS {
        load.spawn_local(studio(listen, number, rate, options.seed, until, left.clone(), done.clone()));
    }
    // In the middle third of the time one node drains.
    pause(options.time / 3, &left).await;
    site.change("drain".into(), Action::DrainNode { name: "slow".into() })?;
    let drained = Instant::now();
    pause(options.time / 3, &left).await;
    let resumed = Instant::now();
    site.change("resume".into(), Action::ResumeNode { name: "slow".into() })?;
    while load.join_next().await.is_some() {}
    let played = start.elapsed().min(options.time);
    let status = site.status()?;
    // The end in order is a part of what is looked at.
    let mut client = Client::connect(&site.place)?.ok_or_else(|| Failure::not_running(&site.place))?;
    client.ask(Ask::Stop { now: false })?;
    let ended = tokio::task::spawn_blocking({
        let process = site.process.take();
        move || process.map(|mut process| process.wait()).transpose()
    });
    let ended = ended.await.map_err(|error| Failure::failed(error.to_string()))?;
    let ended = ended.map_err(|error| Failure::failed(format!("the appliance's end: {error}")))?;
    if !ended.is_some_and(|ended| ended.success()) {
        return Err(Failure::failed(format!("the appliance did not end in order: {ended:?}")));
    }
    let (done, seen) = (done.borrow(), seen.borrow());
    Ok(summarize(played, first_served, &done, &seen, (drained, resumed), &status))
}

fn summarize(
    played: Duration,
    first_served: Duration,
    done: &[Asked],
    seen: &Seen,
    (drained, resumed): (Instant, Instant),
    status: &Status,
) -> Summary {
    let late = |asked: &&Asked| asked.status.is_none() || asked.took > CLASSES[asked.class].1 + GRACE;
    let after_drain = seen.arrivals.get("slow").into_iter().flatten();
    let after_drain = after_drain.filter(|at| **at > drained + DRAIN && **at < resumed).count() as u64;
    let classes = CLASSES
        .iter()
        .enumerate()
        .map(|(class, (name, ..))| (*name, row(done.iter().filter(move |asked| asked.class == class))));
    let studios = STUDIOS.iter().map(|(number, rate)| {
        (format!("{number:x} ({rate}/s)"), row(done.iter().filter(move |asked| asked.studio == *number)))
    });
    let served = |number: u64| {
        done.iter().filter(|asked| asked.studio == number && asked.status == Some(200)).count() as f64
    };
    let most = QUOTA.0 * (played.as_secs_f64() * (1.0 + BEYOND) + LEARN.as_secs_f64()) + QUOTA.1;
    let over_quota = STUDIOS.iter().filter(|(number, _)| served(*number) > most).count() as u64;
    Summary {
        seconds: played.as_secs_f64(),
        first_served_ms: first_served.as_secs_f64() * 1000.0,
        classes: classes.collect(),
        studios: studios.collect(),
        rules: BTreeMap::from([
            ("one answer in time", done.iter().filter(late).count() as u64),
            ("effects at most once", seen.run_twice),
            ("never two attempts out", seen.out_twice),
            ("nothing new 500 ms after a drain", after_drain),
            ("quotas kept within a quarter", over_quota),
        ]),
        events: status.events.iter().map(|event| event.text.clone()).collect(),
    }
}

fn print(summary: &Summary) {
    println!(
        "{:.0} s of load; first request served {:.0} ms after the start",
        summary.seconds, summary.first_served_ms
    );
    println!("{:<24} {:>8} {:>8} {:>8} {:>9} {:>9}", "", "served", "refused", "failed", "p50 ms", "p99 ms");
    let classes = summary.classes.iter().map(|(name, row)| (name.to_string(), row));
    let studios = summary.studios.iter().map(|(name, row)| (format!("studio {name}"), row));
    for (name, row) in classes.chain(studios) {
        let counts = &row.counts;
        println!(
            "{name:<24} {:>8} {:>8} {:>8} {:>9.1} {:>9.1}",
            counts.served, counts.refused, counts.failed, row.p50_ms, row.p99_ms
        );
    }
    for (rule, broken) in &summary.rules {
        println!("{rule}: {}", if *broken == 0 { "kept".into() } else { format!("BROKEN {broken} times") });
    }
}
