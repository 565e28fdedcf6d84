//! What the modules share: settings that are complete, HTTP exchanges as bytes, and a runtime.

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

/// A settings file with every field.
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

/// All that comes back upon these bytes until the connection closes; the listener's port as `PORT`.
pub async fn exchange(at: SocketAddrV4, request: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_string(&mut text)).await;
    read.expect("in time").expect("text");
    text.replace(&at.port().to_string(), "PORT")
}

/// A listener on a free port, and its address.
pub fn listener() -> (TcpListener, SocketAddrV4) {
    let listener = listeners::bind(SocketAddrV4::new(LOOPBACK, 0)).expect("a port");
    let port = listener.local_addr().expect("it has one").port();
    (listener, SocketAddrV4::new(LOOPBACK, port))
}

/// A complete request.
pub fn request(line: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// A request whose body is not what its headers announce.
pub fn malformed(headers: &str, body: &str) -> String {
    let head = "POST /Config.Replace HTTP/1.1\r\nHost: door\r\nConnection: close\r\nX-Built-On: 0\r\n";
    format!("{head}{headers}\r\n{body}")
}

/// Runs a future with the tasks that it spawns.
pub fn run<T>(of: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, of)
}
