//! Decoder of event records.

use super::frame::Record;
use super::settings::parse_settings;
use super::{malformed, WireError};
use crate::interface::*;

/// Size of an entry of the server list, in bytes.
const SERVER_ENTRY_BYTES: usize = 22;

/// A decoded event record.
#[derive(Debug, Clone, PartialEq)]
pub enum WireEvent {
    /// An instance of the decision module starts.
    Start {
        /// Seed of its random draws.
        seed: u64,
        /// Settings of the instance.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Kill,
    /// An event for a running instance.
    Event(Event),
    /// An event of health probes, peers or the usage counter, which the decision module does not use.
    Unused,
}

/// Checks that a decoded number is finite; `what` names it in the error.
fn finite(value: f64, what: &str) -> Result<f64, WireError> {
    if value.is_finite() {
        return Ok(value);
    }
    malformed(format!("{what} is not a finite number"))
}

/// Decodes a record; returns its instance and event.
pub(super) fn decode(bytes: &[u8], tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    let record = Record(bytes);
    let event = match record.u8(0) {
        16 => WireEvent::Event(Event::AttemptEnd(attempt_end(&record)?)),
        17 => WireEvent::Event(Event::Timer(record.u64(3))),
        18 => WireEvent::Event(Event::Request(request(&record)?)),
        19 => {
            let text = record.tail(11, 1, tail, "BORN params")?;
            let Ok(text) = std::str::from_utf8(text) else {
                return malformed("BORN params are not UTF-8");
            };
            WireEvent::Start { seed: record.u64(3), settings: Box::new(parse_settings(text)?) }
        }
        20 => WireEvent::Event(servers(&record, tail)?),
        23 => WireEvent::Kill,
        24 => WireEvent::Event(Event::ResponseStarted(record.u64(3))),
        26 => WireEvent::Event(Event::ClientDisconnected(record.u64(3))),
        21 => {
            record.tail(5, 1, tail, "MESSAGE payload")?;
            WireEvent::Unused
        }
        22 | 25 => WireEvent::Unused,
        other => return malformed(format!("event code {other} is unknown")),
    };
    Ok((record.u16(1), event))
}

fn attempt_end(record: &Record) -> Result<AttemptEnd, WireError> {
    Ok(AttemptEnd {
        request: record.u64(3),
        attempt: record.u8(24),
        outcome: outcome(record.u16(29))?,
        elapsed: finite(record.f64(11), "ATTEMPT_END duration")?,
        finished: record.u8(19) != 0,
        // Encoded as percent + 1; 0 means no reading.
        used: record.u16(22).checked_sub(1).map(|percent| f64::from(percent) / 100.0),
    })
}

fn request(record: &Record) -> Result<Request, WireError> {
    Ok(Request {
        id: record.u64(3),
        customer: record.u64(19),
        plan: record.u32(15) as usize,
        class: usize::from(record.u16(40)),
        units: finite(record.f32(42), "ACCEPT weight")?,
        customer_gateways: finite(record.f32(11), "ACCEPT spread")?.round() as u32,
        first_gateway: finite(record.f32(36), "ACCEPT setFrom")?.round() as u32,
        expires_in: finite(record.f64(28), "ACCEPT expiresIn")?,
        is_client_retry: record.u8(27) & 2 != 0,
    })
}

fn servers(record: &Record, tail: &[u8]) -> Result<Event, WireError> {
    let kind = match record.u8(3) {
        0 => ListKind::Delta,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        other => return malformed(format!("ROSTER_CHANGE form {other} is unknown")),
    };
    let entries = record.tail(12, SERVER_ENTRY_BYTES, tail, "ROSTER_CHANGE hosts")?;
    let entries = entries.chunks_exact(SERVER_ENTRY_BYTES).map(server_entry).collect::<Result<_, _>>()?;
    Ok(Event::Servers { kind, entries })
}

fn server_entry(bytes: &[u8]) -> Result<ServerEntry, WireError> {
    let record = Record(bytes);
    let launched = finite(record.f64(14), "launched")?;
    Ok(ServerEntry {
        id: record.u32(0),
        zone: record.u16(4),
        cell: record.u16(7),
        capacity: finite(record.f32(10), "share")?,
        lifecycle: match record.u8(9) {
            0 => Lifecycle::Removed,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            other => return malformed(format!("lifecycle {other} is unknown")),
        },
        launched_at: (launched != 0.0).then_some(launched),
    })
}

fn outcome(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Overloaded,
        303 => Outcome::TimedOut,
        304 => Outcome::NoConnection,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return malformed(format!("outcome {other} is unknown")),
    })
}
