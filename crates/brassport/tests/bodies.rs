//! Streaming of long request and response bodies over loopback, in every framing that HTTP/1.1 allows.

mod common;

use common::*;
use serde_json::json;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const FIRST_ID: &str = "s-00000001";
/// A body length that the gateway streams rather than buffers, in bytes.
const LONG: usize = 1 << 20;

/// Reads the head of a message: its start line and header lines, in lower case.
fn read_head(stream: &mut impl BufRead) -> Vec<String> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        assert_ne!(
            stream.read_line(&mut line).expect("read a line"),
            0,
            "the connection was closed within a message head"
        );
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return lines;
        }
        lines.push(line);
    }
}

/// The value of the first header of this name, which is in lower case.
fn header<'a>(head: &'a [String], name: &str) -> Option<&'a str> {
    head.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Reads the body that follows a head, and tells whether it is complete. A head without `Transfer-Encoding: chunked` or
/// `Content-Length` has an empty body.
fn read_body(stream: &mut impl BufRead, head: &[String]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if header(head, "transfer-encoding") != Some("chunked") {
        let length =
            header(head, "content-length").map_or(0, |length| length.parse().expect("valid Content-Length"));
        let read = stream.take(length).read_to_end(&mut body);
        return (body.clone(), read.is_ok() && body.len() as u64 == length);
    }
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).unwrap_or(0) == 0 {
            return (body, false);
        }
        let size = usize::from_str_radix(line.trim(), 16).expect("valid chunk size");
        let mut chunk = vec![0; size + 2];
        if stream.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// A backend whose connections the test accepts and serves by itself.
struct RawBackend {
    listener: TcpListener,
}

impl RawBackend {
    fn start() -> RawBackend {
        RawBackend { listener: TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a free port") }
    }
    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("local address")
    }
    fn accept(&self) -> BufReader<TcpStream> {
        let (stream, _) = self.listener.accept().expect("accept a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        BufReader::new(stream)
    }
}

/// A client connection with a buffered reader, which keeps the bytes that arrive after a message head.
fn connect(gateway: &Gateway) -> BufReader<TcpStream> {
    BufReader::new(gateway.client().stream)
}

fn send(connection: &BufReader<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    let mut stream = connection.get_ref();
    stream.write_all(bytes)
}

/// Test data that repeats every 251 bytes.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

/// The head of a POST request with this `Content-Length`. `extra_headers` is empty or begins with CRLF.
fn post_with_length(length: usize, extra_headers: &str) -> String {
    post_request("").replace("Content-Length: 0", &format!("Content-Length: {length}{extra_headers}"))
}

#[test]
fn a_long_response_is_streamed_unchanged() {
    let body = pattern(LONG);
    for chunked in [false, true] {
        let backend = RawBackend::start();
        let gateway = Gateway::with_backends(&[backend.address()]);
        let mut client = connect(&gateway);
        send(&client, get_request("").as_bytes()).expect("write to the socket");
        let mut server = backend.accept();
        read_head(&mut server);
        let (head, half) = (b"HTTP/1.1 200 OK\r\nX-Kept: yes\r\n".to_vec(), LONG / 2);
        let framing = if chunked {
            format!("Transfer-Encoding: chunked\r\n\r\n{half:x};note=\"x\"\r\n")
        } else {
            format!("Content-Length: {LONG}\r\n\r\n")
        };
        send(&server, &head).and_then(|()| send(&server, framing.as_bytes())).expect("write to the socket");
        send(&server, &body[..half]).expect("write to the socket");
        // The client reads the head before the backend has written the rest of the body.
        let response_head = read_head(&mut client);
        assert!(response_head[0].starts_with("http/1.1 200"), "{response_head:?}");
        assert_eq!(header(&response_head, "x-kept"), Some("yes"));
        if chunked {
            send(&server, format!("\r\n{half:x}\r\n").as_bytes()).expect("write to the socket");
            send(&server, &body[half..]).expect("write to the socket");
            send(&server, b"\r\n0\r\nX-Trailer: gone\r\n\r\n").expect("write to the socket");
        } else {
            send(&server, &body[half..]).expect("write to the socket");
        }
        let (received, complete) = read_body(&mut client, &response_head);
        assert!(complete && received == body, "chunked {chunked}: {} bytes", received.len());
        // Both connections are reused.
        send(&client, get_request("").as_bytes()).expect("write to the socket");
        read_head(&mut server);
        send(&server, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("write to the socket");
        let response_head = read_head(&mut client);
        assert_eq!(read_body(&mut client, &response_head), (b"ok".to_vec(), true));
    }
}

#[test]
fn a_truncated_long_response_is_truncated_at_the_client_too() {
    for framing in [format!("Content-Length: {LONG}"), "Transfer-Encoding: chunked".to_string()] {
        let backend = RawBackend::start();
        let (config, admin) = with_admin_listener(config(
            reserve(),
            target_list(&[target(FIRST_ID, backend.address(), "ready")]),
        ));
        let gateway = Gateway::start(&config);
        let mut client = connect(&gateway);
        send(&client, get_request("").as_bytes()).expect("write to the socket");
        let mut server = backend.accept();
        read_head(&mut server);
        let chunk = if framing.starts_with('T') { "40000\r\n" } else { "" };
        send(&server, format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{chunk}").as_bytes())
            .expect("write to the socket");
        send(&server, &pattern(0x20000)).expect("write to the socket");
        let response_head = read_head(&mut client);
        drop(server);
        assert!(!read_body(&mut client, &response_head).1, "{framing}");
        wait_for_metric(admin, "balancer.failed.preview-fetch", 1);
        assert_eq!(metric(admin, "balancer.pending"), 0);
    }
}

#[test]
fn a_long_response_is_not_cut_off_at_its_deadline() {
    let backend = RawBackend::start();
    let gateway = Gateway::with_backends(&[backend.address()]);
    let mut client = connect(&gateway);
    let sent_at = Instant::now();
    send(&client, get_request("").replace("4000m", "300m").as_bytes()).expect("write to the socket");
    let mut server = backend.accept();
    read_head(&mut server);
    send(&server, format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\nfirst").as_bytes())
        .expect("write to the socket");
    let response_head = read_head(&mut client);
    while sent_at.elapsed() < Duration::from_millis(400) {
        thread::sleep(Duration::from_millis(10));
    }
    send(&server, &vec![b'x'; LONG - 5]).expect("write to the socket");
    assert!(read_body(&mut client, &response_head).1);
}

#[test]
fn a_truncated_short_chunked_response_is_retried_at_another_backend() {
    let backends = [RawBackend::start(), RawBackend::start()];
    let gateway = Gateway::with_backends(&[backends[0].address(), backends[1].address()]);
    let mut client = connect(&gateway);
    send(&client, get_request("").as_bytes()).expect("write to the socket");
    // The backend that gets the first attempt truncates its response; the other sends a complete one.
    let truncated = &std::sync::atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for backend in &backends {
            scope.spawn(move || {
                let mut server = backend.accept();
                read_head(&mut server);
                let response: &[u8] = if !truncated.swap(true, std::sync::atomic::Ordering::Relaxed) {
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf "
                } else {
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
                };
                send(&server, response).expect("write to the socket");
            });
        }
        let response_head = read_head(&mut client);
        assert_eq!(read_body(&mut client, &response_head), (b"whole".to_vec(), true));
    });
}

#[test]
fn a_response_ended_by_close_and_one_after_early_hints_are_complete() {
    let backend = RawBackend::start();
    let gateway = Gateway::with_backends(&[backend.address()]);
    for (response, body) in [
        (&b"HTTP/1.1 200 OK\r\n\r\nup to the end"[..], &b"up to the end"[..]),
        (
            b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlast",
            b"last",
        ),
        (b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nold", b"old"),
    ] {
        let mut client = connect(&gateway);
        send(&client, get_request("").as_bytes()).expect("write to the socket");
        let mut server = backend.accept();
        read_head(&mut server);
        send(&server, response).expect("write to the socket");
        drop(server);
        let response_head = read_head(&mut client);
        assert_eq!(read_body(&mut client, &response_head), (body.to_vec(), true));
    }
}

#[test]
fn a_long_request_is_streamed_and_its_deadline_counts_from_its_last_byte() {
    let body = pattern(LONG);
    let backend = RawBackend::start();
    let known = target_list(&[target(FIRST_ID, backend.address(), "ready")]);
    let (config, admin) = with_admin_listener(config(reserve(), known));
    let gateway = Gateway::start(&config);
    let mut client = connect(&gateway);
    let request = post_with_length(LONG, "").replace("4000m", "300m");
    send(&client, request.as_bytes())
        .and_then(|()| send(&client, &body[..LONG / 2]))
        .expect("write to the socket");
    // The backend reads the head before the client has sent the whole body.
    let mut server = backend.accept();
    let accepted_at = Instant::now();
    let head = read_head(&mut server);
    assert_eq!(header(&head, "content-length"), Some(LONG.to_string().as_str()));
    assert_eq!(metric(admin, "balancer.pending"), 0, "the request is not complete yet");
    assert_eq!(metric(admin, "balancer.upstream_requests"), 0);
    while accepted_at.elapsed() < Duration::from_millis(400) {
        thread::sleep(Duration::from_millis(10));
    }
    send(&client, &body[LONG / 2..]).expect("write to the socket");
    let (received, complete) = read_body(&mut server, &head);
    assert!(complete && received == body);
    wait_for_metric(admin, "balancer.upstream_requests", 1);
    assert_eq!(metric(admin, "balancer.pending"), 1);
    send(&server, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").expect("write to the socket");
    let response_head = read_head(&mut client);
    assert_eq!(read_body(&mut client, &response_head), (b"ok".to_vec(), true));
    // The next request gets no response from the backend and fails at its deadline.
    send(&client, request.replace("X-Request-Id: ", "X-Request-Id: 0").as_bytes())
        .expect("write to the socket");
    send(&client, &body).expect("write to the socket");
    let head = read_head(&mut server);
    assert!(read_body(&mut server, &head).1);
    assert_eq!(read_head(&mut client)[0], "http/1.1 504 gateway timeout");
    assert_eq!(server.read(&mut [0]).expect("read the end of the attempt's connection"), 0);
}

#[test]
fn chunked_requests_with_expect_100_continue_are_forwarded_whole() {
    let backend = RawBackend::start();
    let gateway = Gateway::with_backends(&[backend.address()]);
    let mut client = connect(&gateway);
    for (chunks, length) in [(vec![5, 1, 7], 13), (vec![50_000; 5], 250_000)] {
        let request = post_request("")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nExpect: 100-continue");
        send(&client, request.as_bytes()).expect("write to the socket");
        assert_eq!(read_head(&mut client)[0], "http/1.1 100 continue");
        for (n, size) in chunks.iter().enumerate() {
            let extension = if n == 0 { ";why=not" } else { "" };
            send(&client, format!("{size:X}{extension}\r\n").as_bytes()).expect("write to the socket");
            send(&client, &pattern(*size))
                .and_then(|()| send(&client, b"\r\n"))
                .expect("write to the socket");
        }
        send(&client, b"0\r\nX-Trailer: gone\r\n\r\n").expect("write to the socket");
        let mut server = backend.accept();
        let head = read_head(&mut server);
        assert_eq!(header(&head, "expect"), None);
        let (received, complete) = read_body(&mut server, &head);
        assert!(complete);
        assert_eq!(received.len(), length);
        send(&server, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
            .expect("write to the socket");
        let response_head = read_head(&mut client);
        assert_eq!(read_body(&mut client, &response_head), (b"ok".to_vec(), true));
    }
}

#[test]
fn a_request_and_a_response_sent_byte_by_byte_are_forwarded() {
    let backend = RawBackend::start();
    let gateway = Gateway::with_backends(&[backend.address()]);
    let mut client = connect(&gateway);
    client.get_ref().set_nodelay(true).expect("set the socket option");
    let request = post_request("in pieces").replace("POST /job", "POST http://backend.local/job");
    let request =
        request.replace("Host: ", "CONNECTION: keep-alive, X-Hop\r\nx-hop: 1\r\nConnection: TE\r\nHost: ");
    for byte in request.as_bytes() {
        send(&client, &[*byte]).expect("write to the socket");
    }
    let mut server = backend.accept();
    let head = read_head(&mut server);
    assert!(head[0].starts_with("post /job-submit "), "{head:?}");
    assert_eq!((header(&head, "x-hop"), header(&head, "connection")), (None, None));
    assert_eq!(read_body(&mut server, &head), (b"in pieces".to_vec(), true));
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" {
        send(&server, &[*byte]).expect("write to the socket");
    }
    let response_head = read_head(&mut client);
    assert_eq!(read_body(&mut client, &response_head), (b"ok".to_vec(), true));
}

#[test]
fn a_long_request_rejected_half_way_gets_429_and_is_not_retried() {
    let backends = [RawBackend::start(), RawBackend::start()];
    let gateway = Gateway::with_backends(&[backends[0].address(), backends[1].address()]);
    let mut client = connect(&gateway);
    send(&client, post_with_length(LONG, "").as_bytes())
        .and_then(|()| send(&client, &pattern(LONG / 2)))
        .expect("write to the socket");
    thread::scope(|scope| {
        let threads: Vec<_> = backends
            .iter()
            .map(|backend| {
                backend.listener.set_nonblocking(true).expect("set the socket option");
                scope.spawn(move || {
                    let until = Instant::now() + Duration::from_secs(1);
                    while Instant::now() < until {
                        if let Ok((stream, _)) = backend.listener.accept() {
                            stream.set_nonblocking(false).expect("set the socket option");
                            let mut server = BufReader::new(stream);
                            read_head(&mut server);
                            let rejection = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
                            send(&server, rejection).expect("write to the socket");
                            // Reads until the gateway closes the connection.
                            let _ = io::copy(&mut server, &mut io::sink());
                            return 1;
                        }
                        thread::sleep(Duration::from_millis(5));
                    }
                    0
                })
            })
            .collect();
        let response_head = read_head(&mut client);
        assert!(response_head[0].starts_with("http/1.1 429"), "{response_head:?}");
        assert_eq!(header(&response_head, "connection"), Some("close"));
        let attempts: u32 = threads.into_iter().map(|thread| thread.join().expect("thread panicked")).sum();
        assert_eq!(attempts, 1);
    });
}

#[test]
fn a_client_that_disconnects_during_a_long_request_leaves_nothing_pending() {
    let backend = RawBackend::start();
    let known = target_list(&[target(FIRST_ID, backend.address(), "ready")]);
    let (config, admin) = with_admin_listener(config(reserve(), known));
    let gateway = Gateway::start(&config);
    let client = connect(&gateway);
    send(&client, post_with_length(LONG, "").as_bytes())
        .and_then(|()| send(&client, &pattern(LONG / 2)))
        .expect("write to the socket");
    let mut server = backend.accept();
    let head = read_head(&mut server);
    drop(client);
    assert!(!read_body(&mut server, &head).1, "the gateway must close the backend's connection");
    assert_eq!(metric(admin, "balancer.pending"), 0);
    assert_eq!(metric(admin, "balancer.upstream_requests"), 0, "the request was never complete");
}

/// The resident memory of the gateway process, in KiB, from `/proc`.
fn resident_kib(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id()))
        .expect("read /proc of the gateway process");
    let line =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS in /proc/PID/status");
    line.trim().trim_end_matches(" kB").parse().expect("valid number")
}

#[test]
fn concurrent_long_bodies_with_slow_backends_take_little_memory() {
    /// The number of uploads, and of downloads.
    const MANY: usize = 64;
    /// The length of each body, in bytes.
    const SIZE: usize = 16 << 20;
    let backend = RawBackend::start();
    // One backend, listed under `MANY` IDs: the concurrency limits admit all requests at once.
    let targets: Vec<_> =
        (0..MANY).map(|n| target(&format!("s-{n:08}"), backend.address(), "ready")).collect();
    let mut config = config(reserve(), target_list(&targets));
    config["limits"]["memory_mb"] = json!(48);
    let plan = &mut config["settings"]["plans"][0];
    (plan["unitsPerS"], plan["storeSize"]) = (json!(0.0), json!(0.0));
    let (config, admin) = with_admin_listener(config);
    let gateway = Gateway::start(&config);
    let before = resident_kib(&gateway);
    let all_started = std::sync::Barrier::new(2 * MANY + 1);
    let resume = std::sync::Barrier::new(2 * MANY + 1);
    let block = pattern(1 << 16);
    let (served, rejected) = thread::scope(|scope| {
        scope.spawn(|| {
            // Uploads are read to the end, which takes until the clients resume; downloads are written as fast as the
            // gateway reads them.
            while let Ok((stream, _)) = backend.listener.accept() {
                let block = &block;
                scope.spawn(move || {
                    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
                    let mut server = BufReader::new(stream);
                    let mut line = String::new();
                    if server.read_line(&mut line).unwrap_or(0) == 0 {
                        return;
                    }
                    let head = read_head(&mut server);
                    let mut remaining = header(&head, "content-length")
                        .map_or(0, |text| text.parse().expect("valid Content-Length"));
                    let mut bytes = vec![0; 1 << 16];
                    while remaining > 0 {
                        match server.read(&mut bytes) {
                            Ok(read) if read > 0 => remaining -= read,
                            _ => return,
                        }
                    }
                    let length = if line.starts_with("GET") { SIZE } else { 0 };
                    let response =
                        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
                    let _ = send(&server, response.as_bytes());
                    for _ in 0..length / block.len() {
                        if send(&server, block).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let clients: Vec<_> = (0..2 * MANY)
            .map(|n| {
                let (all_started, resume, gateway, block) = (&all_started, &resume, &gateway, &block);
                scope.spawn(move || {
                    let mut client = connect(gateway);
                    let upload = n % 2 == 0;
                    let request = if upload { post_with_length(SIZE, "") } else { get_request("") };
                    send(&client, request.as_bytes()).expect("write to the socket");
                    if upload {
                        let _ = (0..4).try_for_each(|_| send(&client, block));
                    }
                    all_started.wait();
                    resume.wait();
                    if upload {
                        // The gateway drains a rejected request for a while and may then close the connection.
                        let _ = (4..SIZE / block.len()).try_for_each(|_| send(&client, block));
                    }
                    let mut line = String::new();
                    let _ = client.read_line(&mut line);
                    if !line.starts_with("HTTP/1.1 200") {
                        return false;
                    }
                    let head = read_head(&mut client);
                    assert!(read_body(&mut client, &head).1, "truncated response");
                    true
                })
            })
            .collect();
        all_started.wait();
        thread::sleep(Duration::from_millis(300));
        let peak = resident_kib(&gateway);
        resume.wait();
        let served = clients
            .into_iter()
            .map(|client| client.join().expect("thread panicked"))
            .filter(|ok| *ok)
            .count();
        let peak = peak.max(resident_kib(&gateway));
        println!("resident memory: {before} KiB before, {peak} KiB with {} concurrent long bodies", 2 * MANY);
        assert!(peak < before + 16 * 1024, "{before} KiB before, {peak} KiB at the peak");
        // No more connections are expected: in non-blocking mode the accepting thread ends after one last connection.
        let (served, rejected) = (served, 2 * MANY - served);
        wait_for_metric(admin, "balancer.pending", 0);
        backend.listener.set_nonblocking(true).expect("set the socket option");
        let _ = TcpStream::connect(backend.address());
        (served, rejected)
    });
    println!("{served} served, {rejected} rejected");
    assert!(served >= MANY, "{served} of {}", 2 * MANY);
}

#[test]
fn a_graceful_shutdown_completes_a_long_response() {
    let backend = RawBackend::start();
    let mut gateway = Gateway::with_backends(&[backend.address()]);
    let mut client = connect(&gateway);
    send(&client, get_request("").as_bytes()).expect("write to the socket");
    let mut server = backend.accept();
    read_head(&mut server);
    send(&server, format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n").as_bytes())
        .expect("write to the socket");
    let response_head = read_head(&mut client);
    gateway.terminate();
    thread::sleep(Duration::from_millis(800));
    send(&server, &pattern(LONG)).expect("write to the socket");
    assert!(read_body(&mut client, &response_head).1);
    assert!(gateway.child.wait().expect("wait for the process to exit").success());
}
