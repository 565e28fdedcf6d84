//! A small HTTP/1.1 client and the reading side of a server, on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The first line and the headers of a message; names of headers are in lower case.
pub struct Head {
    pub first_line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A complete answer.
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, what)
}

/// Reads the head of a message; `None` if the connection ends before its first byte.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first_line = String::new();
    if from.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(broken("the head was cut short"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { first_line: first_line.trim_end().to_owned(), headers }));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("no header"))?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads the body of a message, whose length its head tells.
pub fn read_body(head: &Head, from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(broken("the body was cut short"));
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk"))?;
            let mut chunk = vec![0; length + 2];
            from.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    body.resize(length, 0);
    from.read_exact(&mut body)?;
    Ok(body)
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects. Reads and writes take at most this long.
    pub fn open(to: SocketAddrV4, limit: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to.into(), limit)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for its complete answer.
    pub fn exchange(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let head = read_head(&mut self.reader)?.ok_or_else(|| broken("closed without an answer"))?;
        let body = read_body(&head, &mut self.reader)?;
        Ok(Answer { head, body })
    }
}

/// One call on a connection of its own.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let host = to.to_string();
    let mut all = vec![("Host", host.as_str()), ("Connection", "close")];
    all.extend_from_slice(headers);
    Connection::open(to, limit)?.exchange(method, path, &all, body)
}
