//! The heartbeats of a backend stand-in: it registers with the nodes, and moves on to the next one after a failure.

use crate::http;
use crate::site::HEARTBEAT_INTERVAL;
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long the response to a heartbeat is waited for.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause after a heartbeat that was not acknowledged.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum size of an acknowledgement, in bytes.
const MAX_REPLY_BYTES: usize = 4096;

/// The state that a backend reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// It is about to end.
    Draining,
}

impl BackendState {
    fn on_the_wire(self) -> &'static str {
        match self {
            BackendState::Ready => "ready",
            BackendState::Draining => "emptying",
        }
    }
}

/// What a backend reports about itself.
#[derive(Debug, Clone)]
pub struct Registration {
    /// The id of this incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub capacity: usize,
    /// Where it listens.
    pub address: SocketAddrV4,
}

/// The heartbeats of one backend: how many were sent, and which node gets the next one.
#[derive(Debug)]
pub struct Heartbeats {
    registration: Registration,
    controls: Vec<SocketAddrV4>,
    count: Cell<u64>,
    node: Cell<usize>,
    report_to: Cell<Option<SocketAddrV4>>,
}

impl Heartbeats {
    /// Heartbeats to the nodes at these addresses. None has been sent.
    pub fn new(registration: Registration, controls: Vec<SocketAddrV4>) -> Heartbeats {
        let first = usize::from(registration.address.port()) % controls.len().max(1);
        Heartbeats {
            registration,
            controls,
            count: Cell::new(0),
            node: Cell::new(first),
            report_to: Cell::new(None),
        }
    }

    /// Sends heartbeats that report `ready`, for as long as it is polled.
    pub async fn run(&self) {
        loop {
            let since = Instant::now();
            let is_acknowledged = self.send(BackendState::Ready).await;
            let pause = if is_acknowledged { HEARTBEAT_INTERVAL } else { RETRY_PAUSE };
            sleep(pause.saturating_sub(since.elapsed())).await;
        }
    }

    /// Sends one heartbeat, to the address that the last response named, or else to a node; after a failure, the next
    /// one goes to the next node. Returns whether it was acknowledged.
    pub async fn send(&self, state: BackendState) -> bool {
        self.count.set(self.count.get() + 1);
        let it = &self.registration;
        let body = serde_json::json!({
            "address": it.address.to_string(),
            "details": {"service": it.service, "version": "v1", "zone": it.zone, "capacity": it.capacity},
            "status": {"state": state.on_the_wire(), "callCount": self.count.get(), "warmupLeftS": 0},
        });
        let next = self.controls[self.node.get() % self.controls.len()];
        let to = self.report_to.take().unwrap_or(next);
        let path = format!("/Servers.CheckIn/{}", it.id);
        let headers = [("content-type", "application/json")];
        let body = body.to_string().into_bytes();
        match http::call(to, "POST", &path, &headers, body, HEARTBEAT_TIMEOUT).await {
            Ok(answer) if answer.status / 100 == 2 && answer.body.len() <= MAX_REPLY_BYTES => {
                let reply: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
                self.report_to.set(reply["reportTo"].as_str().and_then(|text| text.parse().ok()));
                true
            }
            _ => {
                self.node.set(self.node.get() + 1);
                false
            }
        }
    }

    /// Signs off at the first node that acknowledges it.
    pub async fn sign_off(&self) {
        let path = format!("/Servers.SignOff/{}", self.registration.id);
        for at in &self.controls {
            let answer = http::call(*at, "POST", &path, &[], Vec::new(), HEARTBEAT_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                return;
            }
        }
    }
}
