//! Operation of the built program over loopback: the admin listener, metrics, disabling of backends, and reloads.

mod common;

use common::*;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, TryRecvError};
use std::thread;
use std::time::{Duration, Instant};

const FIRST_ID: &str = "s-00000001";
const SECOND_ID: &str = "s-00000002";

/// Starts a gateway with an admin listener, and a discovery agent that lists these backends. The backends have the IDs
/// [`FIRST_ID`] and [`SECOND_ID`].
fn gateway_with_discovery(backends: &[&ScriptedServer]) -> (Gateway, SocketAddr, DiscoveryServer) {
    let targets: Vec<_> = backends
        .iter()
        .enumerate()
        .map(|(n, peer)| target(&format!("s-0000000{}", n + 1), peer.address, "ready"))
        .collect();
    let discovery = DiscoveryServer::start(target_list(&targets));
    let (config, admin) = with_admin_listener(config(discovery.address, target_list(&targets)));
    (Gateway::start(&config), admin, discovery)
}

#[test]
fn the_admin_listener_reports_readiness_and_rejects_unknown_paths_and_methods() {
    let backend = ScriptedServer::start();
    let (_front, admin, _discovery) = gateway_with_discovery(&[&backend]);
    assert_eq!(admin_request(admin, "GET", "/-/ready"), (200, "ready\n".into()));
    assert_eq!(admin_request(admin, "GET", "/-/nothing").0, 404);
    assert_eq!(admin_request(admin, "GET", "/ready").0, 404);
    assert_eq!(admin_request(admin, "PUT", "/-/backends//disable").0, 404);
    assert_eq!(admin_request(admin, "POST", "/-/ready").0, 405);
    assert_eq!(admin_request(admin, "GET", &format!("/-/backends/{FIRST_ID}/disable")).0, 405);
    assert_eq!(admin_request(admin, "PUT", "/-/backends/s-0000000f/disable").0, 404);
    assert_eq!(admin_request(admin, "PUT", "/-/backends/s-0000000f/enable").0, 404);
}

#[test]
fn it_reports_not_ready_during_shutdown() {
    let backend = ScriptedServer::start();
    let (gateway, admin, _discovery) = gateway_with_discovery(&[&backend]);
    let mut client = gateway.client();
    client.send(&post_request("a job"));
    let in_flight = backend.next_request();
    gateway.terminate();
    let until = Instant::now() + TEST_TIMEOUT;
    while admin_request(admin, "GET", "/-/ready").0 != 503 {
        assert!(Instant::now() < until, "it still reports ready");
    }
    in_flight.respond_ok("done");
    assert_eq!(client.read_response().status(), 200);
}

#[test]
fn idle_admin_connections_block_neither_admin_requests_nor_clients() {
    let backend = ScriptedServer::start();
    let (gateway, admin, _discovery) = gateway_with_discovery(&[&backend]);
    let mut idle: Vec<TcpStream> = Vec::new();
    for n in 0..200 {
        let mut stream = TcpStream::connect(admin).expect("connect to the admin listener");
        if n % 2 == 0 {
            // The write fails if the gateway has closed the connection already.
            let _ = stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHo");
        }
        idle.push(stream);
    }
    let sent_at = Instant::now();
    assert_eq!(admin_request(admin, "GET", "/-/ready").0, 200);
    assert_eq!(metric(admin, "balancer.members"), 1);
    assert!(sent_at.elapsed() < Duration::from_secs(2), "two requests took {:?}", sent_at.elapsed());
    let mut client = gateway.client();
    client.send(&get_request(""));
    backend.next_request().respond_ok("served");
    assert_eq!(client.read_response().status(), 200);
    drop(idle);
}

#[test]
fn malformed_and_oversized_admin_requests_are_rejected() {
    let backend = ScriptedServer::start();
    let (_front, admin, _discovery) = gateway_with_discovery(&[&backend]);
    for (request, status) in
        [("no http\r\n\r\n".to_string(), "400"), (format!("GET /{} ", "x".repeat(20_000)), "4")]
    {
        let mut stream = TcpStream::connect(admin).expect("connect to the admin listener");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        // The gateway may close the connection before all is written.
        let _ = stream.write_all(request.as_bytes());
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")) || response.is_empty(), "{response}");
    }
    assert_eq!(admin_request(admin, "GET", "/-/ready").0, 200);
}

#[test]
fn an_unusable_admin_address_fails_the_start_and_is_named() {
    let in_use = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = in_use.local_addr().expect("local address").to_string();
    for (value, message) in
        [(address.as_str(), "cannot listen on"), ("here", "'here' is no address with a port")]
    {
        let mut config = config(reserve(), target_list(&[]));
        config["admin_addr"] = json!(value);
        let file = write_config(&config);
        let mut child = spawn(&file, &config, Stdio::piped());
        let mut line = String::new();
        BufReader::new(child.stderr.take().expect("stderr is piped"))
            .read_line(&mut line)
            .expect("read a line");
        assert!(!child.wait().expect("wait for the process to exit").success());
        assert!(
            line.contains("BALANCER_ADMIN_ADDR") && line.contains(message) && line.contains(value),
            "{line}"
        );
    }
}

#[test]
fn metrics_count_responses_by_class_and_attempts_at_the_backends() {
    let backends = [ScriptedServer::start(), ScriptedServer::start()];
    let (gateway, admin, _discovery) = gateway_with_discovery(&[&backends[0], &backends[1]]);
    let value = |name: &str| metric(admin, &format!("balancer.{name}"));
    let mut client = gateway.client();
    for _ in 0..3 {
        client.send(&get_request(""));
        next_request_of(&backends).0.respond_ok("served");
        assert_eq!(client.read_response().status(), 200);
    }
    // An error response to a non-idempotent request counts as failed.
    client.send(&post_request("a job"));
    next_request_of(&backends).0.respond("500 Internal Server Error", "", "");
    assert_eq!(client.read_response().status(), 504);
    client.send(&post_request("a job"));
    let in_flight = next_request_of(&backends).0;
    wait_for_metric(admin, "balancer.pending", 1);
    in_flight.respond_ok("done");
    assert_eq!(client.read_response().status(), 200);
    // Rejected by one backend and served by the other: two attempts of one request.
    client.send(&get_request(""));
    next_request_of(&backends).0.respond("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    next_request_of(&backends).0.respond_ok("served");
    assert_eq!(client.read_response().status(), 200);
    wait_for_metric(admin, "balancer.pending", 0);
    assert_eq!((value("completed.preview-fetch"), value("completed.job-submit")), (4, 1));
    assert_eq!((value("failed.preview-fetch"), value("failed.job-submit")), (0, 1));
    assert_eq!((value("rejected.preview-fetch"), value("rejected.job-submit")), (0, 0));
    assert_eq!(value("upstream_requests"), 7);
    assert_eq!((value("members"), value("members_unavailable")), (2, 0));
    assert_eq!((value("config_reloads"), value("config_reload_errors")), (0, 0));
}

#[test]
fn a_request_whose_client_has_disconnected_is_no_longer_pending() {
    let backend = ScriptedServer::start();
    let (gateway, admin, _discovery) = gateway_with_discovery(&[&backend]);
    let mut client = gateway.client();
    client.send(&post_request("a job"));
    let in_flight = backend.next_request();
    wait_for_metric(admin, "balancer.pending", 1);
    drop(client);
    wait_for_metric(admin, "balancer.pending", 0);
    drop(in_flight);
}

/// Sends a request and expects a 429, as no backend is available.
fn expect_rejection(gateway: &Gateway) {
    let mut client = gateway.client();
    client.send(&get_request(""));
    assert_eq!(client.read_response().status(), 429, "no backend must be available");
}

/// Sends requests until `backend` serves one. `backend` is the only one and has just been enabled or listed, so the
/// gateway treats it as cold: it gets a limited share of the requests, and the others are rejected.
fn wait_until_served_by(gateway: &Gateway, backend: &ScriptedServer) {
    let mut client = gateway.client();
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        assert!(Instant::now() < until, "the backend gets no requests");
        client.send(&get_request(""));
        let status = thread::scope(|scope| {
            let reader = scope.spawn(|| client.read_response().status());
            while !reader.is_finished() {
                if let Ok(exchange) = backend.exchanges.recv_timeout(Duration::from_millis(2)) {
                    exchange.respond_ok("served");
                }
            }
            reader.join().expect("client thread panicked")
        });
        if status == 200 {
            return;
        }
    }
}

#[test]
fn a_disabled_backend_gets_no_requests_whatever_discovery_lists() {
    let (backend, at_new_address) = (ScriptedServer::start(), ScriptedServer::start());
    let (gateway, admin, discovery) = gateway_with_discovery(&[&backend]);
    let mut client = gateway.client();
    client.send(&get_request(""));
    backend.next_request().respond_ok("served");
    assert_eq!(client.read_response().status(), 200);

    let disable = format!("/-/backends/{FIRST_ID}/disable");
    assert_eq!(admin_request(admin, "PUT", &disable).0, 200);
    assert_eq!(admin_request(admin, "PUT", &disable).0, 200, "disabling again changes nothing");
    assert_eq!(metric(admin, "balancer.members_unavailable"), 1);
    // The only backend can be disabled, too.
    expect_rejection(&gateway);
    for update in [
        json!([target(FIRST_ID, backend.address, "ready")]),
        json!([target(FIRST_ID, backend.address, "gone")]),
        json!([target(FIRST_ID, at_new_address.address, "ready")]),
    ] {
        discovery.push_update(update);
        expect_rejection(&gateway);
    }
    // SIGHUP restarts the watch, which begins with a complete list.
    gateway.signal("-HUP");
    wait_for_metric(admin, "balancer.config_reloads", 1);
    discovery.wait_for_watch();
    discovery.wait_for_watch();
    expect_rejection(&gateway);
    assert_eq!(admin_request(admin, "PUT", &format!("/-/backends/{FIRST_ID}/enable")).0, 200);
    discovery.push_update(json!([target(FIRST_ID, at_new_address.address, "ready")]));
    wait_until_served_by(&gateway, &at_new_address);
    assert!(backend.exchanges.try_recv().is_err());
}

#[test]
fn a_backend_that_is_no_longer_listed_can_be_disabled_and_enabled() {
    let backends = [ScriptedServer::start(), ScriptedServer::start()];
    let (gateway, admin, discovery) = gateway_with_discovery(&[&backends[0], &backends[1]]);
    discovery.push_update(json!([target(FIRST_ID, backends[0].address, "gone")]));
    assert_eq!(admin_request(admin, "PUT", &format!("/-/backends/{FIRST_ID}/disable")).0, 200);
    assert_eq!(metric(admin, "balancer.members"), 1);
    discovery.push_update(json!([target(FIRST_ID, backends[0].address, "ready")]));
    discovery.push_update(json!([target(SECOND_ID, backends[1].address, "draining")]));
    expect_rejection(&gateway);
    assert_eq!(metric(admin, "balancer.members_unavailable"), 2);
    assert_eq!(admin_request(admin, "PUT", &format!("/-/backends/{FIRST_ID}/enable")).0, 200);
    wait_until_served_by(&gateway, &backends[0]);
}

#[test]
fn an_attempt_still_connecting_when_its_backend_is_disabled_is_not_sent() {
    let blocked = BlockedBackend::start();
    let known = target_list(&[target(FIRST_ID, blocked.address, "ready")]);
    let (mut config, admin) = with_admin_listener(config(reserve(), known));
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let gateway = Gateway::start(&config);
    let mut client = gateway.client();
    client.send(&post_request("a job"));
    blocked.wait_for_connect_attempt();
    assert_eq!(admin_request(admin, "PUT", &format!("/-/backends/{FIRST_ID}/disable")).0, 200);
    let reader = thread::spawn(move || client.read_response().status());
    assert_eq!(String::from_utf8_lossy(&blocked.accept_and_read_to_end()), "");
    assert_eq!(reader.join().expect("client thread panicked"), 429);
}

#[test]
fn a_retry_does_not_go_to_a_backend_disabled_meanwhile() {
    let backends = [ScriptedServer::start(), ScriptedServer::start()];
    let (gateway, admin, _discovery) = gateway_with_discovery(&[&backends[0], &backends[1]]);
    let mut client = gateway.client();
    client.send(&get_request(""));
    let (first_attempt, index) = next_request_of(&backends);
    let other_id = [SECOND_ID, FIRST_ID][index];
    assert_eq!(admin_request(admin, "PUT", &format!("/-/backends/{other_id}/disable")).0, 200);
    first_attempt.respond("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let reader = thread::spawn(move || client.read_response().status());
    // The request may be retried at the enabled backend, and never at the disabled one.
    let enabled = &backends[index];
    while !reader.is_finished() {
        if let Ok(retry) = enabled.exchanges.recv_timeout(Duration::from_millis(2)) {
            retry.respond("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
        }
    }
    assert_eq!(reader.join().expect("client thread panicked"), 429);
    assert!(backends[1 - index].exchanges.try_recv().is_err(), "the disabled backend got the retry");
}

#[test]
fn a_reload_adds_and_removes_classes_and_an_invalid_file_changes_nothing() {
    let backend = ScriptedServer::start();
    let (mut config, admin) =
        with_admin_listener(config(reserve(), target_list(&[target(FIRST_ID, backend.address, "ready")])));
    let gateway = Gateway::start(&config);
    let mut client = gateway.client();
    let original = config.to_string();
    client.send(&post_request("in flight"));
    let in_flight = backend.next_request();

    // The class job-submit is removed, and proof is added, whose requests must not run twice either.
    let kept = config["settings"]["classes"][0].clone();
    let mut added = config["settings"]["classes"][1].clone();
    added["name"] = json!("proof");
    config["settings"]["classes"] = json!([kept, added]);
    config["settings"]["bounds"]["maxAttempts"] = json!(1);
    gateway.reload(&config.to_string());
    wait_for_metric(admin, "balancer.config_reloads", 1);
    assert_eq!(metric(admin, "balancer.completed.proof"), 0);

    // The request in flight is served; a new request of the removed class is rejected with 400.
    in_flight.respond_ok("done");
    assert_eq!(client.read_response().status(), 200);
    client.send(&post_request("too late"));
    assert_eq!(client.read_response().status(), 400);
    let mut client = gateway.client();
    client.send(&post_request("a proof").replace("job-submit", "proof"));
    backend.next_request().respond_ok("proved");
    assert_eq!(client.read_response().status(), 200);
    assert_eq!(metric(admin, "balancer.completed.proof"), 1);
    assert_eq!(metric(admin, "balancer.completed.job-submit"), 1, "a removed class keeps its counts");

    // The new maxAttempts of 1 holds: the request is not retried.
    client.send(&get_request(""));
    backend.next_request().respond("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    assert_eq!(client.read_response().status(), 429);

    for (errors, invalid) in ["", &original[..original.len() / 2], "{}"].into_iter().enumerate() {
        gateway.reload(invalid);
        wait_for_metric(admin, "balancer.config_reload_errors", errors as u64 + 1);
    }
    client.send(&post_request("a proof").replace("job-submit", "proof"));
    let status = thread::scope(|scope| {
        let reader = scope.spawn(|| client.read_response().status());
        while !reader.is_finished() {
            if let Ok(exchange) = backend.exchanges.recv_timeout(Duration::from_millis(2)) {
                exchange.respond_ok("proved");
            }
        }
        reader.join().expect("client thread panicked")
    });
    assert!(status == 200 || status == 429, "the class proof must still exist, got {status}");

    // The original file restores the class job-submit.
    gateway.reload(&original);
    wait_for_metric(admin, "balancer.config_reloads", 2);
    let mut client = gateway.client();
    client.send(&post_request("a job"));
    let until = Instant::now() + TEST_TIMEOUT;
    thread::scope(|scope| {
        let reader = scope.spawn(|| client.read_response().status());
        while !reader.is_finished() {
            assert!(Instant::now() < until, "no response");
            if let Ok(exchange) = backend.exchanges.recv_timeout(Duration::from_millis(2)) {
                exchange.respond_ok("done");
            }
        }
        assert_ne!(reader.join().expect("client thread panicked"), 400, "the class must exist again");
    });
}

#[test]
fn reloads_of_an_unchanged_file_fail_no_request() {
    let backend = ScriptedServer::start();
    let (config, admin) =
        with_admin_listener(config(reserve(), target_list(&[target(FIRST_ID, backend.address, "ready")])));
    let gateway = Gateway::start(&config);
    let mut client = gateway.client();
    for _ in 0..10 {
        client.send(&post_request("a job"));
        let in_flight = backend.next_request();
        gateway.signal("-HUP");
        in_flight.respond_ok("done");
        assert_eq!(client.read_response().status(), 200);
    }
    let until = Instant::now() + TEST_TIMEOUT;
    while metric(admin, "balancer.config_reloads") == 0 {
        assert!(Instant::now() < until, "no reload is counted");
    }
    assert_eq!(metric(admin, "balancer.config_reload_errors"), 0);
    assert_eq!(metric(admin, "balancer.completed.job-submit"), 10);
}

#[test]
fn admin_requests_are_served_in_time_while_the_data_path_is_saturated() {
    let backend = ScriptedServer::start();
    // One backend, listed under 40 IDs: the concurrency limits admit the requests of all clients.
    let targets: Vec<_> = (0..40).map(|n| target(&format!("s-{n:08}"), backend.address, "ready")).collect();
    let mut config = config(reserve(), target_list(&targets));
    let plan = &mut config["settings"]["plans"][0];
    (plan["unitsPerS"], plan["storeSize"]) = (json!(0.0), json!(0.0));
    let (config, admin) = with_admin_listener(config);
    let gateway = Gateway::start(&config);
    let (stop, responses) = (AtomicBool::new(false), AtomicU32::new(0));
    let exchanges = backend.exchanges;
    let mut times = thread::scope(|scope| {
        // Disconnected once the last client thread has ended.
        let (client_running, clients_running) = channel::<()>();
        // The backend responds until the last client has its last response: a queued request arrives late.
        scope.spawn(move || {
            while clients_running.try_recv() != Err(TryRecvError::Disconnected) {
                if let Ok(exchange) = exchanges.recv_timeout(Duration::from_millis(5)) {
                    exchange.respond_ok("served");
                }
            }
        });
        for _ in 0..32 {
            let client_running = client_running.clone();
            let (gateway, stop, responses) = (&gateway, &stop, &responses);
            scope.spawn(move || {
                let _client_running = client_running;
                let mut client = gateway.client();
                while !stop.load(Ordering::Relaxed) {
                    let status = client.send(&get_request("")).read_response().status();
                    assert!(status == 200 || status == 429, "{status} after {responses:?} responses");
                    responses.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        drop(client_running);
        let mut idle = Vec::new();
        let mut times = Vec::new();
        for n in 0..200 {
            // Idle connections must not delay other admin requests.
            idle.push(TcpStream::connect(admin).expect("connect to the admin listener"));
            let path = if n % 2 == 0 { "/-/ready" } else { "/-/metrics" };
            let sent_at = Instant::now();
            assert_eq!(admin_request(admin, "GET", path).0, 200);
            times.push(sent_at.elapsed());
        }
        stop.store(true, Ordering::Relaxed);
        times
    });
    times.sort_unstable();
    let (p50, p99, max) = (times[100], times[198], times[199]);
    println!(
        "{} client requests meanwhile; admin requests: p50 {p50:?}, p99 {p99:?}, max {max:?}",
        responses.into_inner()
    );
    assert!(max < Duration::from_secs(1), "{max:?}");
}
