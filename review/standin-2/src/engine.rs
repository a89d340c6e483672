//! A stand-in for a model server: streams, its report, and orders to change weights.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Message, Wire, answer},
    record::Record,
    site::{entry, server_name},
    store::Store,
};

const EVENTS: u64 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// `warm_s` of the model in `cairn-quito.toml`.
const LOAD_TIME: Duration = Duration::from_millis(270);

#[derive(Default)]
struct State {
    versions: Vec<(String, u64)>,
    orders: u64,
    fence: u64,
    loading: Option<String>,
}

#[derive(Clone)]
pub struct Engine {
    record: Record,
    store: Store,
    number: u8,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Engine {
    pub fn new(record: Record, store: Store, number: u8, address: SocketAddr, models: &[&str]) -> Self {
        let versions = models.iter().map(|name| ((*name).to_owned(), 1)).collect();
        let state = State { versions, ..State::default() };
        Self { record, store, number, address, state: Arc::new(Mutex::new(state)) }
    }

    fn models(&self) -> String {
        let state = self.state.lock().unwrap();
        let models: Vec<String> = state
            .versions
            .iter()
            .map(|(name, version)| format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}"))
            .collect();
        models.join(",")
    }

    /// Writes the entry in the store.
    pub fn register(&self) {
        let more = format!(",\"stage\":\"unified\",\"models\":[{}]", self.models());
        let name = server_name("oraculo", self.number);
        self.store.put("servers", &name, &entry("oraculo", self.address, self.number, &more));
    }

    pub fn answer(&self, wire: &mut Wire, request: &Message, began: &dyn Fn(&Message, &[(String, u64)])) -> bool {
        let instance = format!("x-instance-id: {}\r\n", server_name("oraculo", self.number));
        if request.path().starts_with("/v1/report") {
            let models = self.models();
            let state = self.state.lock().unwrap();
            let text = format!(
                "{{\"stage\":\"unified\",\"models\":[{models}],\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\
                 \"kvUsed\":0,\"kvTotal\":206138,\"handles\":0}}",
                state.loading.is_some(),
                state.orders
            );
            drop(state);
            return wire.send(&answer("200 OK", &instance, text.as_bytes())).is_ok();
        }
        if request.path().starts_with("/v1/order") {
            let status = self.order(&String::from_utf8_lossy(&request.body));
            return wire.send(&answer(status, &instance, b"")).is_ok();
        }
        self.run(wire, request, &instance, began)
    }

    fn order(&self, body: &str) -> &'static str {
        let field = |name: &str| {
            let start = body.find(&format!("\"{name}\":"))? + name.len() + 3;
            let rest = &body[start..];
            let end = rest.find([',', '}']).unwrap_or(rest.len());
            Some(rest[..end].trim_matches('"').to_owned())
        };
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(model), Some(version), Some(fence)) = (field("model"), number("version"), number("fence")) else {
            return "400 Bad Request";
        };
        let mut state = self.state.lock().unwrap();
        let status = if fence < state.fence {
            "412 Precondition Failed"
        } else if number("precondition").is_some_and(|orders| orders != state.orders) || state.loading.is_some() {
            state.fence = fence;
            "409 Conflict"
        } else if state.versions.iter().any(|(name, known)| *name == model && *known >= version) {
            state.fence = fence;
            "200 OK"
        } else {
            state.fence = fence;
            state.orders += 1;
            state.loading = Some(model.clone());
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                {
                    let mut state = engine.state.lock().unwrap();
                    state.loading = None;
                    for (name, known) in &mut state.versions {
                        if *name == model {
                            *known = version;
                        }
                    }
                }
                engine.register();
                engine.record.line(format!("engine {} serves {}", engine.number, engine.models()));
            });
            "202 Accepted"
        };
        self.record.line(format!("engine {}: order {body} -> {status}", self.number));
        status
    }

    fn run(
        &self,
        wire: &mut Wire,
        request: &Message,
        instance: &str,
        began: &dyn Fn(&Message, &[(String, u64)]),
    ) -> bool {
        let id = request.header("x-request-id").unwrap_or_default();
        let model = request.header("x-model").unwrap_or_default();
        let headers = format!("{instance}x-request-id: {id}\r\n");
        let (versions, loading) = {
            let state = self.state.lock().unwrap();
            (state.versions.clone(), state.loading.as_deref() == Some(model))
        };
        let version = versions.iter().find(|(name, _)| name == model).map_or(0, |(_, version)| *version);
        let expected: Option<u64> = request.header("x-expect-version").and_then(|text| text.parse().ok());
        if expected.is_some_and(|expected| expected != version) {
            self.record.line(format!(
                "engine {} has {model} {version} and answers 421 to {id}, which expects {expected:?}",
                self.number
            ));
            return wire.send(&answer("421 Misdirected Request", &headers, b"")).is_ok();
        }
        if loading {
            let headers = format!("{headers}x-not-executed: 1\r\n");
            return wire.send(&answer("503 Service Unavailable", &headers, b"")).is_ok();
        }
        began(request, &versions);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}x-response-seal: seal-{}.{id}\r\nx-weight-versions: {version}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.number
        );
        let mut sent = wire.send(head.as_bytes()).is_ok();
        for number in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: part {number} of {id}\n\n");
            sent = sent && wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
        }
        sent && wire.send(b"0\r\n\r\n").is_ok()
    }
}
