//! Shared helpers: a complete settings file, raw HTTP exchanges and an async runtime.

use brassport_gateway::listeners;
use brassport_golden::Fixtures;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::timeout;

pub const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
pub const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
pub const LOOPBACK: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// A settings file with all fields, and one unknown field.
pub const SETTINGS: &str = "node: n1
ip: 10.0.1.7
zone: a
zones: {a: north, b: south}
listenOn: {front: '10.0.1.7:8080', ready: '10.0.1.7:8081', control: '10.0.1.7:8381'}
internalPorts: [9001, 9002]
seeds: ['10.0.1.7:9001', '10.0.2.9:9001']
firstStart: true
counted: true
limits: {openFiles: 4096, memoryMb: 512.5}
dataFolder: /var/lib/brassport-gateway
reportEveryS: 2.5
survive: {machines: 1, zones: 1, regions: 1}
bounds: [drainS=3.5, retryRatio = 0.2, strict=true, loose=false, note=words]
reachedAt: {10.0.2.9: 192.0.2.1}
unknown: passed over
";

/// Sends `request`, and returns all bytes received until the connection is closed, with the port of the listener
/// replaced by `PORT`.
pub async fn exchange(address: SocketAddrV4, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the listener accepts connections");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_string(&mut text)).await;
    read.expect("the connection is closed within 10 s").expect("the response is UTF-8");
    text.replace(&address.port().to_string(), "PORT")
}

/// Opens a listener on a free port of the loopback address, and returns it with its address.
pub fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = listeners::bind(SocketAddrV4::new(LOOPBACK, 0)).expect("a free port is bound");
    let port = listener.local_addr().expect("the listener has an address").port();
    (listener, SocketAddrV4::new(LOOPBACK, port))
}

/// Returns a valid request with the request line, further headers and a body of the announced length.
pub fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Returns a request whose body does not match its headers.
pub fn malformed(headers: &str, body: &str) -> String {
    let head = "POST /Config.Replace HTTP/1.1\r\nHost: door\r\nConnection: close\r\nX-Built-On: 0\r\n";
    format!("{head}{headers}\r\n{body}")
}

/// Runs a future to completion, with the tasks that it spawns.
pub fn run<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is created");
    LocalSet::new().block_on(&runtime, future)
}
