//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// A message: its first line, its headers (names in lower case) and its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name, as text.
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(other, _)| other == name)?;
        Some(String::from_utf8_lossy(&found.1).into_owned())
    }

    /// The status of a response; 0 if the first line is not a status line.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length").and_then(|text| text.trim().parse().ok())
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|text| text.to_ascii_lowercase().contains("chunked"))
    }
}

/// A connection with the bytes that were read from it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(to: SocketAddrV4, limit: Duration) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&to.into(), limit)?))
    }

    /// Reads more bytes until `until`; an error at the end of the stream.
    fn fill(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.buffer.extend_from_slice(&bytes[..read]);
                Ok(())
            }
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self, until: Instant) -> io::Result<Message> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(parse_head(&head[..end]));
            }
            self.fill(until)?;
        }
    }

    /// Reads the body of a message, whose head was read before. Without a length, a response ends with its connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool, until: Instant) -> io::Result<()> {
        if message.is_chunked() {
            return self.read_chunks(message, until);
        }
        match message.length() {
            Some(length) => {
                while self.buffer.len() < length {
                    self.fill(until)?;
                }
                message.body = self.buffer.drain(..length).collect();
                Ok(())
            }
            None if is_response => loop {
                match self.fill(until) {
                    Ok(()) => {}
                    Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                        message.body = std::mem::take(&mut self.buffer);
                        return Ok(());
                    }
                    Err(error) => return Err(error),
                }
            },
            None => Ok(()),
        }
    }

    fn read_chunks(&mut self, message: &mut Message, until: Instant) -> io::Result<()> {
        loop {
            let end = loop {
                match find(&self.buffer, b"\r\n") {
                    Some(end) => break end,
                    None => self.fill(until)?,
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffer.len() < end + 2 + size + 2 {
                self.fill(until)?;
            }
            self.buffer.drain(..end + 2);
            message.body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(());
            }
        }
    }

    /// Reads a whole message.
    pub fn read(&mut self, is_response: bool, until: Instant) -> io::Result<Message> {
        let mut message = self.read_head(until)?;
        self.read_body(&mut message, is_response, until)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// Lets a listener's queue hold one connection that isn't accepted; a further connect hangs.
pub fn shrink_backlog(listener: &impl std::os::fd::AsRawFd) {
    // A call on a descriptor that the listener owns.
    let _ = unsafe { listen(listener.as_raw_fd(), 0) };
}

/// Resets a connection when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let at_once: [i32; 2] = [1, 0];
    // The value outlives the call, and the length is its own.
    let _ = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, at_once.as_ptr(), 8) };
}

/// Gives the connections of a listener a small window, as the links of the pages have: their receive buffer holds
/// 64 kB.
pub fn small_window(listener: &impl std::os::fd::AsRawFd) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 64 * 1024;
    // The value outlives the call, and the length is its own.
    let _ = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

fn parse_head(head: &[u8]) -> Message {
    let mut lines = head.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let line = String::from_utf8_lossy(lines.next().unwrap_or_default()).into_owned();
    let headers = lines
        .filter_map(|line| {
            let colon = line.iter().position(|byte| *byte == b':')?;
            let name = String::from_utf8_lossy(&line[..colon]).trim().to_ascii_lowercase();
            Some((name, line[colon + 1..].trim_ascii().to_vec()))
        })
        .collect();
    Message { line, headers, body: Vec::new() }
}

/// One request on a connection of its own.
pub fn call(to: SocketAddrV4, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut connection = Connection::open(to, limit)?;
    connection.write(head.as_bytes())?;
    connection.write(body)?;
    connection.read(true, Instant::now() + limit)
}
