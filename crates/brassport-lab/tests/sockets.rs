//! The load generator against stand-ins whose delays are known, and the parts that a run starts.

use brassport_lab::sockets::load::{send, Load, Measured};
use brassport_lab::sockets::process::Process;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::time::Duration;

fn helper(words: &[&str]) -> (Process, Vec<SocketAddr>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-lab"));
    command.args(words);
    Process::helper(command).expect("it starts")
}

fn load(doors: Vec<SocketAddr>) -> Load {
    Load { studios: 10, ..Load::new(doors, 200.0, Duration::from_secs(3)) }
}

fn ms(measured: &Measured, part: f64) -> f64 {
    measured.latency.value_at_quantile(part) as f64 / 1000.0
}

#[test]
fn the_rate_and_the_latency_are_those_of_a_stand_in_with_a_known_delay() {
    let (_nodes, at) = helper(&["nodes", "--count", "2", "--work-ms", "20"]);
    let measured = send(load(at)).expect("it answers");
    let wanted = 600.0;
    assert!((measured.requests as f64 - wanted).abs() < 5.0 * f64::sqrt(wanted), "{}", measured.requests);
    assert_eq!((measured.served, measured.refused, measured.failed), (measured.requests, 0, 0));
    // No answer can be earlier; the machine may be busy, so the other side is loose.
    let (least, median) = (ms(&measured, 0.0), ms(&measured, 0.5));
    assert!((19.9..40.0).contains(&least) && median < 60.0, "least {least}, median {median}");
}

#[test]
fn a_stall_of_a_second_shows_in_every_request_that_fell_into_it() {
    let (_nodes, at) =
        helper(&["nodes", "--count", "1", "--work-ms", "1", "--stall-at-ms", "1000", "--stall-ms", "1000"]);
    let measured = send(load(at)).expect("it answers");
    assert_eq!(measured.served, measured.requests);
    // A third of the requests leave within the stall and wait for its rest: half a second on average. A generator
    // that waits for answers would show the stall in the 20 that were out.
    let (p80, most) = (ms(&measured, 0.8), ms(&measured, 1.0));
    assert!((200.0..700.0).contains(&p80), "80th percentile {p80}");
    assert!((900.0..1400.0).contains(&most), "most {most}");
    let waited = measured.latency.count_between(100_000, 2_000_000) as f64 / measured.requests as f64;
    assert!((0.2..0.45).contains(&waited), "{waited} of the requests waited");
}

#[test]
fn what_breaks_or_is_never_answered_is_counted_as_failed_and_connections_churn_as_told() {
    let (nodes, at) = helper(&["nodes", "--count", "1", "--work-ms", "1"]);
    let churning = Load { per_connection: 5, connections: 1, ..load(at.clone()) };
    let measured = send(churning).expect("it answers");
    assert_eq!(measured.served, measured.requests);
    assert!(measured.opened >= measured.requests / 5, "{} for {}", measured.opened, measured.requests);
    drop(nodes);
    let error = send(load(at)).expect_err("nothing listens there any more");
    assert!(error.to_string().contains("nothing answers"), "{error}");
}

#[test]
fn pipelined_requests_wait_for_those_before_them_and_each_has_its_own_answer() {
    let (_nodes, at) = helper(&["nodes", "--count", "1", "--work-ms", "20"]);
    // One connection, 200 requests a second of 20 ms each: four in a row at most times, so it cannot keep up, and the
    // queue is within the connection. With room for all there is no second connection.
    let length = Duration::from_millis(500);
    let piped = Load { pipeline: 1000, connections: 1, most_connections: 1, length, ..load(at) };
    let measured = send(piped).expect("it answers");
    assert_eq!((measured.served, measured.failed, measured.opened), (measured.requests, 0, 1));
    let most = ms(&measured, 1.0);
    let alone = 20.0 * measured.requests as f64;
    assert!(most > 0.5 * alone, "the last of {} waited {most} ms", measured.requests);
}

/// A server that answers one request on each connection, then closes without a word: at once, or on the next request,
/// which it leaves unanswered.
fn closing(on_the_next: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                if on_the_next {
                    let _ = stream.read(&mut [0; 4096]);
                }
            });
        }
    });
    at
}

#[test]
fn a_close_between_requests_costs_none() {
    for on_the_next in [false, true] {
        // A connection stands idle for half a second on average before it is used again.
        let load =
            Load { connections: 10, ..Load::new(vec![closing(on_the_next)], 20.0, Duration::from_secs(3)) };
        let measured = send(load).expect("it answers");
        assert_eq!((measured.served, measured.failed), (measured.requests, 0), "on the next: {on_the_next}");
        assert!(measured.requests > 20 && measured.opened >= measured.requests);
    }
}

#[test]
fn a_surge_and_the_mix_of_classes_are_those_that_were_asked_for() {
    let (_nodes, at) = helper(&["nodes", "--count", "2", "--work-ms", "0"]);
    let surging = Load { surge: 6.0, rate: 300.0, ..load(at) };
    let measured = send(surging).expect("it answers");
    // Three seconds, half a second of them at six times the rate.
    let wanted = 300.0 * (2.5 + 0.5 * 6.0);
    assert!((measured.requests as f64 - wanted).abs() < 5.0 * f64::sqrt(wanted), "{}", measured.requests);
    assert_eq!(measured.served, measured.requests);
    assert!(measured.own > Duration::ZERO && measured.own < Duration::from_secs(3));
}

#[test]
fn a_generator_that_cannot_keep_up_says_that_the_run_is_void() {
    let (_nodes, at) = helper(&["nodes", "--count", "1", "--work-ms", "0"]);
    let measured =
        send(Load { rate: 5_000_000.0, length: Duration::from_millis(30), most_connections: 40, ..load(at) });
    let measured = measured.expect("it answers");
    assert!(measured.void().is_some_and(|why| why.contains("late")), "{}", measured.late);
}

#[test]
fn the_floor_passes_requests_on_and_its_processor_time_is_read() {
    let (_nodes, nodes) = helper(&["nodes", "--count", "3", "--work-ms", "0"]);
    let nodes: Vec<String> = nodes.iter().map(SocketAddr::to_string).collect();
    let mut words = vec!["floor"];
    words.extend(nodes.iter().map(String::as_str));
    let (floor, at) = helper(&words);
    let measured = send(Load { rate: 2000.0, ..load(at) }).expect("it answers");
    assert_eq!(measured.served, measured.requests);
    let spent = floor.processor().expect("it runs");
    assert!(spent > Duration::ZERO && spent < Duration::from_secs(3), "{spent:?}");
    assert!(floor.memory_mib().expect("it runs") > 0.5);
}
