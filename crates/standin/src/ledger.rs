//! A stand-in for a plain service whose calls must not be repeated. It counts executions by idempotency key.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, StatusCode, body::Incoming};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::{
    server::{self, Body, Standin, Switches},
    service::{echo_request_id_or_fault, refusal},
};

/// A running ledger.
pub type Handle = server::Handle<Ledger>;

/// Settings of the ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens; port 0 picks a free one.
    pub address: SocketAddr,
    /// Latency of an execution.
    pub latency: Duration,
    /// Whether a repeated key gets the first receipt instead of another execution.
    pub checks_keys: bool,
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
    /// Breaks the connection after the execution.
    pub drop_after_execution: bool,
    /// Refuses with `x-not-started: 1` before anything runs.
    pub refuse: bool,
    /// Executes and never responds.
    pub silent: bool,
    /// Returns another request's id in `x-request-id`.
    pub wrong_request_id: bool,
}

/// Record of one call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The `x-request-id` header.
    pub request: String,
    /// The `idempotency-key` header; empty when absent.
    pub key: String,
    /// Whether the call executed the order.
    pub executed: bool,
}

/// The answer to an executed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Position in the ledger, from 1.
    pub entry: u64,
    /// The idempotency key.
    pub key: String,
    /// BLAKE3 of the order's body, in hexadecimal.
    pub body: String,
}

/// The ledger stand-in. Its state survives crashes, like that of a service with durable storage.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    faults: Mutex<Faults>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    entries: u64,
    executions: BTreeMap<String, u32>,
    receipts: BTreeMap<String, Receipt>,
    records: Vec<Record>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            latency: Duration::from_millis(2),
            checks_keys: false,
        }
    }
}

/// Starts a ledger.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn start(settings: Settings) -> io::Result<Handle> {
    let address = settings.address;
    let ledger = Ledger {
        settings,
        faults: Mutex::default(),
        state: Mutex::default(),
    };
    server::Handle::start(address, Arc::new(ledger))
}

impl Ledger {
    /// Returns the number of executions by idempotency key.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.state.lock().executions.clone()
    }

    /// Executes the order, or returns the first receipt for a repeated key if keys are checked.
    fn execute(&self, request: &str, key: &str, body: &[u8]) -> Receipt {
        let mut state = self.state.lock();
        let known = state.receipts.get(key).cloned();
        let repeat = known.filter(|_| self.settings.checks_keys && !key.is_empty());
        state.records.push(Record {
            request: request.to_owned(),
            key: key.to_owned(),
            executed: repeat.is_none(),
        });
        if let Some(receipt) = repeat {
            return receipt;
        }
        state.entries += 1;
        *state.executions.entry(key.to_owned()).or_default() += 1;
        let receipt = Receipt {
            entry: state.entries,
            key: key.to_owned(),
            body: blake3::hash(body).to_hex().to_string(),
        };
        state.receipts.insert(key.to_owned(), receipt.clone());
        receipt
    }
}

impl Standin for Ledger {
    type Faults = Faults;
    type Record = Record;

    async fn call(self: Arc<Self>, request: Request<Incoming>) -> io::Result<Response<Body>> {
        let faults = self.faults();
        let id = server::header(&request, "x-request-id")
            .unwrap_or_default()
            .to_owned();
        let key = server::header(&request, "idempotency-key")
            .unwrap_or_default()
            .to_owned();
        let body = server::read_body(request.into_body()).await?;
        if faults.refuse {
            self.state.lock().records.push(Record {
                request: id.clone(),
                key,
                executed: false,
            });
            return Ok(refusal(&id));
        }
        // Executes before the latency, so that a caller that disconnects cannot interrupt the execution.
        let receipt = self.execute(&id, &key, &body);
        tokio::time::sleep(self.settings.latency + Duration::from_millis(faults.slow_ms)).await;
        if faults.drop_after_execution {
            return Err(server::connection_dropped());
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let mut response = server::json(StatusCode::OK, &receipt);
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
        self.state.lock().records.clone()
    }

    fn reset(&self) {}
}
