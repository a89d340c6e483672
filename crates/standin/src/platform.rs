//! The platform's object API: versioned values, conditional updates, watches by long poll, and the
//! lagging host list.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{ETAG, HeaderValue},
};
use parking_lot::Mutex;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

use crate::server::{self, Body, Standin, Switches};

const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_HISTORY_EVENTS: usize = 4096;
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// A running platform.
pub type Handle = server::Handle<Platform>;

/// Settings of the platform.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// Latency of a response.
    pub latency: Duration,
    /// Delay after which callers see a new host list.
    pub host_list_lag: Duration,
    /// Seed of the random faults.
    pub seed: u64,
}

/// Fault switches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Faults {
    /// Keeps all connections silent.
    pub frozen: bool,
    /// Answers every call with 503.
    pub outage: bool,
    /// Added to the latency, in milliseconds.
    pub slow_ms: u64,
    /// Share of writes whose connection breaks before they take effect.
    pub lost_before: f64,
    /// Share of writes whose connection breaks after they took effect.
    pub lost_after: f64,
    /// Leaves watches without a response.
    pub silent_watch: bool,
    /// Delay between the arrival of a write and its effect, in milliseconds.
    pub delayed_write_ms: u64,
}

/// Type of an API call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Read of one object.
    Get,
    /// Conditional update.
    Put,
    /// Delete.
    Delete,
    /// List of a kind.
    List,
    /// Long poll; counts as one call however long it waits.
    Watch,
    /// Host list.
    Hosts,
}

/// Record of one API call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Type of the call.
    pub call: Call,
    /// Kind and name, or kind.
    pub target: String,
    /// Status that was sent, or that would have been sent without the fault.
    pub status: u16,
    /// Whether a fault dropped the response.
    pub lost: bool,
}

/// One host of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: String,
    /// Address.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// `live` or `leaving`.
    pub state: String,
    /// `daemon` or `backend`.
    pub role: String,
}

/// The platform stand-in. Its objects survive crashes.
#[derive(Debug)]
pub struct Platform {
    settings: Settings,
    faults: Mutex<Faults>,
    store: Mutex<Store>,
    changed: Notify,
    hosts: Mutex<VecDeque<(Instant, Vec<Host>)>>,
    records: Mutex<Vec<Record>>,
    random: Mutex<Pcg64>,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Bytes)>,
    history: VecDeque<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    value: Option<Bytes>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            latency: Duration::from_millis(2),
            host_list_lag: Duration::from_secs(2),
            seed: 1,
        }
    }
}

/// Starts a platform.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let address = settings.address;
    let platform = Platform {
        random: Mutex::new(Pcg64::seed_from_u64(settings.seed)),
        settings,
        faults: Mutex::default(),
        store: Mutex::default(),
        changed: Notify::new(),
        hosts: Mutex::default(),
        records: Mutex::default(),
    };
    server::Handle::start(address, Arc::new(platform))
}

impl Platform {
    /// Replaces the host list; callers see it after the lag. The first list is visible at once.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.hosts.lock().push_back((Instant::now(), hosts));
    }

    /// Returns the number of calls by type.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<Call, u64> {
        let mut calls = BTreeMap::new();
        for record in self.records.lock().iter() {
            *calls.entry(record.call).or_default() += 1;
        }
        calls
    }

    /// Reads an object without a recorded call.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<(u64, Bytes)> {
        let key = (kind.to_owned(), name.to_owned());
        self.store.lock().objects.get(&key).cloned()
    }

    /// Writes an object without a recorded call or a condition; returns its version.
    pub fn set_object(&self, kind: &str, name: &str, value: impl Into<Bytes>) -> u64 {
        let version = self.store.lock().write(kind, name, Some(value.into()));
        self.changed.notify_waiters();
        version
    }

    fn record(&self, call: Call, target: &str, status: StatusCode, lost: bool) {
        self.records.lock().push(Record {
            call,
            target: target.to_owned(),
            status: status.as_u16(),
            lost,
        });
    }

    /// Draws whether a fault with this rate hits the current call.
    fn draw_fault(&self, rate: f64) -> bool {
        rate > 0.0 && self.random.lock().random_bool(rate.min(1.0))
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        let Some((version, value)) = self.object(kind, name) else {
            return server::error(StatusCode::NOT_FOUND, "not_found", "no such object");
        };
        let mut response = Response::new(server::full(value));
        set_etag(&mut response, version);
        response
    }

    fn list(&self, kind: &str) -> Response<Body> {
        let store = self.store.lock();
        let objects: Vec<_> = store
            .objects
            .iter()
            .filter(|((object_kind, _), _)| object_kind == kind)
            .map(|((_, name), (version, _))| serde_json::json!({"name": name, "version": version}))
            .collect();
        let list = serde_json::json!({"revision": store.revision, "objects": objects});
        server::json(StatusCode::OK, &list)
    }

    fn hosts(&self) -> Response<Body> {
        let mut lists = self.hosts.lock();
        let visible =
            |(set_at, _): &(Instant, Vec<Host>)| set_at.elapsed() >= self.settings.host_list_lag;
        while lists.len() > 1 && lists.get(1).is_some_and(visible) {
            lists.pop_front();
        }
        let hosts = lists.front().map(|(_, hosts)| hosts.clone());
        server::json(
            StatusCode::OK,
            &serde_json::json!({"hosts": hosts.unwrap_or_default()}),
        )
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response<Body> {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the check, so that no change between check and wait is missed.
            changed.as_mut().enable();
            let (revision, events) = self.store.lock().changes_since(kind, after);
            let wakeup = tokio::time::timeout_at(deadline, changed);
            if !events.is_empty() || wakeup.await.is_err() {
                let body = serde_json::json!({"revision": revision, "events": events});
                return server::json(StatusCode::OK, &body);
            }
        }
    }

    fn update(&self, kind: &str, name: &str, update: Update) -> Response<Body> {
        let mut store = self.store.lock();
        let key = (kind.to_owned(), name.to_owned());
        let current = store.objects.get(&key).map(|(version, _)| *version);
        if !update.condition.is_met(current) {
            let mut response = server::error(
                StatusCode::PRECONDITION_FAILED,
                "conflict",
                "the version differs",
            );
            if let Some(version) = current {
                set_etag(&mut response, version);
            }
            return response;
        }
        let version = store.write(kind, name, update.value);
        drop(store);
        self.changed.notify_waiters();
        let mut response = server::json(StatusCode::OK, &serde_json::json!({"version": version}));
        set_etag(&mut response, version);
        response
    }

    async fn write(
        self: Arc<Self>,
        call: Call,
        target: String,
        update: Update,
    ) -> io::Result<Response<Body>> {
        let faults = self.faults();
        if self.draw_fault(faults.lost_before) {
            self.record(call, &target, StatusCode::OK, true);
            return Err(server::connection_dropped());
        }
        tokio::time::sleep(Duration::from_millis(faults.delayed_write_ms)).await;
        let (kind, name) = target.split_once('/').unwrap_or((&target, ""));
        let response = self.update(kind, name, update);
        let lost = self.draw_fault(faults.lost_after);
        self.record(call, &target, response.status(), lost);
        if lost {
            return Err(server::connection_dropped());
        }
        Ok(response)
    }
}

struct Update {
    condition: Condition,
    value: Option<Bytes>,
}

enum Condition {
    Absent,
    Version(u64),
    Any,
}

impl Condition {
    fn from_headers<B>(request: &Request<B>) -> Option<Self> {
        if server::header(request, "if-none-match") == Some("*") {
            return Some(Self::Absent);
        }
        match server::header(request, "if-match") {
            None | Some("*") => Some(Self::Any),
            Some(tag) => tag.trim_matches('"').parse().ok().map(Self::Version),
        }
    }

    fn is_met(&self, current: Option<u64>) -> bool {
        match self {
            Self::Absent => current.is_none(),
            Self::Version(version) => current == Some(*version),
            Self::Any => true,
        }
    }
}

impl Store {
    fn write(&mut self, kind: &str, name: &str, value: Option<Bytes>) -> u64 {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        match &value {
            Some(value) => self.objects.insert(key, (self.revision, value.clone())),
            None => self.objects.remove(&key),
        };
        self.history.push_back(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            value,
        });
        if self.history.len() > MAX_HISTORY_EVENTS {
            self.history.pop_front();
        }
        self.revision
    }

    /// Returns the changes of a kind after a revision. If the history no longer reaches back that far, returns the
    /// current objects instead.
    fn changes_since(&self, kind: &str, after: u64) -> (u64, Vec<serde_json::Value>) {
        let oldest = self.history.front().map_or(1, |change| change.revision);
        let events = if after + 1 < oldest {
            let present = self
                .objects
                .iter()
                .filter(|((object_kind, _), _)| object_kind == kind);
            present
                .map(|((_, name), (version, value))| watch_event(name, *version, Some(value)))
                .collect()
        } else {
            let recent = self.history.iter();
            recent
                .filter(|change| change.revision > after && change.kind == kind)
                .map(|change| watch_event(&change.name, change.revision, change.value.as_ref()))
                .collect()
        };
        (self.revision, events)
    }
}

/// Builds a watch event. Its value is UTF-8 text; other bytes are replaced, and callers read them by `GET`.
fn watch_event(name: &str, version: u64, value: Option<&Bytes>) -> serde_json::Value {
    let value = value.map(|bytes| String::from_utf8_lossy(bytes).into_owned());
    serde_json::json!({"name": name, "version": version, "value": value})
}

fn set_etag(response: &mut Response<Body>, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
}

fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = request.uri().query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

impl Standin for Platform {
    type Faults = Faults;
    type Record = Record;

    async fn call(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let faults = self.faults();
        let path = request.uri().path().to_owned();
        let target = path
            .strip_prefix("/v1/objects/")
            .unwrap_or_default()
            .to_owned();
        let (kind, name) = target.split_once('/').unwrap_or((&target, ""));
        let after = query_number(&request, "watch");
        let call = match (request.method(), after) {
            _ if path == "/v1/hosts" => Call::Hosts,
            (&Method::GET, Some(_)) => Call::Watch,
            (&Method::GET, None) if name.is_empty() => Call::List,
            (&Method::GET, None) => Call::Get,
            (&Method::PUT, _) => Call::Put,
            (&Method::DELETE, _) => Call::Delete,
            _ => {
                let status = StatusCode::METHOD_NOT_ALLOWED;
                return Ok(server::error(status, "method", "unknown call"));
            }
        };
        tokio::time::sleep(self.settings.latency + Duration::from_millis(faults.slow_ms)).await;
        if faults.outage {
            self.record(call, &target, StatusCode::SERVICE_UNAVAILABLE, false);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(server::error(status, "outage", "fault: outage"));
        }
        let response = match call {
            Call::Hosts => self.hosts(),
            Call::Get => self.get(kind, name),
            Call::List => self.list(kind),
            Call::Watch => {
                self.record(call, &target, StatusCode::OK, false);
                if faults.silent_watch {
                    std::future::pending::<()>().await;
                }
                let wait = query_number(&request, "timeout_s")
                    .map_or(DEFAULT_WATCH_TIMEOUT, Duration::from_secs);
                return Ok(self.watch(kind, after.unwrap_or(0), wait).await);
            }
            Call::Put | Call::Delete => {
                let Some(condition) = Condition::from_headers(&request) else {
                    let status = StatusCode::BAD_REQUEST;
                    return Ok(server::error(status, "tag", "malformed entity tag"));
                };
                let body = server::read_body(request.into_body()).await?;
                if body.len() > MAX_VALUE_BYTES {
                    let status = StatusCode::PAYLOAD_TOO_LARGE;
                    return Ok(server::error(
                        status,
                        "too_large",
                        "values hold up to 1 MiB",
                    ));
                }
                let value = (call == Call::Put).then_some(body);
                // A write that has arrived takes effect even if its caller goes away while it is delayed.
                let update = Update { condition, value };
                let write = tokio::spawn(Arc::clone(&self).write(call, target.clone(), update));
                return write
                    .await
                    .unwrap_or_else(|error| Err(io::Error::other(error)));
            }
        };
        self.record(call, &target, response.status(), false);
        Ok(response)
    }

    fn faults(&self) -> Faults {
        self.faults.lock().clone()
    }

    fn set_faults(&self, faults: Faults) -> Switches {
        let frozen = faults.frozen;
        *self.faults.lock() = faults;
        Switches { frozen }
    }

    fn records(&self) -> Vec<Record> {
        self.records.lock().clone()
    }

    fn reset(&self) {}
}
