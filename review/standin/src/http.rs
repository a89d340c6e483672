//! Reads and writes HTTP/1.1 messages on blocking connections.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request, or the head and body of an answer. `line` is its first line.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the target of a request, or the status of an answer.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        let length = self.stream.read(&mut buffer)?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.bytes.extend_from_slice(&buffer[..length]);
        Ok(())
    }

    /// Reads a head and, if it states a length, the body.
    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(end) = find(&self.bytes, b"\r\n\r\n") {
                break end;
            }
            self.fill()?;
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let mut message = Message {
            line,
            headers: headers
                .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
                .collect(),
            body: Vec::new(),
        };
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.bytes.len() < length {
            if let Err(error) = self.fill() {
                message.body = std::mem::take(&mut self.bytes);
                return Err(io::Error::new(error.kind(), "the body broke off"));
            }
        }
        message.body = self.bytes.drain(..length).collect();
        Ok(message)
    }

    /// Reads a body in chunks to its end, and fails if it breaks off.
    pub fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.bytes, b"\r\n") {
                    break end;
                }
                self.fill()?;
            };
            let size = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            while self.bytes.len() < end + 2 + size + 2 {
                self.fill()?;
            }
            body.extend_from_slice(&self.bytes[end + 2..end + 2 + size]);
            self.bytes.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn reply(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.write(&format!(
            "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}"
        ))
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Returns a whole number that follows a field's name in a JSON text.
pub fn number(text: &str, field: &str) -> Option<u64> {
    let rest = value(text, field)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Returns a text without escapes that follows a field's name in a JSON text.
pub fn string(text: &str, field: &str) -> Option<String> {
    let rest = value(text, field)?.strip_prefix('"')?;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns what follows a field's name in a JSON text.
pub fn value<'a>(text: &'a str, field: &str) -> Option<&'a str> {
    let name = format!("\"{field}\":");
    let start = text.find(&name)? + name.len();
    Some(text[start..].trim_start())
}
