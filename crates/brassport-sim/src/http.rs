//! HTTP/1.1 messages on the simulated wire, as the scripted hosts and the oracle read them. On purpose not the
//! front door's parser.

/// One whole message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its first line.
    pub line: String,
    /// Names in lower case, in order.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header, empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// The status of an answer; 0 for what is none.
    pub fn status(&self) -> u16 {
        if !self.line.starts_with("HTTP/1.1 ") {
            return 0;
        }
        self.line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Bytes that are no message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Garbled;

/// Cuts a stream of bytes into messages.
#[derive(Debug, Clone, Default)]
pub struct Parser {
    bytes: Vec<u8>,
}

impl Parser {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether part of a message is here.
    pub fn begun(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The head that is here, if all of it is: a request may be known by its head before its body is whole.
    pub fn head(&self) -> Option<Message> {
        let end = self.bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
        parse_head(&self.bytes[..end]).ok()
    }

    /// The next whole message.
    pub fn next_message(&mut self) -> Option<Result<Message, Garbled>> {
        let Some(end) = self.bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
            return (self.bytes.len() > 64 * 1024).then_some(Err(Garbled));
        };
        let mut message = match parse_head(&self.bytes[..end]) {
            Ok(message) => message,
            Err(garbled) => return Some(Err(garbled)),
        };
        let length = match message.header("content-length") {
            "" => 0,
            text => match text.parse::<usize>() {
                Ok(length) if length <= 16 << 20 => length,
                _ => return Some(Err(Garbled)),
            },
        };
        if self.bytes.len() < end + 4 + length {
            return None;
        }
        let rest = self.bytes.split_off(end + 4 + length);
        message.body = std::mem::replace(&mut self.bytes, rest).split_off(end + 4);
        Some(Ok(message))
    }
}

fn parse_head(bytes: &[u8]) -> Result<Message, Garbled> {
    let text = std::str::from_utf8(bytes).map_err(|_| Garbled)?;
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or("").to_string();
    if !line.contains("HTTP/1.1") {
        return Err(Garbled);
    }
    let mut headers = Vec::new();
    for header in lines {
        let (name, value) = header.split_once(':').ok_or(Garbled)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
    Ok(Message { line, headers, body: Vec::new() })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_whole_with_its_last_byte_and_not_before() {
        let text = b"POST /x HTTP/1.1\r\nContent-Length: 3\r\nA: b\r\n\r\nabcGET";
        let mut parser = Parser::default();
        parser.push(&text[..text.len() - 4]);
        assert_eq!(parser.next_message(), None);
        assert_eq!(parser.head().map(|head| head.header("a").to_string()), Some("b".into()));
        parser.push(b"cGET");
        let message = parser.next_message().expect("it is whole").expect("it can be read");
        assert_eq!((message.line.as_str(), message.body.as_slice()), ("POST /x HTTP/1.1", b"abc".as_slice()));
        assert!(parser.begun(), "the next one has begun");
    }

    #[test]
    fn what_is_no_message_is_said_to_be_none() {
        for text in [
            "noise\r\n\r\n",
            "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        ] {
            let mut parser = Parser::default();
            parser.push(text.as_bytes());
            assert_eq!(parser.next_message(), Some(Err(Garbled)), "{text}");
        }
    }
}
