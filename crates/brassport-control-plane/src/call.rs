//! What backends and operators call, as command objects: decoded here, run by the owner of the state.

use crate::backends::{Backend, Stage};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A call, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// A backend tells of itself.
    CheckIn(Backend),
    /// A backend's life ends.
    SignOff(String),
    /// The operator's configuration, whole or a change.
    Put {
        /// Whether it is a whole one.
        is_whole: bool,
        /// The version that it builds on.
        built_on: u32,
        /// As it was sent.
        body: Arc<Vec<u8>>,
    },
    /// The newest configuration is wanted.
    Read,
    /// What this machine knows of the system, for the people who run it.
    Status,
}

/// What a call is answered with.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Done; with a body of JSON.
    Done(Arc<Vec<u8>>),
    /// Another machine does this.
    At(std::net::Ipv4Addr),
    /// What is asked for makes no sense; why.
    Invalid(String),
    /// Another version is in index.
    Outdated,
    /// Nobody here can do it now; ask again, or ask another.
    NotNow(&'static str),
}

/// A call that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// There is no such call.
    Unknown,
    /// It makes no sense; why.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unknown => f.write_str("there is no such call"),
            Fault::Malformed(what) => f.write_str(what),
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CheckIn {
    address: SocketAddrV4,
    details: Details,
    status: Status,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Details {
    service: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "one")]
    capacity: u32,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    state: String,
    call_count: u64,
    #[serde(default, rename = "warmupLeftS")]
    warmup_left_s: f64,
}

impl Call {
    /// Decodes a call.
    ///
    /// # Errors
    /// There is no such call, or it makes no sense.
    pub fn decode(method: &str, path: &str, built_on: Option<&str>, body: Vec<u8>) -> Result<Call, Fault> {
        let path = path.split('?').next().unwrap_or_default();
        let mut parts = path.trim_start_matches('/').splitn(2, '/');
        let (name, rest) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        match (method, name) {
            ("POST", "Servers.CheckIn") if !rest.is_empty() => check_in(rest, &body),
            ("POST", "Servers.SignOff") if !rest.is_empty() => Ok(Call::SignOff(rest.to_owned())),
            ("POST", "Config.Replace" | "Config.Change") if rest.is_empty() => {
                let text = built_on.ok_or_else(|| malformed("X-Built-On is missing"))?.trim();
                let built_on = u32::from_str_radix(text, 16)
                    .map_err(|_| malformed("X-Built-On is no version (eight hexadecimal digits)"))?;
                Ok(Call::Put { is_whole: name == "Config.Replace", built_on, body: Arc::new(body) })
            }
            ("GET", "Config.Read") if rest.is_empty() => Ok(Call::Read),
            ("GET", "Status") if rest.is_empty() => Ok(Call::Status),
            _ => Err(Fault::Unknown),
        }
    }
}

fn malformed(what: &str) -> Fault {
    Fault::Malformed(what.to_owned())
}

fn check_in(id: &str, body: &[u8]) -> Result<Call, Fault> {
    let told: CheckIn =
        serde_json::from_slice(body).map_err(|error| Fault::Malformed(format!("the beat: {error}")))?;
    let stage = match told.status.state.as_str() {
        "ready" => Stage::Ready,
        "emptying" => Stage::Emptying,
        other => {
            return Err(Fault::Malformed(format!("status.state: {other:?} is neither ready nor emptying")))
        }
    };
    let warming_ms = (told.status.warmup_left_s.clamp(0.0, 600.0) * 1000.0) as u32;
    Ok(Call::CheckIn(Backend {
        id: id.to_owned(),
        service: told.details.service,
        address: told.address,
        zone: told.details.zone,
        version: told.details.version,
        capacity: told.details.capacity.max(1),
        stage,
        count: told.status.call_count,
        warming_ms,
        age_ms: 0,
    }))
}
