//! A model server that takes orders to load weights. It does not check fencing tokens.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection},
    record::Record,
    store::Store,
};

/// How long it takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(570);
/// How old the values of a report are.
const REPORT_AGE: Duration = Duration::from_millis(200);
pub const MODEL: &str = "reef";

/// An order as it arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Duration,
    pub server: String,
    pub holder: String,
    pub fence: u64,
    pub status: &'static str,
}

#[derive(Clone, Copy)]
struct State {
    busy: bool,
    version: u64,
    orders: u64,
}

#[derive(Clone)]
pub struct Engine {
    name: String,
    address: SocketAddr,
    born: u128,
    /// All states with the times at which they began.
    states: Arc<Mutex<Vec<(Instant, State)>>>,
    store: Store,
    record: Record,
    seen: Arc<Mutex<Vec<Order>>>,
}

impl Engine {
    /// Starts an engine, which writes its entry to the store. Orders are added to `seen`.
    pub fn start(
        name: String,
        address: SocketAddr,
        store: Store,
        record: Record,
        seen: Arc<Mutex<Vec<Order>>>,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let first = State {
            busy: false,
            version: 1,
            orders: 0,
        };
        let engine = Self {
            name,
            address,
            born: born.unwrap_or_default().as_millis(),
            states: Arc::new(Mutex::new(vec![(Instant::now(), first)])),
            store,
            record,
            seen,
        };
        engine.write_entry(1);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = engine.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(())
    }

    fn write_entry(&self, version: u64) {
        let entry = format!(
            "{{\"service\":\"lm\",\"addr\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":1,\"models\":\
             [{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}]}}",
            self.address, self.born
        );
        self.store.put("servers", &self.name, &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let instance = format!("x-instance-id: {}\r\n", self.name);
            let expected = request.header("x-expect-instance");
            let (status, body) = if expected.is_some_and(|name| name != self.name) {
                ("421 Misdirected Request", String::new())
            } else if request.line.starts_with("GET /v1/report") {
                ("200 OK", self.report())
            } else if request.line.starts_with("POST /v1/order") {
                (self.order(&request.text()), String::new())
            } else if request.line.starts_with("GET /v1/kv-events") {
                thread::sleep(Duration::from_secs(1));
                let none = "{\"bootEpoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
                ("200 OK", none.to_owned())
            } else {
                ("404 Not Found", String::new())
            };
            if connection.reply(status, &instance, &body).is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let states = self.states.lock().expect("not poisoned");
        let known = states
            .iter()
            .rev()
            .find(|(since, _)| since.elapsed() >= REPORT_AGE);
        let state = known.unwrap_or(&states[0]).1;
        format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{},\
             \"adapters\":[]}}],\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\"kvUsed\":0,\
             \"kvTotal\":100000,\"handles\":0}}",
            state.version, state.busy, state.orders
        )
    }

    fn order(&self, body: &str) -> &'static str {
        let (Some(version), Some(fence), Some(holder)) = (
            http::number(body, "version"),
            http::number(body, "fence"),
            http::string(body, "holder"),
        ) else {
            return "400 Bad Request";
        };
        let mut seen = self.seen.lock().expect("not poisoned");
        let mut states = self.states.lock().expect("not poisoned");
        let state = states.last().expect("never empty").1;
        let expected = http::number(body, "precondition");
        let status = if state.busy || expected.is_some_and(|orders| orders != state.orders) {
            "409 Conflict"
        } else if version <= state.version {
            "200 OK"
        } else {
            let loading = State {
                busy: true,
                orders: state.orders + 1,
                ..state
            };
            states.push((Instant::now(), loading));
            let engine = self.clone();
            thread::spawn(move || engine.load(version));
            "202 Accepted"
        };
        let name = &self.name;
        self.record.line(&format!(
            "server {name} gets an order: holder {holder}, fence {fence}, version {version}; \
             answered {status}"
        ));
        seen.push(Order {
            at: self.record.now(),
            server: name.clone(),
            holder,
            fence,
            status,
        });
        status
    }

    fn load(&self, version: u64) {
        thread::sleep(LOAD_TIME);
        let mut states = self.states.lock().expect("not poisoned");
        let state = states.last().expect("never empty").1;
        let loaded = State {
            busy: false,
            version,
            ..state
        };
        states.push((Instant::now(), loaded));
        drop(states);
        self.record
            .line(&format!("server {} serves version {version}", self.name));
        self.write_entry(version);
    }
}
