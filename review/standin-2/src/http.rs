//! Reading and writing of HTTP/1.1 messages, as far as the cases need it.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A received request or answer.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head. Returns `None` if the connection ended before.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { first_line, headers, ..Message::default() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a whole request or answer. An answer without a length ends with its connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let is_answer = message.first_line.starts_with("HTTP/");
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if chunked {
            message.complete = self.read_chunks(&mut message.body)?;
        } else if let Some(length) = message.header("content-length") {
            let length: usize = length.parse().unwrap_or(0);
            while self.rest.len() < length {
                match self.fill() {
                    Ok(0) | Err(_) => break,
                    Ok(_) => {}
                }
            }
            message.complete = self.rest.len() >= length;
            let length = length.min(self.rest.len());
            message.body = self.rest.drain(..length).collect();
        } else if is_answer {
            message.complete = loop {
                match self.fill() {
                    Ok(0) => break true,
                    Ok(_) => {}
                    Err(_) => break false,
                }
            };
            message.body = std::mem::take(&mut self.rest);
        } else {
            message.complete = true;
        }
        Ok(Some(message))
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(Some(line));
            }
            match self.fill() {
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.read_line()? else {
                return Ok(false);
            };
            let size = line.split(';').next().unwrap_or_default().trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Ok(false);
            };
            if size == 0 {
                while let Some(line) = self.read_line()? {
                    if line.is_empty() {
                        return Ok(true);
                    }
                }
                return Ok(false);
            }
            while self.rest.len() < size + 2 {
                match self.fill() {
                    Ok(0) | Err(_) => {
                        body.append(&mut self.rest);
                        return Ok(false);
                    }
                    Ok(_) => {}
                }
            }
            body.extend(self.rest.drain(..size));
            self.rest.drain(..2);
        }
    }
}

/// Writes an answer with a length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    text.extend_from_slice(body);
    text
}
