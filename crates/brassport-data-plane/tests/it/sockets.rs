//! Helpers for tests over the loopback interface: clients that send raw requests, and a backend that records the
//! requests that it receives.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// The requests that a backend has received, each with its head and body.
pub type ReceivedRequests = Rc<RefCell<Vec<String>>>;

/// Reads a message: the head, and a body of the length in `Content-Length`. Returns `None` if the connection ends
/// before.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|text| text.split('\r').next()?.parse().ok());
    for _ in 0..length.unwrap_or(0) {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// Runs a backend that selects its response by the request path. Responses repeat the request id and have a signature.
pub async fn run_backend(listener: TcpListener, received: ReceivedRequests) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(respond(stream, received.clone()));
    }
}

async fn respond(mut stream: TcpStream, received: ReceivedRequests) {
    while let Some(text) = read_message(&mut stream).await {
        let id = text.lines().find(|line| line.to_lowercase().starts_with("x-try-id")).unwrap_or_default();
        let status = match text.split(' ').nth(1).unwrap_or_default() {
            "/404" => "404 Not Found",
            "/500" => "500 Internal Server Error",
            "/silent/" => return tokio::time::sleep(Duration::from_secs(5)).await,
            _ => "200 OK",
        };
        let response = format!("HTTP/1.1 {status}\r\n{id}\r\nX-Server-Seal: 3e1b.07\r\nX-Customer: spoof\r\nX-More: kept\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody");
        received.borrow_mut().push(text);
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Replaces the values that differ between runs: these ports by `PORT`, and the values of time headers by `#`.
pub fn normalize(text: &str, ports: &[u16]) -> String {
    let mut text = text.to_owned();
    for port in ports {
        text = text.replace(&format!(":{port}"), ":PORT");
    }
    let time_headers = ["date: ", "x-time-left-ms: ", "retry-after: "];
    let normalize_line = |line: &str| {
        let lower = line.to_lowercase();
        match time_headers.iter().find(|name| lower.starts_with(**name)) {
            Some(name) => format!("{}#", &line[..name.len()]),
            None => line.to_owned(),
        }
    };
    text.split("\r\n").map(normalize_line).collect::<Vec<_>>().join("\r\n")
}

/// Sends a request and returns all received bytes until the connection closes.
pub async fn exchange(at: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("the data plane listens");
    stream.write_all(request.as_bytes()).await.expect("the request is written");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_string(&mut text)).await;
    read.expect("the response arrives before the timeout").expect("the response is valid UTF-8");
    text
}

/// Builds a complete request with `Connection: close`.
pub fn request(line: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("{line} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n{headers}{length}\r\n{body}")
}
