//! Losses of processes and disks, operators in each other's way, and clients that stop in the middle.

use crate::common::{send_at, Serving, STARTUP_TIMEOUT};
use brassport_testbed::clients::RequestSpec;
use brassport_testbed::configuration::{digits, Plan, HOST};
use brassport_testbed::history::RequestOutcome;
use brassport_testbed::node::Node;
use brassport_testbed::operator::{call, FinalResponse, Operator};
use brassport_testbed::play::block_on;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

fn goods(serving: &Serving) -> RequestSpec {
    let key = serving.operator.plan.as_ref().and_then(|plan| plan.key("elm")).expect("elm has a key");
    let tenant = Some(("elm".to_owned(), key.to_owned()));
    RequestSpec::idempotent("/goods/").with_key(tenant).due()
}

/// One request at one node.
async fn is_served(serving: &Serving, at: SocketAddrV4) -> bool {
    send_at(at, 1, &serving.recorder, &goods(serving)).await == RequestOutcome::Served
}

async fn is_served_within(serving: &Serving, at: SocketAddrV4, limit: Duration) -> bool {
    let since = Instant::now();
    while since.elapsed() < limit {
        if is_served(serving, at).await {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

#[test]
fn newest_configuration_survives_a_kill_of_all_nodes() {
    block_on(async {
        let mut serving = Serving::start().await;
        let plan = serving.next();
        serving.put(plan.clone()).await;
        serving.site.nodes.iter_mut().for_each(Node::kill);
        let since = Instant::now();
        serving.site.start_all().expect("they start again");
        for node in &serving.site.nodes {
            let left = Duration::from_secs(10).saturating_sub(since.elapsed());
            let is_served = is_served_within(&serving, node.front(), left).await;
            assert!(is_served, "{} serves nobody within 10 s\n{}", node.name, serving.site.logs());
        }
        println!("served again at all doors after {:.2} s", since.elapsed().as_secs_f64());
        serving.expect_read(&plan, STARTUP_TIMEOUT).await;
    })
    .expect("a runtime");
}

#[test]
fn acknowledged_configuration_survives_loss_of_the_acknowledging_nodes_disk() {
    block_on(async {
        let mut serving = Serving::start().await;
        let plan = serving.next();
        let last = serving.put(plan.clone()).await;
        serving.site.nodes.iter_mut().take(3).for_each(Node::kill);
        assert!(last < 3, "a door without a disk acknowledged");
        serving.site.nodes[last].wipe().expect("it is emptied");
        assert!(serving.site.settings(last, false).contains("firstStart: false"));
        let since = Instant::now();
        for node in 0..3 {
            serving.site.start(node).expect("it starts again");
        }
        serving.expect_read(&plan, STARTUP_TIMEOUT).await;
        println!("read back after {:.2} s", since.elapsed().as_secs_f64());
        // And it goes on.
        let next = serving.next();
        serving.put(next.clone()).await;
        serving.expect_read(&next, Duration::from_secs(4)).await;
    })
    .expect("a runtime");
}

#[test]
fn suspended_node_blocks_nobody_and_recovers() {
    block_on(async {
        let mut serving = Serving::start().await;
        let plan = serving.next();
        let last = serving.put(plan).await;
        serving.site.nodes[last].suspend();
        let since = Instant::now();
        let next = serving.next();
        let by = serving.put(next.clone()).await;
        println!("taken {:.2} s after the freeze", since.elapsed().as_secs_f64());
        assert_ne!(by, last, "a frozen door answered");
        for (node, it) in serving.site.nodes.iter().enumerate().filter(|(node, _)| *node != last) {
            let is_served = is_served_within(&serving, it.front(), Duration::from_secs(2)).await;
            assert!(is_served, "door {} serves nobody\n{}", node + 1, serving.site.logs());
        }
        serving.site.nodes[last].resume();
        let front = serving.site.nodes[last].front();
        assert!(is_served_within(&serving, front, Duration::from_secs(4)).await, "it does not come back");
        serving.expect_read(&next, Duration::from_secs(4)).await;
    })
    .expect("a runtime");
}

#[test]
fn one_of_two_concurrent_writes_on_a_version_is_acknowledged() {
    block_on(async {
        let mut serving = Serving::start().await;
        for round in 0..6 {
            let current = serving.operator.plan.clone().expect("the first was taken");
            let (one, other) = (current.next(current.version + 2), current.next(current.version + 3));
            let body = |plan: &Plan| plan.replace_body().to_string().into_bytes();
            let (one_body, other_body) = (body(&one), body(&other));
            // Each begins at another node, and sends the same again until there is a clear answer.
            let mut nodes = serving.site.controls();
            let count = nodes.len();
            nodes.rotate_left(round % count);
            let mut first = Operator::new(nodes.clone(), serving.recorder.clone());
            nodes.rotate_left(1 + round / 3);
            let mut second = Operator::new(nodes, serving.recorder.clone());
            let path = "/Config.Replace";
            let (response_one, response_other) = tokio::join!(
                first.send(path, current.version, &one_body, STARTUP_TIMEOUT),
                second.send(path, current.version, &other_body, STARTUP_TIMEOUT),
            );
            let status = |response: Option<FinalResponse>| response.map(|response| response.status);
            let both = (status(response_one), status(response_other));
            println!("round {round}: {both:?}");
            let is_one = both == (Some(200), Some(412));
            assert!(is_one || both == (Some(412), Some(200)), "{both:?}\n{}", serving.site.logs());
            let winner = if is_one { one } else { other };
            serving.expect_read(&winner, Duration::from_secs(4)).await;
            serving.operator.plan = Some(winner);
        }
    })
    .expect("a runtime");
}

/// The body of a configuration after an alteration.
fn altered(plan: &Plan, alter: impl FnOnce(&mut Value)) -> Vec<u8> {
    let mut body = plan.replace_body();
    alter(&mut body);
    body.to_string().into_bytes()
}

/// Invalid bodies in place of a configuration on top of a version, with what is wrong with each.
fn invalid_bodies(next: &Plan, version: u32) -> [(&'static str, Vec<u8>); 5] {
    let valid = altered(next, |_| {});
    let unknown_service = altered(next, |body| body["hosts"][0]["paths"][1]["service"] = json!("nowhere"));
    let repeated_path = altered(next, |body| {
        let paths = body["hosts"][0]["paths"].as_array_mut().expect("a list");
        let mut again = paths[1].clone();
        again["name"] = json!("r-again");
        paths.push(again);
    });
    let repeated_key = altered(next, |body| {
        let keys = body["customers"][0]["keys"].clone();
        body["customers"][1]["keys"] = keys;
    });
    let older_version = altered(next, |body| body["version"] = json!(digits(version)));
    [
        ("cut off in the middle", valid[..valid.len() / 2].to_vec()),
        ("an unknown service", unknown_service),
        ("the same place twice", repeated_path),
        ("a key twice", repeated_key),
        ("a version that is not above", older_version),
    ]
}

/// Announces a longer body than it sends: the connection ends in the middle.
async fn send_incomplete(at: SocketAddrV4, version: u32, body: &[u8]) {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    let head = format!(
        "POST /Config.Replace HTTP/1.1\r\nHost: {at}\r\nX-Built-On: {}\r\nContent-Length: {}\r\n\r\n",
        digits(version),
        body.len() + 1
    );
    stream.write_all(head.as_bytes()).await.expect("it takes the head");
    stream.write_all(body).await.expect("it takes a part");
}

#[test]
fn invalid_configurations_are_rejected_and_not_in_force() {
    block_on(async {
        let serving = Serving::start().await;
        let current = serving.operator.plan.clone().expect("the first was acknowledged");
        let next = current.next(current.version + 2);
        for node in serving.site.controls() {
            for (what, body) in &invalid_bodies(&next, current.version) {
                let response = call(node, "POST", "/Config.Replace", Some(current.version), body).await;
                let status = response.map(|(_, answer)| answer.status);
                let is_rejected = status.is_some_and(|status| (400..500).contains(&status));
                assert!(is_rejected, "{what} at {node}: {status:?}");
            }
        }
        let (at, valid) = (serving.site.nodes[0].control(), altered(&next, |_| {}));
        send_incomplete(at, current.version, &valid).await;
        sleep(Duration::from_millis(300)).await;
        serving.expect_read(&current, Duration::from_secs(4)).await;
        assert!(is_served(&serving, serving.site.nodes[0].front()).await);
        // The valid one is acknowledged: the others were rejected for what was wrong with them.
        let response = call(at, "POST", "/Config.Replace", Some(current.version), &valid).await;
        assert_eq!(response.map(|(_, answer)| answer.status), Some(200));
    })
    .expect("a runtime");
}

#[test]
fn resent_write_is_acknowledged_at_every_node() {
    block_on(async {
        let serving = Serving::start().await;
        let current = serving.operator.plan.clone().expect("the first was taken");
        let next = current.next(current.version + 2);
        let body = next.replace_body().to_string().into_bytes();
        for node in serving.site.controls() {
            let response = call(node, "POST", "/Config.Replace", Some(current.version), &body).await;
            assert_eq!(response.map(|(_, answer)| answer.status), Some(200), "Replace at {node}");
        }
        let after = next.next(next.version + 3);
        let change = after.change_body(&next).to_string().into_bytes();
        for node in serving.site.controls() {
            let response = call(node, "POST", "/Config.Change", Some(next.version), &change).await;
            assert_eq!(response.map(|(_, answer)| answer.status), Some(200), "Change at {node}");
        }
        serving.expect_read(&after, Duration::from_secs(4)).await;
    })
    .expect("a runtime");
}

#[test]
fn incomplete_request_head_times_out_and_blocks_nobody() {
    block_on(async {
        let serving = Serving::start().await;
        let front = serving.site.nodes[1].front();
        let mut halves = Vec::new();
        for _ in 0..20 {
            let mut stream = TcpStream::connect(front).await.expect("a connection");
            let half = format!("GET /goods/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Try-");
            stream.write_all(half.as_bytes()).await.expect("it takes the half");
            halves.push(stream);
        }
        let since = Instant::now();
        for _ in 0..10 {
            assert!(is_served(&serving, front).await, "another client is held up");
        }
        for mut stream in halves {
            let mut rest = Vec::new();
            let left = Duration::from_secs(10).saturating_sub(since.elapsed());
            let end = timeout(left, stream.read_to_end(&mut rest)).await;
            // Closed or reset, with an answer before or without.
            assert!(end.is_ok(), "half a head is kept open beyond 10 s");
        }
        println!("closed after {:.2} s", since.elapsed().as_secs_f64());
        assert!(is_served(&serving, front).await);
    })
    .expect("a runtime");
}

#[test]
fn chunked_body_arrives_complete() {
    block_on(async {
        let serving = Serving::start().await;
        let key = serving.operator.plan.as_ref().and_then(|plan| plan.key("elm")).expect("elm has a key");
        // The last is larger than what a node takes in before it sends on.
        for (number, pieces) in [1, 5, 60].into_iter().enumerate() {
            let front = serving.site.nodes[number].front();
            let mut stream = TcpStream::connect(front).await.expect("a connection");
            let id = format!("chunks{number}");
            let head = format!(
                "POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Try-Id: {id}\r\nX-Time-Left-Ms: 2000\r\n\
                 Authorization: Bearer {key}\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("it takes the head");
            let mut sent = Vec::new();
            for piece in 0..pieces {
                let bytes = vec![b'a' + (piece % 26) as u8; 900 + 37 * piece];
                sent.extend_from_slice(&bytes);
                let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
                // Cut anywhere, also inside a chunk.
                let (one, other) = chunk.split_at(chunk.len() / 3);
                stream.write_all(one).await.expect("it takes a part");
                sleep(Duration::from_millis(2)).await;
                stream.write_all(other).await.expect("it takes the rest");
            }
            stream.write_all(b"0\r\n\r\n").await.expect("it takes the end");
            let mut answer = Vec::new();
            let came = timeout(Duration::from_secs(4), stream.read_to_end(&mut answer)).await;
            assert!(matches!(came, Ok(Ok(_))), "{pieces} pieces: no answer");
            let text = String::from_utf8_lossy(&answer).into_owned();
            let (head, body) = text.split_once("\r\n\r\n").expect("a complete head");
            assert!(head.starts_with("HTTP/1.1 200"), "{pieces} pieces: {head}");
            assert!(body.ends_with(&format!("{id}\n{}", String::from_utf8_lossy(&sent))), "{pieces} pieces");
        }
    })
    .expect("a runtime");
}
