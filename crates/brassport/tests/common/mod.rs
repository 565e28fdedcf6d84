//! The built program against small scripted peers, over loopback.
#![allow(dead_code, reason = "each test program uses its own part")]

pub use brassport_process_harness::port::reserve;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU8, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes that long unless it fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// One message of HTTP: its first line, its headers (names in lower case) and its body.
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).expect("a status")
    }
}

/// `None` when the other side has closed between two messages.
pub fn read_message(stream: &TcpStream) -> io::Result<Option<Message>> {
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
pub fn expect_close(mut stream: &TcpStream) {
    match stream.read(&mut [0]) {
        Ok(0) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        other => panic!("expected the connection to close, got {other:?}"),
    }
}

/// A request that a scripted peer has read and not answered yet.
pub struct Exchange {
    pub request: Message,
    pub stream: TcpStream,
    pub next: Sender<Exchange>,
}

impl Exchange {
    /// Answers and goes on reading from the connection.
    pub fn answer(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let answer = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(answer.as_bytes()).expect("the answer goes out");
        read_on(self.stream, self.next);
    }
    pub fn ok(self, body: &str) {
        self.answer("200 OK", "", body);
    }
    /// Writes this and closes.
    pub fn break_off(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("the bytes go out");
        self.stream.shutdown(Shutdown::Both).expect("the connection closes");
    }
    /// Waits until the other side has closed.
    pub fn wait_for_close(&mut self) {
        expect_close(&self.stream);
    }
}

pub fn read_on(stream: TcpStream, next: Sender<Exchange>) {
    thread::spawn(move || {
        if let Ok(Some(request)) = read_message(&stream) {
            // A test that has ended listens no more.
            let _ = next.send(Exchange { request, stream, next: next.clone() });
        }
    });
}

/// A peer that the test answers for: a backend, or discovery.
pub struct Peer {
    pub address: SocketAddr,
    pub exchanges: Receiver<Exchange>,
}

impl Peer {
    pub fn start() -> Peer {
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
    pub fn next(&self) -> Exchange {
        self.exchanges.recv_timeout(PATIENCE).expect("a request comes")
    }
}

/// Discovery that tells the list it was given, and changes when the test says so.
pub struct Discovery {
    pub address: SocketAddr,
    pub changes: Sender<Value>,
    pub watches: Receiver<()>,
}

impl Discovery {
    pub fn start(list: Value) -> Discovery {
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
    pub fn tell(&self, targets: Value) {
        self.wait_for_watch();
        self.changes.send(json!({"rev": 2, "all": false, "targets": targets})).expect("discovery runs");
        self.wait_for_watch();
        self.wait_for_watch();
    }
    pub fn wait_for_watch(&self) {
        self.watches.recv_timeout(PATIENCE).expect("a watch comes");
    }
}

pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn list(targets: &[Value]) -> Value {
    json!({"rev": 1, "all": true, "targets": targets})
}

/// A backend to which connections come up only once `open` is called: its backlog is full.
pub struct Stuck {
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub _filling: TcpStream,
}

impl Stuck {
    pub fn start() -> Stuck {
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
    pub fn wait_for_connect(&self) {
        let until = Instant::now() + PATIENCE;
        let (a, port) = (u32::from_le_bytes([127, 0, 0, 1]), self.address.port());
        let wanted = format!("{a:08X}:{port:04X} 02");
        while !std::fs::read_to_string("/proc/net/tcp").expect("the system's sockets").contains(&wanted) {
            assert!(Instant::now() < until, "no connection is attempted");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Lets the connection come up, and returns all that was written to it until it closed.
    pub fn open(self) -> Vec<u8> {
        let _filling = self.listener.accept().expect("the one that filled the backlog");
        let (mut stream, _) = self.listener.accept().expect("the front door's");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("the front door closes the connection");
        bytes
    }
}

/// The configuration of a front door of its own, at a port of its own.
pub fn config(discovery: SocketAddr, known: Value) -> Value {
    let class = |name, semantics| {
        json!({"name": name, "semantics": semantics, "group": "all", "dedupWindow": 5000.0, "worth": 1.0,
               "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.0, "stream": false})
    };
    json!({
        "name": "n0", "listen": reserve().to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
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
pub struct Front {
    pub child: Child,
    pub address: SocketAddr,
    /// The file of its configuration.
    pub file: PathBuf,
}

impl Front {
    /// Starts the program and waits until it listens.
    pub fn start(config: &Value) -> Front {
        Front::start_with(config, Stdio::inherit())
    }
    pub fn start_with(config: &Value, errors: Stdio) -> Front {
        let address = config["listen"].as_str().expect("an address").parse().expect("an address");
        let file = write_config(config);
        let child = spawn(&file, config, errors);
        let until = Instant::now() + PATIENCE;
        while TcpStream::connect(address).is_err() {
            assert!(Instant::now() < until, "the front door does not listen");
            thread::sleep(Duration::from_millis(5));
        }
        if let Some(admin) = config["admin_addr"].as_str() {
            wait_for_ready(admin.parse().expect("an address"));
        }
        Front { child, address, file }
    }
    /// One in front of these backends, known to it from its start, with discovery dead.
    pub fn before(backends: &[SocketAddr]) -> Front {
        let targets: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(n, at)| target(&format!("s-0000000{n}"), *at, "ready"))
            .collect();
        Front::start(&config(reserve(), list(&targets)))
    }
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the front door accepts");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        Client { stream }
    }
    /// Replaces the file under the running program, and signals that.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.file, text).expect("the file is replaced");
        self.signal("-HUP");
    }
    pub fn terminate(&self) {
        self.signal("-TERM");
    }
    pub fn signal(&self, name: &str) {
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

/// A call to the operators' listener, as they make it; its status and its text.
pub fn operate(at: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(at).expect("the operators' listener accepts");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").expect("the call goes out");
    let answer = read_message(&stream).expect("an answer").expect("the connection stays until then");
    expect_close(&stream);
    (answer.status(), String::from_utf8(answer.body).expect("text"))
}

/// Waits until the process whose operators' listener this is serves.
pub fn wait_for_ready(admin: SocketAddr) {
    let until = Instant::now() + PATIENCE;
    loop {
        if TcpStream::connect(admin).is_ok() && operate(admin, "GET", "/-/ready").0 == 200 {
            return;
        }
        assert!(Instant::now() < until, "it does not get ready");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A configuration with an operators' listener, at a port that nobody else is given.
pub fn with_operators(mut config: Value) -> (Value, SocketAddr) {
    let admin = reserve();
    config["admin_addr"] = json!(admin.to_string());
    (config, admin)
}

/// One of the figures.
pub fn figure(at: SocketAddr, name: &str) -> u64 {
    let (status, text) = operate(at, "GET", "/-/metrics");
    assert_eq!(status, 200, "{text}");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    line.unwrap_or_else(|| panic!("no {name} in\n{text}")).parse().expect("a number")
}

/// Waits until a figure has this value: counts may be half a second old.
pub fn wait_for_figure(at: SocketAddr, name: &str, value: u64) {
    let until = Instant::now() + PATIENCE;
    loop {
        let now = figure(at, name);
        if now == value {
            return;
        }
        assert!(Instant::now() < until, "{name} stays at {now}, not {value}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Writes a configuration to a file of its own.
pub fn write_config(config: &Value) -> PathBuf {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config.to_string()).expect("the configuration is written");
    path
}

pub fn spawn(file: &Path, config: &Value, errors: Stdio) -> Child {
    command(file, config).stderr(errors).spawn().expect("the program starts")
}

/// The program as the platform starts it, with a folder of its own for temporary files.
pub fn command(file: &Path, config: &Value) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport"));
    command
        .env("BALANCER_CONFIG", file)
        .env("BALANCER_LISTEN", config["listen"].as_str().expect("an address"))
        .env("BALANCER_DISCOVERY", config["discovery"].as_str().expect("an address"))
        .env("TMPDIR", temporary(file));
    command
}

/// The folder for temporary files of whoever has this configuration.
pub fn temporary(file: &Path) -> PathBuf {
    let folder = file.with_extension("tmp");
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

pub struct Client {
    pub stream: TcpStream,
}

/// The headers of a usual request, under an id of its own.
pub fn headers() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = COUNT.fetch_add(1, Ordering::Relaxed);
    format!(
        "Host: backend.local\r\nX-Request-Id: {id:016x}\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    )
}

pub fn id_of(request: &str) -> &str {
    let (_, rest) = request.split_once("X-Request-Id: ").expect("an id");
    rest.split_once("\r\n").expect("its end").0
}

pub fn get(path: &str) -> String {
    let headers = headers();
    format!(
        "GET /preview-fetch{path} HTTP/1.1\r\n{headers}X-Class: preview-fetch\r\nX-Deadline: 4000m\r\n\r\n"
    )
}

pub fn post(body: &str) -> String {
    let (length, headers) = (body.len(), headers());
    format!(
        "POST /job-submit HTTP/1.1\r\n{headers}X-Class: job-submit\r\nX-Deadline: 4000m\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Client {
    pub fn send(&mut self, request: &str) -> &mut Client {
        self.stream.write_all(request.as_bytes()).expect("the request goes out");
        self
    }
    pub fn expect_close(&mut self) {
        expect_close(&self.stream);
    }
    pub fn read(&mut self) -> Message {
        read_message(&self.stream).expect("an answer comes").expect("the connection stays until then")
    }
}

/// The next request that reaches one of the two, and which of them.
pub fn next_of(peers: &[Peer; 2]) -> (Exchange, usize) {
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
