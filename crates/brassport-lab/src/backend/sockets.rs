//! The real program over loopback sockets as a backend.

use super::{number, whole, Backend, Outcome};
use crate::sockets::load::{self, Load};
use crate::sockets::process::Process;
use crate::study::Level;
use anyhow::{ensure, Context, Result};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// How long a process has until it listens.
const START: Duration = Duration::from_secs(20);

#[derive(Debug)]
pub struct Sockets;

#[derive(Debug, Clone)]
struct Setup {
    target: String,
    nodes: u32,
    connections: u32,
    per_connection: u32,
    pipeline: u32,
    submits: f64,
    surge: f64,
    retries: u32,
    rate: f64,
    studios: u32,
    skew: f64,
    work_ms: f64,
    seconds: f64,
}

fn setup(parameters: &[(String, Level)]) -> Result<Setup, String> {
    let mut setup = Setup {
        target: "target/release/brassport-appliance".into(),
        nodes: 10,
        connections: 100,
        per_connection: 0,
        pipeline: 1,
        submits: 0.4,
        surge: 1.0,
        retries: 0,
        rate: 1000.0,
        studios: 100,
        skew: 0.0,
        work_ms: 20.0,
        seconds: 8.0,
    };
    for (key, level) in parameters {
        match key.as_str() {
            "target" => setup.target = level.0.clone(),
            "nodes" => setup.nodes = whole(key, level, 1, 10_000)?,
            "connections" => setup.connections = whole(key, level, 1, 10_000)?,
            "per_connection" => setup.per_connection = whole(key, level, 0, 1_000_000)?,
            "pipeline" => setup.pipeline = whole(key, level, 1, 1000)?,
            "submits" => setup.submits = number(key, level, 0.0, 1.0)?,
            "surge" => setup.surge = number(key, level, 0.01, 1000.0)?,
            "retries" => setup.retries = whole(key, level, 0, 100)?,
            "rate" => setup.rate = number(key, level, 1.0, 100_000.0)?,
            "studios" => setup.studios = whole(key, level, 1, 1_000_000)?,
            "skew" => setup.skew = number(key, level, 0.0, 5.0)?,
            "work_ms" => setup.work_ms = number(key, level, 0.0, 10_000.0)?,
            "seconds" => setup.seconds = number(key, level, 1.0, 86_400.0)?,
            _ => return Err(format!("no parameter {key}")),
        }
    }
    Ok(setup)
}

/// This program again, as a helper of a run.
fn helper(words: &[String]) -> Result<Command> {
    let mut command = Command::new(std::env::current_exe().context("this program's own place")?);
    command.args(words);
    Ok(command)
}

fn until_it_listens(at: SocketAddr) -> Result<()> {
    let begun = Instant::now();
    while TcpStream::connect(at).is_err() {
        ensure!(begun.elapsed() < START, "nothing listens at {at} after {START:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// Configuration of a front door whose nodes stand in a file beside it.
fn configure(directory: &Path, listen: SocketAddr, setup: &Setup, nodes: &[SocketAddr]) -> Result<()> {
    let lines: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(number, at)| format!("[[node]]\nname = 'n{number}'\nendpoint = '{at}'\n"))
        .collect();
    let list = directory.join("nodes.toml");
    std::fs::write(&list, lines.concat())?;
    // No quota: what is measured is the cost of what is served.
    let sockets = 4 * setup.connections.max(64) + 2 * setup.nodes;
    let text = format!(
        "listen = '{listen}'\nsockets = {sockets}\ndefault_plan = 'p'\n[[class]]\nname = 'preview-fetch'\n\
         repeat = 'safe'\nworth = 3.0\naim_ms = 500.0\ndeadline_ms = 3000.0\n[[class]]\nname = 'job-submit'\n\
         repeat = 'never'\nworth = 2.0\naim_ms = 1000.0\ndeadline_ms = 3000.0\n[[plan]]\nname = 'p'\n\
         units_per_s = 0.0\n[[source]]\nkind = 'file'\nname = 'list'\npath = '{}'\n",
        list.display()
    );
    std::fs::write(directory.join("door.toml"), text)?;
    Ok(())
}

fn play(setup: &Setup, seed: u64) -> Result<(Vec<f64>, Vec<String>)> {
    let words = ["nodes", "--count", &setup.nodes.to_string(), "--work-ms", &setup.work_ms.to_string()];
    let words: Vec<String> = words.iter().map(|word| word.to_string()).collect();
    let (_nodes, addresses) = Process::helper(helper(&words)?)?;
    let directory = tempfile::tempdir()?;
    let (target, door) = if setup.target == "floor" {
        let mut words = vec!["floor".to_string()];
        words.extend(addresses.iter().map(SocketAddr::to_string));
        let (process, listens) = Process::helper(helper(&words)?)?;
        (process, *listens.first().context("the floor's address")?)
    } else {
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let listen = free.local_addr()?;
        configure(directory.path(), listen, setup, &addresses)?;
        drop(free);
        let mut command = Command::new(&setup.target);
        command.args(["serve", "--config"]).arg(directory.path().join("door.toml"));
        (Process::start(command)?, listen)
    };
    until_it_listens(door)?;
    let warm_up = Duration::from_secs_f64(setup.seconds / 4.0);
    let length = warm_up + Duration::from_secs_f64(setup.seconds);
    let load = Load {
        warm_up,
        studios: setup.studios,
        skew: setup.skew,
        connections: setup.connections as usize,
        most_connections: 4 * setup.connections.max(250) as usize,
        per_connection: setup.per_connection,
        pipeline: setup.pipeline as usize,
        submits: setup.submits,
        surge: setup.surge,
        retries: setup.retries,
        seed,
        ..Load::new(vec![door], setup.rate, length)
    };
    let generator = std::thread::spawn(move || load::send(load));
    std::thread::sleep(warm_up);
    let (begun, before) = (Instant::now(), target.processor()?);
    std::thread::sleep(Duration::from_secs_f64(setup.seconds));
    let (spent, took) = (target.processor()? - before, begun.elapsed());
    let measured = generator.join().map_err(|_| anyhow::anyhow!("the generator panicked"))??;
    let requests = measured.requests as f64;
    let ms = |part: f64| measured.latency.value_at_quantile(part) as f64 / 1000.0;
    let values = vec![
        requests,
        measured.served as f64 / requests.max(1.0),
        measured.refused as f64 / requests.max(1.0),
        measured.failed as f64 / requests.max(1.0),
        spent.as_secs_f64() * 1e6 / (requests * took.as_secs_f64() / setup.seconds).max(1.0),
        spent.as_secs_f64() / took.as_secs_f64(),
        ms(0.5) - setup.work_ms,
        ms(0.99) - setup.work_ms,
        target.memory_mib()?,
        measured.late,
        measured.own.as_secs_f64() * 1e6 / (requests * length.as_secs_f64() / setup.seconds).max(1.0),
    ];
    Ok((values, measured.void().into_iter().collect()))
}

impl Backend for Sockets {
    fn name(&self) -> &'static str {
        "sockets"
    }

    fn parameters(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("target", "floor, or a built brassport-appliance"),
            ("nodes", "stand-in nodes"),
            ("connections", "clients' connections that are kept open"),
            ("per_connection", "requests after which a connection is closed; 0: never"),
            ("pipeline", "requests that may be out on one connection"),
            ("submits", "part of the requests that must never run twice"),
            ("surge", "by how much the rate is multiplied for a sixth of the time, from its middle on"),
            ("retries", "further tries of a client that was refused, after the wait that the answer names"),
            ("rate", "requests a second"),
            ("studios", "customers"),
            ("skew", "exponent of Zipf's law for their shares"),
            ("work_ms", "time of a request on a node, always the same"),
            ("seconds", "time that is measured"),
        ]
    }

    fn measures(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("requests", "requests that were to leave"),
            ("served", "good answers, in parts of all"),
            ("refused", "refusals, in parts of all"),
            ("failed", "other answers and none, in parts of all"),
            ("cpu_us", "processor time of the target for one request, microseconds"),
            ("cores", "processor time of the target, in cores"),
            ("added_p50_ms", "median time from when a request was to leave to its answer, less the work, ms"),
            ("added_p99_ms", "the same, 99th percentile"),
            ("memory_mib", "most memory of the target, MiB"),
            ("late", "departures more than 5 ms late, in parts of all; above 0.01 the row is void"),
            ("own_us", "processor time of the generator for one request, microseconds"),
        ]
    }

    fn is_deterministic(&self) -> bool {
        false
    }

    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String> {
        setup(parameters).map(drop)
    }

    fn play(&self, parameters: &[(String, Level)], seed: u64) -> Result<Outcome> {
        let setup = setup(parameters).expect("checked with the study");
        let (values, broken) = play(&setup, seed)?;
        Ok(Outcome { values, broken })
    }
}
