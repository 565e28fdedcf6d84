//! A backend as the pages have it: it checks in about every 1.5 s, runs a request once it has read it whole, and
//! answers with its seal. Each run is a line in a file.

use crate::http::{call, small_window, Connection, Message};
use crate::site::unix;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Backend {
    id: String,
    service: String,
    zone: String,
    work: Duration,
    /// How many bytes of a long answer go out in a tenth of a second; 0: at once.
    pace: usize,
    capacity: usize,
    busy: Mutex<usize>,
    freed: Condvar,
    runs: Mutex<File>,
    run_count: AtomicU64,
    /// The number of its last beat.
    beat_count: AtomicU64,
    /// Whether it sends no further beats.
    is_leaving: AtomicBool,
}

/// The main function of a backend's process. Ends only with the process.
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
    let capacity = number("capacity", 4) as usize;
    let backend = Arc::new(Backend {
        id: option("id")?,
        service: option("service")?,
        zone: option("zone")?,
        work: Duration::from_millis(number("work-ms", 20)),
        pace: number("pace", 0) as usize,
        capacity,
        busy: Mutex::new(0),
        freed: Condvar::new(),
        runs: Mutex::new(runs),
        run_count: AtomicU64::new(0),
        beat_count: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
    });
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    small_window(&listener);
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { return Err("no address".to_owned()) };
    let (beats, all_controls) = (backend.clone(), controls.clone());
    std::thread::spawn(move || beats.check_in(address, &all_controls));
    let leaver = backend.clone();
    std::thread::spawn(move || leaver.obey(address, &controls));
    for stream in listener.incoming().flatten() {
        let backend = backend.clone();
        std::thread::spawn(move || backend.serve(stream));
    }
    Ok(())
}

impl Backend {
    fn check_in(&self, address: SocketAddrV4, controls: &[SocketAddrV4]) {
        let mut next = 0;
        let mut report_to: Option<SocketAddrV4> = None;
        while !self.is_leaving.load(Ordering::SeqCst) {
            let count = self.beat_count.fetch_add(1, Ordering::SeqCst) + 1;
            let to = report_to.unwrap_or(controls[next % controls.len()]);
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
            self.service, self.zone, self.capacity
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

    /// Reads commands. `leave SECONDS`: it signs off without having said `emptying`, and serves on. The beat that was
    /// due before the sign-off comes so many seconds after its acknowledgement.
    fn obey(&self, address: SocketAddrV4, controls: &[SocketAddrV4]) {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let late = line.strip_prefix("leave ").and_then(|text| text.parse::<f64>().ok());
            let Some(late) = late else { continue };
            self.is_leaving.store(true, Ordering::SeqCst);
            // The beat that is under way is sent first.
            std::thread::sleep(Duration::from_millis(300));
            let late_count = self.beat_count.fetch_add(1, Ordering::SeqCst) + 1;
            if !self.sign_off(controls) {
                self.note("@not-acknowledged");
                continue;
            }
            self.note("@signed-off");
            std::thread::sleep(Duration::from_secs_f64(late));
            // The next door in the list is of the other zone, where there is one.
            let answer = controls.iter().skip(1).find_map(|to| self.beat(*to, address, late_count));
            self.note(match answer {
                Some(Some(_)) => "@late-beat, answered with another address for the next",
                Some(None) => "@late-beat",
                None => "@late-beat, not acknowledged",
            });
        }
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
            // Idle connections are closed after ten seconds.
            let Ok(mut request) = connection.read_head(Instant::now() + Duration::from_secs(10)) else { return };
            let limit = Instant::now() + Duration::from_secs(30);
            if connection.read_body(&mut request, false, limit).is_err() {
                return;
            }
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        if request.line.starts_with("GET /health ") {
            let head = format!("HTTP/1.1 200 OK\r\nX-Server-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return connection.write(head.as_bytes());
        }
        let id = request.header("x-try-id").unwrap_or_default();
        if request.header("x-expect-server").is_some_and(|expected| expected != self.id) {
            let head = format!("HTTP/1.1 421 Misdirected\r\nX-Try-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return connection.write(head.as_bytes());
        }
        self.take_slot();
        let customer = request.header("x-customer").map(|name| format!("={name}")).unwrap_or_default();
        let line = format!("{:.6}\t{id}\t{customer}\t{}\n", unix(), request.body.len());
        if let Ok(mut runs) = self.runs.lock() {
            let _ = runs.write_all(line.as_bytes());
        }
        std::thread::sleep(self.work);
        let run = self.run_count.fetch_add(1, Ordering::Relaxed) + 1;
        let length = request.header("x-answer-bytes").and_then(|text| text.parse().ok()).unwrap_or(64);
        let body = vec![b'a'; length];
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Try-Id: {id}\r\nX-Server-Seal: {}.{run}\r\nContent-Length: {length}\r\n\r\n",
            self.id
        );
        let written = self.write_paced(connection, &head, &body);
        self.give_slot();
        written
    }

    fn write_paced(&self, connection: &mut Connection, head: &str, body: &[u8]) -> std::io::Result<()> {
        if self.pace == 0 || body.len() <= self.pace {
            return connection.write(&[head.as_bytes(), body].concat());
        }
        connection.write(head.as_bytes())?;
        for part in body.chunks(self.pace) {
            connection.write(part)?;
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    fn take_slot(&self) {
        let Ok(mut busy) = self.busy.lock() else { return };
        while *busy >= self.capacity {
            busy = match self.freed.wait(busy) {
                Ok(busy) => busy,
                Err(_) => return,
            };
        }
        *busy += 1;
    }

    fn give_slot(&self) {
        if let Ok(mut busy) = self.busy.lock() {
            *busy -= 1;
        }
        self.freed.notify_one();
    }
}
