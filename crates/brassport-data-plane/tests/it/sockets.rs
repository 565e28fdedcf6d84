//! Both ends of the data plane over loopback: clients that send bytes, and a backend that records what it is sent.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// What a backend was sent: each head with its body.
pub type Sent = Rc<RefCell<Vec<String>>>;

/// A head, and the body that its Content-Length tells.
pub async fn message(stream: &mut TcpStream) -> Option<String> {
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

/// A backend that answers by the path, with the try's id and its seal.
pub async fn backend(listener: TcpListener, sent: Sent) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(respond(stream, sent.clone()));
    }
}

async fn respond(mut stream: TcpStream, sent: Sent) {
    while let Some(text) = message(&mut stream).await {
        let id = text.lines().find(|line| line.to_lowercase().starts_with("x-try-id")).unwrap_or_default();
        let status = match text.split(' ').nth(1).unwrap_or_default() {
            "/404" => "404 Not Found",
            "/500" => "500 Internal Server Error",
            "/silent/" => return tokio::time::sleep(Duration::from_secs(5)).await,
            _ => "200 OK",
        };
        let answer = format!("HTTP/1.1 {status}\r\n{id}\r\nX-Server-Seal: 3e1b.07\r\nX-Customer: spoof\r\nX-More: kept\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody");
        sent.borrow_mut().push(text);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Figures that differ from run to run, as `#`.
pub fn steady(text: &str, ports: &[u16]) -> String {
    let mut text = text.to_owned();
    for port in ports {
        text = text.replace(&format!(":{port}"), ":PORT");
    }
    let varies = ["date: ", "x-time-left-ms: ", "retry-after: "];
    let line = |line: &str| {
        let lower = line.to_lowercase();
        match varies.iter().find(|name| lower.starts_with(**name)) {
            Some(name) => format!("{}#", &line[..name.len()]),
            None => line.to_owned(),
        }
    };
    text.split("\r\n").map(line).collect::<Vec<_>>().join("\r\n")
}

/// All that comes back upon a request until the connection closes.
pub async fn exchange(at: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_string(&mut text)).await;
    read.expect("in time").expect("text");
    text
}

/// A complete request.
pub fn request(line: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("{line} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n{headers}{length}\r\n{body}")
}
