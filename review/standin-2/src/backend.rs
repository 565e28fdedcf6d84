//! A backend as the pages have it: it checks in about every 1.5 s, runs a request once it has read it whole, and
//! answers with its seal. Each run is a line in a file.

use crate::http::{call, reset_on_close, shrink_backlog, small_window, Connection, Message};
use crate::site::unix;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What may wait for a slot, and how many connections are taken, as the site file has them.
const QUEUE: usize = 16;
const MAX_CONNECTIONS: usize = 130;

struct Backend {
    id: String,
    service: String,
    zone: String,
    work: Duration,
    /// Whether the answer goes out in eight chunks, one each tenth of a second; otherwise at once, with a length.
    is_paced: bool,
    slots: usize,
    /// Requests at work, and requests that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    connections: AtomicUsize,
    runs: Mutex<File>,
    run_count: AtomicU64,
    /// Whether the next beat is the last one, and is kept back.
    is_leaving: AtomicBool,
    /// Whether no further connection is taken.
    is_closed: AtomicBool,
}

/// A beat that was due, with the door it is for.
struct Beat {
    to: SocketAddrV4,
    count: u64,
}

/// The main function of a backend's process.
pub fn main(arguments: &[String]) -> Result<(), String> {
    let mut options = HashMap::new();
    for pair in arguments.chunks(2) {
        let [name, value] = pair else { return Err("an option without a value".to_owned()) };
        options.insert(name.trim_start_matches("--").to_owned(), value.clone());
    }
    let option = |name: &str| options.get(name).cloned().ok_or(format!("--{name} is missing"));
    let number = |name: &str, default: u64| options.get(name).and_then(|text| text.parse().ok()).unwrap_or(default);
    let ip: Ipv4Addr = option("ip")?.parse().map_err(|_| "--ip")?;
    let controls: Vec<SocketAddrV4> = option("controls")?.split(',').filter_map(|text| text.parse().ok()).collect();
    let runs = OpenOptions::new().create(true).append(true).open(option("runs")?).map_err(|error| error.to_string())?;
    let backend = Arc::new(Backend {
        id: option("id")?,
        service: option("service")?,
        zone: option("zone")?,
        work: Duration::from_millis(number("work-ms", 20)),
        is_paced: number("paced", 0) > 0,
        slots: 4,
        load: Mutex::new((0, 0)),
        freed: Condvar::new(),
        connections: AtomicUsize::new(0),
        runs: Mutex::new(runs),
        run_count: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        is_closed: AtomicBool::new(false),
    });
    let listener = Arc::new(TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?);
    small_window(&*listener);
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { return Err("no address".to_owned()) };
    let (kept_back, last_beat) = mpsc::channel();
    let (beats, doors) = (backend.clone(), controls.clone());
    std::thread::spawn(move || beats.check_in(address, &doors, &kept_back));
    let (commands, its_listener) = (backend.clone(), listener.clone());
    std::thread::spawn(move || commands.obey(address, &its_listener, &controls, &last_beat));
    while !backend.is_closed.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else { continue };
        let backend = backend.clone();
        std::thread::spawn(move || {
            if backend.connections.fetch_add(1, Ordering::SeqCst) < MAX_CONNECTIONS {
                backend.serve(stream);
            } else {
                reset_on_close(&stream);
            }
            backend.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
    // The process ends by a command, or with its owner.
    loop {
        std::thread::park();
    }
}

impl Backend {
    fn check_in(&self, address: SocketAddrV4, controls: &[SocketAddrV4], kept_back: &mpsc::Sender<Beat>) {
        let (mut count, mut next) = (0u64, 0);
        let mut report_to: Option<SocketAddrV4> = None;
        loop {
            count += 1;
            let to = report_to.unwrap_or(controls[next % controls.len()]);
            if self.is_leaving.load(Ordering::SeqCst) {
                let _ = kept_back.send(Beat { to, count });
                return;
            }
            match self.beat(to, address, count) {
                Some(named) => {
                    report_to = named.or(report_to);
                    std::thread::sleep(Duration::from_millis(1500));
                }
                None => {
                    report_to = None;
                    next += 1;
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
    }

    /// Sends one beat. Nothing if it was not acknowledged, otherwise the address that the answer names, if it does.
    fn beat(&self, to: SocketAddrV4, address: SocketAddrV4, count: u64) -> Option<Option<SocketAddrV4>> {
        let body = format!(
            "{{\"address\":\"{address}\",\"details\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"capacity\":{}}},\"status\":{{\"state\":\"ready\",\"callCount\":{count},\"warmupLeftS\":0}}}}",
            self.service, self.zone, self.slots
        );
        let head = format!(
            "POST /Servers.CheckIn/{} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            self.id,
            body.len()
        );
        let answer = call(to, &head, body.as_bytes(), Duration::from_secs(1)).ok()?;
        if !(200..300).contains(&answer.status()) {
            return None;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        Some(text.split("\"reportTo\":\"").nth(1).and_then(|rest| rest.split('"').next()?.parse().ok()))
    }

    /// Reads commands.
    ///
    /// - `dark`: it takes no further connection, and a connect hangs, as to a machine without power. Its owner stops the
    ///   process then.
    /// - `leave SECONDS`: it signs off without having said `emptying`, and serves on. The beat that was due before the
    ///   sign-off goes out so many seconds after its acknowledgement, to the door that it was for.
    /// - `end`: it closes its port, finishes what it is at, and ends.
    fn obey(
        &self,
        address: SocketAddrV4,
        listener: &TcpListener,
        controls: &[SocketAddrV4],
        last_beat: &mpsc::Receiver<Beat>,
    ) {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            match line.split_once(' ') {
                Some(("leave", late)) => self.leave(address, controls, last_beat, late.parse().unwrap_or(0.0)),
                _ if line == "dark" => self.go_dark(address, listener),
                _ if line == "end" => self.end(address),
                _ => {}
            }
        }
    }

    fn go_dark(&self, address: SocketAddrV4, listener: &TcpListener) {
        self.is_closed.store(true, Ordering::SeqCst);
        shrink_backlog(listener);
        // The first wakes the thread that accepts, which takes no other; the next fill the queue.
        let mut fillers = Vec::new();
        while let Ok(filler) = TcpStream::connect_timeout(&address.into(), Duration::from_millis(150)) {
            fillers.push(filler);
        }
        self.note("@dark");
        // Kept until the process ends.
        std::mem::forget(fillers);
    }

    fn leave(&self, address: SocketAddrV4, controls: &[SocketAddrV4], last_beat: &mpsc::Receiver<Beat>, late: f64) {
        self.is_leaving.store(true, Ordering::SeqCst);
        let Ok(Beat { to, count }) = last_beat.recv() else { return };
        self.note("@beat-due");
        if !self.sign_off(controls) {
            return self.note("@not-acknowledged");
        }
        self.note("@signed-off");
        std::thread::sleep(Duration::from_secs_f64(late));
        let is_acknowledged = self.beat(to, address, count).is_some();
        self.note(if is_acknowledged { "@late-beat" } else { "@late-beat, not acknowledged" });
    }

    fn end(&self, address: SocketAddrV4) {
        self.is_closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&address.into(), Duration::from_millis(150));
        let until = Instant::now() + Duration::from_secs(3);
        while self.load.lock().is_ok_and(|load| load.0 + load.1 > 0) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.note("@ended");
        std::process::exit(0);
    }

    fn sign_off(&self, controls: &[SocketAddrV4]) -> bool {
        controls.iter().cycle().take(4 * controls.len()).any(|to| {
            let head = format!(
                "POST /Servers.SignOff/{} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                self.id
            );
            call(*to, &head, b"", Duration::from_secs(1)).is_ok_and(|answer| (200..300).contains(&answer.status()))
        })
    }

    fn note(&self, what: &str) {
        if let Ok(mut runs) = self.runs.lock() {
            let _ = runs.write_all(format!("{:.6}\t{what}\t\t0\n", unix()).as_bytes());
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            // Idle connections are closed after ten seconds, which `Keep-Alive` tells.
            let Ok(mut request) = connection.read_head(Instant::now() + Duration::from_secs(10)) else { return };
            let came = Instant::now();
            if connection.read_body(&mut request, false, came + Duration::from_secs(30)).is_err() {
                return;
            }
            if self.answer(&mut connection, &request, came).is_err() || self.is_leaving.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message, came: Instant) -> std::io::Result<()> {
        if request.line.starts_with("GET /health ") {
            let head = format!("HTTP/1.1 200 OK\r\nX-Server-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return connection.write(head.as_bytes());
        }
        let id = request.header("x-try-id").unwrap_or_default();
        let keep = if self.is_leaving.load(Ordering::SeqCst) { "Connection: close" } else { "Keep-Alive: timeout=10" };
        let empty = |status: &str, not_run: &str| {
            format!("HTTP/1.1 {status}\r\nX-Try-Id: {id}\r\n{not_run}{keep}\r\nContent-Length: 0\r\n\r\n")
        };
        if request.header("x-expect-server").is_some_and(|expected| expected != self.id) {
            return connection.write(empty("421 Misdirected", "X-Not-Run: 1\r\n").as_bytes());
        }
        let left_ms = request.header("x-time-left-ms").and_then(|text| text.parse().ok()).unwrap_or(2_000);
        let deadline = came + Duration::from_millis(left_ms);
        if !self.take_slot(deadline) {
            return connection.write(empty("503 Full", "X-Not-Run: 1\r\n").as_bytes());
        }
        let answered = self.run(connection, request, (&id, keep), deadline, &empty("504 Late", ""));
        self.give_slot();
        answered
    }

    fn run(
        &self,
        connection: &mut Connection,
        request: &Message,
        (id, keep): (&str, &str),
        deadline: Instant,
        too_late: &str,
    ) -> std::io::Result<()> {
        let customer = request.header("x-customer").map(|name| format!("={name}")).unwrap_or_default();
        let line = format!("{:.6}\t{id}\t{customer}\t{}\n", unix(), request.body.len());
        if let Ok(mut runs) = self.runs.lock() {
            let _ = runs.write_all(line.as_bytes());
        }
        std::thread::sleep(self.work.min(deadline.saturating_duration_since(Instant::now())));
        if Instant::now() >= deadline {
            return connection.write(too_late.as_bytes());
        }
        let run = self.run_count.fetch_add(1, Ordering::Relaxed) + 1;
        let length = request.header("x-answer-bytes").and_then(|text| text.parse().ok()).unwrap_or(64);
        let body = vec![b'a'; length];
        let framing =
            if self.is_paced { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {length}") };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Try-Id: {id}\r\nX-Server-Seal: {}.{run}\r\n{keep}\r\n{framing}\r\n\r\n",
            self.id
        );
        if !self.is_paced {
            return connection.write(&[head.as_bytes(), &body].concat());
        }
        connection.write(head.as_bytes())?;
        for part in body.chunks(length.div_ceil(8).max(1)) {
            connection.write(&[format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat())?;
            std::thread::sleep(Duration::from_millis(100));
        }
        connection.write(b"0\r\n\r\n")
    }

    /// Waits for a slot until the deadline; not at all if the queue is full.
    fn take_slot(&self, deadline: Instant) -> bool {
        let Ok(mut load) = self.load.lock() else { return false };
        if load.0 >= self.slots && load.1 >= QUEUE {
            return false;
        }
        load.1 += 1;
        while load.0 >= self.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok((waited, _)) = self.freed.wait_timeout(load, left) else { return false };
            load = waited;
            if Instant::now() >= deadline {
                load.1 -= 1;
                return false;
            }
        }
        load.1 -= 1;
        load.0 += 1;
        true
    }

    fn give_slot(&self) {
        if let Ok(mut load) = self.load.lock() {
            load.0 -= 1;
        }
        self.freed.notify_one();
    }
}
