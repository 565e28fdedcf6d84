//! Asks a running door what it knows of the system.

use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{TcpStream, ToSocketAddrs};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);

/// The door's own words, JSON.
pub fn ask(address: &str) -> io::Result<String> {
    let unknown = || io::Error::new(io::ErrorKind::InvalidInput, "no address with a port");
    let at = address.to_socket_addrs().map_err(|_| unknown())?.next().ok_or_else(unknown)?;
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    write!(stream, "GET /Status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.to_owned()),
        _ => Err(io::Error::other("this is no door of the gateway, or it can't answer now")),
    }
}

/// The same for people: a line for the door, and one for each that lags behind it.
pub fn told(address: &str, text: &str) -> String {
    let Ok(told) = serde_json::from_str::<Value>(text) else { return format!("{address}: {text}") };
    let word = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let leader = match &told["leader"] {
        Value::Null => "nobody leads".to_owned(),
        leader => format!("{} leads under term {}", word(&leader["ip"]), leader["term"]),
    };
    let voters: Vec<String> =
        told["voters"].as_array().into_iter().flatten().map(|voter| word(&voter["ip"])).collect();
    let mut lines = format!(
        "{address}: zone {}, version {} at index {}; {leader}; voters {}; backends {} ready, {} silent, {} emptying",
        word(&told["zone"]),
        word(&told["version"]),
        told["index"],
        voters.join(", "),
        told["backends"]["ready"],
        told["backends"]["silent"],
        told["backends"]["emptying"],
    );
    for door in told["doors"].as_array().into_iter().flatten() {
        if door["behind"].as_u64().is_some_and(|behind| behind > 0) {
            lines.push_str(&format!(
                "\n  {} is {} indexes behind, heard {} ms ago",
                word(&door["ip"]),
                door["behind"],
                door["heardMsAgo"]
            ));
        }
    }
    lines
}
