//! Losses of processes and disks, operators in each other's way, and clients that stop in the middle.

use crate::common::{Serving, TO_COME_UP};
use brassport_testbed::clients::{Client, Platform, Wish};
use brassport_testbed::configuration::{digits, Plan, HOST};
use brassport_testbed::history::Ending;
use brassport_testbed::operator::{call, Operator, Said};
use brassport_testbed::play::block_on;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

fn goods(serving: &Serving) -> Wish {
    let key = serving.operator.plan.as_ref().and_then(|plan| plan.key("elm")).expect("elm has a key");
    let tenant = Some(("elm".to_owned(), key.to_owned()));
    Wish { path_start: "/goods/".into(), is_safe: true, tenant, is_due: true, work: None, leaves_after: None }
}

/// One request at one door.
async fn is_served(serving: &Serving, at: SocketAddrV4) -> bool {
    let mut client = Client::new(1, Platform::watch(&[]), serving.journal.clone());
    client.only = Some(at);
    client.ask(&goods(serving)).await == Ending::Served
}

async fn is_served_within(serving: &Serving, at: SocketAddrV4, patience: Duration) -> bool {
    let since = Instant::now();
    while since.elapsed() < patience {
        if is_served(serving, at).await {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}

#[test]
fn all_doors_killed_at_once_come_back_with_the_newest_word() {
    block_on(async {
        let mut serving = Serving::start().await;
        let plan = serving.next();
        serving.put(plan.clone()).await;
        serving.site.doors.iter_mut().for_each(brassport_testbed::door::Door::kill);
        let since = Instant::now();
        serving.site.start_all().expect("they start again");
        for door in &serving.site.doors {
            let left = Duration::from_secs(10).saturating_sub(since.elapsed());
            let is_served = is_served_within(&serving, door.front(), left).await;
            assert!(is_served, "{} serves nobody within 10 s\n{}", door.name, serving.site.said());
        }
        println!("served again at all doors after {:.2} s", since.elapsed().as_secs_f64());
        serving.expect_read(&plan, TO_COME_UP).await;
    })
    .expect("a runtime");
}

#[test]
fn the_word_outlives_the_disk_of_the_door_that_acknowledged_it() {
    block_on(async {
        let mut serving = Serving::start().await;
        let plan = serving.next();
        let last = serving.put(plan.clone()).await;
        serving.site.doors.iter_mut().take(3).for_each(brassport_testbed::door::Door::kill);
        assert!(last < 3, "a door without a disk acknowledged");
        serving.site.doors[last].wipe().expect("it is emptied");
        assert!(serving.site.settings(last, false).contains("firstStart: false"));
        let since = Instant::now();
        for door in 0..3 {
            serving.site.start(door).expect("it starts again");
        }
        serving.expect_read(&plan, TO_COME_UP).await;
        println!("read back after {:.2} s", since.elapsed().as_secs_f64());
        // And it goes on.
        let next = serving.next();
        serving.put(next.clone()).await;
        serving.expect_read(&next, Duration::from_secs(4)).await;
    })
    .expect("a runtime");
}

#[test]
fn a_frozen_door_holds_up_nobody_and_comes_back() {
    block_on(async {
        let mut serving = Serving::start().await;
        let plan = serving.next();
        let last = serving.put(plan).await;
        serving.site.doors[last].freeze();
        let since = Instant::now();
        let next = serving.next();
        let by = serving.put(next.clone()).await;
        println!("taken {:.2} s after the freeze", since.elapsed().as_secs_f64());
        assert_ne!(by, last, "a frozen door answered");
        for (door, it) in serving.site.doors.iter().enumerate().filter(|(door, _)| *door != last) {
            let is_served = is_served_within(&serving, it.front(), Duration::from_secs(2)).await;
            assert!(is_served, "door {} serves nobody\n{}", door + 1, serving.site.said());
        }
        serving.site.doors[last].thaw();
        let front = serving.site.doors[last].front();
        assert!(is_served_within(&serving, front, Duration::from_secs(4)).await, "it does not come back");
        serving.expect_read(&next, Duration::from_secs(4)).await;
    })
    .expect("a runtime");
}

#[test]
fn of_two_operators_on_one_version_one_wins() {
    block_on(async {
        let mut serving = Serving::start().await;
        for round in 0..6 {
            let current = serving.operator.plan.clone().expect("the first was taken");
            let (one, other) = (current.next(current.version + 2), current.next(current.version + 3));
            let whole = |plan: &Plan| plan.whole().to_string().into_bytes();
            let (one_body, other_body) = (whole(&one), whole(&other));
            // Each begins at another door, and sends the same again until there is a clear answer.
            let mut doors = serving.site.controls();
            let count = doors.len();
            doors.rotate_left(round % count);
            let mut first = Operator::new(doors.clone(), serving.journal.clone());
            doors.rotate_left(1 + round / 3);
            let mut second = Operator::new(doors, serving.journal.clone());
            let path = "/Config.Replace";
            let (said_one, said_other) = tokio::join!(
                first.send(path, current.version, &one_body, TO_COME_UP),
                second.send(path, current.version, &other_body, TO_COME_UP),
            );
            let status = |said: Option<Said>| said.map(|said| said.status);
            let both = (status(said_one), status(said_other));
            println!("round {round}: {both:?}");
            let is_one = both == (Some(200), Some(412));
            assert!(is_one || both == (Some(412), Some(200)), "{both:?}\n{}", serving.site.said());
            let winner = if is_one { one } else { other };
            serving.expect_read(&winner, Duration::from_secs(4)).await;
            serving.operator.plan = Some(winner);
        }
    })
    .expect("a runtime");
}

#[test]
fn invalid_configurations_are_refused_and_not_in_force() {
    block_on(async {
        let serving = Serving::start().await;
        let current = serving.operator.plan.clone().expect("the first was taken");
        let next = current.next(current.version + 2);
        let altered = |alter: &dyn Fn(&mut Value)| {
            let mut body = next.whole();
            alter(&mut body);
            body.to_string().into_bytes()
        };
        let whole = altered(&|_| {});
        let bodies = [
            ("cut off in the middle", whole[..whole.len() / 2].to_vec()),
            (
                "an unknown service",
                altered(&|body| body["hosts"][0]["paths"][1]["service"] = json!("nowhere")),
            ),
            (
                "the same place twice",
                altered(&|body| {
                    let paths = body["hosts"][0]["paths"].as_array_mut().expect("a list");
                    let mut again = paths[1].clone();
                    again["name"] = json!("r-again");
                    paths.push(again);
                }),
            ),
            (
                "a key twice",
                altered(&|body| {
                    let keys = body["customers"][0]["keys"].clone();
                    body["customers"][1]["keys"] = keys;
                }),
            ),
            (
                "a version that is not above",
                altered(&|body| body["version"] = json!(digits(current.version))),
            ),
        ];
        for door in serving.site.controls() {
            for (what, body) in &bodies {
                let said = call(door, "POST", "/Config.Replace", Some(current.version), body).await;
                let status = said.map(|(_, answer)| answer.status);
                assert!(
                    status.is_some_and(|status| (400..500).contains(&status)),
                    "{what} at {door}: {status:?}"
                );
            }
        }
        // Announced longer than it is: the connection ends in the middle.
        let at = serving.site.doors[0].control();
        let mut stream = TcpStream::connect(at).await.expect("a connection");
        let head = format!(
            "POST /Config.Replace HTTP/1.1\r\nHost: {at}\r\nX-Built-On: {}\r\nContent-Length: {}\r\n\r\n",
            digits(current.version),
            whole.len() + 1
        );
        stream.write_all(head.as_bytes()).await.expect("it takes the head");
        stream.write_all(&whole).await.expect("it takes a part");
        drop(stream);
        sleep(Duration::from_millis(300)).await;
        serving.expect_read(&current, Duration::from_secs(4)).await;
        assert!(is_served(&serving, serving.site.doors[0].front()).await);
        // The sound one is taken: the others were refused for what was wrong with them.
        let said = call(at, "POST", "/Config.Replace", Some(current.version), &whole).await;
        assert_eq!(said.map(|(_, answer)| answer.status), Some(200));
    })
    .expect("a runtime");
}

#[test]
fn what_was_taken_is_acknowledged_again_at_any_door() {
    block_on(async {
        let serving = Serving::start().await;
        let current = serving.operator.plan.clone().expect("the first was taken");
        let next = current.next(current.version + 2);
        let whole = next.whole().to_string().into_bytes();
        for door in serving.site.controls() {
            let said = call(door, "POST", "/Config.Replace", Some(current.version), &whole).await;
            assert_eq!(said.map(|(_, answer)| answer.status), Some(200), "Replace at {door}");
        }
        let after = next.next(next.version + 3);
        let change = after.change_from(&next).to_string().into_bytes();
        for door in serving.site.controls() {
            let said = call(door, "POST", "/Config.Change", Some(next.version), &change).await;
            assert_eq!(said.map(|(_, answer)| answer.status), Some(200), "Change at {door}");
        }
        serving.expect_read(&after, Duration::from_secs(4)).await;
    })
    .expect("a runtime");
}

#[test]
fn half_a_head_is_closed_in_time_and_holds_up_nobody() {
    block_on(async {
        let serving = Serving::start().await;
        let front = serving.site.doors[1].front();
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
fn a_body_in_chunks_arrives_whole() {
    block_on(async {
        let serving = Serving::start().await;
        let key = serving.operator.plan.as_ref().and_then(|plan| plan.key("elm")).expect("elm has a key");
        // The last is larger than what a door takes in before it sends on.
        for (number, pieces) in [1, 5, 60].into_iter().enumerate() {
            let front = serving.site.doors[number].front();
            let mut stream = TcpStream::connect(front).await.expect("a connection");
            let id = format!("chunks{number}");
            let head = format!(
                "POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Try-Id: {id}\r\nX-Time-Left-Ms: 2000\r\n\
                 Authorization: Bearer {key}\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.expect("it takes the head");
            let mut whole = Vec::new();
            for piece in 0..pieces {
                let bytes = vec![b'a' + (piece % 26) as u8; 900 + 37 * piece];
                whole.extend_from_slice(&bytes);
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
            let (head, body) = text.split_once("\r\n\r\n").expect("a whole head");
            assert!(head.starts_with("HTTP/1.1 200"), "{pieces} pieces: {head}");
            assert!(body.ends_with(&format!("{id}\n{}", String::from_utf8_lossy(&whole))), "{pieces} pieces");
        }
    })
    .expect("a runtime");
}
