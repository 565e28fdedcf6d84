//! The calls of backends and operators, and the replies: decoded here, run by the owner of the state.

use crate::backends::{Backend, BackendState};
use brassport_config_store::consensus::{ChangeScope, ConfigurationRequest};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// A backend warms up for so many seconds at the most; more is taken for a mistake of its settings.
const MAX_WARMUP_S: f64 = 600.0;

/// A call of a backend or of the operator, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// A heartbeat of a backend (`Servers.CheckIn`).
    Heartbeat(Backend),
    /// The backend with this id has ended (`Servers.SignOff`).
    Deregister(String),
    /// The operator changes the configuration (`Config.Replace`, `Config.Change`).
    Configure(ConfigurationRequest),
    /// The newest configuration is wanted (`Config.Read`).
    ReadConfiguration,
    /// What this node knows of the system, for the people who run it (`Status`).
    Status,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Done; with a body of JSON.
    Done(Arc<Vec<u8>>),
    /// The node at this address does it.
    Redirect(std::net::Ipv4Addr),
    /// The call is invalid; why.
    Invalid(String),
    /// The configuration builds on a version that is not the current one.
    VersionConflict,
    /// This node can't do it now; why. The caller is to try again, or to call another node.
    Unavailable(&'static str),
}

/// Why a call could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// There is no such call.
    UnknownCall,
    /// It can't be decoded; why, for the caller.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::UnknownCall => f.write_str("there is no such call"),
            DecodeError::Malformed(what) => f.write_str(what),
        }
    }
}

/// The body of a heartbeat. The names of these structs are part of error texts.
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
    #[serde(default = "default_capacity")]
    capacity: u32,
}

/// A backend that does not say its capacity handles one request at once.
fn default_capacity() -> u32 {
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

impl std::error::Error for DecodeError {}

impl Call {
    /// Decodes a call.
    ///
    /// # Errors
    /// There is no such call, or it can't be decoded.
    pub fn decode(
        method: &str,
        path: &str,
        base_version: Option<&str>,
        body: Vec<u8>,
    ) -> Result<Call, DecodeError> {
        let path = path.split('?').next().unwrap_or_default();
        let mut parts = path.trim_start_matches('/').splitn(2, '/');
        let (name, rest) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        match (method, name) {
            ("POST", "Servers.CheckIn") if !rest.is_empty() => decode_heartbeat(rest, &body),
            ("POST", "Servers.SignOff") if !rest.is_empty() => Ok(Call::Deregister(rest.to_owned())),
            ("POST", "Config.Replace" | "Config.Change") if rest.is_empty() => {
                let text = base_version.ok_or_else(|| malformed("X-Built-On is missing"))?.trim();
                let base_version = u32::from_str_radix(text, 16)
                    .map_err(|_| malformed("X-Built-On is no version (eight hexadecimal digits)"))?;
                let scope = if name == "Config.Replace" { ChangeScope::Full } else { ChangeScope::Partial };
                Ok(Call::Configure(ConfigurationRequest { scope, base_version, body: Arc::new(body) }))
            }
            ("GET", "Config.Read") if rest.is_empty() => Ok(Call::ReadConfiguration),
            ("GET", "Status") if rest.is_empty() => Ok(Call::Status),
            _ => Err(DecodeError::UnknownCall),
        }
    }
}

fn malformed(what: &str) -> DecodeError {
    DecodeError::Malformed(what.to_owned())
}

fn decode_heartbeat(id: &str, body: &[u8]) -> Result<Call, DecodeError> {
    let check_in: CheckIn =
        serde_json::from_slice(body).map_err(|error| DecodeError::Malformed(format!("the beat: {error}")))?;
    let state = match check_in.status.state.as_str() {
        "ready" => BackendState::Ready,
        "emptying" => BackendState::Draining,
        other => {
            return Err(DecodeError::Malformed(format!(
                "status.state: {other:?} is neither ready nor emptying"
            )))
        }
    };
    let warmup_left_ms = (check_in.status.warmup_left_s.clamp(0.0, MAX_WARMUP_S) * 1000.0) as u32;
    Ok(Call::Heartbeat(Backend {
        id: id.to_owned(),
        service: check_in.details.service,
        address: check_in.address,
        zone: check_in.details.zone,
        version: check_in.details.version,
        capacity: check_in.details.capacity.max(1),
        state,
        call_count: check_in.status.call_count,
        warmup_left_ms,
        age_ms: 0,
    }))
}
