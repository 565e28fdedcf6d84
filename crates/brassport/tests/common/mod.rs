//! Helpers that run the built `brassport` program against scripted clients, backends and discovery servers, over
//! loopback.
#![allow(dead_code, reason = "each test binary uses a part of the helpers")]

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

/// The longest wait for any single event; a test that waits longer fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP/1.1 request or response.
pub struct Message {
    /// The request line or the status line, without the line break.
    pub start_line: String,
    /// Header values by lower-case name; of several fields with one name, the last.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, empty if the header is absent. `name` is in lower case.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status line with a status code")
    }
}

/// Reads a message whose body is framed by `Content-Length`. `None` if the peer closed the connection before its
/// first byte.
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
    let length =
        headers.get("content-length").map_or(0, |length| length.parse().expect("valid Content-Length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Message { start_line: line.trim_end().to_string(), headers, body }))
}

/// Waits until the peer closes or resets the connection; panics if it sends a byte first.
pub fn expect_close(mut stream: &TcpStream) {
    match stream.read(&mut [0]) {
        Ok(0) => {}
        Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {}
        other => panic!("expected the connection to close, got {other:?}"),
    }
}

/// A request that a [`ScriptedServer`] has read and not responded to yet.
pub struct Exchange {
    pub request: Message,
    pub stream: TcpStream,
    /// Receives the next request of the same connection.
    pub requests: Sender<Exchange>,
}

impl Exchange {
    /// Sends a response and then reads the next request of the connection. Each line of `headers` ends with CRLF.
    pub fn respond(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let response = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(response.as_bytes()).expect("write the response");
        spawn_request_reader(self.stream, self.requests);
    }
    pub fn respond_ok(self, body: &str) {
        self.respond("200 OK", "", body);
    }
    /// Writes raw bytes and closes the connection.
    pub fn send_and_close(mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).expect("write to the socket");
        self.stream.shutdown(Shutdown::Both).expect("shut down the connection");
    }
    pub fn wait_for_close(&mut self) {
        expect_close(&self.stream);
    }
}

/// Reads one request on a thread of its own and passes it on; a connection that is closed or broken is dropped.
pub fn spawn_request_reader(stream: TcpStream, requests: Sender<Exchange>) {
    thread::spawn(move || {
        if let Ok(Some(request)) = read_message(&stream) {
            // Fails only once the test has ended and dropped the receiver.
            let _ = requests.send(Exchange { request, stream, requests: requests.clone() });
        }
    });
}

/// A backend or a discovery agent whose responses the test writes.
pub struct ScriptedServer {
    pub address: SocketAddr,
    pub exchanges: Receiver<Exchange>,
}

impl ScriptedServer {
    pub fn start() -> ScriptedServer {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a free port");
        let address = listener.local_addr().expect("local address");
        let (sender, exchanges) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
                spawn_request_reader(stream, sender.clone());
            }
        });
        ScriptedServer { address, exchanges }
    }
    /// The next request on any connection.
    pub fn next_request(&self) -> Exchange {
        self.exchanges.recv_timeout(TEST_TIMEOUT).expect("receive a request")
    }
}

/// A discovery agent that serves a fixed list, and the changes that the test pushes.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    /// Updates to send as the responses to watch requests.
    pub updates: Sender<Value>,
    /// One entry for each watch request received.
    pub watches: Receiver<()>,
}

impl DiscoveryServer {
    pub fn start(list: Value) -> DiscoveryServer {
        let server = ScriptedServer::start();
        let address = server.address;
        let (updates, pending_updates) = channel::<Value>();
        let (watch_received, watches) = channel();
        thread::spawn(move || {
            let mut revision = list["rev"].clone();
            while let Ok(exchange) = server.exchanges.recv() {
                if !exchange.request.start_line.contains("after=") {
                    exchange.respond_ok(&list.to_string());
                    continue;
                }
                let _ = watch_received.send(());
                match pending_updates.recv_timeout(Duration::from_millis(500)) {
                    Ok(update) => {
                        revision = update["rev"].clone();
                        exchange.respond_ok(&update.to_string());
                    }
                    Err(_) => exchange
                        .respond_ok(&json!({"rev": revision, "all": false, "targets": []}).to_string()),
                }
            }
        });
        DiscoveryServer { address, updates, watches }
    }
    /// Sends an update and waits for the watch request that follows it, by which time the gateway has applied the
    /// update.
    pub fn push_update(&self, targets: Value) {
        self.wait_for_watch();
        self.updates
            .send(json!({"rev": 2, "all": false, "targets": targets}))
            .expect("discovery server thread has ended");
        self.wait_for_watch();
        self.wait_for_watch();
    }
    pub fn wait_for_watch(&self) {
        self.watches.recv_timeout(TEST_TIMEOUT).expect("the gateway must send a watch request");
    }
}

/// One backend in the JSON format of the discovery agent.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// A complete list of backends, at revision 1, in the JSON format of the discovery agent.
pub fn target_list(targets: &[Value]) -> Value {
    json!({"rev": 1, "all": true, "targets": targets})
}

/// A backend whose accept queue is full, so that the gateway's connection stays in the SYN_SENT state until
/// [`BlockedBackend::accept_and_read_to_end`].
pub struct BlockedBackend {
    pub listener: TcpListener,
    pub address: SocketAddr,
    /// The connection that fills the accept queue.
    pub _queued: TcpStream,
}

impl BlockedBackend {
    pub fn start() -> BlockedBackend {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
            .expect("create a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("bind a free port");
        socket.listen(0).expect("listen");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("local address");
        let queued = TcpStream::connect(address).expect("connect to fill the backlog");
        BlockedBackend { listener, address, _queued: queued }
    }
    /// Waits until a connection to this backend is in the SYN_SENT state (02 in `/proc/net/tcp`).
    pub fn wait_for_connect_attempt(&self) {
        let until = Instant::now() + TEST_TIMEOUT;
        let (ip, port) = (u32::from_le_bytes([127, 0, 0, 1]), self.address.port());
        let remote_and_state = format!("{ip:08X}:{port:04X} 02");
        while !std::fs::read_to_string("/proc/net/tcp")
            .expect("read /proc/net/tcp")
            .contains(&remote_and_state)
        {
            assert!(Instant::now() < until, "the gateway does not try to connect");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Lets the gateway's connection be established, and returns the bytes it receives until the gateway closes it.
    pub fn accept_and_read_to_end(self) -> Vec<u8> {
        let _queued = self.listener.accept().expect("accept the connection that filled the backlog");
        let (mut stream, _) = self.listener.accept().expect("accept the gateway's connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).expect("read until the gateway closes the connection");
        bytes
    }
}

/// A gateway's configuration with a reserved listening port. `known` is the list of backends to start with.
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

/// A running `brassport` process, killed when dropped.
pub struct Gateway {
    pub child: Child,
    /// The address at which it accepts clients.
    pub address: SocketAddr,
    pub config_path: PathBuf,
}

impl Gateway {
    /// Starts the program and waits until it accepts connections and, if it has an admin listener, reports ready.
    pub fn start(config: &Value) -> Gateway {
        Gateway::start_with_stderr(config, Stdio::inherit())
    }
    pub fn start_with_stderr(config: &Value, stderr: Stdio) -> Gateway {
        let address =
            config["listen"].as_str().expect("valid socket address").parse().expect("valid socket address");
        let config_path = write_config(config);
        let child = spawn(&config_path, config, stderr);
        let until = Instant::now() + TEST_TIMEOUT;
        while TcpStream::connect(address).is_err() {
            assert!(Instant::now() < until, "the gateway does not accept connections");
            thread::sleep(Duration::from_millis(5));
        }
        if let Some(admin) = config["admin_addr"].as_str() {
            wait_for_ready(admin.parse().expect("valid socket address"));
        }
        Gateway { child, address, config_path }
    }
    /// Starts a gateway whose configuration lists these backends and whose discovery agent refuses connections.
    pub fn with_backends(backends: &[SocketAddr]) -> Gateway {
        let targets: Vec<Value> = backends
            .iter()
            .enumerate()
            .map(|(n, address)| target(&format!("s-0000000{n}"), *address, "ready"))
            .collect();
        Gateway::start(&config(reserve(), target_list(&targets)))
    }
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("connect to the gateway");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
        Client { stream }
    }
    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config_path, text).expect("write the configuration file");
        self.signal("-HUP");
    }
    pub fn terminate(&self) {
        self.signal("-TERM");
    }
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(status.expect("run kill").success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request to the admin listener and returns the status code and the body.
pub fn admin_request(admin: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(admin).expect("connect to the admin listener");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the read timeout");
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: door\r\n\r\n").expect("write the admin request");
    let response =
        read_message(&stream).expect("read the response").expect("connection closed before the response");
    expect_close(&stream);
    (response.status(), String::from_utf8(response.body).expect("valid UTF-8"))
}

/// Waits until the process with this admin listener reports that it is ready.
pub fn wait_for_ready(admin: SocketAddr) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if TcpStream::connect(admin).is_ok() && admin_request(admin, "GET", "/-/ready").0 == 200 {
            return;
        }
        assert!(Instant::now() < until, "the gateway does not become ready");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Adds an admin listener with a reserved port to a configuration.
pub fn with_admin_listener(mut config: Value) -> (Value, SocketAddr) {
    let admin = reserve();
    config["admin_addr"] = json!(admin.to_string());
    (config, admin)
}

/// The current value of a metric.
pub fn metric(admin: SocketAddr, name: &str) -> u64 {
    let (status, text) = admin_request(admin, "GET", "/-/metrics");
    assert_eq!(status, 200, "{text}");
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    line.unwrap_or_else(|| panic!("no metric {name} in\n{text}")).parse().expect("valid number")
}

/// Waits until a metric has this value: the exported counts may lag by half a second.
pub fn wait_for_metric(admin: SocketAddr, name: &str, value: u64) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let current = metric(admin, name);
        if current == value {
            return;
        }
        assert!(Instant::now() < until, "{name} stays at {current}, expected {value}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Writes a configuration to a new file.
pub fn write_config(config: &Value) -> PathBuf {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config.to_string()).expect("write the configuration file");
    path
}

pub fn spawn(config_path: &Path, config: &Value, stderr: Stdio) -> Child {
    command(config_path, config).stderr(stderr).spawn().expect("start brassport")
}

/// The command that starts `brassport` as the platform does: settings by environment variables, and a `TMPDIR` of its
/// own.
pub fn command(config_path: &Path, config: &Value) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport"));
    command
        .env("BALANCER_CONFIG", config_path)
        .env("BALANCER_LISTEN", config["listen"].as_str().expect("valid socket address"))
        .env("BALANCER_DISCOVERY", config["discovery"].as_str().expect("valid socket address"))
        .env("TMPDIR", temporary_dir(config_path));
    command
}

/// The `TMPDIR` of all processes started with this configuration file; created if it does not exist.
pub fn temporary_dir(config_path: &Path) -> PathBuf {
    let dir = config_path.with_extension("tmp");
    std::fs::create_dir_all(&dir).expect("create the temporary directory");
    dir
}

pub struct Client {
    pub stream: TcpStream,
}

/// The headers that every valid request has, with a new request ID.
pub fn request_headers() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = COUNT.fetch_add(1, Ordering::Relaxed);
    format!(
        "Host: backend.local\r\nX-Request-Id: {id:016x}\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\n"
    )
}

/// The `X-Request-Id` of a request's text.
pub fn request_id(request: &str) -> &str {
    let (_, rest) = request.split_once("X-Request-Id: ").expect("X-Request-Id header");
    rest.split_once("\r\n").expect("end of the header line").0
}

/// A valid GET request of the class `preview-fetch`; `path` follows the class in the URL.
pub fn get_request(path: &str) -> String {
    let headers = request_headers();
    format!(
        "GET /preview-fetch{path} HTTP/1.1\r\n{headers}X-Class: preview-fetch\r\nX-Deadline: 4000m\r\n\r\n"
    )
}

/// A valid POST request of the class `job-submit`, which must not run twice.
pub fn post_request(body: &str) -> String {
    let (length, headers) = (body.len(), request_headers());
    format!(
        "POST /job-submit HTTP/1.1\r\n{headers}X-Class: job-submit\r\nX-Deadline: 4000m\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

impl Client {
    pub fn send(&mut self, request: &str) -> &mut Client {
        self.stream.write_all(request.as_bytes()).expect("write the request");
        self
    }
    pub fn expect_close(&mut self) {
        expect_close(&self.stream);
    }
    pub fn read_response(&mut self) -> Message {
        read_message(&self.stream).expect("read the response").expect("connection closed before the response")
    }
}

/// The next request that reaches either of two servers, and the index of that server.
pub fn next_request_of(servers: &[ScriptedServer; 2]) -> (Exchange, usize) {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        for (n, server) in servers.iter().enumerate() {
            if let Ok(exchange) = server.exchanges.recv_timeout(Duration::from_millis(2)) {
                return (exchange, n);
            }
        }
        assert!(Instant::now() < until, "no request reaches either server");
    }
}
