//! The front door over loopback sockets: the built program against small scripted peers.

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes that long unless it fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// One message of HTTP: its first line, its headers (names in lower case) and its body.
struct Message {
    line: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status")
    }
}

/// `None` when the other side has closed between two messages.
fn read_message(stream: &TcpStream) -> io::Result<Option<Message>> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { line: line.trim_end().to_string(), headers, body }))
}

/// The other side closes, in order or not, and sends nothing before that.
fn expect_close(mut stream: &TcpStream) {
    match stream.read(&mut [0]) {
        Ok(0) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        other => panic!("expected the connection to close, got {other:?}"),
    }
}

/// A request that a scripted peer has read and not answered yet.
struct Exchange {
    request: Message,
    stream: TcpStream,
    next: Sender<Exchange>,
}

impl Exchange {
    /// Answers and goes on reading from the connection.
    fn answer(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(answer.as_bytes()).expect("the answer goes out");
        read_on(self.stream, self.next);
    }
    fn ok(self, body: &str) {
        self.answer("200 OK", "", body);
    }
    /// Writes this and closes.
    fn break_off(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the bytes go out");
        self.stream.shutdown(Shutdown::Both).expect("the connection closes");
    }
    /// Waits until the other side has closed.
    fn wait_for_close(&mut self) {
        expect_close(&self.stream);
    }
}

fn read_on(stream: TcpStream, next: Sender<Exchange>) {
    thread::spawn(move || {
        if let Ok(Some(request)) = read_message(&stream) {
            // A test that has ended listens no more.
            let _ = next.send(Exchange { request, stream, next: next.clone() });
        }
    });
}

/// A peer that the test answers for: a backend, or discovery.
struct Peer {
    address: SocketAddr,
    exchanges: Receiver<Exchange>,
}

impl Peer {
    fn start() -> Peer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, exchanges) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
                read_on(stream, sender.clone());
            }
        });
        Peer { address, exchanges }
    }
    fn next(&self) -> Exchange {
        self.exchanges.recv_timeout(PATIENCE).expect("a request comes")
    }
}

/// Discovery that tells the list it was given, and changes when the test says so.
struct Discovery {
    address: SocketAddr,
    changes: Sender<Value>,
    watches: Receiver<()>,
}

impl Discovery {
    fn start(list: Value) -> Discovery {
        let peer = Peer::start();
        let address = peer.address;
        let (changes, told) = channel::<Value>();
        let (watching, watches) = channel();
        thread::spawn(move || {
            let mut newest = list["rev"].clone();
            while let Ok(call) = peer.exchanges.recv() {
                if !call.request.line.contains("after=") {
                    call.ok(&list.to_string());
                    continue;
                }
                let _ = watching.send(());
                match told.recv_timeout(Duration::from_millis(500)) {
                    Ok(change) => {
                        newest = change["rev"].clone();
                        call.ok(&change.to_string());
                    }
                    Err(_) => call.ok(&json!({"rev": newest, "all": false, "targets": []}).to_string()),
                }
            }
        });
        Discovery { address, changes, watches }
    }
    /// Tells a change, and waits for the watch that follows: the front door has taken the change in by then.
    fn tell(&self, targets: Value) {
        self.wait_for_watch();
        self.changes.send(json!({"rev": 2, "all": false, "targets": targets})).expect("discovery runs");
        self.wait_for_watch();
        self.wait_for_watch();
    }
    fn wait_for_watch(&self) {
        self.watches.recv_timeout(PATIENCE).expect("a watch comes");
    }
}

fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

fn list(targets: &[Value]) -> Value {
    json!({"rev": 1, "all": true, "targets": targets})
}

/// An address where nothing listens.
fn closed_port() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|listener| listener.local_addr()).expect("a port")
}

/// A backend to which connections come up only once `open` is called: its backlog is full.
struct Stuck {
    listener: TcpListener,
    address: SocketAddr,
    _filling: TcpStream,
}

impl Stuck {
    fn start() -> Stuck {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("an address");
        let filling = TcpStream::connect(address).expect("the backlog holds one");
        Stuck { listener, address, _filling: filling }
    }
    /// Waits until a connection is on its way that does not come up.
    fn wait_for_connect(&self) {
        let until = Instant::now() + PATIENCE;
        let (a, port) = (u32::from_le_bytes([127, 0, 0, 1]), self.address.port());
        let wanted = format!("{a:08X}:{port:04X} 02");
        while !std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets").contains(&wanted) {
            assert!(Instant::now() < until, "no connection is attempted");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Lets the connection come up, and returns all that was written to it until it closed.
    fn open(self) -> Vec<u8> {
        let _filling = self.listener.accept().expect("the one that filled the backlog");
        let (mut stream, _) = self.listener.accept().expect("the front door's");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the front door closes the connection");
        bytes
    }
}

/// The configuration of a front door of its own, under an address of its own.
fn config(discovery: SocketAddr, known: Value) -> Value {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    // Other sockets of the system get their ports at 127.0.0.1: here nothing takes this one meanwhile.
    let own = Ipv4Addr::new(127, COUNT.fetch_add(1, Ordering::Relaxed), high, low.max(1));
    let listen = TcpListener::bind((own, 0)).and_then(|listener| listener.local_addr()).expect("a port");
    let class = |name, semantics| {
        json!({"name": name, "semantics": semantics, "group": "all", "dedupWindow": 5000.0, "worth": 1.0,
               "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false})
    };
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": "127.0.0.1:9",
        "known": known,
        "settings": {
            "areas": ["a", "b"], "balancers": 1, "ordinal": 0, "zone": 0, "tick": 4.0, "registryMode": "pushed",
            "bounds": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0, "maxAttempts": 4,
                       "maxRetryAfter": 500.0, "mayDuplicate": false, "retryAfter": true},
            "rules": {"cold": 18000.0, "coldFrom": 0.24, "fall": 3000.0, "stopSendingWithin": 500.0,
                      "tipMultiple": 2.0},
            "familyInfo": {"mostUnits": 1, "usePeriod": 500.0},
            "classes": [class("preview-fetch", "free"), class("job-submit", "single_shot")],
            "plans": [{"name": "starter", "unitsPerS": 1000.0, "storeSize": 2000.0, "concurrency": 0,
                       "price": 1.0, "excessWorth": 0.0, "overrunCost": 0.8, "neverOverRate": 0.0,
                       "capDepth": 0.0, "tolerance": 0.0}],
        },
    })
}

/// The program. It is killed when the test ends.
struct Front {
    child: Child,
    address: SocketAddr,
    /// The file of its configuration.
    file: PathBuf,
}

impl Front {
    /// Starts the program and waits until it listens.
    fn start(config: &Value) -> Front {
        Front::start_with(config, Stdio::inherit())
    }
    fn start_with(config: &Value, errors: Stdio) -> Front {
        let address = config["listen"].as_str().expect("an address").parse().expect("an address");
        let file = write_config(config);
        let child = spawn(&file, config, errors);
        let until = Instant::now() + PATIENCE;
        while TcpStream::connect(address).is_err() {
            assert!(Instant::now() < until, "the front door does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        Front { child, address, file }
    }
    /// One in front of these backends, known to it from its start, with discovery dead.
    fn before(backends: &[SocketAddr]) -> Front {
        let targets: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(n, at)| target(&format!("s-0000000{n}"), *at, "ready"))
            .collect();
        Front::start(&config(closed_port(), list(&targets)))
    }
    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the front door accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client { stream }
    }
    fn terminate(&self) {
        self.signal("-TERM");
    }
    fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes a configuration to a file of its own.
fn write_config(config: &Value) -> PathBuf {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config.to_string()).expect("the configuration is written");
    path
}

fn spawn(file: &Path, config: &Value, errors: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_brassport"))
        .env("BALANCER_CONFIG", file)
        .env("BALANCER_LISTEN", config["listen"].as_str().expect("an address"))
        .env("BALANCER_DISCOVERY", config["discovery"].as_str().expect("an address"))
        .stderr(errors)
        .spawn()
        .expect("the program starts")
}

struct Client {
    stream: TcpStream,
}

/// The headers of a usual request, under an id of its own.
fn headers() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = COUNT.fetch_add(1, Ordering::Relaxed);
    format!(
        "Host: backend.local\r\nX-Request-Id: {id:016x}\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    )
}

fn id_of(request: &str) -> &str {
    let (_, rest) = request.split_once("X-Request-Id: ").expect("an id");
    rest.split_once("\r\n").expect("its end").0
}

fn get(path: &str) -> String {
    let headers = headers();
    format!(
        "GET /preview-fetch{path} HTTP/1.1\r\n{headers}X-Class: preview-fetch\r\nX-Deadline: 4000m\r\n\r\n"
    )
}

fn post(body: &str) -> String {
    let (length, headers) = (body.len(), headers());
    format!(
        "POST /job-submit HTTP/1.1\r\n{headers}X-Class: job-submit\r\nX-Deadline: 4000m\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Client {
    fn send(&mut self, request: &str) -> &mut Client {
        self.stream.write_all(request.as_bytes()).expect("the request goes out");
        self
    }
    fn expect_close(&mut self) {
        expect_close(&self.stream);
    }
    fn read(&mut self) -> Message {
        read_message(&self.stream).expect("an answer comes").expect("the connection stays until then")
    }
}

#[test]
fn serves_the_backends_answer_unchanged() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let mut client = front.client();
    let job = post("a job").replace("/job-submit", "/job-submit/7?a=b%20c");
    client.send(&job.replace("Plan:", "Connection: X-Hop\r\nX-Hop: 1\r\nPlan:"));
    let exchange = backend.next();
    assert_eq!(exchange.request.line, "POST /job-submit/7?a=b%20c HTTP/1.1");
    assert_eq!(exchange.request.header("x-request-id"), id_of(&job));
    assert_eq!(exchange.request.header("x-hop"), "", "it speaks of the client's connection alone");
    assert_eq!(exchange.request.body, b"a job");
    let wait = exchange.request.header("x-deadline").strip_suffix('u').expect("microseconds");
    assert!((1..4_000_000).contains(&wait.parse().expect("a number")), "waits {wait} us");
    let port = exchange.stream.peer_addr().expect("a peer").port();
    let date = "Sun, 06 Nov 1994 08:49:37 GMT";
    let headers = format!("Usage-Percent: 40\r\nContent-Type: image/png\r\nDate: {date}\r\n");
    exchange.answer("200 OK", &headers, "frame");
    let answer = client.read();
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"frame".as_slice()));
    assert_eq!(answer.header("content-type"), "image/png");
    assert_eq!(answer.header("date"), date, "it is that of who made the answer");
    assert_eq!(answer.header("usage-percent"), "", "the meter's figure is for the front door alone");

    client.send(&get("/x"));
    let exchange = backend.next();
    assert_eq!(exchange.stream.peer_addr().expect("a peer").port(), port, "the connection is used again");
    exchange.ok("again");
    let answer = client.read();
    assert_eq!(answer.body, b"again");
    assert!(answer.header("date").ends_with(" GMT"), "one without a date gets one");
}

#[test]
fn healthz_tells_whether_it_can_serve() {
    let discovery = Discovery::start(list(&[]));
    let backend = Peer::start();
    let front = Front::start(&config(discovery.address, list(&[])));
    let ask = "GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n";
    assert_eq!(front.client().send(ask).read().status(), 503);
    discovery.tell(json!([target("s-00000001", backend.address, "ready")]));
    assert_eq!(front.client().send(ask).read().status(), 200);
}

#[test]
fn refuses_at_once_and_says_when_to_come_back() {
    let backend = Peer::start();
    let known = list(&[target("s-00000001", backend.address, "draining")]);
    let front = Front::start(&config(closed_port(), known));
    let asked = Instant::now();
    let answer = front.client().send(&get("")).read();
    assert_eq!(answer.status(), 429);
    assert_eq!(answer.header("retry-after"), "0.500");
    assert!(asked.elapsed() < Duration::from_millis(1000), "not held back");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_never_sent_again() {
    for bytes in [
        "",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
    ] {
        let backends = [Peer::start(), Peer::start()];
        let front = Front::before(&[backends[0].address, backends[1].address]);
        let mut client = front.client();
        client.send(&post("once"));
        let first = next_of(&backends).0;
        first.break_off(bytes);
        assert_eq!(client.read().status(), 504, "after {bytes:?}");
        // The marker is the next that any backend sees.
        client.send(&post("marker"));
        let (exchange, _) = next_of(&backends);
        assert_eq!(exchange.request.body, b"marker");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

/// The next request that reaches one of the two, and which of them.
fn next_of(peers: &[Peer; 2]) -> (Exchange, usize) {
    let until = Instant::now() + PATIENCE;
    loop {
        for (n, peer) in peers.iter().enumerate() {
            if let Ok(exchange) = peer.exchanges.recv_timeout(Duration::from_millis(2)) {
                return (exchange, n);
            }
        }
        assert!(Instant::now() < until, "no request comes");
    }
}

#[test]
fn what_was_turned_away_goes_elsewhere() {
    let backends = [Peer::start(), Peer::start()];
    let front = Front::before(&[backends[0].address, backends[1].address]);
    let mut client = front.client();
    client.send(&post("a job"));
    let (exchange, first) = next_of(&backends);
    exchange.answer("503 Full", "X-Not-Run: 1\r\n", "");
    let (exchange, second) = next_of(&backends);
    assert_ne!(first, second);
    assert_eq!(exchange.request.body, b"a job");
    exchange.ok("done");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn what_could_not_connect_was_never_sent() {
    let front = Front::before(&[closed_port()]);
    // Only a refusal, and no failure, says that nothing ran.
    assert_eq!(front.client().send(&post("a job")).read().status(), 429);
}

#[test]
fn an_idle_connection_that_the_backend_closed_costs_no_request() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let mut client = front.client();
    for _ in 0..3 {
        client.send(&post("a job"));
        backend.next().break_off("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn a_spoilt_answer_may_have_run_and_its_connection_is_of_no_further_use() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let endless = format!("HTTP/1.1 200 OK\r\nX-Long: {}", "x".repeat(64 * 1024));
    let mut port = 0;
    for spoilt in [
        "noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        &endless,
    ] {
        let mut client = front.client();
        client.send(&post("a job"));
        let mut exchange = backend.next();
        let other = exchange.stream.peer_addr().expect("a peer").port();
        assert_ne!(port, other, "a connection is used again that brought what came before {spoilt:.40?}");
        port = other;
        exchange.stream.write_all(spoilt.as_bytes()).expect("the answer goes out");
        assert_eq!(client.read().status(), 504, "{spoilt:.40?}");
        exchange.wait_for_close();
    }
}

#[test]
fn what_comes_behind_an_answer_is_nobodys() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let mut client = front.client();
    for behind in ["", answer, "noise"] {
        client.send(&post("a job"));
        let mut exchange = backend.next();
        let early = "HTTP/1.1 102 Processing\r\n\r\n".repeat(3);
        exchange.stream.write_all(format!("{early}{answer}").as_bytes()).expect("the answer goes out");
        assert_eq!(client.read().body, b"ok");
        if behind.is_empty() {
            exchange.stream.shutdown(Shutdown::Write).expect("it ends");
        } else {
            exchange.stream.write_all(behind.as_bytes()).expect("more goes out");
        }
        exchange.wait_for_close();
    }
    client.send(&post("a job"));
    backend.next().ok("its own");
    assert_eq!(client.read().body, b"its own");
}

#[test]
fn a_figure_of_the_meter_that_cannot_be_is_none() {
    let backend = Peer::start();
    // As many backends as front doors leave each of them room enough from the start.
    let targets = ["s-00000001", "s-00000002", "s-00000003", "s-00000004"];
    let mut config = config(closed_port(), list(&targets.map(|uid| target(uid, backend.address, "ready"))));
    config["settings"]["balancers"] = json!(4);
    let front = Front::start(&config);
    let get = || get("").replace("spread=1", "spread=4");
    let mut client = front.client();
    for figure in ["1e300", "-7", "inf", "NaN", "forty", "40\r\nUsage-Percent: 1e300"] {
        client.send(&get());
        backend.next().answer("200 OK", &format!("Usage-Percent: {figure}\r\n"), "");
        assert_eq!(client.read().status(), 200, "before {figure:?}");
    }
    // The coin is set once in a period of the meter.
    thread::sleep(Duration::from_millis(600));
    for _ in 0..20 {
        client.send(&get());
        backend.next().ok("");
        assert_eq!(client.read().status(), 200);
    }
}

/// A meter with periods of half a second: it counts what reached the backend here and, late, tells the use
/// in the last period that it has added up.
struct Meter {
    start: Instant,
    delay: Duration,
    units_per_period: f64,
    counted: Vec<Instant>,
}

impl Meter {
    const PERIOD: Duration = Duration::from_millis(500);

    fn count(&mut self) {
        self.counted.push(Instant::now());
    }
    /// The header of an answer that goes out now.
    fn header(&self) -> String {
        let told = self.start.elapsed().saturating_sub(self.delay).as_millis() / Meter::PERIOD.as_millis();
        let end = self.start + Meter::PERIOD * told as u32;
        let within = |at: &&Instant| **at < end && **at + Meter::PERIOD >= end;
        let used = self.counted.iter().filter(within).count() as f64 / self.units_per_period;
        format!("Usage-Percent: {:.0}\r\n", 100.0 * used)
    }
}

#[test]
fn a_customer_within_its_quota_is_served_however_late_the_meter_tells() {
    // Eighteen units at once every 0.9 s, all through this one of two front doors; the quota is 22 a second.
    let (bursts, each) = (12, 18);
    for delay in [150, 1250] {
        let backend = Peer::start();
        let targets: Vec<Value> =
            (1..=4).map(|n| target(&format!("s-0000000{n}"), backend.address, "ready")).collect();
        let mut config = config(closed_port(), list(&targets));
        config["settings"]["balancers"] = json!(2);
        config["settings"]["plans"][0]["unitsPerS"] = json!(22.0);
        config["settings"]["plans"][0]["storeSize"] = json!(90.0);
        let front = Front::start(&config);
        let mut client = front.client();
        let start = Instant::now();
        let delay = Duration::from_millis(delay);
        let mut meter = Meter { start, delay, units_per_period: 11.0, counted: Vec::new() };
        thread::spawn(move || {
            while let Ok(exchange) = backend.exchanges.recv() {
                meter.count();
                exchange.answer("200 OK", &meter.header(), "");
            }
        });
        let mut refused = 0;
        for burst in 0..bursts {
            let due = start + Duration::from_millis(900) * burst;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            for _ in 0..each {
                client.send(&get("").replace("spread=1", "spread=2"));
                refused += u32::from(client.read().status() == 429);
            }
        }
        assert!(refused < 5, "{refused} of {} refused with a meter {delay:?} late", bursts * each);
    }
}

#[test]
fn a_customer_that_gathers_on_one_front_door_has_its_burst_there() {
    let backend = Peer::start();
    let targets: Vec<Value> =
        (1..=4).map(|n| target(&format!("s-0000000{n}"), backend.address, "ready")).collect();
    let mut config = config(closed_port(), list(&targets));
    config["settings"]["balancers"] = json!(4);
    // The coin is set once in a period: not while this runs, on however slow a machine.
    config["settings"]["familyInfo"]["usePeriod"] = json!(60_000.0);
    config["settings"]["plans"][0]["unitsPerS"] = json!(1.0);
    config["settings"]["plans"][0]["storeSize"] = json!(40.0);
    let front = Front::start(&config);
    let mut client = front.client();
    for n in 1..=8 {
        client.send(&get("").replace("spread=1", "spread=4"));
        backend.next().ok("");
        assert_eq!(client.read().status(), 200, "request {n} of a burst of 40");
    }
}

#[test]
fn a_draining_backend_gets_nothing_new() {
    let backends = [Peer::start(), Peer::start()];
    let both = list(&[
        target("s-00000001", backends[0].address, "ready"),
        target("s-00000002", backends[1].address, "ready"),
    ]);
    let discovery = Discovery::start(both.clone());
    let front = Front::start(&config(discovery.address, both));
    discovery.tell(json!([target("s-00000001", backends[0].address, "draining")]));
    let mut client = front.client();
    for _ in 0..6 {
        client.send(&get(""));
        let (exchange, n) = next_of(&backends);
        assert_eq!(n, 1, "the draining backend got a request");
        exchange.ok("");
        assert_eq!(client.read().status(), 200);
    }
}

#[test]
fn an_attempt_still_connecting_when_its_backend_drains_is_not_sent() {
    let stuck = Stuck::start();
    let known = list(&[target("s-00000001", stuck.address, "ready")]);
    let discovery = Discovery::start(known.clone());
    let mut config = config(discovery.address, known);
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let front = Front::start(&config);
    let mut client = front.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    discovery.tell(json!([target("s-00000001", stuck.address, "draining")]));
    let reader = thread::spawn(move || client.read().status());
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
    assert_eq!(reader.join().expect("an answer"), 429);
}

#[test]
fn nothing_is_sent_for_a_client_that_has_gone() {
    let stuck = Stuck::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", stuck.address, "ready")]));
    config["settings"]["bounds"]["connectTimeout"] = json!(30_000.0);
    let front = Front::start(&config);
    let mut client = front.client();
    client.send(&post("a job"));
    stuck.wait_for_connect();
    drop(client);
    assert_eq!(String::from_utf8_lossy(&stuck.open()), "");
}

#[test]
fn a_client_that_goes_while_its_request_runs_disturbs_no_other() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let mut gone = front.client();
    gone.send(&post("gone"));
    let exchange = backend.next();
    drop(gone);
    let mut client = front.client();
    client.send(&post("here"));
    let here = backend.next();
    exchange.ok("for nobody");
    here.ok("for the one who stayed");
    assert_eq!(client.read().body, b"for the one who stayed");
}

#[test]
fn at_the_deadline_the_client_is_told_and_the_attempts_socket_closed() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let mut client = front.client();
    let asked = Instant::now();
    client.send(&post("a job").replace("4000m", "300000u"));
    let mut exchange = backend.next();
    assert_eq!(client.read().status(), 504);
    assert!(asked.elapsed() >= Duration::from_millis(250), "given up early, after {:?}", asked.elapsed());
    exchange.wait_for_close();
}

#[test]
fn an_attempts_socket_is_closed_before_the_next_attempt_goes_out() {
    let backends = [Peer::start(), Peer::start()];
    let front = Front::before(&[backends[0].address, backends[1].address]);
    let mut client = front.client();
    client.send(&get(""));
    let (mut silent, first) = next_of(&backends);
    // The module gives up on the silent backend long before the deadline.
    let (exchange, second) = next_of(&backends);
    assert_ne!(first, second);
    silent.stream.set_nonblocking(true).expect("the mode is set");
    silent.wait_for_close();
    exchange.ok("from the other");
    assert_eq!(client.read().body, b"from the other");
}

#[test]
fn malformed_input_gets_400_and_reaches_no_backend() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let good = get("");
    let spoilt = [
        ("X-Class: preview-fetch", "X-Class: nothing"),
        ("X-Class: preview-fetch", "X-Class: job-submit"),
        ("X-Class: preview-fetch\r\n", ""),
        ("GET ", "POST "),
        ("Plan: starter", "Plan: emperor"),
        ("client=00000000b4d65521", "client=b4d65521"),
        ("client=00000000b4d65521", "client=+0000000b4d65521"),
        ("client=00000000b4d65521", "client=0000000200000000"),
        ("units=1", "units=NaN"),
        ("units=1", "units=-1"),
        ("units=1", "units=1000000"),
        ("spread=1", "spread=0"),
        ("first=0", "first=9"),
        ("X-Deadline: 4000m", "X-Deadline: 4000"),
        ("X-Deadline: 4000m", "X-Deadline: -1m"),
        ("X-Deadline: 4000m", "X-Deadline: infm"),
        ("X-Request-Id: ", "X-Request-Name: "),
        ("X-Request-Id: ", "X-Request-Id: a b"),
        ("X-Request-Id: ", "X-Request-Id: x\r\nX-Request-Id: "),
        ("Plan: starter", "Plan: starter\r\nPlan: starter"),
        ("client=00000000b4d65521", "client=00000000b4d65521; client=00000000b4d65522"),
    ];
    for (right, wrong) in spoilt {
        assert!(good.contains(right));
        assert_eq!(front.client().send(&good.replace(right, wrong)).read().status(), 400, "{wrong:?}");
    }
    let long = "x".repeat(64 * 1024);
    assert_eq!(front.client().send(&post(&format!("{long}x"))).read().status(), 413);

    let mut client = front.client();
    client.send(&post(&long));
    let exchange = backend.next();
    assert_eq!(exchange.request.body.len(), long.len(), "the first that the backend sees is well formed");
    exchange.ok(&long);
    assert_eq!(client.read().body.len(), long.len());
}

#[test]
fn a_silent_discovery_disturbs_nothing_and_is_asked_anew() {
    let backend = Peer::start();
    let silent = Peer::start();
    let front =
        Front::start(&config(silent.address, list(&[target("s-00000001", backend.address, "ready")])));
    let mut call = silent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    call.wait_for_close();
    // What makes no sense is no list, and the list held stays in force.
    silent.next().ok("{\"rev\":");
    let call = silent.next();
    assert_eq!(call.request.line, "GET /v1/servers HTTP/1.1");
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);
    call.ok(&list(&[]).to_string());
    assert_eq!(silent.next().request.line, "GET /v1/servers?after=1&wait_ms=1000 HTTP/1.1");
    assert_eq!(client.send(&get("")).read().status(), 429, "no backend is left");
}

#[test]
fn sigterm_ends_it_in_order() {
    let backend = Peer::start();
    let mut front = Front::before(&[backend.address]);
    let mut idle = front.client();
    idle.send(&get(""));
    backend.next().ok("");
    assert_eq!(idle.read().status(), 200);
    let mut busy = front.client();
    busy.send(&post("in hand"));
    let in_hand = backend.next();
    front.terminate();
    // Until the signal has come, answers keep their connections.
    let until = Instant::now() + PATIENCE;
    loop {
        let mut late = front.client();
        late.send(&get(""));
        backend.next().ok("late");
        let answer = late.read();
        assert_eq!(answer.status(), 200);
        if answer.header("connection") == "close" {
            break;
        }
        assert!(Instant::now() < until, "the signal does nothing");
    }
    let mut byte = [0];
    assert_eq!(idle.stream.read(&mut byte).expect("an orderly end"), 0, "idle connections are closed");
    in_hand.ok("finished");
    let answer = busy.read();
    assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    assert!(front.child.wait().expect("it ends").success());
}

#[test]
fn sigterm_ends_it_though_a_backend_is_silent() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["settings"]["classes"][1]["deadline"] = json!(12_000.0);
    let mut front = Front::start(&config);
    let mut client = front.client();
    client.send(&post("a job").replace("4000m", "12000m"));
    let _silent = backend.next();
    let asked = Instant::now();
    front.terminate();
    assert_eq!(client.read().status(), 504);
    assert!(front.child.wait().expect("it ends").success());
    // SIGKILL may come after 3.7 s, however long the client would wait; the rest is for a slow machine.
    assert!(asked.elapsed() < Duration::from_millis(8000), "it took {:?}", asked.elapsed());
}

#[test]
fn sighup_moves_the_watch_to_the_new_files_discovery() {
    let (backend, first, second) = (Peer::start(), Peer::start(), Peer::start());
    let mut config = config(first.address, list(&[target("s-00000001", backend.address, "ready")]));
    let mut front = Front::start_with(&config, Stdio::piped());
    let mut log = BufReader::new(front.child.stderr.take().expect("a pipe"));
    first.next().ok(&list(&[target("s-00000001", backend.address, "ready")]).to_string());
    let mut old = first.next();

    // Half a file changes nothing, and says so once.
    std::fs::write(&front.file, &config.to_string()[..99]).expect("the file is replaced");
    front.signal("-HUP");
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    assert!(line.starts_with("brassport: not reloaded: configuration: "), "{line:?}");
    let mut client = front.client();
    client.send(&get(""));
    backend.next().ok("served");
    assert_eq!(client.read().status(), 200);

    // The file goes before BALANCER_DISCOVERY now, and a repeated signal begins the watch once more.
    config["discovery"] = json!(second.address.to_string());
    std::fs::write(&front.file, config.to_string()).expect("the file is replaced");
    for _ in 0..2 {
        front.signal("-HUP");
        old.wait_for_close();
        old = second.next();
        assert_eq!(old.request.line, "GET /v1/servers HTTP/1.1");
    }
    let moved = Peer::start();
    old.ok(&list(&[target("s-00000002", moved.address, "ready")]).to_string());
    second.next();
    client.send(&get(""));
    moved.next().ok("served");
    assert_eq!(client.read().status(), 200);

    front.signal("-HUP");
    front.terminate();
    drop(client);
    assert!(front.child.wait().expect("it ends").success());
}

#[test]
fn idle_connections_give_way_when_descriptors_run_out() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    config["limits"]["sockets"] = json!(48);
    let front = Front::start(&config);
    let serve = |client: &mut Client| {
        client.send(&get(""));
        backend.next().ok("served");
        assert_eq!(client.read().status(), 200);
    };
    let mut usual = front.client();
    serve(&mut usual);
    // Those that never asked go before the one that did, and newcomers are served at once.
    let _silent: Vec<Client> = (0..60).map(|_| front.client()).collect();
    serve(&mut front.client());
    serve(&mut usual);
    // Of those that asked, those go that did so only once, the longest idle first.
    let asked = |_| {
        let mut client = front.client();
        serve(&mut client);
        client
    };
    let mut stayed: Vec<Client> = (0..8).map(asked).collect();
    thread::sleep(Duration::from_millis(400));
    stayed.extend((0..8).map(asked));
    serve(stayed.last_mut().expect("the last"));
    serve(&mut usual);
    stayed[0].expect_close();
}

#[test]
fn of_many_connections_those_that_asked_once_are_soon_closed() {
    let backend = Peer::start();
    let mut config = config(closed_port(), list(&[target("s-00000001", backend.address, "ready")]));
    // Far more than are used here, but for those of a few clients.
    config["limits"]["sockets"] = json!(112);
    let front = Front::start(&config);
    let mut clients: Vec<Client> = (0..24).map(|_| front.client()).collect();
    for client in &mut clients {
        client.send(&get(""));
        backend.next().ok("");
        assert_eq!(client.read().status(), 200);
    }
    let answered = Instant::now();
    // Those beyond an eighth of the 80 descriptors; a sweep may find more of them idle for long enough at once.
    for client in &mut clients[..14] {
        client.expect_close();
    }
    // With few connections each has 10 s.
    assert!(answered.elapsed() < Duration::from_secs(5), "closed after {:?}", answered.elapsed());
}

#[test]
fn a_request_hidden_in_anothers_body_goes_nowhere() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let hidden = get("/hidden");
    let chunked = format!("0\r\n\r\n{hidden}");
    let length = chunked.len();
    let plain = post("");
    for framing in [
        format!("Content-Length: {length}\r\nTransfer-Encoding: chunked"),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {length}"),
        "Transfer-Encoding: chunked".to_string(),
    ] {
        let mut client = front.client();
        client.send(&(plain.replace("Content-Length: 0", &framing) + &chunked));
        assert_eq!(client.read().status(), 400, "{framing:?}");
        client.expect_close();
    }
    let mut client = front.client();
    client.send(&get("/seen"));
    let exchange = backend.next();
    assert!(exchange.request.line.starts_with("GET /preview-fetch/seen "), "{}", exchange.request.line);
    exchange.ok("served");
    assert_eq!(client.read().status(), 200);
}

#[test]
fn an_id_is_busy_until_its_last_attempt_has_ended() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let mut first = front.client();
    let job = post("a job");
    first.send(&job);
    let exchange = backend.next();
    assert_eq!(front.client().send(&job).read().status(), 409);
    // Its client has gone, but the attempt may still have its effect.
    drop(first);
    assert_eq!(front.client().send(&job).read().status(), 409);
    exchange.ok("for nobody");
    let until = Instant::now() + PATIENCE;
    let again = loop {
        let mut client = front.client();
        client.send(&job);
        if let Ok(exchange) = backend.exchanges.recv_timeout(Duration::from_millis(100)) {
            exchange.ok("served");
            break client.read().status();
        }
        assert_eq!(client.read().status(), 409);
        assert!(Instant::now() < until, "the id stays busy");
    };
    assert_eq!(again, 200);
}

#[test]
fn who_does_not_finish_asking_is_sent_away_in_time() {
    let backend = Peer::start();
    let front = Front::before(&[backend.address]);
    let mut kept = front.client();
    kept.send(&get(""));
    backend.next().ok("served");
    assert_eq!(kept.read().status(), 200);
    let came = Instant::now();
    let mut silent = front.client();
    let mut half_head = front.client();
    half_head.send("GET /preview-fetch HTTP/1.1\r\nHost: ");
    let mut half_body = front.client();
    half_body.send(&post("a job").replace("Content-Length: 5", "Content-Length: 6"));
    let mut second = front.client();
    second.send(&get(""));
    backend.next().ok("served");
    assert_eq!(second.read().status(), 200);
    second.send("GET ");
    silent.expect_close();
    half_head.expect_close();
    assert_eq!(half_body.read().status(), 408);
    half_body.expect_close();
    second.expect_close();
    // 3 s are owed; the rest is for a slow machine.
    assert!(came.elapsed() < Duration::from_millis(6000), "it took {:?}", came.elapsed());
    // One that is idle behind an answer may stay.
    kept.send(&get(""));
    backend.next().ok("served");
    assert_eq!(kept.read().status(), 200);
}

#[test]
fn what_is_too_long_is_refused_before_it_has_come_and_the_answer_is_not_lost() {
    let front = Front::before(&[closed_port()]);
    let long = 60 << 20;
    let mut client = front.client();
    client.send(&post("").replace("Content-Length: 0", &format!("Content-Length: {long}")));
    assert_eq!(client.read().status(), 413, "it is answered with none of the body sent");

    let mut client = front.client();
    client.send(&post("").replace("Content-Length: 0", &format!("Content-Length: {long}")));
    let block = vec![b'x'; 1 << 20];
    for _ in 0..60 {
        client.stream.write_all(&block).expect("the front door reads what the client still sends");
    }
    assert_eq!(client.read().status(), 413);
    client.expect_close();

    let mut client = front.client();
    let endless = format!("GET / HTTP/1.1\r\nX-Long: {}", "x".repeat(1 << 20));
    client.stream.write_all(endless.as_bytes()).expect("the front door reads on");
    assert_eq!(client.read().status(), 431);
    client.expect_close();
}

#[test]
fn a_full_log_stops_nothing() {
    let (log, nobody) = UnixStream::pair().expect("a pair");
    log.set_nonblocking(true).expect("the mode is set");
    while (&log).write(&[b'x'; 4096]).is_ok() {}
    log.set_nonblocking(false).expect("the mode is set");
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let front = Front::start_with(&config(closed_port(), known), Stdio::from(OwnedFd::from(log)));
    let mut client = front.client();
    // The module reports once a second that it has no server.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
    drop(nobody);
}

#[test]
fn a_log_that_nobody_takes_ends_nothing() {
    let known = list(&[target("s-00000001", closed_port(), "draining")]);
    let config = config(closed_port(), known);
    let mut front = Front::start_with(&config, Stdio::piped());
    drop(front.child.stderr.take());
    let mut client = front.client();
    // The module reports once a second that it has no server.
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert_eq!(client.send(&get("")).read().status(), 429);
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn bad_configuration_ends_with_one_plain_line() {
    let mut bad = config(closed_port(), list(&[]));
    bad["settings"]["plans"][0]["unitsPerS"] = json!(-1.0);
    let output = spawn(&write_config(&bad), &bad, Stdio::piped()).wait_with_output().expect("it ends");
    assert!(!output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    assert_eq!(said, "brassport: setting plans[0].rate: must be a finite number, not below 0\n");
}
