//! The codec of the simulator's wire: frames, records and settings to and from the types of
//! [`crate::interface`]. It translates and decides nothing.

use crate::interface::*;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};

/// Size of an event record.
pub const EVENT: usize = 48;
/// Size of an action record.
pub const ACTION: usize = 24;
/// A frame longer than this is taken for garbage.
const FRAME_LIMIT: u32 = 1 << 30;

/// What is wrong with the input.
#[derive(Debug)]
pub enum WireError {
    /// The input could not be read.
    Io(io::Error),
    /// The input breaks the layout; the text says where and how.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "cannot read the input: {error}"),
            WireError::Malformed(text) => write!(f, "malformed input: {text}"),
        }
    }
}

impl std::error::Error for WireError {}

fn malformed<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError::Malformed(text.into()))
}

/// A batch of events.
#[derive(Debug)]
pub struct Batch {
    /// The clock, milliseconds.
    pub clock: f64,
    /// Number of records.
    pub count: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Reads one frame; `None` at the end of the input.
    ///
    /// # Errors
    /// On a frame that is cut short or whose lengths do not fit together.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
        let mut header = Vec::with_capacity(16);
        input.by_ref().take(12).read_to_end(&mut header).map_err(WireError::Io)?;
        if header.is_empty() {
            return Ok(None);
        }
        if header.len() < 12 {
            return malformed(format!("frame header cut short after {} of 16 bytes", header.len()));
        }
        let head = Record(&header);
        let clock = head.f64(0);
        let length = head.u32(8);
        if !clock.is_finite() {
            return malformed("the clock is not a finite number");
        }
        if !(4..=FRAME_LIMIT).contains(&length) {
            return malformed(format!("frame length {length} is outside 4 to {FRAME_LIMIT}"));
        }
        let mut body = Vec::new();
        input.by_ref().take(u64::from(length)).read_to_end(&mut body).map_err(WireError::Io)?;
        if body.len() < length as usize {
            return malformed(format!("frame cut short after {} of {length} bytes", body.len()));
        }
        let count = Record(&body).u32(0) as usize;
        if count > (body.len() - 4) / EVENT {
            return malformed(format!("{count} records do not fit a frame of {length} bytes"));
        }
        Ok(Some(Batch { clock, count, body }))
    }

    /// Decodes the record at `index`.
    ///
    /// # Errors
    /// On an unknown code or a reference outside the tail.
    pub fn event(&self, index: usize) -> Result<(u16, WireEvent), WireError> {
        let start = 4 + index * EVENT;
        let tail = &self.body[4 + self.count * EVENT..];
        decode(&self.body[start..start + EVENT], tail)
    }
}

/// An event as it stands on the wire.
#[derive(Debug, Clone, PartialEq)]
pub enum WireEvent {
    /// An instance starts.
    Born {
        /// Its seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Detach,
    /// An event of the module's interface.
    Event(Event),
    /// An event that the module has no use for: probes, peers and the counter, which it never asks for.
    Unused,
}

/// Big-endian fields of a slice whose length was checked before.
struct Record<'a>(&'a [u8]);

impl Record<'_> {
    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }
    fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.take(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.take(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.take(at))
    }
    fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.take(at)))
    }
    fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.take(at))
    }
    fn tail<'t>(&self, at: usize, unit: usize, tail: &'t [u8], what: &str) -> Result<&'t [u8], WireError> {
        let (from, length) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        match from.checked_add(length.saturating_mul(unit)).and_then(|end| tail.get(from..end)) {
            Some(slice) => Ok(slice),
            None => {
                malformed(format!("{what}: reference {from}+{length} lies outside a tail of {}", tail.len()))
            }
        }
    }
}

fn finite(value: f64, what: &str) -> Result<f64, WireError> {
    if value.is_finite() {
        return Ok(value);
    }
    malformed(format!("{what} is not a finite number"))
}

fn decode(bytes: &[u8], tail: &[u8]) -> Result<(u16, WireEvent), WireError> {
    let record = Record(bytes);
    let event = match record.u8(0) {
        16 => WireEvent::Event(Event::AttemptEnd(AttemptEnd {
            request: record.u64(3),
            attempt: record.u8(24),
            outcome: outcome(record.u16(29))?,
            elapsed: finite(record.f64(11), "ATTEMPT_END duration")?,
            finished: record.u8(19) != 0,
            used: record.u16(22).checked_sub(1).map(|percent| f64::from(percent) / 100.0),
        })),
        17 => WireEvent::Event(Event::Timer(record.u64(3))),
        18 => WireEvent::Event(Event::Request(Request {
            id: record.u64(3),
            customer: record.u64(19),
            plan: record.u32(15) as usize,
            class: usize::from(record.u16(40)),
            units: finite(record.f32(42), "ACCEPT weight")?,
            spread: finite(record.f32(11), "ACCEPT spread")?.round() as u32,
            first: finite(record.f32(36), "ACCEPT setFrom")?.round() as u32,
            expires_in: finite(record.f64(28), "ACCEPT expiresIn")?,
            repeat: record.u8(27) & 2 != 0,
        })),
        19 => {
            let text = record.tail(11, 1, tail, "BORN params")?;
            let Ok(text) = std::str::from_utf8(text) else {
                return malformed("BORN params are not UTF-8");
            };
            WireEvent::Born { seed: record.u64(3), settings: Box::new(settings(text)?) }
        }
        20 => {
            let kind = match record.u8(3) {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return malformed(format!("ROSTER_CHANGE form {other} is unknown")),
            };
            let entries = record.tail(12, ENTRY, tail, "ROSTER_CHANGE hosts")?;
            let entries = entries.chunks_exact(ENTRY).map(server_entry).collect::<Result<_, _>>()?;
            WireEvent::Event(Event::Servers { kind, entries })
        }
        23 => WireEvent::Detach,
        24 => WireEvent::Event(Event::Started(record.u64(3))),
        26 => WireEvent::Event(Event::ClientGone(record.u64(3))),
        21 => {
            record.tail(5, 1, tail, "MESSAGE payload")?;
            WireEvent::Unused
        }
        22 | 25 => WireEvent::Unused,
        other => return malformed(format!("event code {other} is unknown")),
    };
    Ok((record.u16(1), event))
}

/// Size of a line of the server list.
const ENTRY: usize = 22;

fn server_entry(bytes: &[u8]) -> Result<ServerEntry, WireError> {
    let record = Record(bytes);
    let launched = finite(record.f64(14), "launched")?;
    Ok(ServerEntry {
        id: record.u32(0),
        zone: record.u16(4),
        cell: record.u16(7),
        share: finite(record.f32(10), "share")?,
        lifecycle: match record.u8(9) {
            0 => Lifecycle::Gone,
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            other => return malformed(format!("lifecycle {other} is unknown")),
        },
        launched: (launched != 0.0).then_some(launched),
    })
}

fn outcome(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Full,
        303 => Outcome::TimedOut,
        304 => Outcome::NoConnection,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::Moot,
        other => return malformed(format!("outcome {other} is unknown")),
    })
}

/// Settings as path=value lines.
struct Params<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Params<'a> {
    fn get<T: std::str::FromStr>(&self, path: &str) -> Result<T, WireError> {
        let Some(text) = self.0.get(path) else {
            return malformed(format!("required setting {path} is missing"));
        };
        match text.parse() {
            Ok(value) => Ok(value),
            Err(_) => malformed(format!("setting {path} has the unreadable value '{text}'")),
        }
    }
    fn word(&self, path: &str) -> Result<&'a str, WireError> {
        match self.0.get(path) {
            Some(text) => Ok(text),
            None => malformed(format!("required setting {path} is missing")),
        }
    }
    /// An object list gives its length under `.count`; its items are looked up one by one.
    fn list<T>(&self, path: &str, item: impl Fn(&str) -> Result<T, WireError>) -> Result<Vec<T>, WireError> {
        let count: u16 = self.get(&format!("{path}.count"))?;
        (0..count).map(|index| item(&format!("{path}.{index}"))).collect()
    }
}

/// Reads the settings of a start; unknown keys are skipped.
///
/// # Errors
/// Names a required key that is missing, unreadable or out of range.
pub fn settings(text: &str) -> Result<Settings, WireError> {
    let params = Params(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = params.list("classes", |at| {
        let field = |name: &str| format!("{at}.{name}");
        let effect = match params.word(&field("semantics"))? {
            "free" => Effect::Free,
            "single_shot" => Effect::Once,
            "guarded" => Effect::Keyed {
                scope: match params.word(&field("group"))? {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    "cell" => Scope::Cell,
                    other => return malformed(format!("setting {at}.group has the unknown value '{other}'")),
                },
                window: params.get(&field("dedupWindow"))?,
            },
            other => return malformed(format!("setting {at}.semantics has the unknown value '{other}'")),
        };
        Ok(Class {
            worth: params.get(&field("worth"))?,
            aim: params.get(&field("slo"))?,
            deadline: params.get(&field("deadline"))?,
            late_share: params.get(&field("lateShare"))?,
            effect,
        })
    })?;
    let plans = params.list("plans", |at| {
        let figure = |name: &str| params.get(&format!("{at}.{name}"));
        Ok(Plan {
            rate: figure("unitsPerS")?,
            burst: figure("storeSize")?,
            open: params.get(&format!("{at}.concurrency"))?,
            price: figure("price")?,
            over_worth: figure("excessWorth")?,
            over_cost: figure("overrunCost")?,
            ceiling_rate: figure("neverOverRate")?,
            ceiling_burst: figure("capDepth")?,
            ceiling_slack: figure("tolerance")?,
        })
    })?;
    let advice: bool = params.get("bounds.retryAfter")?;
    let settings = Settings {
        gateways: params.get("balancers")?,
        ordinal: params.get("ordinal")?,
        zone: params.get("zone")?,
        classes,
        plans,
        max_units: params.get("familyInfo.mostUnits")?,
        meter_period: params.get("familyInfo.usePeriod")?,
        max_attempts: params.get("bounds.maxAttempts")?,
        may_duplicate: params.get("bounds.mayDuplicate")?,
        may_cancel: params.get("bounds.cancel")?,
        max_retry_after: if advice { params.get("bounds.maxRetryAfter")? } else { 0.0 },
        drain_grace: params.get("rules.stopSendingWithin")?,
        cold_from: params.get("rules.coldFrom")?,
        cold_for: params.get("rules.cold")?,
        tip_multiple: params.get("rules.tipMultiple")?,
        tip_after: params.get("rules.fall")?,
        tick: params.get("tick")?,
        tuning: Tuning::default(),
        list_on_request: match params.word("registryMode")? {
            "pushed" => false,
            "on_request" => true,
            other => return malformed(format!("setting registryMode has the unknown value '{other}'")),
        },
    };
    settings.validate().map_err(|error| WireError::Malformed(error.to_string()))?;
    Ok(settings)
}

/// A reply in the making.
#[derive(Debug, Default)]
pub struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send { request, server, expire_at } => self.record(91, instance, |out| {
                out.extend(request.to_be_bytes());
                out.extend(server.to_be_bytes());
                out.extend(expire_at.unwrap_or(0.0).to_be_bytes());
            }),
            Action::Refuse { request, retry_after } => self.record(83, instance, |out| {
                out.extend(request.to_be_bytes());
                out.extend(retry_after.to_be_bytes());
            }),
            Action::Fail(request) => self.record(88, instance, |out| out.extend(request.to_be_bytes())),
            Action::Cancel { request, attempt } => self.record(86, instance, |out| {
                out.extend(request.to_be_bytes());
                out.push(*attempt);
            }),
            Action::Timer { at, token } => self.record(82, instance, |out| {
                out.extend(at.to_be_bytes());
                out.extend(token.to_be_bytes());
            }),
            Action::FollowServers => self.record(81, instance, |out| out.push(1)),
            Action::Log(text) => self.text(84, instance, text),
        }
    }

    /// Declares that the decision code of an instance failed.
    pub fn die(&mut self, instance: u16, text: &str) {
        self.text(92, instance, text);
    }

    fn text(&mut self, code: u8, instance: u16, text: &str) {
        let from = self.tail.len() as u32;
        self.tail.extend(text.as_bytes());
        self.record(code, instance, |out| {
            out.extend(from.to_be_bytes());
            out.extend((text.len() as u32).to_be_bytes());
        });
    }

    fn record(&mut self, code: u8, instance: u16, fields: impl FnOnce(&mut Vec<u8>)) {
        self.count += 1;
        self.records.push(code);
        self.records.extend(instance.to_be_bytes());
        fields(&mut self.records);
        self.records.resize(self.count as usize * ACTION, 0);
    }

    /// The frame.
    pub fn into_bytes(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.records.len() + self.tail.len());
        frame.extend(self.count.to_be_bytes());
        frame.extend(((self.records.len() + self.tail.len()) as u32).to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}
