//! Nodes and clients, small and plain: the nodes note each request that reaches them, the clients each answer.

use crate::history::History;
use brassport_checkers::fleet::What;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A client waits so long for an answer; a door's deadline is far below.
const PATIENCE: Duration = Duration::from_secs(20);

/// An answer behind this is late: clients say that they wait 4 s, and a door may be frozen for longer.
const DEADLINE: Duration = Duration::from_secs(20);

/// Every other request is one that must not run twice.
fn is_unsafe(number: u64) -> bool {
    number % 2 == 1
}

/// A message's first line, and its headers with names in lower case.
type Head = (String, Vec<(String, String)>);

/// The head of the next message, with its body passed over.
fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    let length = value(&headers, "content-length").parse().unwrap_or(0);
    reader.read_exact(&mut vec![0; length])?;
    Ok(Some((line.trim_end().to_string(), headers)))
}

fn value<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
}

/// A node that answers everything after a while.
///
/// # Panics
/// There is no free port.
pub fn node(name: &str, work: Duration, history: &History) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (name, history) = (name.to_string(), history.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (node, history) = (name.clone(), history.clone());
            thread::spawn(move || {
                let Ok(reading) = stream.try_clone() else { return };
                let mut reader = BufReader::new(reading);
                while let Ok(Some((line, headers))) = read_message(&mut reader) {
                    let request = value(&headers, "x-request-id").to_string();
                    let unsafe_to_repeat = line.starts_with("POST");
                    history.add(What::Arrived { node: node.clone(), request, unsafe_to_repeat });
                    thread::sleep(work);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Clients of one door, one request after the other, until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// `count` clients, every other request one that must not run twice.
    pub fn of(door: &str, address: SocketAddr, count: u64, history: &History) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let numbers = Arc::new(AtomicU64::new(0));
        let threads = (0..count).map(|_| {
            let (stop, numbers, history, door) =
                (stop.clone(), numbers.clone(), history.clone(), door.to_string());
            thread::spawn(move || {
                let mut kept = None;
                while !stop.load(Ordering::Relaxed) {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let request = format!("{door}-r{number:08x}");
                    let (door, patience) = (door.clone(), DEADLINE);
                    let unsafe_to_repeat = is_unsafe(number);
                    history.add(What::Asked { door, request: request.clone(), unsafe_to_repeat, patience });
                    let status = ask(&mut kept, address, &request, number);
                    history.add(What::Answered { request, status });
                    // A door that is out says come again later; one that is dead says nothing at once.
                    thread::sleep(Duration::from_millis(if status == Some(200) { 5 } else { 40 }));
                }
            })
        });
        Clients { threads: threads.collect(), stop }
    }

    /// Lets each take its last answer.
    ///
    /// # Panics
    /// A client panicked.
    pub fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("no client panics"));
    }
}

/// The status of one call for this path by a client that comes once; none if the connection breaks.
pub fn get(address: SocketAddr, path: &str) -> Option<u16> {
    static NUMBERS: AtomicU64 = AtomicU64::new(0);
    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: door\r\nX-Request-Id: once-{number:08x}\r\nX-Class: preview-fetch\r\n\
         X-Deadline: 4000m\r\nPlan: starter\r\nCookie: client=00000000b4d65521\r\n\
         Quota-Info: units=1,spread=1,first=0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (line, _) = read_message(&mut BufReader::new(stream)).ok()??;
    line.split(' ').nth(1)?.parse().ok()
}

fn ask(kept: &mut Option<TcpStream>, address: SocketAddr, request: &str, number: u64) -> Option<u16> {
    let mut stream = match kept.take() {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
            stream.set_read_timeout(Some(PATIENCE)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream
        }
    };
    let (line, class) = match is_unsafe(number) {
        false => ("GET /preview-fetch", "preview-fetch"),
        true => ("POST /job-submit", "job-submit"),
    };
    let text = format!(
        "{line} HTTP/1.1\r\nHost: door\r\nX-Request-Id: {request}\r\nX-Class: {class}\r\nX-Deadline: 4000m\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let (line, headers) = read_message(&mut reader).ok()??;
    if value(&headers, "connection") != "close" {
        *kept = Some(stream);
    }
    line.split(' ').nth(1)?.parse().ok()
}
