//! Stand-ins for servers, as the users' pages describe sound ones.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
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

/// The use of a kept part of a prompt.
#[derive(Clone, Debug)]
pub struct Use {
    /// Time since the start of the record.
    pub at: Duration,
    /// Tenant whose request uses the part.
    pub tenant: String,
    /// Tenant whose request made it.
    pub maker: String,
}

/// A model server.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    version: Arc<AtomicU64>,
    uses: Arc<Mutex<Vec<Use>>>,
}

struct EngineState {
    record: Record,
    name: String,
    version: Arc<AtomicU64>,
    orders: AtomicU64,
    fence: AtomicU64,
    busy: Arc<AtomicBool>,
    /// The tenant whose request made each kept part, by salt and part.
    kept: Mutex<HashMap<(String, String), String>>,
    uses: Arc<Mutex<Vec<Use>>>,
}

impl Engine {
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns the uses of kept parts so far.
    pub fn uses(&self) -> Vec<Use> {
        self.uses.lock().expect("uses").clone()
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
        let uses = Arc::default();
        let state = EngineState {
            record: record.clone(),
            name: name.to_owned(),
            version: Arc::clone(&version),
            orders: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            busy: Arc::default(),
            kept: Mutex::default(),
            uses: Arc::clone(&uses),
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
            uses,
        })
    }
}

impl EngineState {
    /// Uses the parts of a request's prompt that are kept under its salt, and keeps the others. An absent salt counts as
    /// one text shared by all.
    fn keep_parts(&self, request: &Request) {
        let (salt, tenant) = (request.header("x-cache-salt"), request.header("x-tenant"));
        let call = request.header("x-request-id");
        let mut kept = self.kept.lock().expect("parts");
        let mut all_before = true;
        for part in request.header("x-prompt-prefix").split(',').map(str::trim) {
            let key = (salt.to_owned(), part.to_owned());
            if let Some(maker) = kept.get(&key).filter(|_| all_before).cloned() {
                self.record.line(format!(
                    "server {}: {call} of {tenant} uses part {part}, which a request of {maker} made under the salt \"{salt}\"",
                    self.name
                ));
                let at = self.record.started.elapsed();
                let tenant = tenant.to_owned();
                self.uses
                    .lock()
                    .expect("uses")
                    .push(Use { at, tenant, maker });
            } else {
                all_before = false;
                kept.insert(key, tenant.to_owned());
            }
        }
    }

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
        self.keep_parts(request);
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
            self.kept.lock().expect("parts").clear();
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
