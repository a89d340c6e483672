//! Blocking HTTP/1.1 over the standard library: as much of it as the scripts need.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a stand-in server reads it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reads bytes until `end` appears. Returns what came before and what came after it.
fn read_until(
    stream: &mut TcpStream,
    mut buffer: Vec<u8>,
    end: &[u8],
) -> io::Result<Option<(Vec<u8>, Vec<u8>)>> {
    loop {
        if let Some(at) = buffer.windows(end.len()).position(|window| window == end) {
            let rest = buffer.split_off(at + end.len());
            buffer.truncate(at);
            return Ok(Some((buffer, rest)));
        }
        let mut chunk = [0; 16 << 10];
        let length = stream.read(&mut chunk)?;
        if length == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..length]);
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> HashMap<String, String> {
    lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

/// Reads one request. Returns `None` when the connection has ended.
pub fn read_request(stream: &mut TcpStream, pending: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some((head, mut rest)) = read_until(stream, std::mem::take(pending), b"\r\n\r\n")? else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or("").split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = parse_headers(lines);
    let length: usize = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    while rest.len() < length {
        let mut chunk = [0; 16 << 10];
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&chunk[..read]);
    }
    *pending = rest.split_off(length);
    Ok(Some(Request {
        method,
        target,
        headers,
        body: rest,
    }))
}

/// Decodes the escaped bytes of a query.
pub fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let escaped = after.get(..2).filter(|_| *first == b'%');
        let escaped =
            escaped.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        bytes.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() {
            &after[2..]
        } else {
            after
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Writes a whole answer.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Accepts connections, each on a thread of its own, and calls `serve` for each request until it fails.
pub fn listen(
    address: SocketAddr,
    serve: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut pending = Vec::new();
                while let Ok(Some(request)) = read_request(&mut stream, &mut pending) {
                    if serve(&request, &mut stream).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(local)
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Reply {
    /// 0 if the connection ended before a head.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub complete: bool,
}

/// Sends a request on a new connection and reads the answer to its end.
pub fn exchange(address: SocketAddr, request: &str, time_limit: Duration) -> Reply {
    let mut reply = Reply {
        status: 0,
        headers: HashMap::new(),
        body: Vec::new(),
        complete: false,
    };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return reply;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(time_limit));
    if stream.write_all(request.as_bytes()).is_err() {
        return reply;
    }
    let Ok(Some((head, rest))) = read_until(&mut stream, Vec::new(), b"\r\n\r\n") else {
        return reply;
    };
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1))
        .and_then(|s| s.parse().ok());
    reply.status = status.unwrap_or(0);
    reply.headers = parse_headers(lines);
    let length: Option<usize> = reply
        .headers
        .get("content-length")
        .and_then(|l| l.parse().ok());
    let chunked = reply
        .headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding == "chunked");
    let mut raw = rest;
    loop {
        if let Some(length) = length {
            if raw.len() >= length {
                reply.complete = raw.len() == length;
                break;
            }
        } else if chunked && (raw.ends_with(b"\r\n0\r\n\r\n") || raw == b"0\r\n\r\n") {
            reply.complete = true;
            break;
        }
        let mut chunk = [0; 16 << 10];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(read) => {
                raw.extend_from_slice(&chunk[..read]);
            }
        }
    }
    reply.body = raw;
    reply
}
