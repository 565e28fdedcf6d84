//! A stand-in of a backend: serves requests as the pages say, one at a time on a connection.

use crate::http::{read_body, read_head, Head};
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

/// How a backend works on a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// It answers after this time.
    Plain(Duration),
    /// If the path ends with `/report`, it answers in two pieces with this time between them; else at once.
    TwoPieces(Duration),
}

/// A request that a backend has begun to work on.
#[derive(Clone)]
pub struct Run {
    pub at: f64,
    pub id: String,
    /// When the complete answer had been written; `None` if that failed.
    pub ended: Option<f64>,
}

/// Requests that a backend handles at once, as its beats say, and those that may wait beside them.
const CAPACITY: usize = 4;
const QUEUE: usize = 16;
/// How long a backend that ends finishes what it is at.
const FINISH: Duration = Duration::from_millis(500);

/// Requests at work and waiting.
#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// One incarnation of a backend.
pub struct Backend {
    pub id: String,
    pub address: SocketAddrV4,
    work: Work,
    record: Arc<Record>,
    /// It has signed off: each answer is the last on its connection.
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    load: Mutex<Load>,
    slot_freed: Condvar,
    connections: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<Run>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Backend {
    /// Starts to listen at a free port of this address.
    pub fn start(id: String, ip: Ipv4Addr, work: Work, record: &Arc<Record>) -> io::Result<Arc<Backend>> {
        let listener = TcpListener::bind((ip, 0))?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        };
        let backend = Arc::new(Backend {
            id,
            address,
            work,
            record: record.clone(),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            load: Mutex::default(),
            slot_freed: Condvar::new(),
            connections: Mutex::default(),
            runs: Mutex::default(),
        });
        let accepting = backend.clone();
        std::thread::spawn(move || accepting.accept(&listener));
        Ok(backend)
    }

    /// The requests that it has worked on.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Has each answer from now on say `Connection: close`.
    pub fn begin_to_leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends: takes nothing new, finishes what it is at, and closes its connections and its port.
    pub fn end(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        std::thread::sleep(FINISH);
        for connection in lock(&self.connections).drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while let Ok((stream, _)) = listener.accept() {
            if self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_nodelay(true);
            lock(&self.connections).extend(stream.try_clone());
            let backend = self.clone();
            std::thread::spawn(move || {
                // Its callers may go as they like.
                let _ = backend.serve(stream);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            read_body(&head, &mut reader)?;
            let stream = reader.get_mut();
            if head.first_line.starts_with("GET /health ") {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nX-Server-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let Some(id) = head.header("x-try-id").map(str::to_owned) else {
                stream.write_all(b"HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            if head.header("x-expect-server").is_some_and(|expected| expected != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Try-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            if !self.take_slot() {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Try-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                continue;
            }
            let is_last = self.is_leaving.load(Ordering::SeqCst);
            let result = self.run(&head, &id, is_last, stream);
            lock(&self.load).running -= 1;
            self.slot_freed.notify_one();
            result?;
            if is_last {
                return stream.shutdown(Shutdown::Both);
            }
        }
        Ok(())
    }

    /// Waits for a free slot. False if the queue is full, or the backend ends.
    fn take_slot(&self) -> bool {
        let mut load = lock(&self.load);
        if self.is_gone.load(Ordering::SeqCst) || load.waiting >= QUEUE {
            return false;
        }
        load.waiting += 1;
        while load.running >= CAPACITY {
            load = self.slot_freed.wait(load).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn run(&self, head: &Head, id: &str, is_last: bool, stream: &mut TcpStream) -> io::Result<()> {
        let index = {
            let mut runs = lock(&self.runs);
            runs.push(Run { at: self.record.now(), id: id.to_owned(), ended: None });
            runs.len() - 1
        };
        self.record.event(format!("run      {id} at {}", self.id));
        let close = if is_last { "Connection: close\r\n" } else { "" };
        let start =
            format!("HTTP/1.1 200 OK\r\nX-Try-Id: {id}\r\nX-Server-Seal: {}.{index}\r\n{close}", self.id);
        let path = head.first_line.split(' ').nth(1).unwrap_or_default();
        match self.work {
            Work::TwoPieces(pause) if path.ends_with("/report") => {
                let first = format!("{start}Transfer-Encoding: chunked\r\n\r\n6\r\nfirst-\r\n");
                stream.write_all(first.as_bytes())?;
                std::thread::sleep(pause);
                stream.write_all(b"4\r\nlast\r\n0\r\n\r\n")?;
            }
            Work::Plain(time) => {
                std::thread::sleep(time);
                stream.write_all(format!("{start}Content-Length: 4\r\n\r\ndone").as_bytes())?;
            }
            Work::TwoPieces(_) => {
                stream.write_all(format!("{start}Content-Length: 4\r\n\r\ndone").as_bytes())?;
            }
        }
        self.record.event(format!("answered {id} at {}", self.id));
        lock(&self.runs)[index].ended = Some(self.record.now());
        Ok(())
    }
}

/// The body of a beat.
pub fn beat(service: &str, address: SocketAddrV4, zone: &str, count: u64) -> String {
    format!(
        r#"{{"address":"{address}","details":{{"service":"{service}","version":"v1","zone":"{zone}","capacity":4}},"status":{{"state":"ready","callCount":{count},"warmupLeftS":0}}}}"#
    )
}
