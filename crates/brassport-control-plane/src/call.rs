//! The calls of backends and operators and their replies. Calls are decoded here and executed by the control plane.

use crate::backends::{Backend, BackendState};
use brassport_config_store::consensus::{ChangeScope, ConfigurationRequest};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Upper bound on a backend's warm-up, in seconds. A longer one is treated as a mistake in its settings and clamped.
const MAX_WARMUP_S: f64 = 600.0;

/// A decoded call of a backend or of the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// A heartbeat of a backend (`Servers.CheckIn`).
    Heartbeat(Backend),
    /// Deregisters the backend with this ID (`Servers.SignOff`).
    Deregister(String),
    /// Replaces or changes the configuration (`Config.Replace`, `Config.Change`).
    Configure(ConfigurationRequest),
    /// Reads the latest committed configuration (`Config.Read`).
    ReadConfiguration,
    /// Reads this node's view of the cluster (`Status`).
    Status,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The call succeeded. The body is JSON.
    Done(Arc<Vec<u8>>),
    /// The caller must repeat the call at the node with this address.
    Redirect(std::net::Ipv4Addr),
    /// The call is invalid, with the reason.
    Invalid(String),
    /// The base version of the request is not the current version of the configuration.
    VersionConflict,
    /// This node can't serve the call now, with the reason. The caller should retry, or call another node.
    Unavailable(&'static str),
}

/// Why a call could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// No call has this method and path.
    UnknownCall,
    /// A header or the body is malformed, with the reason for the caller.
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

/// The body of a heartbeat. serde's error messages contain the names of these structs.
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

/// A backend that does not state its capacity handles one request at a time.
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
    /// Decodes a call. `base_version` is the value of the `X-Built-On` header.
    ///
    /// # Errors
    /// No call has this method and path, or a header or the body is malformed.
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
