//! The program with as many backends and gateways as a site may have, within small limits on memory and descriptors.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::Stdio;
use std::sync::mpsc::channel;
use std::thread;

/// Starts `count` backends, each of which responds with its own number, and returns their entries in the discovery
/// agent's format, with IDs of 64 bytes.
fn backends(count: usize) -> Vec<Value> {
    let start = |n: usize| {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a free port");
        let address = listener.local_addr().expect("local address");
        let serve = move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                while let Ok(Some(_)) = read_message(&stream) {
                    let body = n.to_string();
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if stream.write_all((head + &body).as_bytes()).is_err() {
                        break;
                    }
                }
            }
        };
        thread::Builder::new().stack_size(128 * 1024).spawn(serve).expect("spawn a thread");
        target(&format!("s-{n:08x}-{}", "x".repeat(53)), address, "ready")
    };
    (0..count).map(start).collect()
}

/// The configuration of the last of `gateways` gateways, with 32 MB of memory and 256 descriptors. `known` is the list
/// of backends to start with.
fn small_config(discovery: SocketAddr, known: Value, gateways: u32) -> Value {
    let mut config = config(discovery, known);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    config["settings"]["balancers"] = json!(gateways);
    config["settings"]["ordinal"] = json!(gateways - 1);
    config
}

/// A value in kB from the `/proc/PID/status` of the gateway, such as `VmHWM:`, its peak resident memory.
fn proc_status_kb(gateway: &Gateway, name: &str) -> usize {
    let path = format!("/proc/{}/status", gateway.child.id());
    let text = std::fs::read_to_string(path).expect("read /proc of the gateway process");
    let line = text.lines().find_map(|line| line.strip_prefix(name)).expect("field in /proc/PID/status");
    line.trim_matches(|c: char| !c.is_ascii_digit()).parse().expect("valid number")
}

/// The number of file descriptors that the gateway has open.
fn open_descriptors(gateway: &Gateway) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id()))
        .expect("read /proc of the gateway process")
        .count()
}

/// Sends `requests` requests through a gateway with `count` backends. Returns the number of backends that responded,
/// the gateway's peak resident memory in kB and the number of its descriptors. The gateway starts with one backend and
/// receives the complete list, as indented JSON, from the discovery agent.
fn run_requests(count: usize, gateways: u32, requests: usize) -> (usize, usize, usize) {
    let targets = backends(count);
    let agent = ScriptedServer::start();
    let gateway = Gateway::start(&small_config(agent.address, target_list(&targets[..1]), gateways));
    let full_list = serde_json::to_string_pretty(&target_list(&targets)).expect("valid JSON");
    let mut call = agent.next_request();
    while !call.request.start_line.contains("after=") {
        call.respond_ok(&full_list);
        call = agent.next_request();
    }
    let mut responding = std::collections::BTreeSet::new();
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    for n in 0..requests {
        let client = &mut clients[n % 4];
        let response = client.send(&get_request("")).read_response();
        assert_eq!(response.status(), 200, "request {n} of {requests} with {count} backends");
        responding.insert(String::from_utf8(response.body).expect("valid number"));
    }
    (responding.len(), proc_status_kb(&gateway, "VmHWM:"), open_descriptors(&gateway))
}

#[test]
fn one_of_1024_gateways_serves_1024_backends_within_its_limits() {
    let (responding, memory, descriptors) = run_requests(1024, 1024, 400);
    println!("1,024 backends: {responding} responded, {memory} kB at the peak, {descriptors} descriptors");
    assert!(
        responding > 1 && descriptors <= 256,
        "{responding} backends responded, {descriptors} descriptors"
    );
    assert!(memory < 32 * 1024, "{memory} kB");
}

/// The body of the first response with status 200. A new gateway of hundreds rejects some requests before, as it has
/// not yet learned how many the backends accept.
fn first_served_body(gateway: &Gateway) -> Vec<u8> {
    let mut client = gateway.client();
    let mut responses = (0..200).map(|_| client.send(&get_request("")).read_response());
    responses.find(|response| response.status() == 200).expect("one of 200 requests must be served").body
}

#[test]
fn the_last_of_1024_list_entries_is_used_like_the_first() {
    let mut targets = backends(1024);
    let last = targets.len() - 1;
    targets[..last].iter_mut().for_each(|target| target["state"] = json!("draining"));
    let gateway = Gateway::start(&small_config(reserve(), target_list(&targets), 350));
    assert_eq!(first_served_body(&gateway), b"1023", "list from the configuration");
    targets[last]["state"] = json!("draining");
    targets[last - 1]["state"] = json!("ready");
    let discovery = DiscoveryServer::start(target_list(&targets));
    let gateway = Gateway::start(&small_config(discovery.address, target_list(&targets[..1]), 350));
    discovery.wait_for_watch();
    assert_eq!(first_served_body(&gateway), b"1022", "list from the discovery agent");
}

/// Prints the measurements that docs/operations/sizing.md lists.
#[test]
#[ignore = "a measurement: run with --ignored --nocapture, in release"]
fn measure_by_size() {
    for (count, gateways) in [(9, 3), (200, 300), (600, 4), (1024, 1024)] {
        let (responding, memory, descriptors) = run_requests(count, gateways, 800);
        println!(
            "{count} backends, {gateways} gateways: {responding} responded, {memory} kB, {descriptors} descriptors"
        );
    }
}

#[test]
fn an_oversized_or_malformed_list_is_logged_and_the_last_valid_one_stays_in_force() {
    let targets = backends(2);
    let agent = ScriptedServer::start();
    let config = small_config(agent.address, target_list(&targets[..1]), 3);
    let mut gateway = Gateway::start_with_stderr(&config, Stdio::piped());
    let log = gateway.child.stderr.take().expect("stderr is piped");
    let (sender, lines) = channel();
    thread::spawn(move || {
        // Stops once the test has ended and dropped the receiver.
        BufReader::new(log).lines().map_while(Result::ok).all(|line| sender.send(line).is_ok())
    });
    let next_discovery_line = || loop {
        let line = lines.recv_timeout(TEST_TIMEOUT).expect("a log line about discovery");
        if line.contains("discovery: ") {
            break line;
        }
    };
    // Longer than 2 MiB, the limit at 32 MB of memory.
    let mut oversized = target_list(&targets);
    oversized["targets"][1]["model"] = json!("x".repeat(2 << 20));
    agent.next_request().respond_ok(&oversized.to_string());
    let line = next_discovery_line();
    assert!(line.contains("longer than 2097152 bytes") && line.contains("limits.memory_mb"), "{line}");
    let mut client = gateway.client();
    for _ in 0..20 {
        assert_eq!(
            client.send(&get_request("")).read_response().body,
            b"0",
            "only the backend of the initial list"
        );
    }
    // A malformed list after a valid one is logged, too, and the valid list stays in force.
    let mut call = agent.next_request();
    while !call.request.start_line.contains("after=") {
        call.respond_ok(&target_list(&targets[1..]).to_string());
        call = agent.next_request();
    }
    call.respond_ok("{\"rev\": 2, \"all\": true, \"targets\": [");
    let line = next_discovery_line();
    assert!(line.contains("cannot be read") && line.contains("stays in force"), "{line}");
    assert_eq!(
        client.send(&get_request("")).read_response().body,
        b"1",
        "only the backend of the last valid list"
    );
}
