//! The calls that list backend servers and set the operators' drain marks.

use std::sync::Arc;

use compact_str::CompactString;
use jaystand_sheet::ServerKind;
use jaystand_types::ServerId;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::json;

use super::{Call, Problem, Result, ok};
use crate::{
    backend::Backend,
    hub::{Configured, Hub},
    peer::Peers,
};

/// A backend server as this daemon knows it.
#[derive(Debug, Serialize)]
struct Report {
    name: CompactString,
    address: String,
    data_centre: CompactString,
    kind: ServerKind,
    model: CompactString,
    /// Weights version that the server reported last, or else the directory's.
    weights_version: CompactString,
    slots: u32,
    /// Whether the server is leaving, for any reason; it then gets no new work.
    leaving: bool,
    /// Whether an operator drains the server.
    drained: bool,
    /// Incarnation of an engine, in hexadecimal.
    incarnation: Option<String>,
    /// Attempts of this daemon in flight on the server.
    in_flight: u32,
    /// Requests on the server by the last report of the daemon that polls it.
    load: Option<u32>,
    /// Age of that report.
    load_age_ms: Option<u64>,
}

pub(super) fn list(call: &Call) -> Result {
    let view = View::new(call)?;
    let backends = view.configured.backends.iter().zip(0..);
    let servers: Vec<Report> = backends.map(|(it, id)| view.report(it, id)).collect();
    Ok(ok(&json!({"servers": servers})))
}

pub(super) fn drain(call: &Call, name: &str, leaving: bool) -> Result {
    let name = &*percent_decode_str(name).decode_utf8_lossy();
    let view = View::new(call)?;
    let mut backends = view.configured.backends.iter().zip(0..);
    let found = backends.find(|(backend, _)| backend.server.name == name);
    let (backend, id) = found.ok_or_else(|| Problem::unknown_server(name))?;
    view.peers.set_drained(name, leaving);
    let verb = if leaving { "drains" } else { "undrains" };
    log::info!("an operator {verb} backend server {name}");
    Ok(ok(&view.report(backend, id)))
}

/// The state that reports on servers are made from.
struct View {
    configured: Arc<Configured>,
    hub: Arc<Hub>,
    peers: Arc<Peers>,
}

impl View {
    fn new(call: &Call) -> Result<Self> {
        let hub = call.kernel.require::<Hub>()?;
        Ok(Self {
            configured: hub.configured().ok_or_else(Problem::no_configuration)?,
            hub,
            peers: call.kernel.require::<Peers>()?,
        })
    }

    fn report(&self, backend: &Backend, id: ServerId) -> Report {
        let server = &backend.server;
        let load = self.peers.load(id);
        let age = load.map(|(_, age)| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        Report {
            name: server.name.clone(),
            address: server.address.to_string(),
            data_centre: server.data_centre.clone(),
            kind: server.kind,
            model: server.model.clone(),
            weights_version: backend.weights_version(),
            slots: server.slots.get(),
            leaving: backend.is_leaving() || self.peers.is_leaving(&server.name),
            drained: self.peers.is_drained(&server.name),
            incarnation: backend.incarnation().map(|it| format!("{it:016x}")),
            in_flight: self.hub.attempts_in_flight(id),
            load: load.map(|(requests, _)| requests),
            load_age_ms: age,
        }
    }
}
