//! Stand-ins for servers, as the users' pages describe sound ones.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::{Entry, Record, unix_ms},
    http::{self, Request},
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long an engine takes to load weights.
const LOAD: Duration = Duration::from_millis(270);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Answers a request that another server was meant to get. Returns whether it did.
fn misdirected(name: &str, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let expected = request.header("x-expect-instance");
    if expected.is_empty() || expected == name {
        return Ok(false);
    }
    http::answer(
        stream,
        "421 Misdirected Request",
        &format!("x-instance-id: {name}\r\n"),
        b"",
    )?;
    Ok(true)
}

fn beat(entry: impl Fn() -> Entry + Send + 'static, store: &Store) {
    let store = store.clone();
    thread::spawn(move || {
        for number in 1.. {
            entry().write(&store, number);
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Starts a plain server, which answers each request after 30 ms with so many bytes.
pub fn start_plain(
    record: &Record,
    store: &Store,
    name: &str,
    zone: &str,
    bytes: usize,
) -> io::Result<SocketAddr> {
    let (record, id) = (record.clone(), name.to_owned());
    let address = http::listen(loopback(), move |request, stream| {
        if misdirected(&id, request, stream)? {
            return Ok(());
        }
        if request.path() == "/healthz" {
            return http::answer(stream, "200 OK", &format!("x-instance-id: {id}\r\n"), b"");
        }
        let call = request.header("x-request-id");
        record.line(format!("server {id} runs {call}"));
        thread::sleep(Duration::from_millis(30));
        let headers = format!("x-request-id: {call}\r\nx-response-seal: s.{id}.{call}\r\n");
        let result = http::answer(stream, "200 OK", &headers, &vec![b'x'; bytes]);
        let end = if result.is_ok() {
            "has sent its whole answer"
        } else {
            "could not send its answer"
        };
        record.line(format!("server {id} {end} to {call}"));
        result
    })?;
    let entry = Entry {
        name: name.to_owned(),
        service: "libro".to_owned(),
        address,
        zone: zone.to_owned(),
        slots: 6,
        born: unix_ms(),
        version: None,
    };
    beat(move || entry.clone(), store);
    Ok(address)
}

/// A model server.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    version: Arc<AtomicU64>,
}

struct EngineState {
    record: Record,
    name: String,
    version: Arc<AtomicU64>,
    orders: AtomicU64,
    fence: AtomicU64,
    busy: Arc<AtomicBool>,
}

impl Engine {
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Starts a model server that serves a version of `m0`.
    pub fn start(
        record: &Record,
        store: &Store,
        name: &str,
        zone: &str,
        version: u64,
    ) -> io::Result<Self> {
        let version = Arc::new(AtomicU64::new(version));
        let state = EngineState {
            record: record.clone(),
            name: name.to_owned(),
            version: Arc::clone(&version),
            orders: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            busy: Arc::default(),
        };
        let address = http::listen(loopback(), move |request, stream| {
            state.serve(request, stream)
        })?;
        let entry = Entry {
            name: name.to_owned(),
            service: "oraculo".to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 24,
            born: unix_ms(),
            version: None,
        };
        let served = Arc::clone(&version);
        beat(
            move || Entry {
                version: Some(served.load(Ordering::SeqCst)),
                ..entry.clone()
            },
            store,
        );
        Ok(Self {
            name: name.to_owned(),
            version,
        })
    }
}

impl EngineState {
    fn serve(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if misdirected(&self.name, request, stream)? {
            return Ok(());
        }
        let version = self.version.load(Ordering::SeqCst);
        let json = "content-type: application/json\r\n";
        match request.path() {
            "/healthz" => {
                let headers = format!("x-instance-id: {}\r\n", self.name);
                return http::answer(stream, "200 OK", &headers, b"");
            }
            "/v1/report" => {
                let text = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m0\",\"version\":{version},\"adapters\":[]}}],\
                     \"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":206138,\"handles\":0}}",
                    self.busy.load(Ordering::SeqCst),
                    self.orders.load(Ordering::SeqCst)
                );
                return http::answer(stream, "200 OK", json, text.as_bytes());
            }
            "/v1/kv-events" => {
                let wait = request.header("wait-ms").parse().unwrap_or(0);
                thread::sleep(Duration::from_millis(wait));
                let text = b"{\"bootEpoch\":77120,\"next\":1,\"lost\":false,\"events\":[]}";
                return http::answer(stream, "200 OK", json, text);
            }
            "/v1/order" => return self.take_order(&String::from_utf8_lossy(&request.body), stream),
            _ => {}
        }
        let expected = request.header("x-expect-version");
        if self.busy.load(Ordering::SeqCst) {
            return http::answer(
                stream,
                "503 Service Unavailable",
                "x-not-executed: 1\r\n",
                b"",
            );
        }
        if !expected.is_empty() && expected != version.to_string() {
            let headers = format!("x-instance-id: {}\r\n", self.name);
            return http::answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let call = request.header("x-request-id");
        self.record.line(format!(
            "server {} runs {call} on version {version}",
            self.name
        ));
        thread::sleep(Duration::from_millis(60));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {call}\r\n\
             x-response-seal: s.{}.{call}\r\nx-weight-versions: {version}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.name
        );
        stream.write_all(head.as_bytes())?;
        for number in 1..=3 {
            let event = format!("id: {number}\ndata: {}\n\n", "t".repeat(60));
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(25));
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn take_order(&self, order: &str, stream: &mut TcpStream) -> io::Result<()> {
        let number = |name: &str| -> Option<u64> {
            let rest = order.split(&format!("\"{name}\":")).nth(1)?;
            rest.split([',', '}']).next()?.trim().parse().ok()
        };
        let (version, fence) = (number("version").unwrap_or(0), number("fence").unwrap_or(0));
        let status = if fence < self.fence.fetch_max(fence, Ordering::SeqCst) {
            "412 Precondition Failed"
        } else if version == self.version.load(Ordering::SeqCst) {
            "200 OK"
        } else if self.busy.load(Ordering::SeqCst)
            || number("precondition").is_some_and(|seq| seq != self.orders.load(Ordering::SeqCst))
        {
            "409 Conflict"
        } else {
            self.orders.fetch_add(1, Ordering::SeqCst);
            self.busy.store(true, Ordering::SeqCst);
            let (served, busy) = (Arc::clone(&self.version), Arc::clone(&self.busy));
            thread::spawn(move || {
                thread::sleep(LOAD);
                served.store(version, Ordering::SeqCst);
                busy.store(false, Ordering::SeqCst);
            });
            "202 Accepted"
        };
        self.record.line(format!(
            "server {} answers {status} to the order of version {version}",
            self.name
        ));
        http::answer(stream, status, "", b"")
    }
}

/// Starts a web server that is no server of the platform: it answers 404 to everything. Returns its address.
pub fn start_foreign(record: &Record, name: &str) -> io::Result<SocketAddr> {
    let (record, name) = (record.clone(), name.to_owned());
    let seen = AtomicU64::new(0);
    http::listen(loopback(), move |request, stream| {
        if seen.fetch_add(1, Ordering::SeqCst) < 20 {
            record.line(format!(
                "the web server of {name} gets {} {}",
                request.method, request.target
            ));
        }
        http::answer(stream, "404 Not Found", "", b"")
    })
}
