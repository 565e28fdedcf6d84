//! A backend as the pages have it: it checks in about every 1.5 s, runs a request once it has read it whole, and
//! answers with its seal. Each run is a line in a file.

use crate::http::{call, small_window, Connection, Message};
use crate::site::unix;
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Backend {
    id: String,
    service: String,
    work: Duration,
    /// How many bytes of a long answer go out in a tenth of a second; 0: at once.
    pace: usize,
    capacity: usize,
    busy: Mutex<usize>,
    freed: Condvar,
    runs: Mutex<File>,
    run_count: AtomicU64,
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
        work: Duration::from_millis(number("work-ms", 20)),
        pace: number("pace", 0) as usize,
        capacity,
        busy: Mutex::new(0),
        freed: Condvar::new(),
        runs: Mutex::new(runs),
        run_count: AtomicU64::new(0),
    });
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    small_window(&listener);
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { return Err("no address".to_owned()) };
    let beats = backend.clone();
    std::thread::spawn(move || beats.check_in(address, &controls));
    for stream in listener.incoming().flatten() {
        let backend = backend.clone();
        std::thread::spawn(move || backend.serve(stream));
    }
    Ok(())
}

impl Backend {
    fn check_in(&self, address: SocketAddrV4, controls: &[SocketAddrV4]) {
        let (mut count, mut next) = (0u64, 0);
        let mut report_to: Option<SocketAddrV4> = None;
        loop {
            count += 1;
            let to = report_to.unwrap_or(controls[next % controls.len()]);
            let body = format!(
                "{{\"address\":\"{address}\",\"details\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"kettle-hall\",\
                 \"capacity\":{}}},\"status\":{{\"state\":\"ready\",\"callCount\":{count},\"warmupLeftS\":0}}}}",
                self.service, self.capacity
            );
            let head = format!(
                "POST /Servers.CheckIn/{} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n",
                self.id,
                body.len()
            );
            match call(to, &head, body.as_bytes(), Duration::from_secs(1)) {
                Ok(answer) if (200..300).contains(&answer.status()) => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let named = text.split("\"reportTo\":\"").nth(1).and_then(|rest| rest.split('"').next()?.parse().ok());
                    report_to = named.or(report_to);
                    std::thread::sleep(Duration::from_millis(1500));
                }
                _ => {
                    report_to = None;
                    next += 1;
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
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
