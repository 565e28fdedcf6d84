//! The client of the control call `GET /Status`: sends the request, parses the answer and formats it as text.

use serde::Deserialize;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::Duration;

/// The time limit of the connection and of each read. A node answers within milliseconds or not at all.
const TIMEOUT: Duration = Duration::from_secs(3);

/// An error of fetching the status of a node.
#[derive(Debug)]
pub enum StatusError {
    /// The address cannot be resolved, or has no port.
    InvalidAddress,
    /// The connection, the request or reading the answer failed.
    Io(io::Error),
    /// The status code of the answer is not 200.
    Rejected,
}

impl fmt::Display for StatusError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StatusError::InvalidAddress => f.write_str("the address cannot be resolved or has no port"),
            StatusError::Io(error) => error.fmt(f),
            StatusError::Rejected => f.write_str("this is no door of the gateway, or it can't answer now"),
        }
    }
}

impl std::error::Error for StatusError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StatusError::Io(error) => Some(error),
            StatusError::InvalidAddress | StatusError::Rejected => None,
        }
    }
}

impl From<io::Error> for StatusError {
    fn from(error: io::Error) -> StatusError {
        StatusError::Io(error)
    }
}

/// Fetches the status of the node whose control listener is at `address`, and returns the unparsed JSON body.
///
/// # Errors
/// The address is invalid, the exchange failed, or the status code of the answer is not 200.
pub fn fetch(address: &str) -> Result<String, StatusError> {
    let mut resolved = address.to_socket_addrs().map_err(|_| StatusError::InvalidAddress)?;
    let socket_address = resolved.next().ok_or(StatusError::InvalidAddress)?;
    let mut stream = TcpStream::connect_timeout(&socket_address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(stream, "GET /Status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    match response.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.to_owned()),
        _ => Err(StatusError::Rejected),
    }
}

/// The status of one node. All fields are optional, as nodes of other releases may leave some out; a missing one is
/// printed as `null`.
#[derive(Debug, Deserialize)]
pub struct NodeStatus {
    zone: Option<String>,
    version: Option<String>,
    index: Option<u64>,
    leader: Option<LeaderStatus>,
    #[serde(default)]
    voters: Vec<VoterStatus>,
    /// The other nodes, as last reported to this one.
    #[serde(default, rename = "doors")]
    peers: Vec<PeerStatus>,
    #[serde(default)]
    backends: BackendCounts,
}

#[derive(Debug, Deserialize)]
struct LeaderStatus {
    ip: Option<String>,
    term: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct VoterStatus {
    ip: Option<String>,
}

#[derive(Debug, Deserialize)]
struct PeerStatus {
    ip: Option<String>,
    /// The number of log indexes by which the peer's replica is behind that of this node.
    behind: Option<u64>,
    /// Milliseconds since the last message from the peer.
    #[serde(rename = "heardMsAgo")]
    last_message_ms_ago: Option<u64>,
}

#[derive(Debug, Default, Deserialize)]
struct BackendCounts {
    ready: Option<u64>,
    #[serde(rename = "silent")]
    unresponsive: Option<u64>,
    #[serde(rename = "emptying")]
    draining: Option<u64>,
}

/// Displays a missing value as `null`.
struct OrNull<T>(T);

impl<T: fmt::Display> fmt::Display for OrNull<&Option<T>> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("null"),
        }
    }
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (zone, version, index) = (OrNull(&self.zone), OrNull(&self.version), OrNull(&self.index));
        write!(f, "zone {zone}, version {version} at index {index}; ")?;
        match &self.leader {
            None => f.write_str("nobody leads")?,
            Some(LeaderStatus { ip, term }) => {
                write!(f, "{} leads under term {}", OrNull(ip), OrNull(term))?;
            }
        }
        let voters: Vec<String> = self.voters.iter().map(|voter| OrNull(&voter.ip).to_string()).collect();
        let BackendCounts { ready, unresponsive, draining } = &self.backends;
        write!(
            f,
            "; voters {}; backends {} ready, {} silent, {} emptying",
            voters.join(", "),
            OrNull(ready),
            OrNull(unresponsive),
            OrNull(draining)
        )?;
        self.peers.iter().filter(|peer| peer.behind.is_some_and(|behind| behind > 0)).try_for_each(|peer| {
            let (ip, behind) = (OrNull(&peer.ip), OrNull(&peer.behind));
            let last_message = OrNull(&peer.last_message_ms_ago);
            write!(f, "\n  {ip} is {behind} indexes behind, heard {last_message} ms ago")
        })
    }
}

/// Formats a status as text: a line for the node, and one for each peer that lags behind it. A body that cannot be
/// parsed is returned unchanged after the address.
pub fn format_status(address: &str, body: &str) -> String {
    match serde_json::from_str::<NodeStatus>(body) {
        Ok(status) => format!("{address}: {status}"),
        Err(_) => format!("{address}: {body}"),
    }
}
