//! A stand-in for a plain service: it echoes request bodies.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::server::{self, Body, Standin, Switches};

/// A running plain service.
pub type Handle = server::Handle<Service>;

/// Settings of the service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// Latency of a response.
    pub latency: Duration,
}

/// Fault switches.
#[expect(
    clippy::struct_excessive_bools,
    reason = "the switches are independent"
)]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Faults {
    /// Keeps all connections silent.
    pub frozen: bool,
    /// Added to the latency, in milliseconds.
    pub slow_ms: u64,
    /// Refuses with `x-not-started: 1` before anything runs.
    pub refuse: bool,
    /// Breaks the connection after the work is done.
    pub drop_after_execution: bool,
    /// Returns another request's id in `x-request-id`.
    pub wrong_request_id: bool,
}

/// Record of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The `x-request-id` header.
    pub request: String,
    /// The `idempotency-key` header.
    pub key: Option<String>,
    /// Path of the call.
    pub path: String,
    /// Bytes of the body.
    pub bytes: usize,
    /// Whether the work was done.
    pub executed: bool,
}

/// The service stand-in.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    faults: Mutex<Faults>,
    records: Mutex<Vec<Record>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            latency: Duration::from_millis(2),
        }
    }
}

/// Starts a service.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let address = settings.address;
    let service = Service {
        settings,
        faults: Mutex::default(),
        records: Mutex::default(),
    };
    server::Handle::start(address, Arc::new(service))
}

impl Standin for Service {
    type Faults = Faults;
    type Record = Record;

    async fn call(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let faults = self.faults();
        let id = server::header(&request, "x-request-id")
            .unwrap_or_default()
            .to_owned();
        let key = server::header(&request, "idempotency-key").map(str::to_owned);
        let path = request.uri().path().to_owned();
        let body = server::read_body(request.into_body()).await?;
        let executed = !faults.refuse;
        self.records.lock().push(Record {
            request: id.clone(),
            key,
            path,
            bytes: body.len(),
            executed,
        });
        if faults.refuse {
            return Ok(refusal(&id));
        }
        tokio::time::sleep(self.settings.latency + Duration::from_millis(faults.slow_ms)).await;
        if faults.drop_after_execution {
            return Err(server::connection_dropped());
        }
        let mut response = Response::new(server::full(body));
        echo_request_id_or_fault(faults.wrong_request_id, &mut response, &id);
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

/// Returns a refusal with `x-not-started: 1`, which proves that nothing ran.
pub(crate) fn refusal(id: &str) -> Response<Body> {
    let mut response = server::error(StatusCode::SERVICE_UNAVAILABLE, "refused", "fault: refused");
    let headers = response.headers_mut();
    headers.insert("x-not-started", HeaderValue::from_static("1"));
    headers.insert("retry-after", HeaderValue::from_static("1"));
    echo_request_id(&mut response, id);
    response
}

/// Echoes the request id, or a wrong one if the fault `wrong` is set.
pub(crate) fn echo_request_id_or_fault(wrong: bool, response: &mut Response<Body>, id: &str) {
    let echoed = if wrong { "ffffffffffffffff" } else { id };
    echo_request_id(response, echoed);
}

/// Sets `x-request-id` of the response.
pub(crate) fn echo_request_id(response: &mut Response<Body>, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
}
