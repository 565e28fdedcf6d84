//! Clients that book one thing after the other, each on a connection that it keeps.

use crate::http::Connection;
use crate::record::Record;
use crate::site::{random, Site};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How long a client waits for an answer.
const LIMIT: Duration = Duration::from_secs(5);
/// The pause between two requests, and after a failure to connect.
const PAUSE: Duration = Duration::from_millis(10);

/// A request as its client saw it.
pub struct Sent {
    pub id: String,
    pub door: usize,
    /// 0 if there was no complete answer.
    pub status: u16,
}

/// Clients that send until they are stopped.
pub struct Clients {
    is_over: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Starts this many clients at each of the first `doors` doors.
    pub fn start(site: &Site, doors: usize, at_each: usize, record: &Arc<Record>) -> Clients {
        let clients = Clients { is_over: Arc::default(), sent: Arc::default() };
        for number in 0..doors * at_each {
            let (door, front) = (number % doors, site.front(number % doors));
            let (is_over, sent, record) = (clients.is_over.clone(), clients.sent.clone(), record.clone());
            thread::spawn(move || book(door, front, &is_over, &sent, &record));
        }
        clients
    }

    /// Stops them, and returns what they have sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(1));
        std::mem::take(&mut *self.sent.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }
}

fn book(door: usize, front: SocketAddrV4, is_over: &AtomicBool, sent: &Mutex<Vec<Sent>>, record: &Record) {
    let mut connection = None;
    while !is_over.load(Ordering::SeqCst) {
        let Some(mut open) = connection.take().or_else(|| Connection::open(front, LIMIT).ok()) else {
            thread::sleep(PAUSE);
            continue;
        };
        let id = format!("{:016x}", random());
        let headers = [
            ("Host", "front.example"),
            ("Authorization", "Bearer key-of-mill"),
            ("X-Try-Id", id.as_str()),
            ("X-Time-Left-Ms", "4000"),
        ];
        record.event(format!("sent     {id} to door {door}"));
        let answer = open.exchange("POST", "/book/load", &headers, b"drum 9");
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.event(format!("got      {id} from door {door}: {status}"));
        let is_last = answer.map_or(true, |answer| answer.head.header("connection") == Some("close"));
        connection = (!is_last).then_some(open);
        sent.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(Sent { id, door, status });
        thread::sleep(PAUSE);
    }
}
