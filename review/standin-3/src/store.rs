//! The platform's metadata store: lists, watches, conditional writes, one revision counter.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Request};

/// A page of a list has so many objects, or so many bytes.
const PAGE_OBJECTS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
/// Stands for a byte that is no UTF-8 in names and values.
pub const UNREADABLE: char = '\u{e000}';

/// Returns the bytes of a text, with those that are no UTF-8.
fn unreadable(text: &str) -> Vec<u8> {
    let pieces: Vec<&[u8]> = text.split(UNREADABLE).map(str::as_bytes).collect();
    pieces.join(&0xff)
}

/// Returns a server's entry without its count of heartbeats.
fn without_heartbeat(spec: &str) -> &str {
    spec.rsplit_once(",\"seq\":")
        .map_or(spec, |(before, _)| before)
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and event of each change.
    events: Vec<(u64, String, String)>,
}

struct Object {
    created: u64,
    revision: u64,
    spec: String,
}

impl State {
    fn text(&self, kind: &str, name: &str) -> Option<String> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"createRev\":{},\"finalizers\":[],\"deleting\":false}},\
             \"spec\":{},\"status\":null}}",
            object.revision, object.created, object.spec
        ))
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        // "The entry changes when more than `seq` changes."
        let same = |object: &Object| without_heartbeat(&object.spec) == without_heartbeat(spec);
        if self.objects.get(&key).is_some_and(same) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let object = self.objects.entry(key).or_insert(Object {
            created: revision,
            revision,
            spec: String::new(),
        });
        object.revision = revision;
        object.spec = spec.to_owned();
        let text = self.text(kind, name).unwrap_or_default();
        self.events.push((
            revision,
            kind.to_owned(),
            format!("{{\"removed\":false,\"object\":{text}}}"),
        ));
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new((
            Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            Condvar::new(),
        ));
        let shared = Arc::clone(&state);
        let address = http::listen(address, move |request, stream| {
            serve(&shared, request, stream)
        })?;
        Ok(Self { state, address })
    }

    /// Creates or replaces an object, as the operator, a server or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.0.lock().expect("store").put(kind, name, spec);
        self.state.1.notify_all();
    }
}

/// Returns the text of the member of an object in JSON text that the gateway wrote: no nested object has the name, and
/// the member is a number or an object.
fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = text[at..].trim_start();
    let end = if rest.starts_with('{') {
        rest.find('}')? + 1
    } else {
        rest.find([',', '}'])?
    };
    Some(&rest[..end])
}

fn serve(
    shared: &(Mutex<State>, Condvar),
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<()> {
    const HEAD: &str = "content-type: application/json\r\nstore-era: 1\r\n";
    let mut words = request.path().trim_start_matches("/v1/objects/").split('/');
    let (kind, name) = (words.next().unwrap_or(""), words.next());
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let mut state = shared.0.lock().expect("store");
    let (status, text) = match (request.method.as_str(), name) {
        ("GET", None) if request.query("watch").is_some() => {
            let after: u64 = request
                .query("watch")
                .and_then(|w| w.parse().ok())
                .unwrap_or(0);
            let wait: u64 = request
                .query("waitMs")
                .and_then(|w| w.parse().ok())
                .unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let events = state
                    .events
                    .iter()
                    .filter(|(rev, k, _)| *rev > after && k == kind);
                let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
                let left = until.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let text = format!(
                        "{{\"events\":[{}],\"asOf\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    break ("200 OK", text);
                }
                state = shared.1.wait_timeout(state, left).expect("store").0;
            }
        }
        ("GET", None) => {
            let after = http::unescape(request.query("after").unwrap_or(""));
            let keys = state
                .objects
                .keys()
                .filter(|(k, name)| k == kind && *name > after);
            let mut items: Vec<String> = Vec::new();
            let (mut bytes, mut more) = (0, false);
            for (_, name) in keys {
                let item = state.text(kind, name).unwrap_or_default();
                if !items.is_empty()
                    && (bytes + item.len() > PAGE_BYTES || items.len() >= PAGE_OBJECTS)
                {
                    more = true;
                    break;
                }
                bytes += item.len();
                items.push(item);
            }
            let text = format!(
                "{{\"items\":[{}],\"hasMore\":{more},\"asOf\":{}}}",
                items.join(","),
                state.revision
            );
            ("200 OK", text)
        }
        ("GET", Some(name)) => match state.text(kind, name) {
            Some(text) => ("200 OK", text),
            None => ("404 Not Found", "{}".to_owned()),
        },
        ("POST", None) => {
            let name = body
                .split("\"name\":\"")
                .nth(1)
                .and_then(|rest| rest.split('"').next())
                .unwrap_or("");
            let spec = member(&body, "spec").unwrap_or("{}");
            if let Some(text) = state.text(kind, name) {
                ("409 Conflict", text)
            } else {
                state.put(kind, name, spec);
                ("200 OK", state.text(kind, name).unwrap_or_default())
            }
        }
        ("PUT", Some(name)) => {
            let key = (kind.to_owned(), name.to_owned());
            let known = state.objects.get(&key).map(|object| object.revision);
            let wanted: Option<u64> = member(&body, "rev").and_then(|rev| rev.parse().ok());
            match known {
                None => ("404 Not Found", "{}".to_owned()),
                Some(known) if wanted.is_some_and(|wanted| wanted != known) => {
                    ("409 Conflict", state.text(kind, name).unwrap_or_default())
                }
                Some(_) => {
                    state.put(kind, name, member(&body, "spec").unwrap_or("{}"));
                    ("200 OK", state.text(kind, name).unwrap_or_default())
                }
            }
        }
        _ => ("400 Bad Request", "{}".to_owned()),
    };
    drop(state);
    shared.1.notify_all();
    http::answer(stream, status, HEAD, &unreadable(&text))
}
