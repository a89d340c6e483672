//! A stand-in for the platform's store: lists, watches and single objects. The store of a case does not fail.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, Wire, answer};

/// Stands in texts for a byte that is no text. Answers have 0xff in its place.
pub const NO_TEXT: char = '\u{e000}';

#[derive(Default)]
struct State {
    revision: u64,
    /// By kind and name: revision, creation and text.
    objects: BTreeMap<(String, String), (u64, u64, String)>,
    /// Revision, kind and event.
    events: Vec<(u64, String, String)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn object(name: &str, revision: u64, created: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{revision},\"createRev\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Replaces the marker, and the length that counted its bytes.
fn with_no_text(bytes: Vec<u8>) -> Vec<u8> {
    let marker = NO_TEXT.to_string().into_bytes();
    let Some(head) = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) else {
        return bytes;
    };
    let mut body = bytes[head..].to_vec();
    let mut found = false;
    while let Some(at) = body.windows(marker.len()).position(|w| w == marker) {
        body.splice(at..at + marker.len(), [0xff]);
        found = true;
    }
    if found { answer("200 OK", "content-type: application/json\r\n", &body) } else { bytes }
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 10;
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(request)) = wire.read() {
                        let bytes = store.reply(&request);
                        if wire.send(&with_no_text(bytes)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.put_locked(&mut self.0.0.lock().unwrap(), kind, name, spec);
    }

    fn put_locked(&self, state: &mut State, kind: &str, name: &str, spec: &str) {
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |(_, created, _)| *created);
        state.objects.insert(key, (revision, created, spec.to_owned()));
        let event = format!(
            "{{\"removed\":false,\"object\":{}}}",
            object(name, revision, created, spec)
        );
        state.events.push((revision, kind.to_owned(), event));
        self.0.1.notify_all();
    }

    fn reply(&self, request: &Message) -> Vec<u8> {
        const JSON: &str = "content-type: application/json\r\n";
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return answer("404 Not Found", "", b"");
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        if request.method() != "GET" {
            return self.write(request, kind, name);
        }
        if let Some(after) = parameter("watch").and_then(|text| text.parse().ok()) {
            let wait = parameter("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
            let text = self.watch(kind, after, Duration::from_millis(wait));
            return answer("200 OK", JSON, text.as_bytes());
        }
        let state = self.0.0.lock().unwrap();
        if !name.is_empty() {
            return match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some((revision, created, spec)) => {
                    answer("200 OK", JSON, object(name, *revision, *created, spec).as_bytes())
                }
                None => answer("404 Not Found", JSON, b"{}"),
            };
        }
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|((_, name), (revision, created, spec))| object(name, *revision, *created, spec))
            .collect();
        let text = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        );
        answer("200 OK", JSON, text.as_bytes())
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let (state, changed) = &*self.0;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, k, _)| *revision > after && k == kind)
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Creates or replaces an object as the caller asks. The body is `{"metadata":{...},"spec":...}`.
    fn write(&self, request: &Message, kind: &str, name: &str) -> Vec<u8> {
        const JSON: &str = "content-type: application/json\r\n";
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let start = body.find(&format!("\"{name}\":"))? + name.len() + 3;
            let rest = &body[start..];
            let end = rest.find([',', '}']).unwrap_or(rest.len());
            Some(rest[..end].trim_matches('"').to_owned())
        };
        let Some(spec) = body.find("\"spec\":").map(|at| &body[at + 7..body.len() - 1]) else {
            return answer("400 Bad Request", JSON, b"{}");
        };
        let name = if name.is_empty() { field("name").unwrap_or_default() } else { name.to_owned() };
        let expected: Option<u64> = field("rev").and_then(|text| text.parse().ok());
        // The condition and the write are one step.
        let mut state = self.0.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let conflict = match (&known, request.method()) {
            (Some(_), "POST") => true,
            (Some((revision, ..)), _) => expected.is_some_and(|expected| expected != *revision),
            (None, "POST") => false,
            (None, _) => return answer("404 Not Found", JSON, b"{}"),
        };
        if conflict {
            let (revision, created, spec) = known.unwrap();
            let text = object(&name, revision, created, &spec);
            return answer("409 Conflict", JSON, text.as_bytes());
        }
        self.put_locked(&mut state, kind, &name, spec);
        let (revision, created, spec) = &state.objects[&(kind.to_owned(), name.clone())];
        answer("200 OK", JSON, object(&name, *revision, *created, spec).as_bytes())
    }
}
